package dispatch

import "time"

// Refusal says why a request can't be placed.
type Refusal string

// Reasons of refusals.
const (
	RefusedNone Refusal = "none" // no endpoint may serve it
	RefusedFull Refusal = "full" // none had room in time
	RefusedLate Refusal = "late" // it can't be answered before its deadline
)

// minTimeLeft is the time below which a request isn't sent any more.
const minTimeLeft = 60 * time.Millisecond

// tooLate reports whether a request can't be answered even if it were sent at
// once. It answers callers that come back with little time left, while all
// engines have long prompts to read.
func tooLate(now time.Time, w *Want) bool { return w.Latest.Sub(now) < minTimeLeft }

// excess returns those in line whose turn won't come: behind so many others that
// the places that come free until then go to those. It answers an overload that
// lasts, in which whoever waits in vain should know at once. The line is sorted.
func (l *requestQueue) excess(now time.Time, releaseRate float64) []*waiter {
	var out []*waiter
	for i, x := range l.waiters {
		if !x.request.Begun && float64(i) > queueSlack+releaseRate*x.waitUntil.Sub(now).Seconds() {
			out = append(out, x)
		}
	}
	return out
}

// queueSlack is how many may wait beyond what the mean rate of freed places
// promises: places come free in bunches, at the end of an engine's pass.
const queueSlack = 4

// yieldsToOnTime reports whether a request that can't be answered in time any more must
// leave room to others. It answers callers that come back in an overload: a
// place for one of them is one less for a request that is still in time, here or
// at another entry.
func yieldsToOnTime(late bool, onTime int) bool { return late && onTime > 0 }
