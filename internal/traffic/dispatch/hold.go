package dispatch

import "time"

// This file decides when a request leaves a free slot to queued requests that come before
// it, or to requests that come before it and aren't known yet. Designed for entries of one
// region that compete for the same slots: those that come before may be queued at another
// entry, which learns of a free slot only from a report.
// None leaves a slot for longer than holdTime. One that has just arrived and can't wait that
// long leaves none, and one whose wait ends while it leaves a slot waits on until it may have it.

// holdTime is how long a slot must have been free for a request to take it while as many
// that come before it are queued at other entries. These have learned of it then, and the
// request can still be served on time.
const holdTime = 100 * time.Millisecond

// holdMargin is how much longer than holdTime it may take until a request gets a slot that it has
// left: the queue isn't looked at all the time.
const holdMargin = 20 * time.Millisecond

// reservePerEntry is how many free slots requests of customers above their part leave for each
// other entry of this region. An entry learns only from the next report what another one has sent
// meanwhile, so both would send to the last free slots.
const reservePerEntry = 3

// ahead is which queued requests of a service come before others.
type ahead struct {
	group      *group
	withinPart int           // of customers within their part, at other entries of this region
	classes    *classesAhead // nil unless requests have different ranks
}

// ahead returns which queued requests of a service come before others. The caller must hold
// t.mu.
func (t *Table) ahead(now time.Time, g *group) ahead {
	a := ahead{group: g, classes: t.classesAhead(now, g)}
	if t.contention {
		a.withinPart = g.withinPartWaiting(now, t.withinPart[g.name])
	}
	return a
}

// mayPrecede reports whether any request comes before the given one.
func (a *ahead) mayPrecede(w *waiter) bool {
	return w.overPart() || a.classes != nil && !w.request.Resumed
}

// elsewhere returns how many requests come before the given one at other entries of this region.
func (a *ahead) elsewhere(w *waiter) int {
	if a.classes != nil {
		return a.classes.elsewhere(w)
	}
	if w.overPart() {
		return a.withinPart
	}
	return 0
}

// unseen returns how many slots the given request leaves to requests that other entries of this
// region send before this one hears of them: at most one for each endpoint.
func (a *ahead) unseen(f *fleetState, w *waiter) int {
	if !w.overPart() {
		return 0
	}
	return min(reservePerEntry*(f.regionEntries-1), len(a.group.endpoints))
}

// here returns how many requests come before the given one in this entry's queue, may use the
// endpoint, and can still be served on time.
func (a *ahead) here(f *fleetState, e *Endpoint, w *waiter) int {
	n := 0
	for _, other := range a.group.queue.waiters {
		if a.precedes(other, w) && !other.late(f.now) && eligible(f, e, other.request) {
			n++
		}
	}
	return n
}

// precedes reports whether a request in this entry's queue comes before the given one.
func (a *ahead) precedes(other, w *waiter) bool {
	if a.classes != nil {
		return a.classes.precedes(other, w)
	}
	return w.overPart() && !other.overPart()
}

// needsAll reports whether the requests that come before the given one need all slots that are
// free for it. One that has just arrived leaves the slot then.
func (a *ahead) needsAll(f *fleetState, e *Endpoint, w *waiter) bool {
	return a.mayPrecede(w) && !a.group.hasMoreFree(f, w.request, a.elsewhere(w)+a.here(f, e, w)+a.unseen(f, w))
}

// holds reports whether a queued request leaves a free slot of an endpoint to others. It doesn't
// once the slot has been free for holdTime.
func (a *ahead) holds(f *fleetState, e *Endpoint, w *waiter) bool {
	if w.leavesNone || !a.needsAll(f, e, w) {
		return false
	}
	if o := &e.offered; o.since.IsZero() || f.now.Sub(o.last) > holdTime {
		o.since = f.now
	}
	e.offered.last = f.now
	return f.now.Sub(e.offered.since) < holdTime
}

// canLeave reports whether a request that has just arrived can still be served as it could be now
// after it has left a slot.
func (w *waiter) canLeave(now time.Time) bool {
	left := w.request.Deadline.Sub(now) - minTimeLeft
	if !w.late(now) {
		left = min(left, w.latestStart.Sub(now))
	}
	return left >= holdTime+holdMargin
}

// extendWait returns for how much longer a request is to wait whose wait has ended while it left
// a free slot to others: until these have had holdTime to take it. After that it gets the
// slot if it is still free. Late requests yield to those on time as ever.
func (t *Table) extendWait(w *waiter) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, g := time.Now(), w.group
	if !w.leftSlot || yieldsToOnTime(w.late(now), t.countOnTime(now, g.name, g)) {
		return 0
	}
	if more := min(holdTime, w.request.Deadline.Sub(now)-minTimeLeft); !w.extended && more > 0 {
		w.extended, w.waitUntil = true, now.Add(more)
		return more
	}
	w.leavesNone = true
	t.assignQueued(now, g)
	return 0
}

// withinPartWaiting returns how many requests of customers within their part are queued at other
// entries, given how many the last reports say, or were until holdTime ago: one that comes next
// is to find a slot.
func (g *group) withinPartWaiting(now time.Time, reported int) int {
	if reported >= g.othersWaiting || now.Sub(g.othersWaited) > holdTime {
		g.othersWaited, g.othersWaiting = now, reported
	}
	return g.othersWaiting
}

// hasMoreFree reports whether more than n slots are free for a request.
func (g *group) hasMoreFree(f *fleetState, req *Request, n int) bool {
	if n == 0 {
		return true
	}
	for _, e := range g.endpoints {
		if !eligible(f, e, req) || e.isSuspect(f.now) || f.limitAllows != nil && !f.limitAllows(e) {
			continue
		}
		if n -= max(0, freeSlots(f, e, req)); n < 0 {
			return true
		}
	}
	return false
}

// offer is a free slot that is left to other entries.
type offer struct {
	since, last time.Time // when it was first and last looked at
}

// endOffers ends the offers of endpoints that can't start another request.
func (g *group) endOffers(f *fleetState) {
	for _, e := range g.endpoints {
		e.endOffer(f)
	}
}

func (e *Endpoint) endOffer(f *fleetState) {
	if !e.offered.since.IsZero() && freeSlots(f, e, &Request{}) <= 0 {
		e.offered = offer{}
	}
}
