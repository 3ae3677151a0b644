package soak

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
)

// Promise names what the system promises to callers, endpoints or operators.
type Promise string

// The promises that a run checks.
const (
	PromiseOnce      Promise = "at-most-once"    // what must not be repeated runs at most once
	PromiseRefusal   Promise = "true-refusal"    // a refused request hasn't run and never will
	PromiseWhole     Promise = "whole-answer"    // complete, signed, of that attempt
	PromiseOrder     Promise = "whole-stream"    // no event missing, twice, or of another run
	PromiseUnchanged Promise = "unchanged"       // endpoints get what callers sent, and no key
	PromiseRoute     Promise = "route"           // only services that a configuration allows
	PromiseHome      Promise = "home"            // only home regions
	PromiseRevoked   Promise = "revoked-key"     // a key that was taken runs nothing any more
	PromiseConfig    Promise = "configuration"   // a new configuration is in force in time
	PromiseEvacuated Promise = "evacuated"       // a data centre that is out gets nothing
	PromiseDrained   Promise = "drained"         // an endpoint that leaves gets nothing
	PromiseWeights   Promise = "weights-version" // old weights end in time
	PromiseIntact    Promise = "intact-weights"  // only what the origin published
	PromiseCold      Promise = "cold-rate"       // of an endpoint that has just started
	PromiseRepeats   Promise = "repeat-budget"   // arrivals beyond the first of each request
	PromiseDeadline  Promise = "deadline"        // endpoints get no more time than is left
	PromiseAnswered  Promise = "answered"        // within the route's time
	PromiseAdmitted  Promise = "admitted"        // what is allowed isn't rejected as wrong
	PromiseGraceful  Promise = "graceful"        // planned work cuts nothing, and ends with 0
	PromiseRecovery  Promise = "recovery"        // requests are served again after the faults
)

// Bounds in which promises must hold, as the settings of a run state them.
const (
	boundDrain    = 2 * time.Second
	boundGrace    = 8 * time.Second
	boundRevoke   = 5 * time.Second
	boundConfig   = 2 * time.Second
	boundEvacuate = 5 * time.Second
	boundWeights  = 8 * time.Second
	boundContact  = 3 * time.Second // how long after a fault a process counts as out of touch
	boundRecover  = 12 * time.Second
	boundCold     = 2 * time.Second
	boundLate     = 500 * time.Millisecond // an answer after its route's time; a deadline over what is left

	repeatRatio = 0.2
	repeatExtra = 20.0
	repeatEvery = 10 * time.Second
	coldRate    = 20.0 // requests a second
	coldOver    = 1.5
	coldSlack   = 5.0

	// Some breaches count only when there are several.
	mostOverAttempts = 3
	mostLate         = 8
	recoveredPart    = 0.25 // of what was served before the faults
)

// Breach is a promise that was broken.
type Breach struct {
	Promise Promise       `json:"promise"`
	Attempt string        `json:"attempt,omitempty"`
	At      time.Duration `json:"at"`
	Detail  string        `json:"detail"`
}

func (b Breach) String() string {
	return fmt.Sprintf("broken=%s at=%s attempt=%s detail=%q", b.Promise, b.At.Round(time.Millisecond), b.Attempt, b.Detail)
}

// request is one attempt of a caller.
type request struct {
	attempt  string
	route    *fulmardeal.Route // as the first configuration has it
	customer *fulmardeal.Customer
	key      string
	method   string
	path     string
	body     []byte
	entry    int
	sent     time.Time
	deadline time.Duration

	arrivals []time.Time
	runs     []string // ids of the endpoints
	refused  bool
}

// span is a time in which something was disturbed.
type span struct {
	scope    string // what: an entry, an endpoint, the store, or everything
	from, to time.Time
}

// scopeAll is the scope of what disturbs all processes.
const scopeAll = "all"

// wish is something that operators acknowledged: from then on only it holds.
type wish struct {
	at      time.Time
	subject string // a route, a key, a data centre, an endpoint
	service string // that the route goes to
	version int64
	ended   time.Time // when it was taken back
}

// Judge sees all that callers and endpoints see, and notes each broken promise.
// It is safe for concurrent use.
type Judge struct {
	regions map[string]string
	begun   time.Time

	mu        sync.Mutex
	requests  map[string]*request
	spans     []span
	moved     []wish
	taken     []wish
	evacuated []wish
	left      []wish
	named     []wish
	cold      map[string][]time.Time // arrivals at endpoints that are cold
	breaches  []Breach
	over      []Breach
	late      []Breach
	counts    Counts
}

// Counts say what a run did.
type Counts struct {
	Sent    int `json:"sent"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"` // without a promise
	Left    int `json:"left"`   // by the caller
	Runs    int `json:"runs"`
}

// NewJudge returns a judge of a run that begins now.
func NewJudge(regions map[string]string) *Judge {
	return &Judge{regions: regions, begun: time.Now(), requests: make(map[string]*request), cold: make(map[string][]time.Time)}
}

// note records a breach. The lock is held.
func (j *Judge) note(p Promise, attempt, format string, args ...any) {
	j.breaches = append(j.breaches, Breach{Promise: p, Attempt: attempt, At: time.Since(j.begun), Detail: fmt.Sprintf(format, args...)})
}

// Disturb notes that something is disturbed from now on; the returned function
// ends that.
func (j *Judge) Disturb(scope string) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	i := len(j.spans)
	j.spans = append(j.spans, span{scope: scope, from: time.Now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.spans[i].to = time.Now()
	}
}

// calm reports whether none of the scopes was disturbed, or shortly before,
// since a time. The lock is held.
func (j *Judge) calm(since time.Time, scopes ...string) bool {
	return !slices.ContainsFunc(j.spans, func(s span) bool {
		return (s.scope == scopeAll || slices.Contains(scopes, s.scope)) && (s.to.IsZero() || s.to.Add(boundContact).After(since))
	})
}

// quiet is calm for everything.
func (j *Judge) quiet(since time.Time) bool {
	return !slices.ContainsFunc(j.spans, func(s span) bool { return s.to.IsZero() || s.to.Add(boundContact).After(since) })
}

func entryScope(i int) string { return fmt.Sprintf("entry-%d", i) }

// Moved notes that a route goes to another service from now on.
func (j *Judge) Moved(route, service string, version int64) {
	j.wish(&j.moved, wish{subject: route, service: service, version: version})
}

// Taken notes that a key is no longer valid.
func (j *Judge) Taken(key string) { j.wish(&j.taken, wish{subject: key}) }

// Evacuated notes that a data centre is to get nothing; the returned function
// takes that back.
func (j *Judge) Evacuated(dataCentre string) func() {
	return j.wish(&j.evacuated, wish{subject: dataCentre})
}

// Left notes that an endpoint has said that it leaves.
func (j *Judge) Left(endpoint string) { j.wish(&j.left, wish{subject: endpoint}) }

// Named notes that a version of the weights was named.
func (j *Judge) Named(version int64) { j.wish(&j.named, wish{version: version}) }

func (j *Judge) wish(to *[]wish, w wish) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	w.at = time.Now()
	i := len(*to)
	*to = append(*to, w)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		(*to)[i].ended = time.Now()
	}
}

// overdue returns a wish of a subject that must have been in force for some time
// at a moment.
func overdue(wishes []wish, subject string, bound time.Duration, at time.Time) (wish, bool) {
	for _, w := range wishes {
		if w.subject == subject && w.ended.IsZero() && at.Sub(w.at) > bound {
			return w, true
		}
	}
	return wish{}, false
}

// send notes that a caller sends a request.
func (j *Judge) send(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[r.attempt] = r
	j.counts.Sent++
}

// Arrived checks a request that has reached an endpoint.
func (j *Judge) Arrived(a site.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[a.Attempt]
	if r == nil {
		j.note(PromiseUnchanged, a.Attempt, "no caller sent this attempt")
		return
	}
	r.arrivals = append(r.arrivals, a.Time)
	j.checkUnchanged(r, a)
	j.checkPlace(r, a)
	left := r.deadline - a.Time.Sub(r.sent)
	// A request that was held on its way says nothing about when it was sent.
	if a.Forward.Deadline > left+boundLate && j.calm(r.sent, entryScope(r.entry), a.Endpoint.Address) {
		j.note(PromiseDeadline, a.Attempt, "%v handed to %s with %v left", a.Forward.Deadline, a.Endpoint.ID, left)
	}
	if a.Endpoint.ColdLeft > 0 && a.Endpoint.Service == servicePlain {
		j.checkCold(a)
	}
}

func (j *Judge) checkUnchanged(r *request, a site.Arrival) {
	switch {
	case a.Key != "":
		j.note(PromiseUnchanged, a.Attempt, "the key was passed on to %s", a.Endpoint.ID)
	case a.Method != r.method || a.Path != r.path:
		j.note(PromiseUnchanged, a.Attempt, "%s %s became %s %s", r.method, r.path, a.Method, a.Path)
	case !bytes.Equal(a.Body, r.body):
		j.note(PromiseUnchanged, a.Attempt, "a body of %d bytes became another one of %d", len(r.body), len(a.Body))
	case a.Forward.Customer != r.customer.Name:
		j.note(PromiseUnchanged, a.Attempt, "sent by %s, passed on for %q", r.customer.Name, a.Forward.Customer)
	}
}

// checkPlace checks that the endpoint may get the request at this moment.
func (j *Judge) checkPlace(r *request, a site.Arrival) {
	region := j.regions[a.Endpoint.DataCentre]
	for _, homes := range [][]string{r.route.Homes, r.customer.Homes} {
		if len(homes) > 0 && !slices.Contains(homes, region) {
			j.note(PromiseHome, a.Attempt, "%s is in %s, the homes are %v", a.Endpoint.ID, region, homes)
		}
	}
	if w, is := overdue(j.taken, r.key, boundRevoke, r.sent); is {
		j.note(PromiseRevoked, a.Attempt, "sent %v after the key was taken", r.sent.Sub(w.at))
	}
	entry := entryScope(r.entry)
	if w, is := overdue(j.evacuated, a.Endpoint.DataCentre, boundEvacuate, a.Time); is && j.calm(w.at, entry) {
		j.note(PromiseEvacuated, a.Attempt, "%s got it %v after its data centre was taken out", a.Endpoint.ID, a.Time.Sub(w.at))
	}
	if w, is := overdue(j.left, a.Endpoint.ID, boundDrain, a.Time); is && j.calm(w.at, entry) {
		j.note(PromiseDrained, a.Attempt, "%s got it %v after it said that it leaves", a.Endpoint.ID, a.Time.Sub(w.at))
	}
	j.checkRoute(r, a)
}

// checkRoute checks the service: no configuration that may be in force allows
// any other.
func (j *Judge) checkRoute(r *request, a site.Arrival) {
	allowed := []string{r.route.Shares[0].Service}
	var since time.Time
	for _, w := range j.moved {
		if w.subject != r.route.Name {
			continue
		}
		if r.sent.Sub(w.at) > boundConfig && j.calm(w.at, entryScope(r.entry)) {
			allowed = nil
			since = w.at
		}
		allowed = append(allowed, w.service)
	}
	if slices.Contains(allowed, a.Endpoint.Service) {
		return
	}
	if since.IsZero() {
		j.note(PromiseRoute, a.Attempt, "%s of %s got it; allowed are %v", a.Endpoint.ID, a.Endpoint.Service, allowed)
		return
	}
	j.note(PromiseConfig, a.Attempt, "%s of %s got it %v after the route went to %v", a.Endpoint.ID, a.Endpoint.Service, r.sent.Sub(since), allowed)
}

// checkCold counts the requests that an endpoint gets while it is cold.
func (j *Judge) checkCold(a site.Arrival) {
	all := append(j.cold[a.Endpoint.ID], a.Time)
	all = slices.DeleteFunc(all, func(t time.Time) bool { return a.Time.Sub(t) > time.Second })
	j.cold[a.Endpoint.ID] = all
	if float64(len(all)) > coldRate*coldOver+coldSlack {
		j.note(PromiseCold, a.Attempt, "%s got %d in a second", a.Endpoint.ID, len(all))
	}
}

// Began checks a request that an endpoint runs.
func (j *Judge) Began(a site.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Runs++
	r := j.requests[a.Attempt]
	if r == nil {
		return // noted when it arrived
	}
	r.runs = append(r.runs, a.Endpoint.ID)
	if !r.route.Repeatable() {
		if len(r.runs) > 1 {
			j.note(PromiseOnce, a.Attempt, "ran at %v", r.runs)
		}
		if r.refused {
			j.note(PromiseRefusal, a.Attempt, "ran at %s after its refusal", a.Endpoint.ID)
		}
	}
	if len(r.runs) > r.route.Attempts {
		j.over = append(j.over, Breach{PromiseRepeats, a.Attempt, time.Since(j.begun), fmt.Sprintf("ran at %v, %d are allowed", r.runs, r.route.Attempts)})
	}
	if a.Incomplete {
		j.note(PromiseIntact, a.Attempt, "%s answers with weights that differ from version %d", a.Endpoint.ID, a.Version)
	}
	if a.Version > 0 {
		j.checkWeights(a)
	}
}

// checkWeights checks that no newer version has been named for too long. That
// time counts only when nothing was disturbed in it.
func (j *Judge) checkWeights(a site.Arrival) {
	for _, w := range j.named {
		if w.version > a.Version && a.Time.Sub(w.at) > boundWeights && j.quiet(w.at) {
			j.note(PromiseWeights, a.Attempt, "%s began on version %d, %v after version %d was named", a.Endpoint.ID, a.Version, a.Time.Sub(w.at), w.version)
			return
		}
	}
}

// Verdict returns what was done and what was broken.
func (j *Judge) Verdict() (Counts, []Breach) {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := slices.Clone(j.breaches)
	if len(j.over) > mostOverAttempts {
		out = append(out, j.over...)
	}
	if len(j.late) >= mostLate {
		out = append(out, j.late...)
	}
	out = append(out, j.repeats()...)
	slices.SortFunc(out, func(a, b Breach) int { return int(a.At - b.At) })
	return j.counts, out
}

// repeats checks the budget of repeats in windows that begin each half a second.
// The requests of a window are those of that one, the one before, or the one half
// a window before, whichever are most. The lock is held.
func (j *Judge) repeats() []Breach {
	const step = time.Second / 2
	const width = int(repeatEvery / step)
	var sent, again []int
	put := func(to *[]int, at time.Time) {
		i := int(at.Sub(j.begun) / step)
		for len(*to) <= i {
			*to = append(*to, 0)
		}
		(*to)[i]++
	}
	for _, r := range j.requests {
		put(&sent, r.sent)
		for _, at := range r.arrivals[min(1, len(r.arrivals)):] {
			put(&again, at)
		}
	}
	sum := func(of []int, from int) int {
		n := 0
		for i := max(0, from); i < min(len(of), from+width); i++ {
			n += of[i]
		}
		return n
	}
	for from := range again {
		requests := max(sum(sent, from), sum(sent, from-width), sum(sent, from-width/2))
		if n := sum(again, from); float64(n) > repeatRatio*float64(requests)+repeatExtra {
			return []Breach{{PromiseRepeats, "", time.Duration(from) * step, fmt.Sprintf("%d repeats of %d requests in %v", n, requests, repeatEvery)}}
		}
	}
	return nil
}
