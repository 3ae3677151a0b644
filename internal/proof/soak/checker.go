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

	// Some violations count only when there are several.
	mostOverAttempts = 3
	mostLate         = 8
	recoveredPart    = 0.25 // of what was served before the faults
)

// Violation is a promise that was broken.
type Violation struct {
	Promise Promise       `json:"promise"`
	Attempt string        `json:"attempt,omitempty"`
	At      time.Duration `json:"at"`
	Detail  string        `json:"detail"`
}

func (b Violation) String() string {
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

// requirement is something that operators acknowledged: from then on only it holds.
type requirement struct {
	at      time.Time
	subject string // a route, a key, a data centre, an endpoint
	service string // that the route goes to
	version int64
	ended   time.Time // when it was taken back
}

// Checker sees all that callers and endpoints see, and notes each broken promise.
// It is safe for concurrent use.
type Checker struct {
	regions map[string]string
	begun   time.Time

	mu         sync.Mutex
	requests   map[string]*request
	spans      []span
	moved      []requirement
	taken      []requirement
	evacuated  []requirement
	left       []requirement
	named      []requirement
	cold       map[string][]time.Time // arrivals at endpoints that are cold
	violations []Violation
	over       []Violation
	late       []Violation
	counts     Counts
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

// NewChecker returns a checker of a run that begins now.
func NewChecker(regions map[string]string) *Checker {
	return &Checker{regions: regions, begun: time.Now(), requests: make(map[string]*request), cold: make(map[string][]time.Time)}
}

// note records a violation. The lock is held.
func (c *Checker) note(p Promise, attempt, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: p, Attempt: attempt, At: time.Since(c.begun), Detail: fmt.Sprintf(format, args...)})
}

// Disturb notes that something is disturbed from now on; the returned function
// ends that.
func (c *Checker) Disturb(scope string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.spans)
	c.spans = append(c.spans, span{scope: scope, from: time.Now()})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.spans[i].to = time.Now()
	}
}

// calm reports whether none of the scopes was disturbed, or shortly before,
// since a time. The lock is held.
func (c *Checker) calm(since time.Time, scopes ...string) bool {
	return !slices.ContainsFunc(c.spans, func(s span) bool {
		return (s.scope == scopeAll || slices.Contains(scopes, s.scope)) && (s.to.IsZero() || s.to.Add(boundContact).After(since))
	})
}

// quiet is calm for everything.
func (c *Checker) quiet(since time.Time) bool {
	return !slices.ContainsFunc(c.spans, func(s span) bool { return s.to.IsZero() || s.to.Add(boundContact).After(since) })
}

func entryScope(i int) string { return fmt.Sprintf("entry-%d", i) }

// Moved notes that a route goes to another service from now on.
func (c *Checker) Moved(route, service string, version int64) {
	c.requirement(&c.moved, requirement{subject: route, service: service, version: version})
}

// Taken notes that a key is no longer valid.
func (c *Checker) Taken(key string) { c.requirement(&c.taken, requirement{subject: key}) }

// Evacuated notes that a data centre is to get nothing; the returned function
// takes that back.
func (c *Checker) Evacuated(dataCentre string) func() {
	return c.requirement(&c.evacuated, requirement{subject: dataCentre})
}

// Left notes that an endpoint has said that it leaves.
func (c *Checker) Left(endpoint string) { c.requirement(&c.left, requirement{subject: endpoint}) }

// Named notes that a version of the weights was named.
func (c *Checker) Named(version int64) { c.requirement(&c.named, requirement{version: version}) }

func (c *Checker) requirement(to *[]requirement, w requirement) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.at = time.Now()
	i := len(*to)
	*to = append(*to, w)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		(*to)[i].ended = time.Now()
	}
}

// overdue returns a requirement of a subject that must have been in force for some time
// at a moment.
func overdue(requirements []requirement, subject string, bound time.Duration, at time.Time) (requirement, bool) {
	for _, w := range requirements {
		if w.subject == subject && w.ended.IsZero() && at.Sub(w.at) > bound {
			return w, true
		}
	}
	return requirement{}, false
}

// send notes that a caller sends a request.
func (c *Checker) send(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.attempt] = r
	c.counts.Sent++
}

// RequestReceived checks a request that has reached an endpoint.
func (c *Checker) RequestReceived(a site.ReceivedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.Attempt]
	if r == nil {
		c.note(PromiseUnchanged, a.Attempt, "no caller sent this attempt")
		return
	}
	r.arrivals = append(r.arrivals, a.Time)
	c.checkUnchanged(r, a)
	c.checkPlace(r, a)
	left := r.deadline - a.Time.Sub(r.sent)
	// A request that was held on its way says nothing about when it was sent.
	if a.Forward.Deadline > left+boundLate && c.calm(r.sent, entryScope(r.entry), a.Endpoint.Address) {
		c.note(PromiseDeadline, a.Attempt, "%v handed to %s with %v left", a.Forward.Deadline, a.Endpoint.ID, left)
	}
	if a.Endpoint.ColdLeft > 0 && a.Endpoint.Service == servicePlain {
		c.checkCold(a)
	}
}

func (c *Checker) checkUnchanged(r *request, a site.ReceivedRequest) {
	switch {
	case a.Key != "":
		c.note(PromiseUnchanged, a.Attempt, "the key was passed on to %s", a.Endpoint.ID)
	case a.Method != r.method || a.Path != r.path:
		c.note(PromiseUnchanged, a.Attempt, "%s %s became %s %s", r.method, r.path, a.Method, a.Path)
	case !bytes.Equal(a.Body, r.body):
		c.note(PromiseUnchanged, a.Attempt, "a body of %d bytes became another one of %d", len(r.body), len(a.Body))
	case a.Forward.Customer != r.customer.Name:
		c.note(PromiseUnchanged, a.Attempt, "sent by %s, passed on for %q", r.customer.Name, a.Forward.Customer)
	}
}

// checkPlace checks that the endpoint may get the request at this moment.
func (c *Checker) checkPlace(r *request, a site.ReceivedRequest) {
	region := c.regions[a.Endpoint.DataCentre]
	for _, homes := range [][]string{r.route.Homes, r.customer.Homes} {
		if len(homes) > 0 && !slices.Contains(homes, region) {
			c.note(PromiseHome, a.Attempt, "%s is in %s, the homes are %v", a.Endpoint.ID, region, homes)
		}
	}
	if w, is := overdue(c.taken, r.key, boundRevoke, r.sent); is {
		c.note(PromiseRevoked, a.Attempt, "sent %v after the key was taken", r.sent.Sub(w.at))
	}
	entry := entryScope(r.entry)
	if w, is := overdue(c.evacuated, a.Endpoint.DataCentre, boundEvacuate, a.Time); is && c.calm(w.at, entry) {
		c.note(PromiseEvacuated, a.Attempt, "%s got it %v after its data centre was taken out", a.Endpoint.ID, a.Time.Sub(w.at))
	}
	if w, is := overdue(c.left, a.Endpoint.ID, boundDrain, a.Time); is && c.calm(w.at, entry) {
		c.note(PromiseDrained, a.Attempt, "%s got it %v after it said that it leaves", a.Endpoint.ID, a.Time.Sub(w.at))
	}
	c.checkRoute(r, a)
}

// checkRoute checks the service: no configuration that may be in force allows
// any other.
func (c *Checker) checkRoute(r *request, a site.ReceivedRequest) {
	allowed := []string{r.route.Shares[0].Service}
	var since time.Time
	for _, w := range c.moved {
		if w.subject != r.route.Name {
			continue
		}
		if r.sent.Sub(w.at) > boundConfig && c.calm(w.at, entryScope(r.entry)) {
			allowed = nil
			since = w.at
		}
		allowed = append(allowed, w.service)
	}
	if slices.Contains(allowed, a.Endpoint.Service) {
		return
	}
	if since.IsZero() {
		c.note(PromiseRoute, a.Attempt, "%s of %s got it; allowed are %v", a.Endpoint.ID, a.Endpoint.Service, allowed)
		return
	}
	c.note(PromiseConfig, a.Attempt, "%s of %s got it %v after the route went to %v", a.Endpoint.ID, a.Endpoint.Service, r.sent.Sub(since), allowed)
}

// checkCold counts the requests that an endpoint gets while it is cold.
func (c *Checker) checkCold(a site.ReceivedRequest) {
	all := append(c.cold[a.Endpoint.ID], a.Time)
	all = slices.DeleteFunc(all, func(t time.Time) bool { return a.Time.Sub(t) > time.Second })
	c.cold[a.Endpoint.ID] = all
	if float64(len(all)) > coldRate*coldOver+coldSlack {
		c.note(PromiseCold, a.Attempt, "%s got %d in a second", a.Endpoint.ID, len(all))
	}
}

// RequestStarted checks a request that an endpoint runs.
func (c *Checker) RequestStarted(a site.ReceivedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Runs++
	r := c.requests[a.Attempt]
	if r == nil {
		return // noted when it arrived
	}
	r.runs = append(r.runs, a.Endpoint.ID)
	if !r.route.Repeatable() {
		if len(r.runs) > 1 {
			c.note(PromiseOnce, a.Attempt, "ran at %v", r.runs)
		}
		if r.refused {
			c.note(PromiseRefusal, a.Attempt, "ran at %s after its refusal", a.Endpoint.ID)
		}
	}
	if len(r.runs) > r.route.Attempts {
		c.over = append(c.over, Violation{PromiseRepeats, a.Attempt, time.Since(c.begun), fmt.Sprintf("ran at %v, %d are allowed", r.runs, r.route.Attempts)})
	}
	if a.Incomplete {
		c.note(PromiseIntact, a.Attempt, "%s answers with weights that differ from version %d", a.Endpoint.ID, a.Version)
	}
	if a.Version > 0 {
		c.checkWeights(a)
	}
}

// checkWeights checks that no newer version has been named for too long. That
// time counts only when nothing was disturbed in it.
func (c *Checker) checkWeights(a site.ReceivedRequest) {
	for _, w := range c.named {
		if w.version > a.Version && a.Time.Sub(w.at) > boundWeights && c.quiet(w.at) {
			c.note(PromiseWeights, a.Attempt, "%s began on version %d, %v after version %d was named", a.Endpoint.ID, a.Version, a.Time.Sub(w.at), w.version)
			return
		}
	}
}

// Verdict returns what was done and what was broken.
func (c *Checker) Verdict() (Counts, []Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.violations)
	if len(c.over) > mostOverAttempts {
		out = append(out, c.over...)
	}
	if len(c.late) >= mostLate {
		out = append(out, c.late...)
	}
	out = append(out, c.repeats()...)
	slices.SortFunc(out, func(a, b Violation) int { return int(a.At - b.At) })
	return c.counts, out
}

// repeats checks the budget of repeats in windows that begin each half a second.
// The requests of a window are those of that one, the one before, or the one half
// a window before, whichever are most. The lock is held.
func (c *Checker) repeats() []Violation {
	const step = time.Second / 2
	const width = int(repeatEvery / step)
	var sent, again []int
	put := func(to *[]int, at time.Time) {
		i := int(at.Sub(c.begun) / step)
		for len(*to) <= i {
			*to = append(*to, 0)
		}
		(*to)[i]++
	}
	for _, r := range c.requests {
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
			return []Violation{{PromiseRepeats, "", time.Duration(from) * step, fmt.Sprintf("%d repeats of %d requests in %v", n, requests, repeatEvery)}}
		}
	}
	return nil
}
