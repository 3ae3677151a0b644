package dispatch

import (
	"slices"
	"time"
)

// mostWait bounds the time in line: the objectives of the small deployments less
// the time that an idle engine takes to begin.
const mostWait = 250 * time.Millisecond

// waiter is one request in line.
type waiter struct {
	want  *Want
	first time.Time // when its caller first sent it
	start time.Time // when it has to begin to be answered in time
	until time.Time // when waiting no longer pays
	turn  chan *Endpoint
	over  chan Refusal // it is turned away before its time is up
}

// line is the requests of one service that wait for room.
type line struct {
	waiters []*waiter
}

// newWaiter returns a request that joins the line. It may wait as long as it can
// still be answered in time, or, when that is over, for a short moment in which
// room that nobody else has a claim to may come free.
func newWaiter(now time.Time, w *Want, first, start time.Time) *waiter {
	until := now.Add(mostWait)
	if w.Begun {
		until = now.Add(begunWait)
	} else if start.After(now) {
		until = minTime(until, start)
	} else {
		until = now.Add(lateWait)
	}
	return &waiter{
		want: w, first: first, start: start, until: minTime(until, w.Latest),
		turn: make(chan *Endpoint, 1), over: make(chan Refusal, 1),
	}
}

// lateWait is how long a request waits that can't be answered in time any more.
const lateWait = 50 * time.Millisecond

// begunWait is how long an answer that has begun waits to go on. Callers leave
// after two seconds without an event, of which finding the break took up to one.
const begunWait = 900 * time.Millisecond

// order sorts the line. It answers a load above what the engines bear, where
// somebody has to go without: those who can still be answered in time go before
// those who can't, and among them who came last. Whoever came first has least
// time left, is answered late if the prediction is off by a little, and then a
// place was spent on a quarter of its worth; serving those first makes everybody
// wait until then. Kinds with a longer objective have no advantage. Answers that
// have begun go before all others: what was spent on them would be lost.
func (l *line) order(now time.Time) {
	slices.SortStableFunc(l.waiters, func(a, b *waiter) int {
		x, y := a.late(now), b.late(now)
		switch {
		case a.want.Begun != b.want.Begun:
			if a.want.Begun {
				return -1
			}
			return 1
		case !x && y:
			return -1
		case x && !y:
			return 1
		}
		return b.first.Compare(a.first)
	})
}

// late reports whether a request can no longer be answered in time.
func (x *waiter) late(now time.Time) bool { return !x.want.Begun && !now.Before(x.start) }

// pressing returns how many in line can still be answered in time.
func (l *line) pressing(now time.Time) int {
	n := 0
	for _, x := range l.waiters {
		if !x.late(now) {
			n++
		}
	}
	return n
}

// leave takes a waiter out. It reports whether it was still there.
func (l *line) leave(x *waiter) bool {
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
