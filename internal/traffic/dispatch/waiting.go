package dispatch

import (
	"slices"
	"time"
)

// maxWait bounds the time in line: the objectives of the small deployments less
// the time that an idle engine takes to begin.
const maxWait = 250 * time.Millisecond

// waiter is one request in line.
type waiter struct {
	request     *Want
	firstSent   time.Time // when its caller first sent it
	latestStart time.Time // when it has to begin to be answered in time
	waitUntil   time.Time // when waiting no longer pays
	assigned    chan *Endpoint
	refused     chan Refusal // it is turned away before its time is up
}

// requestQueue is the requests of one service that wait for room.
type requestQueue struct {
	waiters []*waiter
}

// newWaiter returns a request that joins the line. It may wait as long as it can
// still be answered in time, or, when that is over, for a short moment in which
// room that nobody else has a claim to may come free.
func newWaiter(now time.Time, w *Want, firstSent, latestStart time.Time) *waiter {
	waitUntil := now.Add(maxWait)
	if w.Begun {
		waitUntil = now.Add(resumedWait)
	} else if latestStart.After(now) {
		waitUntil = minTime(waitUntil, latestStart)
	} else {
		waitUntil = now.Add(lateWait)
	}
	return &waiter{
		request: w, firstSent: firstSent, latestStart: latestStart, waitUntil: minTime(waitUntil, w.Latest),
		assigned: make(chan *Endpoint, 1), refused: make(chan Refusal, 1),
	}
}

// lateWait is how long a request waits that can't be answered in time any more.
const lateWait = 50 * time.Millisecond

// resumedWait is how long an answer that has begun waits to go on. Callers leave
// after two seconds without an event, of which finding the break took up to one.
const resumedWait = 900 * time.Millisecond

// sortByUrgency sorts the line. It answers a load above what the engines bear, where
// somebody has to go without: those who can still be answered in time go before
// those who can't, and among them who came last. Whoever came first has least
// time left, is answered late if the prediction is off by a little, and then a
// place was spent on a quarter of its worth; serving those first makes everybody
// wait until then. Kinds with a longer objective have no advantage. Answers that
// have begun go before all others: what was spent on them would be lost.
func (l *requestQueue) sortByUrgency(now time.Time) {
	slices.SortStableFunc(l.waiters, func(a, b *waiter) int {
		x, y := a.late(now), b.late(now)
		switch {
		case a.request.Begun != b.request.Begun:
			if a.request.Begun {
				return -1
			}
			return 1
		case !x && y:
			return -1
		case x && !y:
			return 1
		}
		return b.firstSent.Compare(a.firstSent)
	})
}

// late reports whether a request can no longer be answered in time.
func (x *waiter) late(now time.Time) bool { return !x.request.Begun && !now.Before(x.latestStart) }

// countOnTime returns how many in line can still be answered in time.
func (l *requestQueue) countOnTime(now time.Time) int {
	n := 0
	for _, x := range l.waiters {
		if !x.late(now) {
			n++
		}
	}
	return n
}

// remove takes a waiter out. It reports whether it was still there.
func (l *requestQueue) remove(x *waiter) bool {
	i := slices.Index(l.waiters, x)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
