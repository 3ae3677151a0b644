package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fulmardeal"
)

// Weights of placing.
const (
	// tieMarginPerEntry is, for each entry, how close two predictions are for chance to
	// decide: the more entries place without seeing each other's sends, the more
	// of them would pick the same engine.
	tieMarginPerEntry = 10 * time.Millisecond

	// failurePenalty is what a share of failures of 1 adds to a prediction: about
	// the time that a repeat takes.
	failurePenalty = 400 * time.Millisecond

	// plainQueuePerSlot is how many requests a plain endpoint may have waiting for
	// each slot.
	plainQueuePerSlot = 1.0

	// supersededMargin is left between the last send to an engine with older
	// weights and the bound: the time that a request may wait in the engine
	// before it begins.
	supersededMargin = 1300 * time.Millisecond
)

// Want is what a request needs of an endpoint.
type Want struct {
	Service     string
	Homes       [][]string // of route and customer; each that isn't empty binds
	Prompt      int        // tokens
	Exact       int64      // the version of the weights that must answer; 0 is any
	Tried       []string   // ids of endpoints that are not to be asked again
	Begun       bool       // its caller has part of the answer
	Fingerprint uint64     // what it asks for; the same when its caller comes back
	Sent        time.Time
	Latest      time.Time     // when it must have its final answer
	Objective   time.Duration // from when its caller first sent it to the answer or first event
}

// peerLoad are what other entries have at one endpoint.
type peerLoad struct {
	running       int
	pendingTokens int
}

// fleetState is what placing looks at besides the endpoints.
type fleetState struct {
	now           time.Time
	entries       int // that are alive, this one too
	peerLoad      func(hash uint64) peerLoad
	withdrawn     func(place string) bool
	weightsUsable func(weights int64) bool // engines with these weights may still be used

	// contenders is how many entries have requests waiting for room. They all
	// turn to an engine that has some, such as one that comes back, before they
	// hear of each other's sends.
	contenders int
}

// eligible reports whether an endpoint may get the request at all, now or as
// soon as it has room.
func eligible(f *fleetState, e *Endpoint, w *Want) bool {
	r := &e.registration
	if r.Draining || f.withdrawn(r.DataCentre) || slices.Contains(w.Tried, r.ID) {
		return false
	}
	for _, homes := range w.Homes {
		if len(homes) > 0 && !slices.Contains(homes, e.region) {
			return false
		}
	}
	if e.engine() == nil {
		return true
	}
	if e.weights == 0 || w.Exact != 0 && e.weights != w.Exact {
		return false
	}
	return f.weightsUsable(e.weights)
}

// hasRoom reports whether an endpoint can begin the request at once.
func hasRoom(f *fleetState, e *Endpoint, w *Want, random *rand.Rand) bool {
	now := f.now
	if now.Before(e.fullUntil) || now.Before(e.mismatchUntil) || now.Before(e.loadingUntil) {
		return false
	}
	if !e.coldRateAllows(now, f.entries) {
		return false
	}
	slots := e.slots()
	if slots == 0 {
		return true
	}
	n := e.running + f.peerLoad(e.hash).running
	if e.engine() == nil {
		return float64(n) < float64(slots)*(1+plainQueuePerSlot)
	}
	if w.Begun {
		return n < slots+resumedExtraSlots // the engine admits it before what it has waiting
	}
	// What waits in the engine is out of reach for a better order: nothing is
	// sent beyond its slots, nor beyond what it reads in a while.
	free := min(slots-n, promptsWithinBacklog(e.engine(), e.pendingTokens+f.peerLoad(e.hash).pendingTokens, w.Prompt))
	return free > 0 && (f.contenders == 0 || e.mayTakeSlot(now, free, f.contenders, random))
}

// resumedExtraSlots is how many answers that go on an engine gets beyond its slots: a
// place comes free within about two passes.
const resumedExtraSlots = 2

// maxPromptBacklog bounds the prompts that wait to be read in one engine. An engine
// reads them one after the other before it writes: one that comes back empty and
// is filled at once answers its last request a second late.
const maxPromptBacklog = 250 * time.Millisecond

// promptsWithinBacklog returns how many more prompts of a size an engine reads within
// readAhead; at least one when it has nothing to read.
func promptsWithinBacklog(s *fulmardeal.EngineSpec, pendingTokens, prompt int) int {
	if s.ReadRate <= 0 {
		return math.MaxInt32
	}
	left := maxPromptBacklog.Seconds()*s.ReadRate - float64(pendingTokens)
	if left <= 0 {
		return 0
	}
	return 1 + int(left)/max(1, prompt)
}

// predict returns how long the request takes to its first event at an endpoint,
// and what the way there costs.
func predict(f *fleetState, e *Endpoint, w *Want) time.Duration {
	o := f.peerLoad(e.hash)
	cost := e.networkDelay + e.currentLag(f.now) + time.Duration(e.failureRate*float64(failurePenalty))
	s := e.engine()
	if s == nil {
		n := e.running + o.running
		return cost + time.Duration(float64(n)/float64(max(1, e.slots()))*float64(plainLatency))
	}
	return cost + predictFirstEvent(s, e.running+o.running, e.pendingTokens+o.pendingTokens, w.Prompt)
}

// plainLatency is a guess at how long a plain endpoint takes. It only has to order
// endpoints by how busy they are.
const plainLatency = 60 * time.Millisecond

// typicalContext is the tokens of one running request, for the time of a step.
const typicalContext = 1000

// predictFirstEvent predicts the time to the first event of a request at an engine
// that runs so many and has so many prompt tokens to read before. An engine
// works in passes: what waits is read between the steps of those that write.
func predictFirstEvent(s *fulmardeal.EngineSpec, running, pendingTokens, prompt int) time.Duration {
	n := float64(min(running, s.Slots))
	step := s.Step + n*(s.PerSequence+s.PerContext*typicalContext/1000)
	pass := float64(max(1, s.Stride)) * step
	read := 0.0
	if s.ReadRate > 0 {
		read = float64(pendingTokens+prompt) / s.ReadRate * 1000
	}
	currentPass := pass / 2 // of the pass in progress, on average
	if running == 0 {
		currentPass = 0
	}
	return time.Duration((currentPass + read + pass) * float64(time.Millisecond))
}

// selectEndpoint picks the endpoint that will answer soonest among those with room. It
// answers steady load on engines of unequal fill, and bursts that several
// entries place at once without seeing each other's sends: near ties are drawn
// by lot. known reports whether any endpoint may serve the request, with room
// or not.
func selectEndpoint(f *fleetState, endpoints []*Endpoint, w *Want, random *rand.Rand) (best *Endpoint, found bool) {
	fastest := time.Duration(math.MaxInt64)
	predicted := make([]time.Duration, len(endpoints))
	for i, e := range endpoints {
		predicted[i] = -1
		if !eligible(f, e, w) {
			continue
		}
		found = true
		if f.now.Before(e.suspectUntil) || !hasRoom(f, e, w, random) {
			continue
		}
		predicted[i] = predict(f, e, w)
		fastest = min(fastest, predicted[i])
	}
	n := 0
	for i, e := range endpoints {
		if predicted[i] < 0 || predicted[i] > fastest+time.Duration(f.entries)*tieMarginPerEntry {
			continue
		}
		n++
		if random.IntN(n) == 0 {
			best = e
		}
	}
	if best == nil && found {
		best = lastResort(f, endpoints, w, random)
	}
	return best, found
}

// lastResort picks the endpoint whose suspicion ends first when every endpoint
// that may serve is suspected: trying one is the only way to learn of their
// return, and to serve anything.
func lastResort(f *fleetState, endpoints []*Endpoint, w *Want, random *rand.Rand) *Endpoint {
	var best *Endpoint
	for _, e := range endpoints {
		if !eligible(f, e, w) {
			continue
		}
		if !f.now.Before(e.suspectUntil) {
			return nil // it only lacks room
		}
		if hasRoom(f, e, w, random) && (best == nil || e.suspectUntil.Before(best.suspectUntil)) {
			best = e
		}
	}
	return best
}
