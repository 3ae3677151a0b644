package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmardeal/internal/traffic/fairness"
)

// overuseLimits separate the classes of customers above their part in the queue. They are few,
// so that the order inside a class decides about most requests.
var overuseLimits = [...]float64{0, 1}

// secureTime is how much time must be left to start a request for it to be likely to be answered
// in time: an engine's pass and the way there take most of it.
const secureTime = 100 * time.Millisecond

// overuseClass returns the place of a request's customer in the order of a queue that holds
// requests of customers above their part: 0 is for those within theirs, 1 for such requests that
// are likely to be late, and what follows for those above.
func (w *waiter) overuseClass(now time.Time) int {
	if !w.overPart() {
		if w.latestStart.Sub(now) < secureTime {
			return 1
		}
		return 0
	}
	n := 1
	for _, limit := range overuseLimits {
		if w.overuse > limit {
			n++
		}
	}
	return n
}

// overPart reports whether a request's customer is above its part.
func (w *waiter) overPart() bool { return w.overuse > 0 }

// reasonFull returns the reason for which a request is refused that gets no slot in time.
func (w *waiter) reasonFull() RefusalReason {
	if w.overPart() {
		return RefusedShare
	}
	return RefusedFull
}

// updateContention notes whether customers are to get parts: they contend, and there are any.
// Once there are none, nothing is remembered of them, and queued requests are in the order that
// they have without parts. The caller must hold t.mu.
func (t *Table) updateContention(customers int) {
	on := t.options.Contention && customers > 0
	if t.contention && !on {
		t.fairness.Reset()
		t.behind, t.left = nil, nil
		for _, g := range t.services {
			for _, w := range g.queue.waiters {
				w.overuse, w.leftSlot = 0, false
			}
		}
	}
	t.contention = on
}

// overuse returns how far the customer of a request is above its part of a service's
// capacity, as a fraction of the part, and 0 while it is within it. The rest of an
// interrupted response counts as within it, because the work spent on it would be lost, and so
// do requests worth the part while the customer is above it. The caller must hold t.mu.
func (t *Table) overuse(now time.Time, w *waiter) float64 {
	if !t.contention {
		return 0
	}
	req := w.request
	overuse := t.fairness.Overuse(now, req.Service, req.Customer)
	if overuse <= 0 || req.Resumed {
		return 0
	}
	if !w.late(now) && len(w.group.endpoints) > 0 && t.fairness.TakeFloor(now, req.Service, req.Customer, useCost(w.group.endpoints[0], req)) {
		return 0
	}
	count(&t.behind, req.Service)
	return overuse
}

// count counts an event of a service.
func count(counts *map[string]int, service string) {
	if *counts == nil {
		*counts = make(map[string]int)
	}
	(*counts)[service]++
}

// useCost returns how much of an endpoint a request occupies. While an engine processes a
// prompt, it does nothing else.
func useCost(e *Endpoint, req *Request) fairness.Cost {
	c := fairness.Cost{Share: 1 / float64(max(1, e.slots()))}
	if s := e.engine(); s != nil && s.ReadRate > 0 {
		c.Once = time.Duration(float64(req.PromptTokens) / s.ReadRate * float64(time.Second))
	}
	return c
}

// startUse records that a request gets a slot. The caller must hold t.mu.
func (t *Table) startUse(now time.Time, e *Endpoint, req *Request) fairness.Hold {
	if !t.contention {
		return fairness.Hold{}
	}
	return t.fairness.Start(now, req.Service, req.Customer, useCost(e, req))
}

// refuseUse records that a request finds no slot: it is queued, or refused for the given
// reason. The caller must hold t.mu.
func (t *Table) refuseUse(now time.Time, req *Request, w *waiter, reason RefusalReason) {
	if !t.contention || w == nil && reason != RefusedFull {
		return
	}
	if g := t.services[req.Service]; len(g.endpoints) > 0 {
		t.fairness.Refuse(now, req.Service, req.Customer, useCost(g.endpoints[0], req))
	}
}

// acceptUse records that a queued request gets a slot. The caller must hold t.mu.
func (t *Table) acceptUse(now time.Time, w *waiter, e *Endpoint) {
	if t.contention {
		t.fairness.Accept(now, w.request.Service, w.request.Customer, useCost(e, w.request), now.Sub(w.queued))
	}
}

// queuedWithinPart returns how many requests of customers within their part another entry of this
// region reports as queued, which can still be served on time, by service. Those of other regions
// have endpoints of their own. The caller must hold t.mu.
func (t *Table) queuedWithinPart(now time.Time, entry string, p *peer) map[string]int {
	if !t.contention || p.region != t.options.Region {
		return nil
	}
	var out map[string]int
	for name, g := range t.services {
		n := p.loads[g.queueHash].inProgress
		if n <= 0 {
			continue
		}
		t.fairness.NoteQueue(now, name, entry)
		if n -= p.loads[g.overPartHash].inProgress; n > 0 {
			if out == nil {
				out = make(map[string]int)
			}
			out[name] = n
		}
	}
	return out
}

// addWithinPart adds what another entry reports to the sums, or subtracts it if sign is -1. The
// caller must hold t.mu.
func (t *Table) addWithinPart(queued map[string]int, sign int) {
	for service, n := range queued {
		if t.withinPart == nil {
			t.withinPart = make(map[string]int)
		}
		if t.withinPart[service] += sign * n; t.withinPart[service] == 0 {
			delete(t.withinPart, service)
		}
	}
}

// refuseOverPart refuses queued requests of customers above their part that are unlikely to get
// a slot, because other entries have many requests of customers within theirs. Those for which
// a slot is free may still get it.
func (t *Table) refuseOverPart(now time.Time, service string, g *group) {
	if !t.contention {
		return
	}
	ahead := t.withinPart[service] / t.entriesInRegion() // the entries share the slots that become free
	spared := t.spared(now, g)
	for i, w := range slices.Clone(g.queue.waiters) {
		if w.overPart() && !w.request.Resumed && !spared[w] && float64(i+ahead) > queueSlack+g.releaseRate*w.waitUntil.Sub(now).Seconds() {
			g.queue.remove(w)
			w.refused <- RefusedShare
		}
	}
}

// sparedPerSlot is how many requests that left free slots may wait for each slot that they may
// get: some of them end before, and the last sent come first.
const sparedPerSlot = 4

// spared returns the requests that left free slots to others and may still get them, or one that
// becomes free before their wait ends. The queue must be sorted.
func (t *Table) spared(now time.Time, g *group) map[*waiter]bool {
	if !t.contention && g.queue.order == nil {
		return nil
	}
	var out map[*waiter]bool
	slots := 0
	for _, w := range g.queue.waiters {
		if !w.leftSlot {
			continue
		}
		if out == nil {
			out = make(map[*waiter]bool)
			slots = g.countFree(t.fleetState(now, g))
		}
		if float64(len(out)) < sparedPerSlot*(float64(slots)+g.releaseRate*w.waitUntil.Sub(now).Seconds()) {
			out[w] = true
		}
	}
	return out
}

// countFree returns how many slots are free for requests without a prompt.
func (g *group) countFree(f *fleetState) int {
	n := 0
	for _, e := range g.endpoints {
		if e.accepts(f.now) {
			n += max(0, freeSlots(f, e, &Request{}))
		}
	}
	return n
}

// overPartHash returns the hash under which a load report says how many of a service's queued
// requests are of customers above their part.
func overPartHash(service string) uint64 { return xxhash.Sum64String("line/over/" + service) }

// countWithinPart returns how many queued requests can still be served on time and are of
// customers within their part.
func (q *requestQueue) countWithinPart(now time.Time) int {
	n := 0
	for _, w := range q.waiters {
		if !w.overPart() && !w.late(now) {
			n++
		}
	}
	return n
}

// appendOverPart appends to a load report how many queued requests are of customers above their
// part.
func appendOverPart(loads []EndpointLoad, now time.Time, service string, q *requestQueue) []EndpointLoad {
	if n := q.countOnTime(now) - q.countWithinPart(now); n > 0 {
		loads = append(loads, EndpointLoad{Hash: overPartHash(service), Running: n})
	}
	return loads
}

// UseReport returns what this entry reports of its customers' use, or false if there is no need
// of a report.
func (t *Table) UseReport(now time.Time) (fairness.Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.contention {
		return fairness.Report{}, false
	}
	return t.fairness.Report(now)
}

// ApplyUse applies what another entry reports of its customers' use.
func (t *Table) ApplyUse(now time.Time, entry string, r fairness.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.contention {
		t.fairness.Apply(now, entry, r)
	}
}

// Shares is what has happened to customers above their part.
type Shares struct {
	Changes []fairness.Change // since the last call
	Above   []fairness.Standing
	States  []fairness.ServiceState
	Behind  map[string]int // requests put behind others since the last call, by service
	Left    map[string]int // requests that left a free slot when they arrived, since the last call, by service
}

// Shares returns what has happened to customers above their part since its last call.
func (t *Table) Shares(now time.Time) Shares {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Shares{Changes: t.fairness.Changes(now), Above: t.fairness.Standings(), States: t.fairness.States(now), Behind: t.behind, Left: t.left}
	t.behind, t.left = nil, nil
	return s
}

// Parts returns how the services' endpoints are shared, and the customers above their part, for a
// state dump.
func (t *Table) Parts(now time.Time) ([]fairness.ServiceState, []fairness.Standing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fairness.States(now), t.fairness.Standings()
}
