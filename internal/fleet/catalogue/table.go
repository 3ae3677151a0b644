// Package catalogue holds what operators want: routes, services, customers,
// data centres that are out, and named versions of weights. It answers which
// route a request takes and whether its sender may use it.
package catalogue

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/feed"
)

// Wanted is a named version of a model's weights.
type Wanted struct {
	Version int64
	Since   time.Time // when this process learned of it, or the assumed time if it was named before
}

// View is the state at one moment. It does not change.
type View struct {
	catalogue *fulmardeal.Catalogue
	hosts     map[string][]*fulmardeal.Route // longest prefix first
	keys      map[string]*fulmardeal.Customer
	out       []string
	wanted    map[string][]Wanted // by model, in the order in which they were named
}

// Table is the newest state. The zero value is empty and ready to use; it is
// safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	offsets map[string]fulmardeal.Offset
	view    atomic.Pointer[View]
}

// View returns the present state, never nil.
func (t *Table) View() *View {
	if v := t.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Event is a change of what the process believes.
type Event struct {
	What    string // "configuration", "out", "back", "version"
	Name    string
	Version int64
}

// Apply takes over changes and returns those that matter. A record that is not
// newer than the last one of its key has no effect, and neither has a lower
// version: nothing that was in force is undone by a late read.
func (t *Table) Apply(now time.Time, b feed.Batch) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.offsets == nil {
		t.offsets = make(map[string]fulmardeal.Offset)
	}
	old := t.View()
	next := *old
	next.out = slices.Clone(old.out)
	next.wanted = make(map[string][]Wanted, len(old.wanted))
	for k, w := range old.wanted {
		next.wanted[k] = w
	}
	var events []Event
	since := now
	if old.catalogue == nil && b.Whole {
		since = now.Add(-assumedAge)
	}
	for _, c := range b.Changes {
		if known, seen := t.offsets[c.Key]; seen && c.Offset <= known {
			continue
		}
		t.offsets[c.Key] = c.Offset
		events = append(events, next.take(since, c)...)
	}
	if b.Whole {
		events = append(events, next.miss(b.Changes)...)
	}
	t.view.Store(&next)
	return events
}

// Learn takes over a named version that another process tells of, and reports
// whether it is news.
func (t *Table) Learn(since time.Time, n fulmardeal.Naming) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.View()
	wanted := make(map[string][]Wanted, len(next.wanted)+1)
	for k, w := range next.wanted {
		wanted[k] = w
	}
	next.wanted = wanted
	if len(next.take(since, fulmardeal.Change{Naming: &n})) == 0 {
		return false
	}
	t.view.Store(&next)
	return true
}

// Target is what the engines of one service are to serve. It is all that an
// agent needs of the configuration.
type Target struct {
	Service string
	Model   string
	Layers  int
	Version int64
	Since   time.Time // when the version was named
	Origin  string    // address of the origin of weights
	Place   string    // data centre of the origin
}

// Targets returns what the engines of each service are to serve.
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
		w := v.Wanted(model)
		out = append(out, Target{
			Service: s.Name, Model: model, Layers: s.Engine.Layers, Version: w.Version, Since: w.Since,
			Origin: origin.Address, Place: origin.DataCentre,
		})
	}
	return out
}

// take takes over one change.
func (v *View) take(since time.Time, c fulmardeal.Change) []Event {
	switch {
	case c.Catalogue != nil:
		if v.catalogue != nil && c.Catalogue.Version <= v.catalogue.Version {
			return nil
		}
		v.index(c.Catalogue)
		return []Event{{What: "configuration", Version: c.Catalogue.Version}}
	case c.Naming != nil:
		if c.Naming.Version <= v.Wanted(c.Naming.Model).Version {
			return nil
		}
		list := v.wanted[c.Naming.Model]
		list = list[max(0, len(list)-mostNamings):]
		v.wanted[c.Naming.Model] = append(slices.Clone(list), Wanted{Version: c.Naming.Version, Since: since})
		return []Event{{What: "version", Name: c.Naming.Model, Version: c.Naming.Version}}
	case c.Evacuation != "":
		if slices.Contains(v.out, c.Evacuation) {
			return nil
		}
		v.out = append(v.out, c.Evacuation)
		return []Event{{What: "out", Name: c.Evacuation}}
	case c.Gone:
		return v.back(func(place string) bool { return strings.HasSuffix(c.Key, "/"+place) })
	}
	return nil
}

// back takes data centres back into use.
func (v *View) back(match func(string) bool) []Event {
	var events []Event
	v.out = slices.DeleteFunc(v.out, func(place string) bool {
		if match(place) {
			events = append(events, Event{What: "back", Name: place})
			return true
		}
		return false
	})
	return events
}

// miss takes back the data centres that a whole list doesn't name any more.
func (v *View) miss(listed []fulmardeal.Change) []Event {
	return v.back(func(place string) bool {
		return !slices.ContainsFunc(listed, func(c fulmardeal.Change) bool { return c.Evacuation == place })
	})
}

func (v *View) index(c *fulmardeal.Catalogue) {
	v.catalogue = c
	v.hosts = make(map[string][]*fulmardeal.Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		v.hosts[host] = append(v.hosts[host], r)
	}
	for _, list := range v.hosts {
		slices.SortStableFunc(list, func(a, b *fulmardeal.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	v.keys = make(map[string]*fulmardeal.Customer)
	for i := range c.Customers {
		for _, k := range c.Customers[i].Keys {
			v.keys[k] = &c.Customers[i]
		}
	}
}

// Catalogue returns the configuration in force, or nil.
func (v *View) Catalogue() *fulmardeal.Catalogue { return v.catalogue }

// Version returns the version of the configuration in force, 0 before the first.
func (v *View) Version() int64 {
	if v.catalogue == nil {
		return 0
	}
	return v.catalogue.Version
}

// Route returns the route with the longest prefix that begins the path, or nil.
func (v *View) Route(host, path string) *fulmardeal.Route {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range v.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed reports whether requests carry customers' keys.
func (v *View) Keyed() bool { return v.catalogue != nil && len(v.catalogue.Customers) > 0 }

// Customer returns the customer that holds a key, or nil.
func (v *View) Customer(key string) *fulmardeal.Customer {
	if key == "" {
		return nil
	}
	return v.keys[key]
}

// Out reports whether a data centre is to get nothing.
func (v *View) Out(place string) bool { return slices.Contains(v.out, place) }

// assumedAge is how long ago a version was named that stood there when this
// process began to read. It is too long for one named just now, whose engines
// this process uses less for a while, and too short only for the first seconds
// of a process, in which nobody relies on what it knows.
const assumedAge = 5 * time.Second

// mostNamings bounds the namings of one model that are remembered.
const mostNamings = 16

// Wanted returns the named version of a model; without one it is the first.
func (v *View) Wanted(model string) Wanted {
	if list := v.wanted[model]; len(list) > 0 {
		return list[len(list)-1]
	}
	return Wanted{Version: 1}
}

// Superseded returns when a version newer than the given one was first named,
// and whether there is one.
func (v *View) Superseded(model string, version int64) (time.Time, bool) {
	for _, w := range v.wanted[model] {
		if w.Version > version {
			return w.Since, true
		}
	}
	return time.Time{}, false
}
