package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of leaving the data centre.
const (
	egressInterval = 100 * time.Millisecond // between two decisions on how much leaves

	// A share grows slowly, because what it does is seen late: after the requests have been
	// sent, and reported.
	egressStepUp   = 0.05
	egressStepDown = 0.05
	maxEgressShare = 0.5 // of all other data centres together

	// What a caller must gain for a request to leave, besides the time on the way: the bytes
	// are billed, and a link between regions is shared with the transfer of weights.
	egressGain       = 5 * time.Millisecond
	egressRegionGain = 20 * time.Millisecond

	// egressStart is the gain at which a share starts. It ends once nothing is gained.
	egressStart = 10 * time.Millisecond

	// egressFullGain is the gain at which a share grows by a whole step.
	egressFullGain = 200 * time.Millisecond

	// egressWeight is the weight of one sample in the mean predicted time of a data centre.
	egressWeight = 0.3

	// maxEgressLag is the mean lag of the endpoints of another data centre, beyond the lag at
	// home, above which the way there counts as congested and nothing more is sent.
	maxEgressLag = 150 * time.Millisecond

	// egressTTL is how long after its last request to another data centre an entry counts as
	// sending there.
	egressTTL = 200 * time.Millisecond

	// silenceMemory is how long a region whose entries have fallen silent gets nothing: what
	// they send is not known. It gets requests again later, because endpoints may be left
	// there without entries.
	silenceMemory = 10 * time.Second

	maxEgressEvents = 64
)

// egress is how much of a service's load leaves the data centre. The zero value is off.
type egress struct {
	on        bool
	steppedAt time.Time
	homeless  bool // no endpoint of the own data centre can be used
	home      time.Duration
	ways      map[string]*way // by destination
	kept      int64           // requests to endpoints of the own data centre
}

// way is the way to another data centre.
type way struct {
	share  float64       // share of the requests that are sent there although there is room at home
	there  time.Duration // mean predicted time there
	cost   time.Duration // what the way costs
	barred string        // why there is no share; empty if there may be one
	sentAt time.Time     // when the last request was sent there that could have stayed
	sent   int64
}

// site is what an entry knows of the endpoints in one data centre.
type site struct {
	dataCentre string
	registered int
	usable     int           // endpoints that could take requests if they had room
	cold       int           // endpoints in their cold phase
	limited    int           // endpoints with a limit on the rate of requests
	silent     bool          // its entries were heard lately, and aren't any more
	free       int           // requests that they can start now
	predicted  time.Duration // mean predicted time at these
	lag        time.Duration // mean lag of these
	delay      time.Duration // of the network
	local      bool          // in the region of this entry
}

// EgressChange is the start or end of a share that leaves the data centre.
type EgressChange struct {
	Service, To string
	Share       float64       // 0 if it has ended
	Home, There time.Duration // mean predicted times
	Cost        time.Duration // of the way
	Reason      string
}

// step decides how much leaves, from what is known of the own data centre and of the
// others. sendsHere reports whether entries of a data centre send to this one. Designed for
// demand that is uneven between data centres for seconds, and for endpoints that are slow or
// missing in one of them.
func (x *egress) step(home site, others []site, sendsHere func(dataCentre string) bool) (changes []EgressChange) {
	if x.ways == nil {
		x.ways = make(map[string]*way)
	}
	x.homeless = home.usable == 0
	x.home = smooth(x.home, home)
	total := 0.0
	for _, w := range x.ways {
		total += w.share
	}
	for dataCentre := range x.ways {
		if !slices.ContainsFunc(others, func(s site) bool { return s.dataCentre == dataCentre }) {
			changes = x.end(changes, dataCentre, "gone")
		}
	}
	for _, s := range others {
		w := x.ways[s.dataCentre]
		if w == nil {
			w = &way{}
			x.ways[s.dataCentre] = w
		}
		w.there = smooth(w.there, s)
		lag := max(0, s.lag-home.lag)
		w.cost = s.delay + lag + egressRegionGain
		if s.local {
			w.cost += egressGain - egressRegionGain
		}
		w.barred = bar(s, lag, sendsHere(s.dataCentre), x.homeless)
		before, gain := w.share, x.home-w.there-w.cost
		switch {
		case w.barred != "" || x.homeless:
			w.share = 0 // without endpoints at home each request leaves by itself
		case s.free > 0 && (gain > egressStart || gain > 0 && w.share > 0):
			step := egressStepUp * min(1, float64(gain)/float64(egressFullGain))
			w.share += max(0, min(step, maxEgressShare-total))
		default:
			w.share = max(0, w.share-egressStepDown)
		}
		total += w.share - before
		if (before > 0) != (w.share > 0) {
			changes = append(changes, EgressChange{To: s.dataCentre, Share: w.share, Home: x.home, There: w.there, Cost: w.cost, Reason: cmp.Or(w.barred, "times")})
		}
	}
	return changes
}

// end ends the way to a data centre, and appends the end of its share.
func (x *egress) end(changes []EgressChange, dataCentre, reason string) []EgressChange {
	if w := x.ways[dataCentre]; w.share > 0 {
		changes = append(changes, EgressChange{To: dataCentre, Home: x.home, There: w.there, Cost: w.cost, Reason: reason})
	}
	delete(x.ways, dataCentre)
	return changes
}

// Reasons that bar not only a share, but also requests that leave by themselves.
const (
	barLag     = "lag"
	barReverse = "reverse"
)

// bar returns why no share may be sent to a data centre, or an empty string. What is known of
// each endpoint there, such as its cold rate, decides whether it can take a single request.
func bar(s site, lag time.Duration, sendsHere, homeless bool) string {
	switch {
	case !homeless && lag > maxEgressLag:
		return barLag
	case !homeless && sendsHere:
		return barReverse
	case s.cold > 0 && 2*s.cold >= s.registered:
		return "cold"
	case s.limited > 0 && 2*s.limited >= s.registered:
		return "limited"
	case s.usable == 0:
		return "unusable"
	case !homeless && s.silent:
		return "silent"
	}
	return ""
}

// smooth returns the mean predicted time with a new sample. Without usable endpoints nothing is
// known: the mean starts again after that.
func smooth(mean time.Duration, s site) time.Duration {
	switch {
	case s.usable == 0:
		return 0
	case mean == 0:
		return s.predicted
	}
	return mean + time.Duration(egressWeight*float64(s.predicted-mean))
}

// draw draws the data centre for a request: a destination of a share, or an empty string
// for the own one. u is a random number from 0 to 1.
func (x *egress) draw(u float64) string {
	for _, dataCentre := range x.destinations() {
		if u -= x.ways[dataCentre].share; u < 0 {
			return dataCentre
		}
	}
	return ""
}

// destinations returns the other data centres, sorted.
func (x *egress) destinations() []string {
	out := make([]string, 0, len(x.ways))
	for dataCentre := range x.ways {
		out = append(out, dataCentre)
	}
	slices.Sort(out)
	return out
}

// sending reports whether requests go to a data centre.
func (w *way) sending(now time.Time) bool {
	return w.share > 0 || !w.sentAt.IsZero() && now.Sub(w.sentAt) < egressTTL
}

// egressHash returns the hash under which a load report says that an entry of one data
// centre sends requests of a service to another one.
func egressHash(service, from, to string) uint64 {
	return xxhash.Sum64String("egress/" + service + "/" + from + "/" + to)
}

// sendsHere reports whether entries of another data centre send requests of a service to
// this one, and this one has to give way. If both have begun at the same time, the one whose
// name comes first goes on. The caller must hold t.mu.
func (t *Table) sendsHere(now time.Time, g *group, dataCentre string) bool {
	own := t.options.DataCentre
	if t.peerLoads[egressHash(g.name, dataCentre, own)].inProgress == 0 {
		return false
	}
	w := g.egress.ways[dataCentre]
	return w == nil || !w.sending(now) || dataCentre < own
}

// stepEgress decides how much of a service's load leaves the data centre. It is on where
// endpoints say how long their work takes, or where customers contend, and if there are
// endpoints in several data centres. The caller must hold t.mu.
func (t *Table) stepEgress(now time.Time, g *group) {
	x := &g.egress
	if now.Sub(x.steppedAt) < egressInterval {
		return
	}
	x.steppedAt = now
	x.on = len(g.byDataCentre) > 1 && (t.options.Contention || g.reportsWorkTime(now))
	if !x.on {
		var changes []EgressChange
		for _, dataCentre := range x.destinations() {
			changes = x.end(changes, dataCentre, "off")
		}
		t.recordEgress(g, changes)
		x.ways, x.home = nil, 0
		return
	}
	f := t.fleetState(now, g)
	var home site
	var others []site
	for _, dataCentre := range g.dataCentres {
		s := t.siteOf(f, dataCentre, g.byDataCentre[dataCentre])
		if dataCentre == t.options.DataCentre {
			home = s
			if n := g.queue.countOnTime(now); n > 0 {
				home.predicted += time.Duration(float64(n) / max(1, g.releaseRate) * float64(time.Second))
			}
		} else {
			others = append(others, s)
		}
	}
	t.recordEgress(g, x.step(home, others, func(dataCentre string) bool { return t.sendsHere(now, g, dataCentre) }))
}

// recordEgress keeps changes for the log.
func (t *Table) recordEgress(g *group, changes []EgressChange) {
	for _, c := range changes {
		c.Service = g.name
		if len(t.egressChanges) < maxEgressEvents {
			t.egressChanges = append(t.egressChanges, c)
		}
	}
}

// siteOf sums up what is known of the endpoints in a data centre. Endpoints that are cold or
// limited aren't usable: they bear no load that could stay away.
func (t *Table) siteOf(f *fleetState, dataCentre string, endpoints []*Endpoint) site {
	heard := t.heard[t.options.Regions[dataCentre]]
	s := site{dataCentre: dataCentre, registered: len(endpoints), silent: !heard.IsZero() && f.now.Sub(heard) > peerLoadTTL && f.now.Sub(heard) < silenceMemory}
	var req Request
	for _, e := range endpoints {
		s.local, s.delay = e.region == f.region, e.networkDelay
		switch {
		case e.isCold(f.now):
			s.cold++
			continue
		case t.isLimited(f.now, e):
			s.limited++
			continue
		case !eligible(f, e, &req) || !e.accepts(f.now):
			continue
		}
		others := f.peerLoads[e.hash]
		n := e.inProgress + others.inProgress
		s.usable++
		s.lag += e.currentLag(f.now)
		if spec := e.engine(); spec != nil {
			pending := e.pendingTokens + others.pendingTokens
			s.predicted += predictFirstEvent(spec, n, pending, 0)
			s.free += max(0, min(e.slots()-n, promptsWithinBacklog(spec, pending, 0)))
		} else {
			s.predicted += predictPlain(f, e, n)
			s.free += max(0, int(f.mayQueue(e))-n)
		}
	}
	if s.usable > 0 {
		s.predicted /= time.Duration(s.usable)
		s.lag /= time.Duration(s.usable)
	}
	return s
}

// accepts reports whether the endpoint could take requests if it had room.
func (e *Endpoint) accepts(now time.Time) bool {
	return !e.isSuspect(now) && !e.isPaused(now) && !now.Before(e.fullUntil) && !now.Before(e.mismatchUntil) && !now.Before(e.loadingUntil)
}

// isCold reports whether the endpoint is in its cold phase.
func (e *Endpoint) isCold(now time.Time) bool {
	return now.Before(e.coldUntil) && e.service.ColdRate > 0
}

// isLimited reports whether the endpoint has a limit on the rate of requests.
func (t *Table) isLimited(now time.Time, e *Endpoint) bool {
	return t.limits.State(now, e.limitKey) != nil
}

// selectFor returns the endpoint for a request: at home, unless the request belongs to a
// share that leaves and isn't late there alone, or there is no endpoint at home that can serve it in time and there is
// one elsewhere. The caller must hold t.mu.
func (t *Table) selectFor(f *fleetState, g *group, req *Request) (best *Endpoint, found bool) {
	x := &g.egress
	if !x.on {
		return selectEndpoint(f, g.endpoints, req, t.rng)
	}
	homes := g.byDataCentre[t.options.DataCentre]
	atHome := mayStay(f, homes, req)
	var drawn *Endpoint
	if dataCentre := x.draw(t.rng.Float64()); dataCentre != "" && atHome && t.mayLeave(f.now, g, dataCentre) {
		drawn, _ = pickEndpoint(f, g.byDataCentre[dataCentre], req, t.rng)
	}
	if drawn != nil && onTime(f, drawn, req) {
		return drawn, true
	}
	best, found = pickEndpoint(f, homes, req, t.rng)
	if best != nil && onTime(f, best, req) {
		return best, true
	}
	if drawn != nil {
		return drawn, true
	}
	var away []*Endpoint
	for _, dataCentre := range x.destinations() {
		if !atHome || t.mayLeave(f.now, g, dataCentre) {
			away = append(away, g.byDataCentre[dataCentre]...)
		}
	}
	other, eligibleAway := pickEndpoint(f, away, req, t.rng)
	if other != nil && (best == nil || predict(f, other, req)+egressRegionGain < predict(f, best, req)) {
		best = other
	}
	found = found || eligibleAway || slices.ContainsFunc(g.endpoints, func(e *Endpoint) bool { return eligible(f, e, req) })
	if best == nil && found {
		best = lastResort(f, g.endpoints, req, t.rng)
	}
	return best, found
}

// mayLeave reports whether requests that will be served at home otherwise may go to a data
// centre.
func (t *Table) mayLeave(now time.Time, g *group, dataCentre string) bool {
	w := g.egress.ways[dataCentre]
	return g.egress.homeless || w != nil && w.barred != barLag && w.barred != barReverse && !t.sendsHere(now, g, dataCentre)
}

// onTime reports whether an endpoint is predicted to meet the objective of a request.
func onTime(f *fleetState, e *Endpoint, req *Request) bool {
	return req.Objective <= 0 || predict(f, e, req) <= req.Objective-f.now.Sub(req.Sent)
}

// mayStay reports whether an endpoint at home could take the request if it had room.
func mayStay(f *fleetState, homes []*Endpoint, req *Request) bool {
	return slices.ContainsFunc(homes, func(e *Endpoint) bool { return eligible(f, e, req) && e.accepts(f.now) })
}

// countEgress counts a request that is about to be sent to an endpoint. One that can't stay,
// such as one whose home region is another, doesn't make this data centre one that sends there.
func (t *Table) countEgress(f *fleetState, g *group, e *Endpoint, req *Request) {
	x := &g.egress
	if !x.on {
		return
	}
	if e.registration.DataCentre == t.options.DataCentre {
		x.kept++
	} else if w := x.ways[e.registration.DataCentre]; w != nil {
		w.sent++
		if mayStay(f, g.byDataCentre[t.options.DataCentre], req) {
			w.sentAt = f.now
		}
	}
}

// appendEgress appends to a load report where this entry sends requests to.
func (t *Table) appendEgress(now time.Time, loads []EndpointLoad) []EndpointLoad {
	for name, g := range t.services {
		for dataCentre, w := range g.egress.ways {
			if w.sending(now) {
				loads = append(loads, EndpointLoad{Hash: egressHash(name, t.options.DataCentre, dataCentre), Running: 1})
			}
		}
	}
	return loads
}

// EgressChanges returns the starts and ends of shares since the last call.
func (t *Table) EgressChanges() []EgressChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.egressChanges
	t.egressChanges = nil
	return out
}

// EgressState is how much of a service's load leaves the data centre, in a state dump.
type EgressState struct {
	Service string     `json:"service"`
	Kept    int64      `json:"kept"` // requests to endpoints of this data centre
	Home    string     `json:"home"` // mean predicted time
	Ways    []WayState `json:"ways"`
}

// WayState is the way to another data centre, in a state dump.
type WayState struct {
	To     string  `json:"to"`
	Share  float64 `json:"share"`
	Sent   int64   `json:"sent"`  // requests
	There  string  `json:"there"` // mean predicted time
	Cost   string  `json:"cost"`
	Barred string  `json:"barred,omitempty"`
}

// EgressStates returns what leaves the data centre, for the services where that is decided.
func (t *Table) EgressStates() []EgressState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []EgressState
	for name, g := range t.services {
		x := &g.egress
		if !x.on {
			continue
		}
		s := EgressState{Service: name, Kept: x.kept, Home: x.home.String()}
		for _, dataCentre := range x.destinations() {
			w := x.ways[dataCentre]
			s.Ways = append(s.Ways, WayState{To: dataCentre, Share: w.share, Sent: w.sent, There: w.there.String(), Cost: w.cost.String(), Barred: w.barred})
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b EgressState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
