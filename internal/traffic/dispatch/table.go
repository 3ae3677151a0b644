package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/traffic/ratelimit"
)

// Network delays added to the predicted time to the first event, for endpoints
// outside this data centre.
const (
	crossDataCentreDelay = 2 * time.Millisecond  // a round trip between data centres
	crossRegionDelay     = 10 * time.Millisecond // a round trip, and transfer over a shared narrow link
)

// releaseRateWindow is the interval over which the rate of released slots is
// measured.
const releaseRateWindow = 500 * time.Millisecond

// Options configures a Table.
type Options struct {
	DataCentre string
	Region     string
	Regions    map[string]string // region of each data centre
	Bounds     fulmardeal.Bounds
	Contention bool // customers may ask for more than the endpoints can serve or hold in memory
	Seed       uint64
}

// Table holds what one entry knows about the endpoints, and its queues of
// requests for them. It is safe for concurrent use.
type Table struct {
	options Options

	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*group
	removed  map[string]*group // services that the configuration has removed while requests use them
	view     *catalogue.View
	peers    map[string]*peer     // by name of the other entry
	heard    map[string]time.Time // when entries of a region were last heard
	notices  map[string]*notice   // by id of the endpoint

	// peerLoads is the sum of the loads in the latest reports of all peers.
	peerLoads map[uint64]peerLoad

	refusals  refusalHistory
	intervals ReportIntervals

	plain map[uint64]plainEndpoint // endpoints that are not engines, by workHash

	egressChanges []EgressChange

	limits    ratelimit.Table
	limitsDue chan struct{}
}

// group holds the endpoints of one service and the queue for them.
type group struct {
	endpoints   []*Endpoint
	absent      []*Endpoint // endpoints that have left the registrations with requests in progress
	queue       requestQueue
	released    int // slots released in the current window
	windowStart time.Time
	releaseRate float64 // slots released per second
	demand      demand
	nextReturn  time.Time // when the next caller that was refused because of limits may return

	workReported time.Time // when one of the endpoints last said how long work takes

	name         string
	byDataCentre map[string][]*Endpoint
	dataCentres  []string // the keys of byDataCentre, sorted
	egress       egress
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{
		options:   o,
		rng:       rand.New(rand.NewPCG(o.Seed, 5)),
		services:  make(map[string]*group),
		removed:   make(map[string]*group),
		view:      &catalogue.View{},
		peers:     make(map[string]*peer),
		heard:     make(map[string]time.Time),
		notices:   make(map[string]*notice),
		peerLoads: make(map[uint64]peerLoad),
		limitsDue: make(chan struct{}, 1),
	}
}

// Refresh applies the current registrations and the configuration set by
// operators. Services and endpoints that are gone from them are remembered as long as
// requests use them: if they return, the requests still occupy their slots.
func (t *Table) Refresh(now time.Time, registrations []fulmardeal.Registration, v *catalogue.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = v
	c := v.Catalogue()
	if c == nil {
		return
	}
	next := make(map[string]*group, len(c.Services))
	for i := range c.Services {
		name := c.Services[i].Name
		switch {
		case t.services[name] != nil:
			next[name] = t.services[name]
		case t.removed[name] != nil:
			next[name] = t.removed[name]
		default:
			next[name] = &group{name: name}
		}
		delete(t.removed, name)
	}
	t.expireNotices(now)
	refreshed := make(map[string][]*Endpoint, len(next))
	for _, r := range registrations {
		if s := c.Service(r.Service); s != nil {
			refreshed[r.Service] = append(refreshed[r.Service], t.endpoint(now, next[r.Service], r, s))
		}
	}
	for name, g := range next {
		g.setEndpoints(refreshed[name])
		t.assignQueued(now, g)
	}
	for name, g := range t.services {
		if next[name] == nil {
			t.removed[name] = g
		}
	}
	for name, g := range t.removed {
		if !g.inUse() {
			delete(t.removed, name)
		}
	}
	t.services = next
	t.indexPlain()
	t.retainLimits(now)
}

// inUse reports whether requests are in progress at endpoints of the group, or wait for
// one.
func (g *group) inUse() bool {
	isBusy := func(e *Endpoint) bool { return e.inProgress > 0 }
	return len(g.queue.waiters) > 0 || slices.ContainsFunc(g.endpoints, isBusy) || slices.ContainsFunc(g.absent, isBusy)
}

// setEndpoints replaces the endpoints. Those that are no longer listed are kept as absent
// while they have requests in progress.
func (g *group) setEndpoints(endpoints []*Endpoint) {
	listed := make(map[*Endpoint]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e] = true
	}
	g.absent = slices.DeleteFunc(append(g.absent, g.endpoints...), func(e *Endpoint) bool {
		return e.inProgress == 0 || listed[e]
	})
	g.endpoints = endpoints
	g.byDataCentre = make(map[string][]*Endpoint)
	for _, e := range endpoints {
		dataCentre := e.registration.DataCentre
		g.byDataCentre[dataCentre] = append(g.byDataCentre[dataCentre], e)
	}
	g.dataCentres = slices.Sorted(maps.Keys(g.byDataCentre))
}

// find returns the endpoint with an id and address, absent or not, or nil if it is
// unknown.
func (g *group) find(id, address string) *Endpoint {
	for _, list := range [][]*Endpoint{g.endpoints, g.absent} {
		for _, e := range list {
			if e.id == id && e.address == address {
				return e
			}
		}
	}
	return nil
}

// endpoint returns the endpoint of a registration. A known endpoint keeps its
// state.
func (t *Table) endpoint(now time.Time, g *group, r fulmardeal.Registration, s *fulmardeal.Service) *Endpoint {
	if e := g.find(r.ID, r.Address); e != nil {
		e.update(now, r, s)
		e.notice = t.noticeOf(now, &r)
		return e
	}
	e := &Endpoint{id: r.ID, address: r.Address, hash: xxhash.Sum64String(r.ID), workHash: workHash(r.ID), region: t.options.Regions[r.DataCentre]}
	switch {
	case r.DataCentre == t.options.DataCentre:
	case e.region == t.options.Region:
		e.networkDelay = crossDataCentreDelay
	default:
		e.networkDelay = crossRegionDelay
	}
	e.update(now, r, s)
	e.notice = t.noticeOf(now, &r)
	return e
}

// ApplyEngineStatus applies the status of an engine as reported by its agent.
func (t *Table) ApplyEngineStatus(now time.Time, address string, weights int64, loading bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.services {
		for _, e := range g.endpoints {
			if e.registration.Address == address && e.engine() != nil {
				e.applyStatus(now, weights, loading)
				t.assignQueued(now, g)
			}
		}
	}
}

// fleetState returns the state that endpoint selection needs for a service. The
// caller must hold t.mu.
func (t *Table) fleetState(now time.Time, g *group) *fleetState {
	f := &fleetState{
		now:           now,
		entries:       1 + len(t.peers),
		regionEntries: t.entriesInRegion(),
		region:        t.options.Region,
		intervals:     t.intervals,
		outOfService:  t.view.IsOutOfService,
		weightsUsable: func(int64) bool { return true },
		peerLoads:     t.peerLoads,
		byWorkTime:    g.ranksByWorkTime(now),
	}
	f.limitAllows = func(e *Endpoint) bool { return t.limitAllows(now, g, e) }
	if len(g.endpoints) == 0 || g.endpoints[0].engine() == nil || len(g.endpoints[0].engine().Models) == 0 {
		return f
	}
	model := g.endpoints[0].engine().Models[0].Name
	f.weightsUsable = func(weights int64) bool {
		end, superseded := t.weightsEnd(model, weights)
		return !superseded || now.Before(end.Add(-supersededMargin))
	}
	return f
}

// weightsEnd returns the time after which no request may start with a version of
// weights, or false if the version isn't superseded. The caller must hold t.mu.
func (t *Table) weightsEnd(model string, weights int64) (time.Time, bool) {
	since, superseded := t.view.SupersededAt(model, weights)
	return since.Add(t.options.Bounds.VersionSwitch), superseded
}

// RefusedError is the error for a request that gets no slot.
type RefusedError struct {
	Reason     RefusalReason
	RetryAfter time.Duration // delay after which the caller should retry
	Waited     time.Duration // time spent in the queue
}

func (e *RefusedError) Error() string { return "no slot reserved: " + string(e.Reason) }

// Reserve reserves a slot for a request. If no slot is free, it puts the request
// into the queue and blocks until a slot is assigned or the request is refused.
// The context must be cancelled when the caller disconnects. The error is a
// *RefusedError.
func (t *Table) Reserve(ctx context.Context, req *Request) (*Reservation, error) {
	now := time.Now()
	t.mu.Lock()
	r, w, reason := t.reserveOrQueue(now, req)
	t.mu.Unlock()
	if r != nil {
		return r, nil
	}
	if w == nil {
		return nil, t.refusal(req, reason, 0)
	}
	timer := time.NewTimer(time.Until(w.waitUntil))
	defer timer.Stop()
	reason = RefusedFull
	select {
	case a := <-w.assigned:
		return t.queuedReservation(w, a), nil
	case reason = <-w.refused:
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	queued := w.group.queue.remove(w)
	t.mu.Unlock()
	if !queued {
		select {
		case a := <-w.assigned: // a slot was assigned after the wait ended, before the lock was taken
			return t.queuedReservation(w, a), nil
		default:
		}
	}
	return nil, t.refusal(req, reason, time.Since(now))
}

// TryReserve reserves a slot for a request at an endpoint that can start it at once. It
// returns false if there is none, without queueing or refusing the request: it is meant
// for a request that another endpoint may still answer.
func (t *Table) TryReserve(req *Request) (*Reservation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, _, _ := t.reserve(time.Now(), req)
	return r, r != nil
}

// reserveOrQueue reserves a slot at once, queues the request, or refuses it. It
// returns the reservation, the waiter or the reason for the refusal; the other two
// results are zero. The caller must hold t.mu.
func (t *Table) reserveOrQueue(now time.Time, req *Request) (*Reservation, *waiter, RefusalReason) {
	r, w, reason := t.reserve(now, req)
	if w != nil {
		g := t.services[req.Service]
		g.queue.waiters = append(g.queue.waiters, w)
		t.awaitGrants(now, t.fleetState(now, g), w)
		t.refuseExcess(now, g)
	}
	return r, w, reason
}

// reserve reserves a slot at once. Otherwise it returns the waiter with which the
// request may be queued, or the reason for its refusal. The caller must hold t.mu.
func (t *Table) reserve(now time.Time, req *Request) (*Reservation, *waiter, RefusalReason) {
	g := t.services[req.Service]
	if g == nil {
		return nil, nil, RefusedNoEndpoint
	}
	if tooLate(now, req) {
		return nil, nil, RefusedLate
	}
	g.demand.add(now)
	firstSent := t.refusals.firstSentAt(req.Sent, req.Fingerprint)
	f := t.fleetState(now, g)
	w := newWaiter(now, req, firstSent, firstSent.Add(req.Objective-firstEventWithoutBacklog(g, req)))
	w.group, w.overuse = g, t.overuse(now, req.Service, req.Customer)
	onTime := t.countOnTime(now, req.Service, g)
	if yieldsToOnTime(w.late(now), onTime) {
		return nil, nil, RefusedFull
	}
	f.contenders, f.remoteContenders = t.contenders(now, req.Service, g)
	e, found := t.selectFor(f, g, req)
	if e != nil {
		expected := predict(f, e, req) - e.currentLag(now)
		a := t.assign(now, f, e, req)
		t.countEgress(f, g, e, req)
		return t.newReservation(now, g, a, req, expected), nil, ""
	}
	if !found {
		return nil, nil, RefusedNoEndpoint
	}
	if resume, paused := earliestResume(f, g.endpoints, req); paused && resume.After(w.waitUntil) {
		return nil, nil, RefusedPaused
	}
	if t.exceedsLimits(f, w, len(g.queue.waiters)) {
		return nil, nil, RefusedLimited
	}
	return nil, w, ""
}

// refuseExcess refuses queued requests that are unlikely to get a slot.
func (t *Table) refuseExcess(now time.Time, g *group) {
	g.queue.sortByUrgency(now)
	for _, w := range g.queue.excess(now, g.releaseRate) {
		g.queue.remove(w)
		w.refused <- RefusedFull
	}
}

// firstEventWithoutBacklog predicts the time to the first event at an engine
// that has all slots in use and no other prompt to process.
func firstEventWithoutBacklog(g *group, req *Request) time.Duration {
	if len(g.endpoints) == 0 || g.endpoints[0].engine() == nil {
		return 0
	}
	s := g.endpoints[0].engine()
	return predictFirstEvent(s, s.Slots, 0, req.PromptTokens)
}

// assign accounts for a request that is about to be sent to an endpoint.
func (t *Table) assign(now time.Time, f *fleetState, e *Endpoint, req *Request) assignment {
	e.inProgress++
	e.pendingTokens += req.PromptTokens
	e.takeSlot(now)
	// If there is no grant, the request is withheld when it is to be sent.
	permit, _ := t.limits.Take(now, e.limitKey)
	if permit.Limited() {
		t.wakeLimits()
	}
	return assignment{endpoint: e, permit: permit, passedOver: f.passedOver}
}

// refusal records a refusal and returns its error.
func (t *Table) refusal(req *Request, reason RefusalReason, waited time.Duration) *RefusedError {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.refusals.recordLocal(now, req.Fingerprint, t.refusals.firstSentAt(req.Sent, req.Fingerprint))
	refused := &RefusedError{Reason: reason, Waited: waited}
	onTime := 0
	if g := t.services[req.Service]; g != nil {
		if end, told := g.shortageEnd(now); told && reason == RefusedNoEndpoint && t.options.Contention {
			refused.RetryAfter = retryAfterShortage(end.Sub(now), req.Deadline.Sub(now), t.rng)
			return refused
		}
		onTime = t.countOnTime(now, req.Service, g)
		if resume, paused := earliestResume(t.fleetState(now, g), g.endpoints, req); paused {
			refused.RetryAfter = retryAfterPause(resume.Sub(now), t.rng)
			return refused
		}
		if forecast, limited := t.forecastLimits(t.fleetState(now, g), g.endpoints, req); limited {
			refused.Reason = RefusedLimited
			refused.RetryAfter = g.reserveReturn(now, &forecast, req.Deadline.Sub(now))
			return refused
		}
	}
	refused.RetryAfter = retryAfter(reason, onTime, req.Deadline.Sub(now), t.rng)
	return refused
}

// assignQueued assigns free slots to queued requests, in order of priority.
func (t *Table) assignQueued(now time.Time, g *group) {
	if len(g.queue.waiters) == 0 {
		return
	}
	f := t.fleetState(now, g)
	g.queue.sortByUrgency(now)
	onTime := 0
	for name, other := range t.services {
		if other == g {
			onTime = t.countOnTime(now, name, g)
			f.contenders, f.remoteContenders = t.contenders(now, name, g)
		}
	}
	for _, w := range slices.Clone(g.queue.waiters) {
		if yieldsToOnTime(w.late(now), onTime) {
			break // the queue is sorted: all further requests are late too
		}
		f.passedOver = 0
		e, _ := t.selectFor(f, g, w.request)
		if e == nil {
			continue
		}
		a := t.assign(now, f, e, w.request)
		t.countEgress(f, g, e, w.request)
		g.queue.remove(w)
		w.assigned <- a
	}
}

// Tick assigns slots that become available by the passing of time alone, when
// an endpoint is no longer considered suspect or full.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeers(now)
	for _, g := range t.services {
		t.stepEgress(now, g)
		t.assignQueued(now, g)
	}
}
