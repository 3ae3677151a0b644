package quarantine

import (
	"math"
	"slices"
	"time"
)

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

// loss is an ordinary request that an endpoint lost when it crashed.
type loss struct {
	service  string
	endpoint uint64 // hash of the endpoint's id
	at       time.Time
}

// maxLosses bounds the losses that are not judged yet.
const maxLosses = 1024

func (t *Table) addLoss(l loss) {
	if len(t.losses) < maxLosses {
		t.losses = append(t.losses, l)
	}
}

// ending is an endpoint that crashed with an ordinary request aboard.
type ending struct {
	endpoint uint64 // hash of the endpoint's id
	at       time.Time
}

const (
	maxEndings     = 256
	endingInterval = 100 * time.Millisecond // endpoints that end within it count as one
	maxMoreCrashes = 2                      // crashes that endings add to those needed
)

func (t *Table) addEnding(e ending) {
	if n := len(t.endings); n > 0 && t.endings[n-1].endpoint == e.endpoint {
		return
	}
	t.endings = append(t.endings, e)
	if len(t.endings) > maxEndings {
		t.endings = append([]ending(nil), t.endings[maxEndings/2:]...)
	}
}

// moreCrashesNeeded returns how many crashes more a verdict takes because endpoints also end,
// since the given time, with ordinary requests only. Designed for releases and outages, in which
// an answer of some seconds often meets with the end of its endpoint.
func (t *Table) moreCrashesNeeded(since time.Time) int {
	count := 0
	var last time.Time
	for _, e := range t.endings {
		suspicious := slices.ContainsFunc(t.evidence.byEnd[e.endpoint], func(c *crash) bool { return len(c.parts) > 1 })
		if !suspicious && !e.at.Before(since) && e.at.Sub(last) >= endingInterval {
			count++
			last = e.at
		}
	}
	return min(count/2, maxMoreCrashes)
}

// judgeLosses counts the losses that no suspect explains, once all entries have reported what
// they lost at the same endpoints. Designed for a part that ends endpoints which run many other
// requests: their losses say nothing about the chance of a crash without the part, and would
// make its verdict take more crashes.
func (t *Table) judgeLosses(now time.Time) {
	for len(t.losses) > 0 && now.Sub(t.losses[0].at) >= settleTime {
		l := t.losses[0]
		t.losses = t.losses[1:]
		if !t.hadSuspect(now, l.endpoint) {
			t.lossRate(l.service).record(true)
		}
	}
}

// hadSuspect reports whether an endpoint crashed with a request aboard that has a part on which
// no answer has ever begun, and with which manyEnded endpoints crashed. The last part of a
// request doesn't count, since no other request has it.
func (t *Table) hadSuspect(now time.Time, endpoint uint64) bool {
	for _, c := range t.evidence.byEnd[endpoint] {
		for _, key := range c.parts[:max(0, len(c.parts)-1)] {
			if !t.evidence.known(key, c.at, c.weights) && t.ended(now, key) >= manyEnded {
				return true
			}
		}
	}
	return false
}
