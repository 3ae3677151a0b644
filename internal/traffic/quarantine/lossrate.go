package quarantine

import "math"

// Parameters of the test that a part causes crashes.
const (
	minCrashes = 3 // successive crashes that a verdict takes

	// maxChance is the highest probability that a sound part meets with as many crashes
	// one after the other by chance.
	maxChance = 0.02

	lossWeight      = 1.0 / 32 // weight of one request in the loss rate
	initialLossRate = 0.1
	minLossRate     = 0.01
	maxLossRate     = 0.98
)

// lossRate is the share of ordinary requests that endpoints lose by crashes before they
// have begun to answer. Designed for outages in which many endpoints crash for reasons of
// their own: the more requests they lose, the less a crash says about the request.
type lossRate struct {
	rate float64
}

// record records a request that was lost or begun.
func (l *lossRate) record(lost bool) {
	x := 0.0
	if lost {
		x = 1
	}
	l.rate += lossWeight * (x - l.rate)
}

// crashesNeeded returns how many successive crashes it takes for a verdict.
func (l *lossRate) crashesNeeded() int {
	rate := min(max(l.rate, minLossRate), maxLossRate)
	return max(minCrashes, int(math.Ceil(math.Log(maxChance)/math.Log(rate))))
}

// lossRate returns the loss rate of a service.
func (t *Table) lossRate(service string) *lossRate {
	l := t.baseline[service]
	if l == nil {
		l = &lossRate{rate: initialLossRate}
		t.baseline[service] = l
	}
	return l
}
