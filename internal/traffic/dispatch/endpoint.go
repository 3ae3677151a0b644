// Package dispatch decides where a request goes, whether it waits, when it is
// turned away, and when its caller should come back. It holds what an entry
// knows of the endpoints; it sends nothing.
//
// The four decisions have a file each, which names the load pattern that it
// answers: placing.go, waiting.go, rejecting.go, returning.go.
package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fulmardeal"
)

// Times and weights of what an entry believes of an endpoint.
const (
	suspectMin      = 300 * time.Millisecond  // two answers of a healthy engine
	suspectMax      = 4 * time.Second         // bounds the requests lost to an endpoint that is dark for longer
	fullBackoff     = 60 * time.Millisecond   // about one pass of an engine
	mismatchBackoff = 500 * time.Millisecond  // an endpoint's next registration is at most a beat and a poll away
	loadingTTL      = 1500 * time.Millisecond // agents say it every 500 ms while it lasts
	statusTTL       = 3 * time.Second         // two beats and a poll: then the registration tells the same
	failureWeight   = 0.15                    // of one answer in the mean share of failures
	lagWeight       = 0.3                     // of one answer in the mean lag
	lagHalfLife     = 1500 * time.Millisecond // in which a lag is half forgotten when nothing new is known
	ownSlotPriority = 25 * time.Millisecond   // until others know of a place that came free: a round of news of three
	reportDelay     = 60 * time.Millisecond   // until all entries know what one has sent: a round of news of twelve, and the way
	coldWindow      = time.Second             // over which a cold endpoint's requests are counted
)

// Endpoint is what this entry knows of one endpoint. Its id and address never
// change; the table's lock guards the rest.
type Endpoint struct {
	id           string
	address      string
	registration fulmardeal.Registration
	service      *fulmardeal.Service
	region       string
	networkDelay time.Duration // added to a predicted time: what the way there costs
	hash         uint64        // of the id, in messages between entries

	running       int // requests of this entry
	pendingTokens int // prompt tokens of those that have not begun to answer

	weights             int64 // version whose layers are all held; 0 is none
	statusAt            time.Time
	loadingUntil        time.Time     // it is taking new weights until about then
	suspectUntil        time.Time     // it is passed over until then
	consecutiveFailures int           // in a row
	failureRate         float64       // mean share of failures
	lag                 time.Duration // mean time by which it begins to answer later than predicted
	lagUpdated          time.Time     // when that was last heard of
	fullUntil           time.Time     // it had no room; passed over until then
	mismatchUntil       time.Time     // it is not what it was; passed over until then
	coldUntil           time.Time
	recentSends         []time.Time // in the last second
	released            []time.Time // when places came free that this entry held, and nobody else knows of yet
	slotQuota           int         // places that this entry may take in this round of news
	quotaDrawnAt        time.Time   // when that was drawn
}

// ID returns the endpoint's id.
func (e *Endpoint) ID() string { return e.id }

// Address returns where the endpoint listens.
func (e *Endpoint) Address() string { return e.address }

// engine returns how the endpoint works if it is an engine, else nil.
func (e *Endpoint) engine() *fulmardeal.EngineSpec { return e.service.Engine }

// slots returns how many requests the endpoint runs at once; 0 when unknown.
func (e *Endpoint) slots() int {
	if s := e.engine(); s != nil && s.Slots > 0 {
		return s.Slots
	}
	return e.registration.Slots
}

// update takes over a newer registration of the same id.
func (e *Endpoint) update(now time.Time, r fulmardeal.Registration, s *fulmardeal.Service) {
	restarted := !e.registration.Born.Equal(r.Born)
	if restarted {
		e.statusAt, e.loadingUntil, e.suspectUntil, e.consecutiveFailures, e.failureRate = time.Time{}, time.Time{}, time.Time{}, 0, 0
	}
	if e.registration.Sequence != r.Sequence {
		e.mismatchUntil = time.Time{}
	}
	e.registration, e.service = r, s
	if r.ColdLeft > 0 {
		e.coldUntil = now.Add(r.ColdLeft)
	}
	if s.Engine != nil && now.Sub(e.statusAt) > statusTTL {
		e.weights = r.Holds(s.Engine.Layers)
	}
}

// applyStatus takes what the agent beside an engine says of it.
func (e *Endpoint) applyStatus(now time.Time, weights int64, loading bool) {
	e.statusAt = now
	e.weights = weights
	e.loadingUntil = time.Time{}
	if loading {
		e.loadingUntil = now.Add(loadingTTL)
	}
}

// Fate says how an attempt at an endpoint ended.
type Fate int

// The fates of attempts.
const (
	FateServed  Fate = iota
	FateFull         // not run: no room
	FateAway         // not run: it is another endpoint, or lacks the weights
	FateFailed       // unreachable, broken off, or wrong
	FateDropped      // the caller left or the time was up; tells nothing
)

// recordOutcome takes over how an attempt ended.
func (e *Endpoint) recordOutcome(now time.Time, f Fate) {
	switch f {
	case FateServed:
		e.consecutiveFailures = 0
		e.failureRate -= failureWeight * e.failureRate
	case FateFull:
		e.fullUntil = now.Add(fullBackoff)
	case FateAway:
		e.mismatchUntil = now.Add(mismatchBackoff)
	case FateFailed:
		e.suspectUntil = now.Add(min(suspectMin<<min(e.consecutiveFailures, 8), suspectMax))
		e.consecutiveFailures++
		e.failureRate += failureWeight * (1 - e.failureRate)
	}
}

// coldRateAllows reports whether a cold endpoint bears one more request of this
// entry now. Entries share what it bears evenly.
func (e *Endpoint) coldRateAllows(now time.Time, entries int) bool {
	if e.service.ColdRate <= 0 || !now.Before(e.coldUntil) {
		return true
	}
	n := 0
	for _, t := range e.recentSends {
		if now.Sub(t) < coldWindow {
			n++
		}
	}
	return float64(n+1) <= max(1, e.service.ColdRate/float64(entries))
}

// mayTakeSlot reports whether this entry may take one of the free places, when so
// many entries have requests waiting for one. Whoever held a place and gave it
// back takes it again; the others share what they see free by lot, once in each
// round of news.
func (e *Endpoint) mayTakeSlot(now time.Time, free, contenders int, random *rand.Rand) bool {
	e.released = slices.DeleteFunc(e.released, func(t time.Time) bool { return now.Sub(t) > ownSlotPriority })
	if len(e.released) > 0 || contenders <= 1 {
		return true
	}
	if now.Sub(e.quotaDrawnAt) >= reportDelay {
		e.quotaDrawnAt = now
		e.slotQuota = int(float64(free)/float64(contenders) + random.Float64())
	}
	return e.slotQuota > 0
}

// takeSlot notes that this entry takes a place.
func (e *Endpoint) takeSlot(now time.Time) {
	if len(e.released) > 0 {
		e.released = e.released[1:]
	} else if e.slotQuota > 0 {
		e.slotQuota--
	}
	e.recordSend(now)
}

func (e *Endpoint) recordSend(now time.Time) {
	for len(e.recentSends) > 0 && now.Sub(e.recentSends[0]) >= coldWindow {
		e.recentSends = e.recentSends[1:]
	}
	e.recentSends = append(e.recentSends, now)
}

// recordFirstEvent takes over how long an answer took to begin, against the prediction. It
// finds endpoints that are slow, and those whose way is.
func (e *Endpoint) recordFirstEvent(now time.Time, took, predicted time.Duration) {
	lag := max(0, took-predicted)
	previous := e.currentLag(now)
	e.lag = previous + time.Duration(lagWeight*float64(lag-previous))
	e.lagUpdated = now
}

// currentLag returns the mean lag, which fades: else an endpoint that is passed over
// would never be tried again.
func (e *Endpoint) currentLag(now time.Time) time.Duration {
	if e.lag == 0 {
		return 0
	}
	return time.Duration(float64(e.lag) * math.Exp2(-float64(now.Sub(e.lagUpdated))/float64(lagHalfLife)))
}
