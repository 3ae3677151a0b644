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
	// tieEach is, for each entry, how close two predictions are for chance to
	// decide: the more entries place without seeing each other's sends, the more
	// of them would pick the same engine.
	tieEach = 10 * time.Millisecond

	// failingCost is what a share of failures of 1 adds to a prediction: about
	// the time that a repeat takes.
	failingCost = 400 * time.Millisecond

	// plainQueue is how many requests a plain endpoint may have waiting for
	// each slot.
	plainQueue = 1.0

	// versionMargin is left between the last send to an engine with older
	// weights and the bound: the time that a request may wait in the engine
	// before it begins.
	versionMargin = 1300 * time.Millisecond
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

// others are what other entries have at one endpoint.
type others struct {
	running int
	unread  int
}

// field is what placing looks at besides the endpoints.
type field struct {
	now     time.Time
	entries int // that are alive, this one too
	others  func(hash uint64) others
	out     func(place string) bool
	fresh   func(weights int64) bool // engines with these weights may still be used

	// contenders is how many entries have requests waiting for room. They all
	// turn to an engine that has some, such as one that comes back, before they
	// hear of each other's sends.
	contenders int
}

// serves reports whether an endpoint may get the request at all, now or as
// soon as it has room.
func serves(f *field, e *Endpoint, w *Want) bool {
	r := &e.registration
	if r.Draining || f.out(r.DataCentre) || slices.Contains(w.Tried, r.ID) {
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
	return f.fresh(e.weights)
}

// room reports whether an endpoint can begin the request at once.
func room(f *field, e *Endpoint, w *Want, random *rand.Rand) bool {
	now := f.now
	if now.Before(e.full) || now.Before(e.away) || now.Before(e.loading) {
		return false
	}
	if !e.mayColdRun(now, f.entries) {
		return false
	}
	slots := e.slots()
	if slots == 0 {
		return true
	}
	n := e.running + f.others(e.hash).running
	if e.engine() == nil {
		return float64(n) < float64(slots)*(1+plainQueue)
	}
	if w.Begun {
		return n < slots+begunAhead // the engine admits it before what it has waiting
	}
	// What waits in the engine is out of reach for a better order: nothing is
	// sent beyond its slots, nor beyond what it reads in a while.
	free := min(slots-n, readable(e.engine(), e.unread+f.others(e.hash).unread, w.Prompt))
	return free > 0 && (f.contenders == 0 || e.mayTake(now, free, f.contenders, random))
}

// begunAhead is how many answers that go on an engine gets beyond its slots: a
// place comes free within about two passes.
const begunAhead = 2

// readAhead bounds the prompts that wait to be read in one engine. An engine
// reads them one after the other before it writes: one that comes back empty and
// is filled at once answers its last request a second late.
const readAhead = 250 * time.Millisecond

// readable returns how many more prompts of a size an engine reads within
// readAhead; at least one when it has nothing to read.
func readable(s *fulmardeal.EngineSpec, unread, prompt int) int {
	if s.ReadRate <= 0 {
		return math.MaxInt32
	}
	left := readAhead.Seconds()*s.ReadRate - float64(unread)
	if left <= 0 {
		return 0
	}
	return 1 + int(left)/max(1, prompt)
}

// predict returns how long the request takes to its first event at an endpoint,
// and what the way there costs.
func predict(f *field, e *Endpoint, w *Want) time.Duration {
	o := f.others(e.hash)
	cost := e.distance + e.lagNow(f.now) + time.Duration(e.failing*float64(failingCost))
	s := e.engine()
	if s == nil {
		n := e.running + o.running
		return cost + time.Duration(float64(n)/float64(max(1, e.slots()))*float64(plainTime))
	}
	return cost + firstEvent(s, e.running+o.running, e.unread+o.unread, w.Prompt)
}

// plainTime is a guess at how long a plain endpoint takes. It only has to order
// endpoints by how busy they are.
const plainTime = 60 * time.Millisecond

// usualContext is the tokens of one running request, for the time of a step.
const usualContext = 1000

// firstEvent predicts the time to the first event of a request at an engine
// that runs so many and has so many prompt tokens to read before. An engine
// works in passes: what waits is read between the steps of those that write.
func firstEvent(s *fulmardeal.EngineSpec, running, unread, prompt int) time.Duration {
	n := float64(min(running, s.Slots))
	step := s.Step + n*(s.PerSequence+s.PerContext*usualContext/1000)
	pass := float64(max(1, s.Stride)) * step
	read := 0.0
	if s.ReadRate > 0 {
		read = float64(unread+prompt) / s.ReadRate * 1000
	}
	begun := pass / 2 // of the pass in progress, on average
	if running == 0 {
		begun = 0
	}
	return time.Duration((begun + read + pass) * float64(time.Millisecond))
}

// place picks the endpoint that will answer soonest among those with room. It
// answers steady load on engines of unequal fill, and bursts that several
// entries place at once without seeing each other's sends: near ties are drawn
// by lot. known reports whether any endpoint may serve the request, with room
// or not.
func place(f *field, all []*Endpoint, w *Want, random *rand.Rand) (best *Endpoint, known bool) {
	least := time.Duration(math.MaxInt64)
	times := make([]time.Duration, len(all))
	for i, e := range all {
		times[i] = -1
		if !serves(f, e, w) {
			continue
		}
		known = true
		if f.now.Before(e.suspect) || !room(f, e, w, random) {
			continue
		}
		times[i] = predict(f, e, w)
		least = min(least, times[i])
	}
	n := 0
	for i, e := range all {
		if times[i] < 0 || times[i] > least+time.Duration(f.entries)*tieEach {
			continue
		}
		n++
		if random.IntN(n) == 0 {
			best = e
		}
	}
	if best == nil && known {
		best = lastResort(f, all, w, random)
	}
	return best, known
}

// lastResort picks the endpoint whose suspicion ends first when every endpoint
// that may serve is suspected: trying one is the only way to learn of their
// return, and to serve anything.
func lastResort(f *field, all []*Endpoint, w *Want, random *rand.Rand) *Endpoint {
	var best *Endpoint
	for _, e := range all {
		if !serves(f, e, w) {
			continue
		}
		if !f.now.Before(e.suspect) {
			return nil // it only lacks room
		}
		if room(f, e, w, random) && (best == nil || e.suspect.Before(best.suspect)) {
			best = e
		}
	}
	return best
}
