// Package choice implements the load balancing of an entry: it picks the
// endpoint for each request.
//
// An entry's view of endpoint load is stale, because load reports lag and other
// entries send requests too. The table therefore adds the requests that the
// entry has sent since each agent's last report, compares two random candidates
// instead of picking the best of all, and prefers the endpoint that has the
// request's prefix cached only while that endpoint is not much busier than the
// rest. A pick is not binding: the agent refuses requests above its limit.
package choice

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/label"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/traffic/attempt"
)

// Policy is a load-balancing policy.
type Policy string

// Policies. The first two are baselines for benchmarks.
const (
	PolicyRandom        Policy = "random"
	PolicyLeastRequests Policy = "least" // fewest requests of this entry in progress
	PolicyTwoChoices    Policy = "ours"  // nearest data centre, cached prefix, power of two choices
)

const (
	// An entry uses a subset of a large service's endpoints, so that neither the
	// number of connections nor the time of a pick grows with the fleet. These
	// are the sizes of the subset in the entry's own data centre, in the rest of
	// its region and in other regions.
	dataCentreSubset = 40
	regionSubset     = 16
	remoteSubset     = 8

	// affinityMargin is how much higher the utilisation of the endpoint with the
	// cached prefix may be than that of the alternative endpoint. Utilisation is
	// a fraction of an endpoint's limit.
	affinityMargin = 0.25

	// spilloverUtilisation is the utilisation at which an endpoint counts as
	// full. When all endpoints of a tier are full, requests go to the next,
	// farther tier.
	spilloverUtilisation = 0.95

	// maxReportAge is the age above which an agent's load report is ignored.
	maxReportAge = 5 * time.Second

	// deliveryTime is the time that a request may take to reach its agent. If a
	// load report arrives within deliveryTime after a request was sent, the
	// report may not include that request, so the request is added to it.
	deliveryTime = 5 * time.Millisecond

	// unavailableTime is how long an endpoint is avoided after its agent has
	// refused to serve for now. An update of the member list usually arrives
	// sooner.
	unavailableTime = 300 * time.Millisecond

	// Bounds of the exponential backoff after failures of an endpoint.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// endpoint is the state that an entry keeps of one endpoint.
type endpoint struct {
	instance         fulmardeal.Instance
	serving          fulmardeal.Version
	labels           label.Set
	inProgress       int              // requests of this entry in progress
	unreported       []time.Time      // send times of requests that the last load report may not include
	completed        int              // requests of this entry that have ended since the last load report
	report           attempt.Capacity // the last load report
	reportedAt       time.Time        // when the last load report arrived
	unavailableUntil time.Time        // the endpoint is avoided until this time, after a refusal by its agent
	backoffUntil     time.Time        // the endpoint is avoided until this time, after a failure
	failures         int              // number of failures since the last load report
}

// utilisation estimates the used part of the endpoint's limit, and its free
// capacity in requests. Without a recent load report it assumes a limit of 4 and
// free capacity for one request.
func (e *endpoint) utilisation(now time.Time) (utilisation, free float64) {
	if e.report.Limit == 0 || now.Sub(e.reportedAt) > maxReportAge {
		return float64(e.inProgress) / 4, 1
	}
	running := float64(max(e.report.Running+len(e.unreported)-e.completed, e.inProgress))
	limit := float64(e.report.Limit)
	return running / limit, limit - running
}

// sentWithin removes the send times older than d from e.unreported in place. It
// returns the rest, which the caller must assign to e.unreported.
func (e *endpoint) sentWithin(now time.Time, d time.Duration) []time.Time {
	return slices.DeleteFunc(e.unreported, func(t time.Time) bool { return now.Sub(t) > d })
}

// Criteria holds what the choice of a request's endpoint depends on.
type Criteria struct {
	Customer configuration.Customer
	Service  string
	Model    string   // the model's name, empty for services without a model
	Prefix   string   // requests with the same prefix profit from the same endpoint's cache
	Tried    []string // incarnations of endpoints that were tried already and are excluded
	Prefer   string   // incarnation of an endpoint that is known to have free capacity; empty if none is
}

// Pick is the endpoint picked for a request, and the weights that it served at
// that time.
type Pick struct {
	Instance fulmardeal.Instance
	Serving  fulmardeal.Version
}

// Table is an entry's view of the endpoints. It is safe for concurrent use.
type Table struct {
	mu         sync.Mutex
	dataCentre string
	region     string
	name       string
	policy     Policy
	rng        *rand.Rand
	endpoints  map[string]*endpoint // by incarnation
	sorted     []*endpoint          // the same endpoints, sorted by name
	config     *configuration.Configuration
	pools      map[poolKey][]*endpoint // cached results of the method pool, cleared by Refresh
}

// poolKey holds the parts of a request's Criteria that the result of the method
// pool depends on.
type poolKey struct {
	customer string
	service  string
	model    string
}

// NewTable returns an empty table for the entry called name. The seed fixes the
// random picks.
func NewTable(name, dataCentre, region string, p Policy, seed uint64) *Table {
	return &Table{
		name:       name,
		dataCentre: dataCentre,
		region:     region,
		policy:     p,
		rng:        rand.New(rand.NewPCG(seed, 2)),
		endpoints:  make(map[string]*endpoint),
		pools:      make(map[poolKey][]*endpoint),
	}
}

// Refresh replaces the members, which must be sorted by name, and the
// configuration. The load state of endpoints that remain is kept. Their labels
// are evaluated again only when the configuration has changed.
func (t *Table) Refresh(members []membership.Member, c *configuration.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameConfig := t.config == c
	t.config = c
	previous := t.endpoints
	t.endpoints = make(map[string]*endpoint, len(members))
	t.pools = make(map[poolKey][]*endpoint)
	t.sorted = make([]*endpoint, 0, len(members))
	for _, m := range members {
		in := m.Instance()
		if in.Role != fulmardeal.RoleAgent {
			continue
		}
		e, known := previous[in.Incarnation]
		if !known {
			e = &endpoint{}
		}
		if c != nil && !(known && sameConfig) {
			e.labels = c.EndpointLabels(in)
		}
		e.update(m)
		t.endpoints[in.Incarnation] = e
		t.sorted = append(t.sorted, e)
	}
}

// update applies the endpoint's state in the member list. A suspected member is
// avoided as after a failure.
func (e *endpoint) update(m membership.Member) {
	e.instance, e.serving = m.Instance(), m.Serving()
	if m.State() == membership.Suspect && e.backoffUntil.IsZero() {
		e.backoffUntil = time.Now().Add(minBackoff)
	}
}

// Pick returns the endpoint to try next, and counts the request as in progress
// there until Release is called. It reports false when there is no candidate.
func (t *Table) Pick(now time.Time, want Criteria) (Pick, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(now, want)
	if len(candidates) == 0 {
		return Pick{}, false
	}

	var e *endpoint
	switch t.policy {
	case PolicyRandom:
		e = candidates[t.rng.IntN(len(candidates))]
	case PolicyLeastRequests:
		e = leastInProgress(candidates)
	default:
		e = t.pickTwoChoices(now, candidates, want)
	}
	e.inProgress++
	e.unreported = append(e.sentWithin(now, maxReportAge), now)
	return Pick{Instance: e.instance, Serving: e.serving}, true
}

// candidates returns the endpoints that may take the request. Endpoints that are
// to be avoided after a failure or a refusal are returned only when there is no
// other.
func (t *Table) candidates(now time.Time, want Criteria) []*endpoint {
	var available, avoided []*endpoint
	for _, e := range t.pool(want) {
		if slices.Contains(want.Tried, e.instance.Incarnation) {
			continue
		}
		if now.Before(e.backoffUntil) || now.Before(e.unavailableUntil) {
			avoided = append(avoided, e)
			continue
		}
		available = append(available, e)
	}
	if len(available) == 0 {
		return avoided
	}
	return available
}

// pool returns the endpoints that this entry uses for a customer's requests to
// a service or model. The result is cached until the next Refresh.
func (t *Table) pool(want Criteria) []*endpoint {
	key := poolKey{customer: want.Customer.Name(), service: want.Service, model: want.Model}
	if p, known := t.pools[key]; known {
		return p
	}
	var tiers [tierCount][]*endpoint
	for _, e := range t.sorted {
		if t.eligible(e, want) {
			i := t.tier(e)
			tiers[i] = append(tiers[i], e)
		}
	}
	p := t.subset(tiers[tierDataCentre], dataCentreSubset, want.Service)
	p = append(p, t.subset(tiers[tierRegion], regionSubset, want.Service)...)
	p = append(p, t.subset(tiers[tierRemote], remoteSubset, want.Service)...)
	t.pools[key] = p
	return p
}

// eligible reports whether an endpoint serves the service and model, is neither
// leaving nor in a data centre that is out of service, and is allowed to the
// customer by the traffic rules.
func (t *Table) eligible(e *endpoint, want Criteria) bool {
	if e.instance.Service != want.Service || e.serving.Model != want.Model || e.instance.Leaving {
		return false
	}
	if t.config == nil || t.config.IsOutOfService(e.instance.DataCentre) {
		return false
	}
	return t.config.Allowed(want.Customer, e.labels)
}

// Tiers of distance from the entry.
const (
	tierDataCentre = iota // the entry's data centre
	tierRegion            // other data centres of the entry's region
	tierRemote            // other regions
	tierCount
)

func (t *Table) tier(e *endpoint) int {
	switch {
	case e.instance.DataCentre == t.dataCentre:
		return tierDataCentre
	case e.instance.Region == t.region:
		return tierRegion
	}
	return tierRemote
}

// subset returns at most n endpoints: those with the highest rendezvous hashes
// for this entry, so that entries use different subsets and a change of members
// moves few of them.
func (t *Table) subset(all []*endpoint, n int, service string) []*endpoint {
	if len(all) <= n {
		return all
	}
	key := t.name + "/" + service
	out := slices.Clone(all)
	slices.SortFunc(out, func(a, b *endpoint) int {
		x, y := membership.Score(key, a.instance.Incarnation), membership.Score(key, b.instance.Incarnation)
		return cmp.Compare(y, x)
	})
	return out[:n]
}

func leastInProgress(candidates []*endpoint) *endpoint {
	best := candidates[0]
	for _, e := range candidates[1:] {
		if e.inProgress < best.inProgress {
			best = e
		}
	}
	return best
}

// nearestTier returns the candidates of the nearest tier in which at least one
// endpoint has free capacity. When no tier has one, it returns all candidates.
func (t *Table) nearestTier(now time.Time, all []*endpoint) []*endpoint {
	var tiers [tierCount][]*endpoint
	for _, e := range all {
		i := t.tier(e)
		tiers[i] = append(tiers[i], e)
	}
	for _, tier := range tiers {
		for _, e := range tier {
			used, free := e.utilisation(now)
			if used < spilloverUtilisation && free >= 1 {
				return tier
			}
		}
	}
	return all
}

// pickTwoChoices implements PolicyTwoChoices. A request that has been tried
// elsewhere goes to the least loaded endpoint of all tiers.
func (t *Table) pickTwoChoices(now time.Time, candidates []*endpoint, want Criteria) *endpoint {
	for _, e := range candidates {
		if e.instance.Incarnation == want.Prefer {
			return e
		}
	}
	if len(want.Tried) > 0 {
		e, _ := t.leastLoaded(now, candidates)
		return e
	}
	return t.pickOfTwo(now, t.nearestTier(now, candidates), want.Prefix)
}

// pickOfTwo returns the less loaded of two random candidates. If neither has free
// capacity, it takes the least loaded of all candidates instead. The endpoint with
// the cached prefix is preferred to that endpoint if it has free capacity and its
// utilisation is higher by at most affinityMargin.
func (t *Table) pickOfTwo(now time.Time, candidates []*endpoint, prefix string) *endpoint {
	a := candidates[t.rng.IntN(len(candidates))]
	b := candidates[t.rng.IntN(len(candidates))]
	usedA, freeA := a.utilisation(now)
	usedB, _ := b.utilisation(now)
	if usedB < usedA {
		a, usedA = b, usedB
		_, freeA = b.utilisation(now)
	}
	if freeA < 1 {
		a, usedA = t.leastLoaded(now, candidates)
	}
	if prefix == "" {
		return a
	}

	cached := affinityEndpoint(candidates, prefix)
	used, free := cached.utilisation(now)
	if free >= 1 && used <= usedA+affinityMargin {
		return cached
	}
	return a
}

// leastLoaded returns the least loaded candidate and its utilisation. It is used
// only for retries and when two random candidates have no free capacity. If it
// were used for every request, entries would send all requests between two load
// reports to the same endpoint.
func (t *Table) leastLoaded(now time.Time, candidates []*endpoint) (*endpoint, float64) {
	start := t.rng.IntN(len(candidates))
	best := candidates[start]
	least, _ := best.utilisation(now)
	for i := range candidates {
		e := candidates[(start+i)%len(candidates)]
		if used, _ := e.utilisation(now); used < least {
			best, least = e, used
		}
	}
	return best, least
}

// affinityEndpoint returns the preferred endpoint for requests with the given
// prefix: the candidate with the highest rendezvous hash for it. Earlier requests
// went there too, so it probably has the prefix cached.
func affinityEndpoint(candidates []*endpoint, prefix string) *endpoint {
	best := candidates[0]
	highest := membership.Score(prefix, best.instance.Name)
	for _, e := range candidates[1:] {
		if s := membership.Score(prefix, e.instance.Name); s > highest {
			best, highest = e, s
		}
	}
	return best
}

// UpdateLoad records an agent's load report and clears the endpoint's failures.
func (t *Table) UpdateLoad(now time.Time, incarnation string, r attempt.Capacity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.endpoints[incarnation]
	if !known || r.Limit == 0 {
		return
	}
	e.report = r
	e.completed = 0
	e.reportedAt = now
	e.unreported = e.sentWithin(now, deliveryTime)
	e.failures = 0
	e.backoffUntil = time.Time{}
}

// MarkFull records that an agent has refused a request for lack of capacity, and
// asked to retry after the given time. The endpoint is avoided for a quarter of
// that time, and at most for minBackoff/4.
func (t *Table) MarkFull(now time.Time, incarnation string, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.endpoints[incarnation]; known {
		e.unavailableUntil = now.Add(min(after, minBackoff) / 4)
	}
}

// MarkUnavailable records that an agent has refused a request because its endpoint
// may not serve now: it is leaving, its data centre is out of service, or it is
// changing its weights. This doesn't count as a failure.
func (t *Table) MarkUnavailable(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.endpoints[incarnation]; known {
		e.unavailableUntil = now.Add(unavailableTime)
	}
}

// MarkFailed records a failure of an endpoint. The endpoint is avoided for a time
// that doubles with each failure since its last load report, from minBackoff to
// maxBackoff.
func (t *Table) MarkFailed(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.endpoints[incarnation]
	if !known {
		return
	}
	backoff := min(minBackoff<<min(e.failures, 10), maxBackoff)
	e.failures++
	e.backoffUntil = now.Add(backoff)
}

// Release ends a request that Pick counted as in progress.
func (t *Table) Release(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.endpoints[incarnation]; known {
		e.inProgress--
		e.completed++
	}
}

// EndpointState is the state of one endpoint in a state dump.
type EndpointState struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	Serving    string `json:"serving,omitempty"`
	InProgress int    `json:"own"`             // requests of this entry in progress
	Running    int    `json:"running"`         // requests of all entries in progress, from the agent's last load report
	Limit      int    `json:"limit"`           // concurrency limit, from the agent's last load report
	BackingOff bool   `json:"aside,omitempty"` // the endpoint is avoided for a time after a failure
}

// EndpointStates returns the state of all endpoints, sorted by name.
func (t *Table) EndpointStates(now time.Time) []EndpointState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []EndpointState
	for _, e := range t.sorted {
		out = append(out, EndpointState{
			Name:       e.instance.Name,
			Service:    e.instance.Service,
			Serving:    e.serving.String(),
			InProgress: e.inProgress,
			Running:    e.report.Running,
			Limit:      e.report.Limit,
			BackingOff: now.Before(e.backoffUntil),
		})
	}
	return out
}

// Known reports whether there is an endpoint of the wanted service, available or
// not, and whether the traffic rules allow the customer to use one.
func (t *Table) Known(want Criteria) (known, allowed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.sorted {
		if e.instance.Service != want.Service {
			continue
		}
		known = true
		if t.config != nil && t.config.Allowed(want.Customer, e.labels) {
			return true, true
		}
	}
	return known, false
}
