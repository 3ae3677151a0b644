package dispatch

import (
	"math/rand/v2"
	"time"
)

// Bounds of what callers are told to wait.
const (
	returnLeast = 50 * time.Millisecond
	returnMost  = 2 * time.Second // a third of six seconds: later, callers don't come back
)

// comeBack returns when a refused caller should come back: when the requests
// before it will have been served, at the rate at which places come free,
// spread by chance so that those refused together don't come together. It
// answers a burst that ends, and callers that all obey.
func comeBack(r Refusal, waiting int, freed float64, random *rand.Rand) time.Duration {
	after := returnMost / 4 // nothing serves it now: weights take seconds to arrive
	if r != RefusedNone {
		after = returnLeast
		if freed > 0 {
			after += time.Duration(float64(waiting) / freed * float64(time.Second))
		}
	}
	after = time.Duration(float64(after) * (0.75 + random.Float64()/2))
	return min(max(after, returnLeast), returnMost)
}
