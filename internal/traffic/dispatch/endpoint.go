// Package dispatch selects an endpoint for each request, queues requests that
// find no free slot, refuses those that cannot be served in time, and computes
// when a refused caller should retry. It holds what one entry knows about the
// endpoints and sends nothing itself.
//
// Each of the four decisions has its own file, which names the load pattern
// that it is designed for: selection.go, queue.go, refusal.go, retry.go.
package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fulmardeal"
	"fulmardeal/internal/traffic/ratelimit"
)

// Parameters of an entry's estimate of an endpoint's state.
const (
	// After a first failure an endpoint is suspect for suspectMin, in which a
	// healthy engine gives two responses. The time doubles with each further
	// consecutive failure, up to suspectMax, which limits the requests lost on
	// an endpoint that stays unreachable.
	suspectMin = 300 * time.Millisecond
	suspectMax = 4 * time.Second

	// fullBackoff is how long an endpoint gets no requests after it refused one
	// for lack of capacity. It is about one pass of an engine. It doubles with each
	// further refusal, up to maxFullBackoff, until the endpoint answers a request: each
	// refusal takes a retry from the budget.
	fullBackoff    = 60 * time.Millisecond
	maxFullBackoff = time.Second

	// mismatchBackoff is how long an endpoint gets no requests after an
	// OutcomeMismatch. The next registration, which corrects the entry's
	// knowledge, arrives within one heartbeat and one poll.
	mismatchBackoff = 500 * time.Millisecond

	// loadingTTL is how long an engine counts as loading weights after its agent
	// last said so. Agents repeat it every 500 ms while loading lasts.
	loadingTTL = 1500 * time.Millisecond

	// statusTTL is how long an agent's status takes precedence over the
	// endpoint's registration. After two heartbeats and a poll, the
	// registration has the same state.
	statusTTL = 3 * time.Second

	failureWeight = 0.15                    // weight of one response in the failure rate
	lagWeight     = 0.3                     // weight of one response in the mean lag
	lagHalfLife   = 1500 * time.Millisecond // half-life of the lag while no new response is measured

	// ownSlotPriority is how long this entry may take a slot again that it
	// released itself, without regard to its share. Other entries do not know
	// of the slot before that: it is the report interval of three entries.
	ownSlotPriority = 25 * time.Millisecond

	// minReportDelay is the shortest time that is assumed to pass until all entries
	// know that one of them sent a request. maxReportTransit is the network delay of a
	// report and the time until it is processed.
	minReportDelay   = 60 * time.Millisecond
	maxReportTransit = 20 * time.Millisecond

	// coldWindow is the window in which requests to a cold endpoint are counted.
	coldWindow = time.Second
)

// Endpoint is what this entry knows about one endpoint. The id and address
// never change; the other fields are guarded by the table's lock.
type Endpoint struct {
	id           string
	address      string
	registration fulmardeal.Registration
	service      *fulmardeal.Service
	region       string
	networkDelay time.Duration // added to the predicted time to the first event, for the network path
	hash         uint64        // hash of the id; identifies the endpoint in load reports

	inProgress    int // requests of this entry in progress
	pendingTokens int // prompt tokens of this entry's requests whose first event has not arrived

	weights      int64     // version of the weights that the endpoint holds completely; 0 if none
	statusAt     time.Time // when its agent last reported its status
	loadingUntil time.Time // estimated end of loading new weights

	// heartbeatsDue is how many heartbeats have to arrive before an engine whose process has
	// ended is used again; 0 if it has not.
	heartbeatsDue int

	// suspectUntil and silentUntil are the times until which the endpoint is suspect,
	// because of failures and because of silences. A suspect endpoint is used only when
	// all endpoints are suspect.
	suspectUntil        time.Time
	silentUntil         time.Time
	consecutiveFailures int
	failureRate         float64       // moving average of the fraction of failed requests
	lag                 time.Duration // moving average of how much later than predicted first events arrive
	lagUpdated          time.Time
	// fullUntil is the time until which the endpoint gets no requests, because it
	// refused one for lack of capacity.
	fullUntil     time.Time
	refusals      int // consecutive refusals for lack of capacity
	limitKey      ratelimit.Key
	notice        *notice     // what it has said about itself; nil if nothing
	mismatchUntil time.Time   // until this time the endpoint gets no requests, because of an OutcomeMismatch
	coldUntil     time.Time   // until this time requests are limited by the service's cold rate
	recentSends   []time.Time // send times of this entry's requests within coldWindow
	released      []time.Time // when this entry released slots that other entries do not know of yet
	slotQuota     int         // slots that this entry may take until its share is computed again
	quotaDrawnAt  time.Time
	work          workTime
	workHash      uint64 // identifies the work time in load reports
	shortage      shortage
}

// ID returns the endpoint's id.
func (e *Endpoint) ID() string { return e.id }

// Address returns the host and port on which the endpoint listens.
func (e *Endpoint) Address() string { return e.address }

// engine returns the engine's specification, or nil if the endpoint is not an
// engine.
func (e *Endpoint) engine() *fulmardeal.EngineSpec { return e.service.Engine }

// slots returns how many requests the endpoint runs concurrently, or 0 if
// unknown.
func (e *Endpoint) slots() int {
	if s := e.engine(); s != nil && s.Slots > 0 {
		return s.Slots
	}
	return e.registration.Slots
}

// update applies a newer registration with this endpoint's id.
func (e *Endpoint) update(now time.Time, r fulmardeal.Registration, s *fulmardeal.Service) {
	restarted := !e.registration.Born.Equal(r.Born)
	if restarted {
		e.statusAt, e.loadingUntil, e.suspectUntil, e.silentUntil = time.Time{}, time.Time{}, time.Time{}, time.Time{}
		e.consecutiveFailures, e.failureRate, e.refusals = 0, 0, 0
		e.heartbeatsDue = 0
		e.work = workTime{}
	}
	if e.registration.Sequence != r.Sequence {
		e.mismatchUntil = time.Time{}
		e.heartbeatsDue = max(0, e.heartbeatsDue-1)
	}
	e.registration, e.service = r, s
	e.limitKey = limitKey(&r)
	if r.ColdLeft > 0 {
		e.coldUntil = now.Add(r.ColdLeft)
	}
	if s.Engine != nil && now.Sub(e.statusAt) > statusTTL {
		e.weights = r.Holds(s.Engine.Layers)
	}
}

// applyStatus applies a status reported by the engine's agent.
func (e *Endpoint) applyStatus(now time.Time, weights int64, loading bool) {
	e.statusAt = now
	e.heartbeatsDue = 0
	e.weights = weights
	e.loadingUntil = time.Time{}
	if loading {
		e.loadingUntil = now.Add(loadingTTL)
	}
}

// Outcome says how a request sent to an endpoint ended.
type Outcome int

// Outcomes of requests sent to an endpoint.
const (
	OutcomeServed    Outcome = iota
	OutcomeFull              // not run: the endpoint had no free capacity
	OutcomeMismatch          // not run: another endpoint answered at the address, or the endpoint lacks the weights
	OutcomeFailed            // unreachable, connection broken, or invalid response
	OutcomeCancelled         // the caller disconnected or the deadline passed; says nothing about the endpoint
)

// recordOutcome updates the endpoint's state with the outcome of a request.
func (e *Endpoint) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeServed:
		e.consecutiveFailures, e.refusals = 0, 0
		e.failureRate -= failureWeight * e.failureRate
	case OutcomeFull:
		e.fullUntil = now.Add(min(fullBackoff<<min(e.refusals, 8), maxFullBackoff))
		e.refusals++
	case OutcomeMismatch:
		e.mismatchUntil = now.Add(mismatchBackoff)
	case OutcomeFailed:
		e.suspectUntil = now.Add(e.countFailure())
	}
}

// heartbeatsAfterCrash is how many heartbeats show that an engine is there although its
// process was taken to have ended: one of them may have been sent before.
const heartbeatsAfterCrash = 2

// recordCrash records that the endpoint's process has ended. An engine loses its weights with
// it, and the next process at its address has none at first. Designed for engines that crash
// all at once: requests that are sent to each address as soon as it answers again are refused,
// and take the retries of others.
func (e *Endpoint) recordCrash() {
	if e.engine() != nil {
		e.heartbeatsDue = heartbeatsAfterCrash
	}
}

// recordSilence updates the endpoint's state with a request that hears nothing from it.
func (e *Endpoint) recordSilence(now time.Time) { e.silentUntil = now.Add(e.countFailure()) }

// countFailure counts a failure or a silence, and returns for how long the endpoint is
// suspect because of it.
func (e *Endpoint) countFailure() time.Duration {
	d := min(suspectMin<<min(e.consecutiveFailures, 8), suspectMax)
	e.consecutiveFailures++
	e.failureRate += failureWeight * (1 - e.failureRate)
	return d
}

// suspectEnd returns the time until which the endpoint is suspect.
func (e *Endpoint) suspectEnd() time.Time {
	if e.silentUntil.After(e.suspectUntil) {
		return e.silentUntil
	}
	return e.suspectUntil
}

// isSuspect reports whether the endpoint is suspect.
func (e *Endpoint) isSuspect(now time.Time) bool { return now.Before(e.suspectEnd()) }

// sharesColdRate reports whether the endpoint is cold and takes less than one request per
// second from each entry. The entries then need grants.
func (e *Endpoint) sharesColdRate(now time.Time, entries int) bool {
	return now.Before(e.coldUntil) && e.service.ColdRate > 0 && e.service.ColdRate < float64(entries)
}

// coldRateAllows reports whether this entry may send a cold endpoint another
// request now. The endpoint's cold rate is divided evenly among the entries, unless they
// need grants.
func (e *Endpoint) coldRateAllows(now time.Time, entries int) bool {
	if e.service.ColdRate <= 0 || !now.Before(e.coldUntil) || e.sharesColdRate(now, entries) {
		return true
	}
	n := 0
	for _, t := range e.recentSends {
		if now.Sub(t) < coldWindow {
			n++
		}
	}
	return float64(n+1) <= e.service.ColdRate/float64(entries)
}

// mayTakeSlot reports whether this entry may take one of the free slots while
// the given number of entries compete for them. Entries do not see each other's
// sends within the given delay, so all of them would fill the same slots. Each
// therefore takes only its share of the free slots per delay, rounded at random. An entry that has just released a slot may take it again without
// regard to its share.
func (e *Endpoint) mayTakeSlot(now time.Time, free, contenders int, delay time.Duration, rng *rand.Rand) bool {
	e.released = slices.DeleteFunc(e.released, func(t time.Time) bool { return now.Sub(t) > ownSlotPriority })
	if len(e.released) > 0 || contenders <= 1 {
		return true
	}
	if now.Sub(e.quotaDrawnAt) >= delay {
		e.quotaDrawnAt = now
		e.slotQuota = int(float64(free)/float64(contenders) + rng.Float64())
	}
	return e.slotQuota > 0
}

// takeSlot records that this entry takes a slot.
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

// recordFirstEvent updates the lag with the measured and the predicted time to
// the first event. The lag reveals slow endpoints and slow network paths.
func (e *Endpoint) recordFirstEvent(now time.Time, took, predicted time.Duration) {
	e.refusals = 0
	lag := max(0, took-predicted)
	previous := e.currentLag(now)
	e.lag = previous + time.Duration(lagWeight*float64(lag-previous))
	e.lagUpdated = now
}

// currentLag returns the mean lag, which decays with time: otherwise an
// endpoint that is avoided for its lag would never be tried again.
func (e *Endpoint) currentLag(now time.Time) time.Duration {
	if e.lag == 0 {
		return 0
	}
	return time.Duration(float64(e.lag) * math.Exp2(-float64(now.Sub(e.lagUpdated))/float64(lagHalfLife)))
}
