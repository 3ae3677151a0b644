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
	suspectFirst = 300 * time.Millisecond  // two answers of a healthy engine
	suspectMost  = 4 * time.Second         // bounds the requests lost to an endpoint that is dark for longer
	fullFor      = 60 * time.Millisecond   // about one pass of an engine
	awayFor      = 500 * time.Millisecond  // an endpoint's next registration is at most a beat and a poll away
	loadingFor   = 1500 * time.Millisecond // agents say it every 500 ms while it lasts
	noticeFor    = 3 * time.Second         // two beats and a poll: then the registration tells the same
	failWeight   = 0.15                    // of one answer in the mean share of failures
	lagWeight    = 0.3                     // of one answer in the mean lag
	lagHalf      = 1500 * time.Millisecond // in which a lag is half forgotten when nothing new is known
	ownDelay     = 25 * time.Millisecond   // until others know of a place that came free: a round of news of three
	newsDelay    = 60 * time.Millisecond   // until all entries know what one has sent: a round of news of twelve, and the way
	coldWindow   = time.Second             // over which a cold endpoint's requests are counted
)

// Endpoint is what this entry knows of one endpoint. Its id and address never
// change; the table's lock guards the rest.
type Endpoint struct {
	id           string
	address      string
	registration fulmardeal.Registration
	service      *fulmardeal.Service
	region       string
	distance     time.Duration // added to a predicted time: what the way there costs
	hash         uint64        // of the id, in messages between entries

	running int // requests of this entry
	unread  int // prompt tokens of those that have not begun to answer

	weights   int64 // version whose layers are all held; 0 is none
	noticed   time.Time
	loading   time.Time     // it is taking new weights until about then
	suspect   time.Time     // it is passed over until then
	failures  int           // in a row
	failing   float64       // mean share of failures
	lag       time.Duration // mean time by which it begins to answer later than predicted
	lagged    time.Time     // when that was last heard of
	full      time.Time     // it had no room; passed over until then
	away      time.Time     // it is not what it was; passed over until then
	coldUntil time.Time
	sent      []time.Time // in the last second
	freed     []time.Time // when places came free that this entry held, and nobody else knows of yet
	quota     int         // places that this entry may take in this round of news
	round     time.Time   // when that was drawn
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

// register takes over a newer registration of the same id.
func (e *Endpoint) register(now time.Time, r fulmardeal.Registration, s *fulmardeal.Service) {
	reborn := !e.registration.Born.Equal(r.Born)
	if reborn {
		e.noticed, e.loading, e.suspect, e.failures, e.failing = time.Time{}, time.Time{}, time.Time{}, 0, 0
	}
	if e.registration.Sequence != r.Sequence {
		e.away = time.Time{}
	}
	e.registration, e.service = r, s
	if r.ColdLeft > 0 {
		e.coldUntil = now.Add(r.ColdLeft)
	}
	if s.Engine != nil && now.Sub(e.noticed) > noticeFor {
		e.weights = r.Holds(s.Engine.Layers)
	}
}

// heed takes what the agent beside an engine says of it.
func (e *Endpoint) heed(now time.Time, weights int64, loading bool) {
	e.noticed = now
	e.weights = weights
	e.loading = time.Time{}
	if loading {
		e.loading = now.Add(loadingFor)
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

// learn takes over how an attempt ended.
func (e *Endpoint) learn(now time.Time, f Fate) {
	switch f {
	case FateServed:
		e.failures = 0
		e.failing -= failWeight * e.failing
	case FateFull:
		e.full = now.Add(fullFor)
	case FateAway:
		e.away = now.Add(awayFor)
	case FateFailed:
		e.suspect = now.Add(min(suspectFirst<<min(e.failures, 8), suspectMost))
		e.failures++
		e.failing += failWeight * (1 - e.failing)
	}
}

// mayColdRun reports whether a cold endpoint bears one more request of this
// entry now. Entries share what it bears evenly.
func (e *Endpoint) mayColdRun(now time.Time, entries int) bool {
	if e.service.ColdRate <= 0 || !now.Before(e.coldUntil) {
		return true
	}
	n := 0
	for _, t := range e.sent {
		if now.Sub(t) < coldWindow {
			n++
		}
	}
	return float64(n+1) <= max(1, e.service.ColdRate/float64(entries))
}

// mayTake reports whether this entry may take one of the free places, when so
// many entries have requests waiting for one. Whoever held a place and gave it
// back takes it again; the others share what they see free by lot, once in each
// round of news.
func (e *Endpoint) mayTake(now time.Time, free, contenders int, random *rand.Rand) bool {
	e.freed = slices.DeleteFunc(e.freed, func(t time.Time) bool { return now.Sub(t) > ownDelay })
	if len(e.freed) > 0 || contenders <= 1 {
		return true
	}
	if now.Sub(e.round) >= newsDelay {
		e.round = now
		e.quota = int(float64(free)/float64(contenders) + random.Float64())
	}
	return e.quota > 0
}

// take notes that this entry takes a place.
func (e *Endpoint) take(now time.Time) {
	if len(e.freed) > 0 {
		e.freed = e.freed[1:]
	} else if e.quota > 0 {
		e.quota--
	}
	e.noteSent(now)
}

func (e *Endpoint) noteSent(now time.Time) {
	for len(e.sent) > 0 && now.Sub(e.sent[0]) >= coldWindow {
		e.sent = e.sent[1:]
	}
	e.sent = append(e.sent, now)
}

// begin takes over how long an answer took to begin, against the prediction. It
// finds endpoints that are slow, and those whose way is.
func (e *Endpoint) begin(now time.Time, took, predicted time.Duration) {
	over := max(0, took-predicted)
	old := e.lagNow(now)
	e.lag = old + time.Duration(lagWeight*float64(over-old))
	e.lagged = now
}

// lagNow returns the mean lag, which fades: else an endpoint that is passed over
// would never be tried again.
func (e *Endpoint) lagNow(now time.Time) time.Duration {
	if e.lag == 0 {
		return 0
	}
	return time.Duration(float64(e.lag) * math.Exp2(-float64(now.Sub(e.lagged))/float64(lagHalf)))
}
