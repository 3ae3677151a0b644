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
	PolicyRandom Policy = "random"
	PolicyLeast  Policy = "least" // fewest requests of this entry in progress
	PolicyOurs   Policy = "ours"  // nearest data centre, cached prefix, power of two choices
)

const (
	// An entry uses a subset of a large service's endpoints, so that neither the
	// number of connections nor the time of a pick grows with the fleet. These
	// are the sizes of the subset in the entry's own data centre, in the rest of
	// its region and in other regions.
	nearSubset   = 40
	regionSubset = 16
	farSubset    = 8

	// bounded is how much higher the utilisation of the endpoint with the cached
	// prefix may be than that of the alternative.
	bounded = 0.25

	// nearFull is the utilisation of a tier's endpoints above which requests go
	// to the next, farther tier.
	nearFull = 0.95

	// aged is the age above which an agent's load report is ignored.
	aged = 5 * time.Second

	// onTheWay is the time that a request may take to reach its agent. A load
	// report that arrives sooner after the request was sent may not include it.
	onTheWay = 5 * time.Millisecond

	// awayFor is how long an endpoint is avoided after its agent has refused to
	// serve for now. An update of the member list usually arrives sooner.
	awayFor = 300 * time.Millisecond

	// Bounds of the exponential back-off after failures of an endpoint.
	asideFirst = 500 * time.Millisecond
	asideMost  = 10 * time.Second
)

// endpoint is the state that an entry keeps of one endpoint.
type endpoint struct {
	instance fulmardeal.Instance
	serving  fulmardeal.Version
	labels   label.Set
	own      int          // requests of this entry in progress
	sent     []time.Time  // send times of requests that the last load report may not include
	ended    int          // requests of this entry that have ended since the last load report
	room     attempt.Room // the last load report
	heard    time.Time    // when it arrived
	full     time.Time    // avoided until then, by a refusal of the agent
	aside    time.Time    // avoided until then, after a failure
	failures int          // since the last load report
}

// load estimates the endpoint's utilisation, as a part of its limit, and its
// free capacity in requests.
func (e *endpoint) load(now time.Time) (part, free float64) {
	if e.room.Limit == 0 || now.Sub(e.heard) > aged {
		return float64(e.own) / 4, 1
	}
	running := float64(max(e.room.Running+len(e.sent)-e.ended, e.own))
	limit := float64(e.room.Limit)
	return running / limit, limit - running
}

// recent removes the send times that are older than d, and returns the rest.
func (e *endpoint) recent(now time.Time, d time.Duration) []time.Time {
	return slices.DeleteFunc(e.sent, func(t time.Time) bool { return now.Sub(t) > d })
}

// Wish holds what the choice of a request's endpoint depends on.
type Wish struct {
	Customer configuration.Customer
	Service  string
	Model    string   // the model's name, empty for plain services
	Prefix   string   // requests with the same prefix profit from the same endpoint's cache
	Tried    []string // incarnations that are excluded, because they were tried
	Prefer   string   // the incarnation that is known to have free capacity, if any
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
	random     *rand.Rand
	endpoints  map[string]*endpoint // by incarnation
	order      []*endpoint          // the same endpoints, sorted by name
	config     *configuration.Configuration
	pools      map[poolKey][]*endpoint // cache of pool, cleared by Refresh
}

// poolKey holds what a pool depends on.
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
		random:     rand.New(rand.NewPCG(seed, 2)),
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
	same := t.config == c
	t.config = c
	before := t.endpoints
	t.endpoints = make(map[string]*endpoint, len(members))
	t.pools = make(map[poolKey][]*endpoint)
	t.order = make([]*endpoint, 0, len(members))
	for _, m := range members {
		in := m.Instance()
		if in.Role != fulmardeal.RoleAgent {
			continue
		}
		e, known := before[in.Incarnation]
		if !known {
			e = &endpoint{}
		}
		if c != nil && !(known && same) {
			e.labels = c.EndpointLabels(in)
		}
		e.take(m)
		t.endpoints[in.Incarnation] = e
		t.order = append(t.order, e)
	}
}

// take updates the endpoint from its entry in the member list. A suspected
// member is avoided as after a failure.
func (e *endpoint) take(m membership.Member) {
	e.instance, e.serving = m.Instance(), m.Serving()
	if m.State() == membership.Suspect && e.aside.IsZero() {
		e.aside = time.Now().Add(asideFirst)
	}
}

// Pick returns the endpoint to try next, and counts the request as in progress
// there until End is called. It reports false when there is no candidate.
func (t *Table) Pick(now time.Time, w Wish) (Pick, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(now, w)
	if len(candidates) == 0 {
		return Pick{}, false
	}

	var e *endpoint
	switch t.policy {
	case PolicyRandom:
		e = candidates[t.random.IntN(len(candidates))]
	case PolicyLeast:
		e = leastOwn(candidates)
	default:
		e = t.ours(now, candidates, w)
	}
	e.own++
	e.sent = append(e.recent(now, aged), now)
	return Pick{Instance: e.instance, Serving: e.serving}, true
}

// candidates returns the endpoints that may take the request. Endpoints that are
// to be avoided after a failure or a refusal are returned only when there is no
// other.
func (t *Table) candidates(now time.Time, w Wish) []*endpoint {
	var good, bad []*endpoint
	for _, e := range t.pool(w) {
		if slices.Contains(w.Tried, e.instance.Incarnation) {
			continue
		}
		if now.Before(e.aside) || now.Before(e.full) {
			bad = append(bad, e)
			continue
		}
		good = append(good, e)
	}
	if len(good) == 0 {
		return bad
	}
	return good
}

// pool returns the endpoints that this entry uses for a customer's requests to
// a service or model. The result is cached until the next Refresh.
func (t *Table) pool(w Wish) []*endpoint {
	key := poolKey{customer: w.Customer.Name(), service: w.Service, model: w.Model}
	if p, known := t.pools[key]; known {
		return p
	}
	var tiers [tierCount][]*endpoint
	for _, e := range t.order {
		if t.suits(e, w) {
			i := t.tier(e)
			tiers[i] = append(tiers[i], e)
		}
	}
	p := t.subset(tiers[tierNear], nearSubset, w.Service)
	p = append(p, t.subset(tiers[tierRegion], regionSubset, w.Service)...)
	p = append(p, t.subset(tiers[tierFar], farSubset, w.Service)...)
	t.pools[key] = p
	return p
}

// suits reports whether an endpoint serves the service and model, is not being
// drained, and is allowed to the customer by the traffic rules.
func (t *Table) suits(e *endpoint, w Wish) bool {
	if e.instance.Service != w.Service || e.serving.Model != w.Model || e.instance.Leaving {
		return false
	}
	if t.config == nil || t.config.IsOut(e.instance.DataCentre) {
		return false
	}
	return t.config.Allowed(w.Customer, e.labels)
}

// Tiers of distance from the entry.
const (
	tierNear   = iota // the entry's data centre
	tierRegion        // other data centres of the entry's region
	tierFar           // other regions
	tierCount
)

func (t *Table) tier(e *endpoint) int {
	switch {
	case e.instance.DataCentre == t.dataCentre:
		return tierNear
	case e.instance.Region == t.region:
		return tierRegion
	}
	return tierFar
}

// subset returns at most n endpoints: those with the highest rendezvous hashes
// for this entry, so that entries use different subsets and a change of members
// moves few of them.
func (t *Table) subset(all []*endpoint, n int, service string) []*endpoint {
	if len(all) <= n {
		return all
	}
	job := t.name + "/" + service
	out := slices.Clone(all)
	slices.SortFunc(out, func(a, b *endpoint) int {
		x, y := membership.Score(job, a.instance.Incarnation), membership.Score(job, b.instance.Incarnation)
		return cmp.Compare(y, x)
	})
	return out[:n]
}

func leastOwn(candidates []*endpoint) *endpoint {
	best := candidates[0]
	for _, e := range candidates[1:] {
		if e.own < best.own {
			best = e
		}
	}
	return best
}

// near returns the candidates of the nearest tier that has an endpoint with free
// capacity, or all candidates when none has.
func (t *Table) near(now time.Time, all []*endpoint) []*endpoint {
	var tiers [tierCount][]*endpoint
	for _, e := range all {
		i := t.tier(e)
		tiers[i] = append(tiers[i], e)
	}
	for _, tier := range tiers {
		for _, e := range tier {
			part, free := e.load(now)
			if part < nearFull && free >= 1 {
				return tier
			}
		}
	}
	return all
}

// ours implements PolicyOurs. A request that has been tried elsewhere goes to the
// least loaded endpoint of all tiers.
func (t *Table) ours(now time.Time, candidates []*endpoint, w Wish) *endpoint {
	for _, e := range candidates {
		if e.instance.Incarnation == w.Prefer {
			return e
		}
	}
	if len(w.Tried) > 0 {
		e, _ := t.freest(now, candidates)
		return e
	}
	return t.pick(now, t.near(now, candidates), w.Prefix)
}

// pick takes the less loaded of two random candidates, or the endpoint with the
// cached prefix when that has free capacity and its utilisation is not higher by
// more than bounded.
func (t *Table) pick(now time.Time, candidates []*endpoint, prefix string) *endpoint {
	a := candidates[t.random.IntN(len(candidates))]
	b := candidates[t.random.IntN(len(candidates))]
	la, fa := a.load(now)
	lb, _ := b.load(now)
	if lb < la {
		a, la = b, lb
		_, fa = b.load(now)
	}
	if fa < 1 {
		a, la = t.freest(now, candidates)
	}
	if prefix == "" {
		return a
	}

	home := homeOf(candidates, prefix)
	lh, fh := home.load(now)
	if fh >= 1 && lh <= la+bounded {
		return home
	}
	return a
}

// freest returns the least loaded candidate and its utilisation. It is used only
// for retries and when two random candidates have no free capacity: used for
// every request, it would send all of them to one endpoint between two reports.
func (t *Table) freest(now time.Time, candidates []*endpoint) (*endpoint, float64) {
	start := t.random.IntN(len(candidates))
	best := candidates[start]
	least, _ := best.load(now)
	for i := range candidates {
		e := candidates[(start+i)%len(candidates)]
		if l, _ := e.load(now); l < least {
			best, least = e, l
		}
	}
	return best, least
}

// homeOf returns the endpoint that requests with the prefix are sent to by
// preference: the one with the highest rendezvous hash.
func homeOf(candidates []*endpoint, prefix string) *endpoint {
	best := candidates[0]
	high := membership.Score(prefix, best.instance.Name)
	for _, e := range candidates[1:] {
		if s := membership.Score(prefix, e.instance.Name); s > high {
			best, high = e, s
		}
	}
	return best
}

// Heard records an agent's load report and clears the endpoint's failures.
func (t *Table) Heard(now time.Time, incarnation string, r attempt.Room) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.endpoints[incarnation]
	if !known || r.Limit == 0 {
		return
	}
	e.room = r
	e.ended = 0
	e.heard = now
	e.sent = e.recent(now, onTheWay)
	e.failures = 0
	e.aside = time.Time{}
}

// Full records that an agent has refused a request for lack of capacity, and
// asked to retry after the given time. The endpoint is avoided for a quarter of
// that time.
func (t *Table) Full(now time.Time, incarnation string, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.endpoints[incarnation]; known {
		e.full = now.Add(min(after, asideFirst) / 4)
	}
}

// Away records that an agent has refused a request because its endpoint may not
// serve now: it is leaving, its data centre is out of service, or it is changing
// its weights. This doesn't count as a failure.
func (t *Table) Away(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.endpoints[incarnation]; known {
		e.full = now.Add(awayFor)
	}
}

// Failed records a failure of an endpoint, which is avoided for a time that
// doubles with each failure in a row.
func (t *Table) Failed(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.endpoints[incarnation]
	if !known {
		return
	}
	wait := min(asideFirst<<min(e.failures, 10), asideMost)
	e.failures++
	e.aside = now.Add(wait)
}

// End marks a request that Pick counted as ended.
func (t *Table) End(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.endpoints[incarnation]; known {
		e.own--
		e.ended++
	}
}

// Row is the state of one endpoint in a state dump.
type Row struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Serving string `json:"serving,omitempty"`
	Own     int    `json:"own"`             // requests of this entry in progress
	Running int    `json:"running"`         // from the agent's last load report
	Limit   int    `json:"limit"`           // from the agent's last load report
	Aside   bool   `json:"aside,omitempty"` // avoided after a failure
}

// Rows returns the state of all endpoints, sorted by name.
func (t *Table) Rows(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Row
	for _, e := range t.order {
		out = append(out, Row{
			Name:    e.instance.Name,
			Service: e.instance.Service,
			Serving: e.serving.String(),
			Own:     e.own,
			Running: e.room.Running,
			Limit:   e.room.Limit,
			Aside:   now.Before(e.aside),
		})
	}
	return out
}

// Known reports whether there is an endpoint of the wish's service, available or
// not, and whether the traffic rules allow the customer to use one.
func (t *Table) Known(w Wish) (known, allowed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.order {
		if e.instance.Service != w.Service {
			continue
		}
		known = true
		if t.config != nil && t.config.Allowed(w.Customer, e.labels) {
			return true, true
		}
	}
	return known, false
}
