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

// Guarantee names a guarantee of the system to callers, endpoints or operators.
type Guarantee string

// The guarantees that a run checks.
const (
	GuaranteeAtMostOnce     Guarantee = "at-most-once"    // a request that must not be repeated runs at most once
	GuaranteeTrueRefusal    Guarantee = "true-refusal"    // a refused request has not run and never will
	GuaranteeWholeAnswer    Guarantee = "whole-answer"    // an answer is complete and signed for its attempt
	GuaranteeWholeStream    Guarantee = "whole-stream"    // no event is missing, duplicated, or from another run
	GuaranteeUnchanged      Guarantee = "unchanged"       // endpoints receive what callers sent, without the key
	GuaranteeRoute          Guarantee = "route"           // only services that the configuration allows receive a request
	GuaranteeHome           Guarantee = "home"            // requests stay in their home regions
	GuaranteeRevokedKey     Guarantee = "revoked-key"     // requests with a revoked key no longer run
	GuaranteeConfiguration  Guarantee = "configuration"   // a new configuration takes effect in time
	GuaranteeEvacuated      Guarantee = "evacuated"       // an evacuated data centre receives no requests
	GuaranteeDrained        Guarantee = "drained"         // a draining endpoint receives no new requests
	GuaranteePaused         Guarantee = "paused"          // an endpoint that asks an entry for a pause receives no requests from it
	GuaranteeWeightsVersion Guarantee = "weights-version" // a published version of the weights replaces older ones in time
	GuaranteeIntactWeights  Guarantee = "intact-weights"  // engines serve only weights that the origin published
	GuaranteeLimit          Guarantee = "limit"           // an endpoint that names a limit gets no more requests from all entries together
	GuaranteeColdRate       Guarantee = "cold-rate"       // the request rate of an endpoint in its cold phase stays within its limit
	GuaranteeRetryBudget    Guarantee = "repeat-budget"   // retries, counted as arrivals after a request's first, stay within their budget
	GuaranteeDeadline       Guarantee = "deadline"        // endpoints are given no more time than the request has left
	GuaranteeAnswered       Guarantee = "answered"        // requests are answered within the route's timeout
	GuaranteeAdmitted       Guarantee = "admitted"        // valid requests are not rejected as unauthorized, forbidden or not found
	GuaranteeGraceful       Guarantee = "graceful"        // planned stops interrupt no request, and processes exit with 0
	GuaranteeUnbroken       Guarantee = "unbroken"        // a request that a sound endpoint runs is not given up before its time is up, nor left without an answer
	GuaranteeQuarantined    Guarantee = "quarantined"     // requests with a part that crashes endpoints are kept from them
	GuaranteeSound          Guarantee = "sound"           // no other request is refused for its parts
	GuaranteeGone           Guarantee = "gone"            // requests end when their callers have left
	GuaranteeRecovery       Guarantee = "recovery"        // requests are served again after the faults
)

// Limits that the checks apply. Those that fulmardeal.Bounds contains are also
// given to the processes, in their settings.
const (
	boundDrain    = 2 * time.Second        // from an endpoint's announcement that it drains to the last request that it receives
	boundGrace    = 8 * time.Second        // from SIGTERM to the exit of the process
	boundRevoke   = 5 * time.Second        // from the revocation of a key to the last request that is sent with it and runs
	boundConfig   = 2 * time.Second        // from the move of a route to the last request that is sent to its old service
	boundEvacuate = 5 * time.Second        // from the evacuation of a data centre to the last request that it receives
	boundWeights  = 8 * time.Second        // from the publication of a version to the last request that starts on an older one
	settleTime    = 3 * time.Second        // how long after a fault its effects may last
	boundRecover  = 12 * time.Second       // from the end of all faults until requests are served again
	coldPeriod    = 2 * time.Second        // length of the cold phase of plain endpoints after their start
	timeTolerance = 500 * time.Millisecond // tolerance of the checks of timeouts and deadlines

	// In each window the system may retry retryRatio of its requests, and
	// retryBurst more.
	retryRatio  = 0.2
	retryBurst  = 20.0
	retryWindow = 10 * time.Second

	// An endpoint in its cold phase may receive coldRate times coldRateTolerance
	// requests in a second, and coldRateBurst more.
	coldRate          = 20.0 // requests per second
	coldRateTolerance = 1.5
	coldRateBurst     = 5.0

	// Single violations of these two kinds are tolerated. All violations of a kind
	// are reported once a run has more than maxExcessRuns runs that exceed the
	// route's maximum number of attempts, or at least minLateAnswers requests
	// without an answer within the route's timeout.
	maxExcessRuns  = 3
	minLateAnswers = 8

	// recoveredShare is the served share of requests that is required after the
	// faults, relative to the share before them.
	recoveredShare = 0.25
)

// Violation is one observed violation of a guarantee.
type Violation struct {
	Guarantee Guarantee     `json:"promise"`
	Attempt   string        `json:"attempt,omitempty"`
	At        time.Duration `json:"at"` // time since the start of the run
	Detail    string        `json:"detail"`
}

func (v Violation) String() string {
	return fmt.Sprintf("broken=%s at=%s attempt=%s detail=%q", v.Guarantee, v.At.Round(time.Millisecond), v.Attempt, v.Detail)
}

// request is a request of a caller, and what callers and endpoints observed of it.
type request struct {
	attempt  string
	route    *fulmardeal.Route // route of the request, as in the initial configuration
	customer *fulmardeal.Customer
	key      string
	method   string
	path     string
	body     []byte
	entry    int // index of the entry that the request was sent to
	sent     time.Time
	deadline time.Duration // how long after sent the caller waits
	poison   string        // part of its prompt that crashes endpoints; empty for none

	arrivals  []time.Time       // times at which the request reached any endpoint
	addresses map[string]string // addresses of the endpoints that the request reached, by their IDs
	runs      []string          // IDs of the endpoints that ran the request
	refused   bool              // an answer guaranteed that the request has not run
	left      time.Time         // when the caller left; zero if it has not
	leave     string            // how the caller leaves; empty if it was not meant to
	spans     []*runSpan        // its runs, in the order of runs
}

// disturbance is the interval in which a fault is in effect.
type disturbance struct {
	scope    string // what the fault affects: a process, an endpoint, or all
	from, to time.Time
	link     bool // the fault is one of a link
}

// scopeAll is the scope of faults that affect all processes.
const scopeAll = "all"

// requirement is a change that was acknowledged to operators and must take
// effect within a time limit.
type requirement struct {
	at      time.Time
	subject string // the route, key, data centre or endpoint that changes; empty for a published version
	service string // for a moved route, the service that it was moved to; otherwise empty
	// For a published version of the weights, its number; for a moved route, the
	// version of the configuration that moved it; otherwise 0.
	version  int64
	reverted time.Time // time at which the change was reverted; zero while it is in effect
}

// Checker compares what callers and endpoints observe with the guarantees and
// records violations. It is safe for concurrent use.
type Checker struct {
	regions   map[string]string
	startTime time.Time

	mu           sync.Mutex
	requests     map[string]*request
	disturbances []disturbance
	routeMoves   []requirement
	revokedKeys  []requirement
	evacuations  []requirement
	draining     []requirement
	notices      []notice
	limits       []*limitRecord
	restarts     []restart
	published    []requirement
	poisoned     map[string]*poisonRecord
	coldArrivals map[string][]time.Time // arrivals in the last second at each endpoint in its cold phase
	violations   []Violation
	excessRuns   []Violation
	lateAnswers  []Violation
	gone         goneRecord
	counts       Counts
}

// Counts are the numbers of requests by outcome, and of runs at endpoints.
type Counts struct {
	Sent      int `json:"sent"`
	Served    int `json:"served"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"` // requests that failed, without an answer that guarantees that they did not run
	Cancelled int `json:"left"`   // requests cancelled by the caller
	Runs      int `json:"runs"`
}

// NewChecker returns a Checker of a run that begins now. The map gives the
// region of each data centre.
func NewChecker(regions map[string]string) *Checker {
	return &Checker{regions: regions, startTime: time.Now(), requests: make(map[string]*request), poisoned: make(map[string]*poisonRecord), coldArrivals: make(map[string][]time.Time)}
}

// record records a violation. c.mu must be held.
func (c *Checker) record(p Guarantee, attempt, format string, args ...any) {
	c.violations = append(c.violations, Violation{Guarantee: p, Attempt: attempt, At: time.Since(c.startTime), Detail: fmt.Sprintf(format, args...)})
}

// Disturb records that a fault affects a scope from now on; the returned
// function records its end.
func (c *Checker) Disturb(scope string) func() { return c.disturb(disturbance{scope: scope}) }

// DisturbLink is Disturb for a fault of the link of a process or endpoint.
func (c *Checker) DisturbLink(scope string) func() {
	return c.disturb(disturbance{scope: scope, link: true})
}

func (c *Checker) disturb(d disturbance) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.disturbances)
	d.from = time.Now()
	c.disturbances = append(c.disturbances, d)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disturbances[i].to = time.Now()
	}
}

// undisturbed reports whether no fault has affected any of the scopes since the
// given time, nor in the settleTime before it. c.mu must be held.
func (c *Checker) undisturbed(since time.Time, scopes ...string) bool {
	return c.unaffected(since, append(scopes, scopeAll)...)
}

// unaffected is undisturbed without faults of scopeAll, for what no fault of the store
// excuses. c.mu must be held.
func (c *Checker) unaffected(since time.Time, scopes ...string) bool {
	return !slices.ContainsFunc(c.disturbances, func(d disturbance) bool {
		return slices.Contains(scopes, d.scope) && (d.to.IsZero() || d.to.Add(settleTime).After(since))
	})
}

// allUndisturbed is undisturbed for all scopes. c.mu must be held.
func (c *Checker) allUndisturbed(since time.Time) bool {
	return !slices.ContainsFunc(c.disturbances, func(d disturbance) bool { return d.to.IsZero() || d.to.Add(settleTime).After(since) })
}

func entryScope(i int) string { return fmt.Sprintf("entry-%d", i) }

// Rerouted records that a route goes to another service from now on.
func (c *Checker) Rerouted(route, service string, version int64) {
	c.require(&c.routeMoves, requirement{subject: route, service: service, version: version})
}

// KeyRevoked records that a key has been revoked.
func (c *Checker) KeyRevoked(key string) { c.require(&c.revokedKeys, requirement{subject: key}) }

// Evacuated records that a data centre must not receive requests from now on. The
// returned function records that it may receive requests again.
func (c *Checker) Evacuated(dataCentre string) func() {
	return c.require(&c.evacuations, requirement{subject: dataCentre})
}

// Draining records that an endpoint has announced that it is draining.
func (c *Checker) Draining(endpoint string) { c.require(&c.draining, requirement{subject: endpoint}) }

// Published records that a version of the weights was published.
func (c *Checker) Published(version int64) { c.require(&c.published, requirement{version: version}) }

func (c *Checker) require(to *[]requirement, req requirement) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	req.at = time.Now()
	i := len(*to)
	*to = append(*to, req)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		(*to)[i].reverted = time.Now()
	}
}

// overdue looks for a requirement on the subject that has not been reverted and was
// acknowledged earlier than bound before the given time. It reports whether there
// is one.
func overdue(requirements []requirement, subject string, bound time.Duration, at time.Time) (requirement, bool) {
	for _, req := range requirements {
		if req.subject == subject && req.reverted.IsZero() && at.Sub(req.at) > bound {
			return req, true
		}
	}
	return requirement{}, false
}

// requestSent records that a caller sends a request.
func (c *Checker) requestSent(r *request) {
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
		c.record(GuaranteeUnchanged, a.Attempt, "received by an endpoint, but sent by no caller")
		return
	}
	r.arrivals = append(r.arrivals, a.Time)
	if r.addresses == nil {
		r.addresses = make(map[string]string)
	}
	r.addresses[a.Endpoint.ID] = a.Endpoint.Address
	c.checkUnmodified(r, a)
	c.checkDestination(r, a)
	c.checkNotices(r, a)
	c.checkLimit(r, a)
	c.checkPoison(r, a)
	c.checkArrivalAfterLeaving(r, a)
	left := r.deadline - a.Time.Sub(r.sent)
	// If a fault delayed the request in transit, less time is left than when the
	// entry computed the deadline, so the check would fail without a violation.
	if a.Forward.Deadline > left+timeTolerance && c.undisturbed(r.sent, entryScope(r.entry), a.Endpoint.Address) {
		c.record(GuaranteeDeadline, a.Attempt, "deadline of %v given to %s with %v left", a.Forward.Deadline, a.Endpoint.ID, left)
	}
	if a.Endpoint.ColdLeft > 0 && a.Endpoint.Service == servicePlain {
		c.checkCold(a)
	}
}

func (c *Checker) checkUnmodified(r *request, a site.ReceivedRequest) {
	switch {
	case a.Key != "":
		c.record(GuaranteeUnchanged, a.Attempt, "API key forwarded to %s", a.Endpoint.ID)
	case a.Method != r.method || a.Path != r.path:
		c.record(GuaranteeUnchanged, a.Attempt, "sent as %s %s, received as %s %s", r.method, r.path, a.Method, a.Path)
	case !bytes.Equal(a.Body, r.body):
		c.record(GuaranteeUnchanged, a.Attempt, "sent with a body of %d bytes, received with a different one of %d bytes", len(r.body), len(a.Body))
	case a.Forward.Customer != r.customer.Name:
		c.record(GuaranteeUnchanged, a.Attempt, "sent by customer %s, forwarded as of customer %q", r.customer.Name, a.Forward.Customer)
	}
}

// checkDestination checks that the endpoint is allowed to receive the request
// now.
func (c *Checker) checkDestination(r *request, a site.ReceivedRequest) {
	region := c.regions[a.Endpoint.DataCentre]
	for _, homes := range [][]string{r.route.Homes, r.customer.Homes} {
		if len(homes) > 0 && !slices.Contains(homes, region) {
			c.record(GuaranteeHome, a.Attempt, "received by %s in region %s, home regions are %v", a.Endpoint.ID, region, homes)
		}
	}
	if req, late := overdue(c.revokedKeys, r.key, boundRevoke, r.sent); late {
		c.record(GuaranteeRevokedKey, a.Attempt, "sent %v after its key was revoked", r.sent.Sub(req.at))
	}
	entry := entryScope(r.entry)
	if req, late := overdue(c.evacuations, a.Endpoint.DataCentre, boundEvacuate, a.Time); late && c.undisturbed(req.at, entry) {
		c.record(GuaranteeEvacuated, a.Attempt, "received by %s %v after its data centre was evacuated", a.Endpoint.ID, a.Time.Sub(req.at))
	}
	if req, late := overdue(c.draining, a.Endpoint.ID, boundDrain, a.Time); late && c.undisturbed(req.at, entry) {
		c.record(GuaranteeDrained, a.Attempt, "received by %s %v after it announced that it was draining", a.Endpoint.ID, a.Time.Sub(req.at))
	}
	c.checkRoute(r, a)
}

// checkRoute checks that the request may be routed to the endpoint's service. After a
// route is moved, its old and its new service are both allowed for some time.
func (c *Checker) checkRoute(r *request, a site.ReceivedRequest) {
	allowed := []string{r.route.Shares[0].Service}
	var since time.Time
	for _, move := range c.routeMoves {
		if move.subject != r.route.Name {
			continue
		}
		if r.sent.Sub(move.at) > boundConfig && c.undisturbed(move.at, entryScope(r.entry)) {
			allowed = nil
			since = move.at
		}
		allowed = append(allowed, move.service)
	}
	if slices.Contains(allowed, a.Endpoint.Service) {
		return
	}
	if since.IsZero() {
		c.record(GuaranteeRoute, a.Attempt, "received by %s of service %s, allowed services are %v", a.Endpoint.ID, a.Endpoint.Service, allowed)
		return
	}
	c.record(GuaranteeConfiguration, a.Attempt, "received by %s of service %s %v after the route was moved to %v", a.Endpoint.ID, a.Endpoint.Service, r.sent.Sub(since), allowed)
}

// checkCold checks the request rate of an endpoint in its cold phase.
func (c *Checker) checkCold(a site.ReceivedRequest) {
	all := append(c.coldArrivals[a.Endpoint.ID], a.Time)
	all = slices.DeleteFunc(all, func(t time.Time) bool { return a.Time.Sub(t) > time.Second })
	c.coldArrivals[a.Endpoint.ID] = all
	if float64(len(all)) > coldRate*coldRateTolerance+coldRateBurst {
		c.record(GuaranteeColdRate, a.Attempt, "%s received %d requests in a second of its cold phase", a.Endpoint.ID, len(all))
	}
}

// RequestStarted checks a request that an endpoint runs.
func (c *Checker) RequestStarted(a site.ReceivedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Runs++
	r := c.requests[a.Attempt]
	if r == nil {
		return // RequestReceived has recorded the violation
	}
	r.runs = append(r.runs, a.Endpoint.ID)
	r.spans = append(r.spans, &runSpan{endpoint: a.Endpoint.ID, address: a.Endpoint.Address, from: a.Time, expected: a.Expected})
	if !r.route.Repeatable() {
		if len(r.runs) > 1 {
			c.record(GuaranteeAtMostOnce, a.Attempt, "ran more than once, at %v", r.runs)
		}
		if r.refused {
			c.record(GuaranteeTrueRefusal, a.Attempt, "ran at %s after it had been refused", a.Endpoint.ID)
		}
	}
	if len(r.runs) > r.route.Attempts {
		c.excessRuns = append(c.excessRuns, Violation{GuaranteeRetryBudget, a.Attempt, time.Since(c.startTime), fmt.Sprintf("ran at %v, maximum is %d attempts", r.runs, r.route.Attempts)})
	}
	if a.Incomplete {
		c.record(GuaranteeIntactWeights, a.Attempt, "%s runs it with weights that differ from version %d", a.Endpoint.ID, a.Version)
	}
	if a.Version > 0 {
		c.checkWeights(r, a)
	}
}

// Verdict returns the counts and the violations, in order of time.
func (c *Checker) Verdict() (Counts, []Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.violations)
	if len(c.excessRuns) > maxExcessRuns {
		out = append(out, c.excessRuns...)
	}
	if len(c.lateAnswers) >= minLateAnswers {
		out = append(out, c.lateAnswers...)
	}
	out = append(out, c.checkGone()...)
	out = append(out, c.checkRetryBudget()...)
	slices.SortFunc(out, func(a, b Violation) int { return int(a.At - b.At) })
	return c.counts, out
}

// checkRetryBudget checks the retry budget in sliding windows of length retryWindow,
// one of which begins every half second. The budget of a window is a share of the
// number of requests in that window, in the one before it, or in the one half a
// window earlier, whichever number is largest. c.mu must be held.
func (c *Checker) checkRetryBudget() []Violation {
	const step = time.Second / 2
	const width = int(retryWindow / step)
	var sent, retries []int
	count := func(to *[]int, at time.Time) {
		i := int(at.Sub(c.startTime) / step)
		for len(*to) <= i {
			*to = append(*to, 0)
		}
		(*to)[i]++
	}
	for _, r := range c.requests {
		count(&sent, r.sent)
		for _, at := range r.arrivals[min(1, len(r.arrivals)):] {
			count(&retries, at)
		}
	}
	sum := func(counts []int, from int) int {
		n := 0
		for i := max(0, from); i < min(len(counts), from+width); i++ {
			n += counts[i]
		}
		return n
	}
	for from := range retries {
		requests := max(sum(sent, from), sum(sent, from-width), sum(sent, from-width/2))
		if n := sum(retries, from); float64(n) > retryRatio*float64(requests)+retryBurst {
			return []Violation{{GuaranteeRetryBudget, "", time.Duration(from) * step, fmt.Sprintf("%d retries of %d requests in %v", n, requests, retryWindow)}}
		}
	}
	return nil
}
