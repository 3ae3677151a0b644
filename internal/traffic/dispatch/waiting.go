package dispatch

import (
	"slices"
	"time"
)

// mostWait bounds the time in line. Over the whole fleet a place comes free
// every few milliseconds; who has not had one by then is one of too many, and
// its caller does better to know.
const mostWait = 150 * time.Millisecond

// waiter is one request in line.
type waiter struct {
	want   *Want
	joined time.Time
	until  time.Time // when waiting no longer pays
	turn   chan *Endpoint
	gone   bool
}

// line is the requests of one service that wait for room.
type line struct {
	waiters []*waiter
}

// waitUntil returns until when a request may wait: as long as it can still be
// answered in time, or, when it is late already, for a short moment in which
// room that nobody else has a claim to may come free.
func waitUntil(now time.Time, w *Want, soonest time.Duration) time.Time {
	until := now.Add(mostWait)
	if last := w.Objective.Add(-soonest); last.After(now) {
		until = minTime(until, last)
	}
	return minTime(until, w.Latest)
}

// order sorts the line. It answers a load above what the engines bear, where
// somebody has to go without: those who can still be answered in time go before
// those who can't, and among them who has most time left. Whoever has least is
// answered late if the prediction is off by a little, and then a place was spent
// on a quarter of its worth; serving those first makes everybody wait until then.
func (l *line) order(now time.Time) {
	slices.SortStableFunc(l.waiters, func(a, b *waiter) int {
		x, y := late(now, a.want), late(now, b.want)
		switch {
		case !x && y:
			return -1
		case x && !y:
			return 1
		}
		return b.until.Compare(a.until)
	})
}

func late(now time.Time, w *Want) bool { return !now.Before(w.Objective) }

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
