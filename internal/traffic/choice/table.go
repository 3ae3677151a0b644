// Package choice picks the endpoint for a request, at an entry.
//
// What an entry knows about endpoints is late: reports lag and other entries
// send too. So it counts its own requests since the last word of each agent,
// looks at two candidates rather than for the best of all, and keeps to
// endpoints that have the request's prefix cached only while they are not much
// busier than the rest. It decides nothing for good: the agent refuses what is
// too much.
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

// Policy is a way of choosing.
type Policy string

// Policies. The first two are baselines for measurements.
const (
	PolicyRandom Policy = "random"
	PolicyLeast  Policy = "least"
	PolicyOurs   Policy = "ours"
)

// Constants of the choice.
const (
	// An entry talks to a subset of a large service's endpoints, so that
	// neither connections nor the time of a choice grow with the fleet: so many
	// of its own data centre, of its region, and of elsewhere.
	nearSubset   = 40
	regionSubset = 16
	farSubset    = 8

	// bounded is how much busier than its rival the endpoint with the cached
	// prefix may be, as a part of its limit.
	bounded = 0.25

	// nearFull is the load from which a farther data centre is considered.
	nearFull = 0.95

	// aged is when an agent's word is too old to count.
	aged = 5 * time.Second

	// onTheWay is how long a request may be under way to its agent: a word that
	// comes so soon after it was sent may not count it.
	onTheWay = 5 * time.Millisecond

	// awayFor is how long an endpoint is passed over that has said that it may
	// not serve this now. News of it is expected before.
	awayFor = 300 * time.Millisecond

	// Waits after failures: an endpoint that failed is left alone for a while.
	asideFirst = 500 * time.Millisecond
	asideMost  = 10 * time.Second
)

// endpoint is one endpoint's entity.
type endpoint struct {
	instance fulmardeal.Instance
	serving  fulmardeal.Version
	labels   label.Set
	own      int         // requests of this entry in progress
	sent     []time.Time // when those were sent that the last word may not know
	ended    int         // own requests that have ended since the last word
	room     attempt.Capacity
	heard    time.Time
	full     time.Time // until then it has no room, by its own word
	aside    time.Time // until then it is left alone
	failures int
}

// load estimates the used part of the endpoint's limit, and its free places.
func (e *endpoint) load(now time.Time) (part, free float64) {
	if e.room.Limit == 0 || now.Sub(e.heard) > aged {
		return float64(e.own) / 4, 1
	}
	running := float64(max(e.room.Running+len(e.sent)-e.ended, e.own))
	limit := float64(e.room.Limit)
	return running / limit, limit - running
}

// recent returns the times of the requests sent within d.
func (e *endpoint) recent(now time.Time, d time.Duration) []time.Time {
	return slices.DeleteFunc(e.sent, func(t time.Time) bool { return now.Sub(t) > d })
}

// Wish is what a request needs of its endpoint.
type Wish struct {
	Customer configuration.Customer
	Service  string
	Model    string   // the model's name, empty for plain services
	Prefix   string   // requests with the same prefix share a cache
	Tried    []string // incarnations that have been tried
	Prefer   string   // the incarnation that is known to have room, if any
}

// Pick is a chosen endpoint, with the weights that it served when chosen.
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
	order      []*endpoint          // the same, sorted by name
	config     *configuration.Configuration
	pools      map[poolKey][]*endpoint // since the last refresh
}

// poolKey is what the endpoints for a request depend on.
type poolKey struct {
	customer string
	service  string
	model    string
}

// NewTable returns the table of the entry called name.
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

// Refresh takes over the members, which are sorted by name, and the
// configuration. What is known about an endpoint's load stays, and so do its
// labels unless the configuration has changed.
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

// take takes over what the members' table says of an endpoint.
func (e *endpoint) take(m membership.Member) {
	e.instance, e.serving = m.Instance(), m.Serving()
	if m.State() == membership.Suspect && e.aside.IsZero() {
		e.aside = time.Now().Add(asideFirst)
	}
}

// Pick returns the endpoint to try next and counts the request towards it; End
// must follow. It reports false when there is no candidate.
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

// candidates returns the endpoints that may take the request, without those
// that are set aside or say that they are full, unless no other is left.
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
// a service or model. It is worked out once after each refresh.
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

func (t *Table) suits(e *endpoint, w Wish) bool {
	if e.instance.Service != w.Service || e.serving.Model != w.Model || e.instance.Leaving {
		return false
	}
	if t.config == nil || t.config.IsOutOfService(e.instance.DataCentre) {
		return false
	}
	return t.config.Allowed(w.Customer, e.labels)
}

// Tiers of distance.
const (
	tierNear   = iota // the own data centre
	tierRegion        // the own region
	tierFar
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

// subset cuts endpoints down to the n with the highest rendezvous scores for
// this entry.
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

// near returns the candidates in the nearest place that has room: the own data
// centre, then the own region, then anywhere.
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

// ours picks by our policy. A request that was refused elsewhere goes to the
// endpoint that seems least busy, wherever it stands.
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

// pick looks at the endpoint with the cached prefix and at random ones, and
// takes the less busy, with some patience for the cached prefix.
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

// freest returns the least busy candidate. It is asked for only when two random
// ones had no room, so that it can't draw every request to one endpoint.
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

// Heard takes an agent's word on its room.
func (t *Table) Heard(now time.Time, incarnation string, r attempt.Capacity) {
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

// Full notes an agent's word that it has no room for a while.
func (t *Table) Full(now time.Time, incarnation string, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.endpoints[incarnation]; known {
		e.full = now.Add(min(after, asideFirst) / 4)
	}
}

// Away notes an agent's word that its endpoint may not serve now, because it
// leaves, is out, or changes its weights. It is no failure.
func (t *Table) Away(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.endpoints[incarnation]; known {
		e.full = now.Add(awayFor)
	}
}

// Failed notes that an endpoint didn't do what it should.
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

// End takes back what Pick counted.
func (t *Table) End(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.endpoints[incarnation]; known {
		e.own--
		e.ended++
	}
}

// Row is one endpoint in a state dump.
type Row struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Serving string `json:"serving,omitempty"`
	Own     int    `json:"own"`     // requests of this entry in progress
	Running int    `json:"running"` // by the agent's last word
	Limit   int    `json:"limit"`   // by the agent's last word
	Aside   bool   `json:"aside,omitempty"`
}

// Rows returns the endpoints sorted by name.
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

// Known reports whether any endpoint serves the wish, busy or not, and if so
// whether a traffic rule allows it.
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
