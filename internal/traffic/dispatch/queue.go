package dispatch

import (
	"slices"
	"time"
)

// maxWait limits the time that a request waits in the queue. It is the objective
// of the small deployments, less the time that an idle engine takes to the first
// event.
const maxWait = 250 * time.Millisecond

// waiter is a queued request.
type waiter struct {
	group       *group
	request     *Request
	firstSent   time.Time          // when its caller first sent it, before any retries
	latestStart time.Time          // latest time at which an endpoint can start it and still respond on time
	queued      time.Time          // when it joined the queue
	waitUntil   time.Time          // when it leaves the queue and is refused
	assigned    chan assignment    // receives the slot that the request got
	refused     chan RefusalReason // receives the reason if the request is refused before waitUntil
	leftSlot    bool               // a slot was free when last looked for, and left to requests that come before it
	extended    bool               // it waits longer, because it left a free slot
	leavesNone  bool               // its wait has ended, and it takes any free slot
	class       int                // index of its class, as of the last sort by rank
	overuse     float64            // how far its customer is above its part, as a fraction of the part; 0 within it
}

// requestQueue is the queue of requests for one service that wait for a slot.
type requestQueue struct {
	waiters []*waiter
	order   *order // nil unless the service's requests have different ranks
}

// newWaiter returns a queue element for a request. The request may wait while
// it can still be served on time, at most for maxWait. A late request waits only
// briefly, for a slot that no on-time request needs.
func newWaiter(now time.Time, req *Request, firstSent, latestStart time.Time) *waiter {
	waitUntil := now.Add(maxWait)
	if req.Resumed {
		waitUntil = now.Add(resumedWait)
	} else if latestStart.After(now) {
		waitUntil = minTime(waitUntil, latestStart)
	} else {
		waitUntil = now.Add(lateWait)
	}
	return &waiter{
		request: req, firstSent: firstSent, latestStart: latestStart, queued: now, waitUntil: minTime(waitUntil, req.Deadline),
		assigned: make(chan assignment, 1), refused: make(chan RefusalReason, 1),
	}
}

// lateWait is how long a late request waits, that is, one that can no longer be
// served on time.
const lateWait = 50 * time.Millisecond

// resumedWait is how long an interrupted response waits to be resumed. Callers
// disconnect after 2 s without an event, and detecting the interruption may
// already have taken 1 s of these.
const resumedWait = 900 * time.Millisecond

// sortByUrgency sorts the queue by descending priority. Designed for loads
// above the capacity, where some requests cannot be served on time. Requests
// that can still be served on time precede late ones, and within both groups
// the request sent last comes first. Serving the oldest first would make every
// request wait until it is nearly late. Then a small prediction error makes the
// response late, and a late response earns only a quarter of its worth.
//
// Requests of customers above their part follow the others, on time or late.
//
// Request kinds with a longer objective get no advantage. Interrupted responses
// precede all others, because the work already spent on them would be lost.
//
// Where requests have different ranks, order.sort decides.
func (q *requestQueue) sortByUrgency(now time.Time) {
	if q.order != nil {
		q.order.sort(now, q.waiters)
		return
	}
	overPart := slices.ContainsFunc(q.waiters, (*waiter).overPart)
	slices.SortStableFunc(q.waiters, func(a, b *waiter) int {
		lateA, lateB := a.late(now), b.late(now)
		switch {
		case a.request.Resumed != b.request.Resumed:
			if a.request.Resumed {
				return -1
			}
			return 1
		case !lateA && lateB:
			return -1
		case lateA && !lateB:
			return 1
		case overPart && a.overuseClass(now) != b.overuseClass(now):
			return a.overuseClass(now) - b.overuseClass(now)
		}
		return b.firstSent.Compare(a.firstSent)
	})
}

// late reports whether a request can no longer be served on time. Interrupted
// responses never count as late.
func (w *waiter) late(now time.Time) bool { return !w.request.Resumed && !now.Before(w.latestStart) }

// countOnTime returns how many queued requests can still be served on time.
func (q *requestQueue) countOnTime(now time.Time) int {
	n := 0
	for _, w := range q.waiters {
		if !w.late(now) {
			n++
		}
	}
	return n
}

// remove removes a waiter from the queue and reports whether it was in the queue.
func (q *requestQueue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
