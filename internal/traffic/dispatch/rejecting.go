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

// leastLeft is the time below which a request isn't sent any more.
const leastLeft = 60 * time.Millisecond

// hopeless reports whether a request can't be answered even if it were sent at
// once. It answers callers that come back with little time left, while all
// engines have long prompts to read.
func hopeless(now time.Time, w *Want) bool { return w.Latest.Sub(now) < leastLeft }

// crowded reports whether the line has more requests than places come free
// within the time that one may wait. It answers a burst: who joins behind
// would only wait to be refused.
func crowded(waiting int, freed float64) bool {
	return float64(waiting) > lineLeast+freed*mostWait.Seconds()
}

// lineLeast is how many may wait while nothing is known of the rate at which
// places come free.
const lineLeast = 4
