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

// Promise names a guarantee of the system to callers, endpoints or operators.
type Promise string

// The guarantees that a run checks.
const (
	PromiseOnce      Promise = "at-most-once"    // a request that must not be repeated runs at most once
	PromiseRefusal   Promise = "true-refusal"    // a refused request has not run and never will
	PromiseWhole     Promise = "whole-answer"    // an answer is complete and signed for its attempt
	PromiseOrder     Promise = "whole-stream"    // no event is missing, duplicated, or from another run
	PromiseUnchanged Promise = "unchanged"       // endpoints receive what callers sent, without the key
	PromiseRoute     Promise = "route"           // only services that the configuration allows receive a request
	PromiseHome      Promise = "home"            // requests stay in their home regions
	PromiseRevoked   Promise = "revoked-key"     // requests with a revoked key no longer run
	PromiseConfig    Promise = "configuration"   // a new configuration takes effect in time
	PromiseEvacuated Promise = "evacuated"       // an evacuated data centre receives nothing
	PromiseDrained   Promise = "drained"         // a draining endpoint receives nothing
	PromiseWeights   Promise = "weights-version" // superseded weights are replaced in time
	PromiseIntact    Promise = "intact-weights"  // engines serve only weights that the origin published
	PromiseCold      Promise = "cold-rate"       // limit of the request rate of an endpoint that has just started
	PromiseRepeats   Promise = "repeat-budget"   // limit of retries: arrivals after the first of each request
	PromiseDeadline  Promise = "deadline"        // endpoints are given no more time than the request has left
	PromiseAnswered  Promise = "answered"        // requests are answered within the route's timeout
	PromiseAdmitted  Promise = "admitted"        // valid requests are not rejected as unauthorized, forbidden or not found
	PromiseGraceful  Promise = "graceful"        // planned stops interrupt no request, and processes exit with 0
	PromiseRecovery  Promise = "recovery"        // requests are served again after the faults
)

// Time limits of the guarantees. The settings of the processes carry those that
// the system itself keeps.
const (
	boundDrain    = 2 * time.Second
	boundGrace    = 8 * time.Second
	boundRevoke   = 5 * time.Second
	boundConfig   = 2 * time.Second
	boundEvacuate = 5 * time.Second
	boundWeights  = 8 * time.Second
	boundContact  = 3 * time.Second // how long after a fault its effects may last
	boundRecover  = 12 * time.Second
	boundCold     = 2 * time.Second
	boundLate     = 500 * time.Millisecond // tolerance of the checks of timeouts and deadlines

	repeatRatio = 0.2
	repeatExtra = 20.0
	repeatEvery = 10 * time.Second
	coldRate    = 20.0 // requests a second
	coldOver    = 1.5
	coldSlack   = 5.0

	// Single violations of these kinds are tolerated: they are reported only when
	// there are several.
	mostOverAttempts = 3
	mostLate         = 8
	recoveredPart    = 0.25 // of the share that was served before the faults
)

// Violation is one observed break of a guarantee.
type Violation struct {
	Promise Promise       `json:"promise"`
	Attempt string        `json:"attempt,omitempty"`
	At      time.Duration `json:"at"`
	Detail  string        `json:"detail"`
}

func (b Violation) String() string {
	return fmt.Sprintf("broken=%s at=%s attempt=%s detail=%q", b.Promise, b.At.Round(time.Millisecond), b.Attempt, b.Detail)
}

// request is a request of a caller, with what was observed of it.
type request struct {
	attempt  string
	route    *fulmardeal.Route // from the initial configuration
	customer *fulmardeal.Customer
	key      string
	method   string
	path     string
	body     []byte
	entry    int
	sent     time.Time
	deadline time.Duration

	arrivals []time.Time
	runs     []string // IDs of the endpoints that ran it
	refused  bool
}

// span is the interval in which a fault is in effect.
type span struct {
	scope    string // what the fault affects: a process, an endpoint, or all
	from, to time.Time
}

// scopeAll is the scope of faults that affect all processes.
const scopeAll = "all"

// requirement is a change that was acknowledged to operators and must take
// effect within a time limit.
type requirement struct {
	at      time.Time
	subject string // a route, key, data centre or endpoint
	service string // new service of the route
	version int64
	ended   time.Time // when it was reverted
}

// Checker compares what callers and endpoints observe with the guarantees and
// records violations. It is safe for concurrent use.
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
	cold       map[string][]time.Time // arrivals in the last second at each endpoint in slow start
	violations []Violation
	over       []Violation
	late       []Violation
	counts     Counts
}

// Counts are the numbers of requests by outcome, and of runs at endpoints.
type Counts struct {
	Sent    int `json:"sent"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"` // without a refusal that guarantees that they did not run
	Left    int `json:"left"`   // cancelled by the caller
	Runs    int `json:"runs"`
}

// NewChecker returns a Checker of a run that begins now. The map gives the region
// of each data centre.
func NewChecker(regions map[string]string) *Checker {
	return &Checker{regions: regions, begun: time.Now(), requests: make(map[string]*request), cold: make(map[string][]time.Time)}
}

// note records a violation. c.mu must be held.
func (c *Checker) note(p Promise, attempt, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: p, Attempt: attempt, At: time.Since(c.begun), Detail: fmt.Sprintf(format, args...)})
}

// Disturb records that a fault affects a scope from now on; the returned function
// records its end.
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

// calm reports whether no fault has affected the scopes since the given time, or
// shortly before it. c.mu must be held.
func (c *Checker) calm(since time.Time, scopes ...string) bool {
	return !slices.ContainsFunc(c.spans, func(s span) bool {
		return (s.scope == scopeAll || slices.Contains(scopes, s.scope)) && (s.to.IsZero() || s.to.Add(boundContact).After(since))
	})
}

// quiet is calm for all scopes. c.mu must be held.
func (c *Checker) quiet(since time.Time) bool {
	return !slices.ContainsFunc(c.spans, func(s span) bool { return s.to.IsZero() || s.to.Add(boundContact).After(since) })
}

func entryScope(i int) string { return fmt.Sprintf("entry-%d", i) }

// Moved records that a route goes to another service from now on.
func (c *Checker) Moved(route, service string, version int64) {
	c.requirement(&c.moved, requirement{subject: route, service: service, version: version})
}

// Taken records that a key has been revoked.
func (c *Checker) Taken(key string) { c.requirement(&c.taken, requirement{subject: key}) }

// Evacuated records that a data centre must not receive requests; the returned
// function reverts this.
func (c *Checker) Evacuated(dataCentre string) func() {
	return c.requirement(&c.evacuated, requirement{subject: dataCentre})
}

// Left records that an endpoint has announced that it is draining.
func (c *Checker) Left(endpoint string) { c.requirement(&c.left, requirement{subject: endpoint}) }

// Named records that a version of the weights was published.
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

// overdue returns a requirement on the subject that was acknowledged more than
// bound before the given time and has not been reverted.
func overdue(requirements []requirement, subject string, bound time.Duration, at time.Time) (requirement, bool) {
	for _, w := range requirements {
		if w.subject == subject && w.ended.IsZero() && at.Sub(w.at) > bound {
			return w, true
		}
	}
	return requirement{}, false
}

// send records that a caller sends a request.
func (c *Checker) send(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.attempt] = r
	c.counts.Sent++
}

// Arrived checks a request that an endpoint has received.
func (c *Checker) Arrived(a site.Arrival) {
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
	// A request that a fault delayed in transit arrives with less time left than
	// its deadline was computed for.
	if a.Forward.Deadline > left+boundLate && c.calm(r.sent, entryScope(r.entry), a.Endpoint.Address) {
		c.note(PromiseDeadline, a.Attempt, "%v handed to %s with %v left", a.Forward.Deadline, a.Endpoint.ID, left)
	}
	if a.Endpoint.ColdLeft > 0 && a.Endpoint.Service == servicePlain {
		c.checkCold(a)
	}
}

func (c *Checker) checkUnchanged(r *request, a site.Arrival) {
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

// checkPlace checks that the endpoint is allowed to receive the request now.
func (c *Checker) checkPlace(r *request, a site.Arrival) {
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

// checkRoute checks that some configuration that may be in effect routes the
// request to the endpoint's service.
func (c *Checker) checkRoute(r *request, a site.Arrival) {
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

// checkCold checks the request rate of an endpoint in slow start.
func (c *Checker) checkCold(a site.Arrival) {
	all := append(c.cold[a.Endpoint.ID], a.Time)
	all = slices.DeleteFunc(all, func(t time.Time) bool { return a.Time.Sub(t) > time.Second })
	c.cold[a.Endpoint.ID] = all
	if float64(len(all)) > coldRate*coldOver+coldSlack {
		c.note(PromiseCold, a.Attempt, "%s got %d in a second", a.Endpoint.ID, len(all))
	}
}

// Began checks a request that an endpoint starts to run.
func (c *Checker) Began(a site.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Runs++
	r := c.requests[a.Attempt]
	if r == nil {
		return // recorded when it arrived
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

// checkWeights checks that the endpoint does not serve a version whose successor
// was published longer ago than the limit, unless there were faults since then.
func (c *Checker) checkWeights(a site.Arrival) {
	for _, w := range c.named {
		if w.version > a.Version && a.Time.Sub(w.at) > boundWeights && c.quiet(w.at) {
			c.note(PromiseWeights, a.Attempt, "%s began on version %d, %v after version %d was named", a.Endpoint.ID, a.Version, a.Time.Sub(w.at), w.version)
			return
		}
	}
}

// Verdict returns the counts and the violations, in order of time.
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

// repeats checks the retry budget in sliding windows, which begin every half
// second. The budget of a window follows from the largest number of requests in
// that window, the one before it, or the one half a window earlier. c.mu must be
// held.
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
