// Package activation decides when an agent orders its engine to change to
// other weights, and what the endpoint may be said to serve meanwhile.
//
// The agent is the only one that orders its engine, and not every engine checks
// the fence of an order. So an order goes out only when the weights are whole
// and verified, the agent has lately confirmed its configuration, it is its
// turn, and no answer is in progress; and after it the engine is asked what it
// holds, since the answer to an order can be lost. The package orders nothing
// itself.
package activation

import (
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
)

// Times of a change.
const (
	// drainMost is how long answers in progress may hold a change up.
	drainMost = 30 * time.Second

	// busyLoad is the part of its limit from which an endpoint is too busy to
	// be done without, and yieldMost how long a change waits for that to pass.
	busyLoad  = 0.7
	yieldMost = 20 * time.Second

	// orderWait is the wait after an order that brought nothing.
	orderWait = time.Second
)

// Target is the version that the endpoint is to serve.
type Target struct {
	Version fulmardeal.Version
	Digest  string // of all bytes
	Chunks  int
	Whole   bool // every chunk is verified and stored
	Turn    bool
}

// Facts are what is known at a tick.
type Facts struct {
	Target    Target
	Fence     int64 // of the configuration that names the target
	Confirmed bool  // the configuration has lately been confirmed
	Held      fulmardeal.ActiveWeights
	HeldKnown bool
	Running   int     // answers in progress
	Load      float64 // mean part of the limit that is used
}

// Action is what a tick asks the agent to do.
type Action struct {
	Order *fulmardeal.LoadOrder // to be given now, nil for none
}

// System is one agent's part in a change of weights. The zero value is ready
// to use.
type System struct {
	book     *invariant.Book
	serving  fulmardeal.Version
	draining bool
	drained  time.Time // when draining began
	yielding time.Time // since when a change waits for the load to pass
	ordered  time.Time
	fence    int64 // highest that was ever ordered
}

// New returns a system that reports broken invariants to book.
func New(book *invariant.Book) *System { return &System{book: book} }

// Serving returns the version that requests may be admitted for, zero while
// the endpoint serves none or is about to change.
func (s *System) Serving() fulmardeal.Version {
	if s.draining {
		return fulmardeal.Version{}
	}
	return s.serving
}

// Draining reports whether the endpoint waits for its answers in progress to
// end.
func (s *System) Draining() bool { return s.draining }

// Tick works out what to do.
func (s *System) Tick(now time.Time, f Facts) Action {
	if !f.HeldKnown {
		s.serving = fulmardeal.Version{}
		return Action{}
	}
	t := f.Target
	s.serving = f.Held.Version
	if Spoiled(f) {
		s.serving = fulmardeal.Version{}
	}
	if t.Version.Zero() || f.Held.Version == t.Version && f.Held.Digest == t.Digest {
		s.draining = false
		return Action{}
	}
	if !s.ready(f) {
		s.draining = false
		return Action{}
	}
	return s.change(now, f)
}

// Spoiled reports whether the engine serves the target's version with other
// bytes: its store must have lost some.
func Spoiled(f Facts) bool {
	t := f.Target
	return f.HeldKnown && !t.Version.Zero() && f.Held.Version == t.Version && f.Held.Digest != t.Digest
}

// ready reports whether an order may be prepared for. An engine whose fence is
// higher than this configuration has been ordered by somebody who knows a newer
// one.
func (s *System) ready(f Facts) bool {
	return f.Target.Whole && f.Target.Turn && f.Confirmed && f.Held.Fence <= f.Fence && f.Fence >= s.fence
}

// yields reports whether the change waits because the endpoint is busy. One
// that serves nothing has nothing to wait for.
func (s *System) yields(now time.Time, f Facts) bool {
	if s.serving.Zero() || f.Load < busyLoad {
		s.yielding = time.Time{}
		return false
	}
	if s.yielding.IsZero() {
		s.yielding = now
	}
	return now.Sub(s.yielding) < yieldMost
}

// change waits for the answers in progress, then gives the order.
func (s *System) change(now time.Time, f Facts) Action {
	if !s.draining && s.yields(now, f) {
		return Action{}
	}
	if !s.draining {
		s.draining = true
		s.drained = now
		return Action{}
	}
	if f.Running > 0 && now.Sub(s.drained) < drainMost {
		return Action{}
	}
	if now.Sub(s.ordered) < orderWait {
		return Action{}
	}

	s.book.Check(f.Target.Whole, "whole", "order to load %v, which is not whole", f.Target.Version)
	s.book.Check(f.Fence >= s.fence, "fence", "fence falls from %d to %d", s.fence, f.Fence)
	s.ordered = now
	s.fence = f.Fence
	return Action{Order: &fulmardeal.LoadOrder{
		Version: f.Target.Version,
		Digest:  f.Target.Digest,
		Chunks:  f.Target.Chunks,
		Fence:   f.Fence,
	}}
}
