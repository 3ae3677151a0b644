package dispatch

import "time"

// RefusalReason is the reason why a request was refused.
type RefusalReason string

// Reasons for refusals.
const (
	RefusedNoEndpoint RefusalReason = "none"    // no endpoint is eligible
	RefusedFull       RefusalReason = "full"    // no slot became free in time
	RefusedShare      RefusalReason = "share"   // no slot became free in time; its customer is above its part
	RefusedLate       RefusalReason = "late"    // the deadline is too close
	RefusedPaused     RefusalReason = "paused"  // all eligible endpoints have asked for a pause that lasts too long
	RefusedLimited    RefusalReason = "limited" // all eligible endpoints are at the limits of the rates that they take
)

// RefusedError is the error for a request that gets no slot.
type RefusedError struct {
	Reason     RefusalReason
	RetryAfter time.Duration // delay after which the caller should retry
	Waited     time.Duration // time spent in the queue
}

func (e *RefusedError) Error() string { return "no slot reserved: " + string(e.Reason) }

// minTimeLeft is the time that must be left until a request's deadline. With less
// time left, the request is refused instead of sent.
const minTimeLeft = 60 * time.Millisecond

// tooLate reports whether a request would miss its deadline even if it were
// sent at once. Designed for callers that retry with little time left while all
// engines have long prompts to process.
func tooLate(now time.Time, req *Request) bool { return req.Deadline.Sub(now) < minTimeLeft }

// excess returns the queued requests that are unlikely to get a slot. These are
// the requests with more requests ahead of them in the queue than slots become
// free before their wait ends, at the given rate per second. Designed for a
// lasting overload: such requests would wait in vain and are refused at once. The
// queue must be sorted.
func (q *requestQueue) excess(now time.Time, releaseRate float64) []*waiter {
	var out []*waiter
	for i, w := range q.waiters {
		if !w.request.Resumed && float64(i) > queueSlack+releaseRate*w.waitUntil.Sub(now).Seconds() {
			out = append(out, w)
		}
	}
	return out
}

// refuseExcess refuses queued requests that are unlikely to get a slot.
func (t *Table) refuseExcess(now time.Time, g *group) {
	g.queue.sortByUrgency(now)
	excess := g.queue.excess(now, g.releaseRate)
	if o := g.queue.order; o != nil {
		excess = o.excess(now, g.queue.waiters, g.currentReleaseRate(now))
	}
	spared := t.spared(now, g)
	for _, w := range excess {
		if spared[w] {
			continue
		}
		g.queue.remove(w)
		w.refused <- w.reasonFull()
	}
}

// queueSlack is how many requests may wait beyond what the mean rate of
// released slots allows, because slots become free in bursts at the end of an
// engine's pass.
const queueSlack = 4

// yieldsToOnTime reports whether a late request must leave free slots to
// requests that can still be served on time. Designed for callers that retry
// during an overload: a slot given to a late retry is lost to an on-time request,
// here or at another entry.
func yieldsToOnTime(late bool, onTime int) bool { return late && onTime > 0 }
