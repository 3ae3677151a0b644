// Package catalogue holds the desired state that operators publish in the
// platform's store: routes, services, customers, data centres that are out of
// service, and the versions of model weights to serve. It resolves requests to
// routes and customers' keys to customers.
package catalogue

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/feed"
)

// PublishedVersion is a version of a model's weights that operators have
// published.
type PublishedVersion struct {
	Version int64

	// Since is the earliest time at which the version may have been published. It is
	// an assumed time if the version was there when the process first read the store;
	// see assumedVersionAge.
	Since time.Time
}

// View is an immutable snapshot of the desired state.
type View struct {
	catalogue    *fulmardeal.Catalogue
	hosts        map[string][]*fulmardeal.Route  // routes by lower-case host; those of a host with the longest path prefix first
	keys         map[string]*fulmardeal.Customer // customers by bearer key
	outOfService map[string]string               // data centres that are out of service, with the keys of the records that say so
	published    map[string][]PublishedVersion   // by model, its published versions, oldest first

	refusedKeys  int  // keys of the configuration that are not accepted
	keyed        bool // a configuration listed its customers
	historyKnown bool // whether an earlier configuration did is known
}

// Table holds the newest desired state. The zero value is an empty table. A Table is
// safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	offsets map[string]fulmardeal.Position // by key of a change, the offset of the last change applied to that key
	view    atomic.Pointer[View]
}

// AddSuspended makes all published versions older by d. The times at which they were
// published are readings of a clock that doesn't advance while the instance is suspended.
func (t *Table) AddSuspended(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.View()
	published := make(map[string][]PublishedVersion, len(next.published))
	for model, versions := range next.published {
		for _, p := range versions {
			published[model] = append(published[model], PublishedVersion{Version: p.Version, Since: p.Since.Add(-d)})
		}
	}
	next.published = published
	t.view.Store(&next)
}

// View returns the current state. It is never nil.
func (t *Table) View() *View {
	if v := t.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// EventConfiguration is the kind of an event by which a configuration comes into force.
const EventConfiguration = "configuration"

// Event is a change of the desired state.
type Event struct {
	Kind    string // EventConfiguration, "version", "out" (of service) or "back" (in service)
	Name    string // name of the model for "version", of the data centre for "out" and "back"
	Version int64  // version of the weights for "version", of the configuration for EventConfiguration
}

// Apply applies a batch of changes and returns the events that result. A stale read
// could revert the state. Apply therefore ignores a change whose offset is not above
// that of the last change applied for the same key. It also ignores a configuration
// or weights whose version is not above the known one.
func (t *Table) Apply(now time.Time, b feed.Batch) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.offsets == nil {
		t.offsets = make(map[string]fulmardeal.Position)
	}
	old := t.View()
	next := *old
	next.outOfService = make(map[string]string, len(old.outOfService))
	maps.Copy(next.outOfService, old.outOfService)
	next.published = make(map[string][]PublishedVersion, len(old.published))
	for model, versions := range old.published {
		next.published[model] = versions
	}
	var events []Event
	since := now.Add(-b.MaxAge)
	if old.catalogue == nil && b.Full {
		since = since.Add(-assumedVersionAge)
	}
	for _, c := range b.Changes {
		if known, seen := t.offsets[c.Key]; seen && c.Offset <= known {
			continue
		}
		t.offsets[c.Key] = c.Offset
		events = append(events, next.applyChange(since, c)...)
	}
	if b.Full {
		events = append(events, next.restoreUnlisted(b.Changes)...)
	}
	if old.catalogue == nil {
		next.addUnseen()
	}
	t.view.Store(&next)
	return events
}

// ApplyVersion applies a published version of weights that another process
// reported, and reports whether it was newer than the newest known version of the
// model.
func (t *Table) ApplyVersion(since time.Time, n fulmardeal.Publication) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.View()
	published := make(map[string][]PublishedVersion, len(next.published)+1)
	for model, versions := range next.published {
		published[model] = versions
	}
	next.published = published
	if len(next.applyChange(since, fulmardeal.Change{Naming: &n})) == 0 {
		return false
	}
	if next.catalogue == nil {
		next.addUnseen()
	}
	t.view.Store(&next)
	return true
}

// ApplyHistory applies what the store says of earlier configurations: whether one of them
// listed its customers.
func (t *Table) ApplyHistory(keyed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.View()
	next.keyed, next.historyKnown = next.keyed || keyed, true
	t.view.Store(&next)
}

// Target is the version of weights that the engines of one service are to serve.
// It is all that an agent needs from the configuration.
type Target struct {
	Service string
	Model   string
	Layers  int
	Version int64
	Since   time.Time // when the version was published; see PublishedVersion.Since
	Origin  string    // address of the origin server for weights
	Place   string    // data centre of the origin server
}

// Targets returns the target of each service that has engines with a model. If the
// engines have several models, only the first one counts.
func (v *View) Targets() []Target {
	if v.catalogue == nil {
		return nil
	}
	var origin fulmardeal.OriginSpec
	if o := v.catalogue.Origin(); o != nil {
		origin = *o
	}
	var out []Target
	for _, s := range v.catalogue.Services {
		if s.Engine == nil || len(s.Engine.Models) == 0 {
			continue
		}
		model := s.Engine.Models[0].Name
		published := v.PublishedVersion(model)
		out = append(out, Target{
			Service: s.Name, Model: model, Layers: s.Engine.Layers, Version: published.Version, Since: published.Since,
			Origin: origin.Address, Place: origin.DataCentre,
		})
	}
	return out
}

// applyChange applies one change. It returns no events if the change makes no
// difference, for example because the view already includes a newer one.
func (v *View) applyChange(since time.Time, c fulmardeal.Change) []Event {
	switch {
	case c.Catalogue != nil:
		if v.catalogue != nil && c.Catalogue.Version <= v.catalogue.Version {
			return nil
		}
		v.index(c.Catalogue)
		return []Event{{Kind: EventConfiguration, Version: c.Catalogue.Version}}
	case c.Naming != nil:
		if c.Naming.Version <= v.PublishedVersion(c.Naming.Model).Version {
			return nil
		}
		list := v.published[c.Naming.Model]
		list = list[max(0, len(list)-maxVersionsPerModel):]
		v.published[c.Naming.Model] = append(slices.Clone(list), PublishedVersion{Version: c.Naming.Version, Since: since})
		return []Event{{Kind: "version", Name: c.Naming.Model, Version: c.Naming.Version}}
	case c.Evacuation != "":
		if v.IsOutOfService(c.Evacuation) {
			return nil
		}
		v.outOfService[c.Evacuation] = c.Key
		return []Event{{Kind: "out", Name: c.Evacuation}}
	case c.Gone:
		return v.restore(func(key string) bool { return key == c.Key })
	}
	return nil
}

// restore puts the data centres back into service for which the key of the record that took
// them out matches.
func (v *View) restore(match func(key string) bool) []Event {
	var events []Event
	for _, dataCentre := range slices.Sorted(maps.Keys(v.outOfService)) {
		if match(v.outOfService[dataCentre]) {
			delete(v.outOfService, dataCentre)
			events = append(events, Event{Kind: "back", Name: dataCentre})
		}
	}
	return events
}

// restoreUnlisted puts the data centres that a full read of the store no longer
// lists as out of service back into service.
func (v *View) restoreUnlisted(listed []fulmardeal.Change) []Event {
	return v.restore(func(key string) bool {
		return !slices.ContainsFunc(listed, func(c fulmardeal.Change) bool { return c.Evacuation != "" && c.Key == key })
	})
}

func (v *View) index(c *fulmardeal.Catalogue) {
	v.catalogue = c
	v.keyed = v.keyed || c.Keyed || len(c.Customers) > 0
	v.hosts = make(map[string][]*fulmardeal.Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		v.hosts[host] = append(v.hosts[host], r)
	}
	for _, list := range v.hosts {
		slices.SortStableFunc(list, func(a, b *fulmardeal.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	v.keys, v.refusedKeys = keysOf(c.Customers)
}

// keysOf returns the customers by key, and the number of keys that are not accepted. An
// endpoint learns a request's customer by name only, so the keys of a customer without a name
// are not accepted, nor is a key that customers of different names hold: one of them would be
// served as the other.
func keysOf(customers []fulmardeal.Customer) (keys map[string]*fulmardeal.Customer, refused int) {
	keys = make(map[string]*fulmardeal.Customer)
	ambiguous := make(map[string]bool)
	for i := range customers {
		c := &customers[i]
		for _, k := range c.Keys {
			if k == "" || c.Name == "" {
				refused++
				continue
			}
			if other := keys[k]; other != nil && other.Name != c.Name {
				ambiguous[k] = true
			}
			keys[k] = c
		}
	}
	for k := range ambiguous {
		delete(keys, k)
	}
	return keys, refused + len(ambiguous)
}

// Catalogue returns the configuration in force, or nil when there is none yet.
func (v *View) Catalogue() *fulmardeal.Catalogue { return v.catalogue }

// Version returns the version of the configuration in force, 0 when there is none.
func (v *View) Version() int64 {
	if v.catalogue == nil {
		return 0
	}
	return v.catalogue.Version
}

// Route returns the host's route with the longest prefix that the path starts with,
// or nil when the host has no such route. A query in the path is ignored.
func (v *View) Route(host, path string) *fulmardeal.Route {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range v.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests have to carry a customer's key. They do once a
// configuration has listed its customers: a later one without customers has taken their keys
// away, and must not let everybody in. Operators open a route by making it public.
func (v *View) RequiresKey() bool { return v.keyed }

// AccessKnown reports whether it is known if requests have to carry a key. A configuration
// that doesn't list customers leaves that to earlier ones.
func (v *View) AccessKnown() bool { return v.keyed || v.historyKnown }

// KeyCount returns the number of keys that are accepted.
func (v *View) KeyCount() int { return len(v.keys) }

// RefusedKeys returns the number of keys that are listed but not accepted, since they name no
// single customer.
func (v *View) RefusedKeys() int { return v.refusedKeys }

// Customer returns the customer that holds a key, or nil when the key is empty or
// unknown.
func (v *View) Customer(key string) *fulmardeal.Customer {
	if key == "" {
		return nil
	}
	return v.keys[key]
}

// IsOutOfService reports whether the data centre called name is out of service and
// must get no requests.
func (v *View) IsOutOfService(name string) bool {
	_, out := v.outOfService[name]
	return out
}

// assumedVersionAge is how long before the start of this process a version is taken to
// have been published if it is already there at the first read, because its real
// publication time is unknown. If the real age is lower, this process stops using engines
// with the previous version too early. If the real age is higher, this process uses them
// for too long, but only in its first seconds. Engines with versions before the previous one
// aren't used, see addUnseen.
const assumedVersionAge = 5 * time.Second

// unseenVersionAge is the age of a version that was published before the newest one that a
// process found when it started. It is longer than any version may be used.
const unseenVersionAge = time.Hour

// addUnseen adds, to models of which only the newest version is known, the version before it.
// Versions count up, and nothing is known of when the earlier one was published: what that one
// superseded may have been superseded for long, whatever the age of the newest.
func (v *View) addUnseen() {
	for model, list := range v.published {
		if first := list[0]; len(list) == 1 && first.Version > 2 {
			unseen := PublishedVersion{Version: first.Version - 1, Since: first.Since.Add(-unseenVersionAge)}
			v.published[model] = []PublishedVersion{unseen, first}
		}
	}
}

// maxVersionsPerModel is the maximum number of published versions kept per model,
// in addition to the newest one.
const maxVersionsPerModel = 16

// PublishedVersion returns the newest published version of a model, or version
// 1 when none was published.
func (v *View) PublishedVersion(model string) PublishedVersion {
	if list := v.published[model]; len(list) > 0 {
		return list[len(list)-1]
	}
	return PublishedVersion{Version: 1}
}

// SupersededAt returns when the first version newer than the given one was
// published, or false when there is no newer version.
func (v *View) SupersededAt(model string, version int64) (time.Time, bool) {
	for _, p := range v.published[model] {
		if p.Version > version {
			return p.Since, true
		}
	}
	return time.Time{}, false
}
