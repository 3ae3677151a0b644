// Package activation decides when an agent orders its engine to load another
// version of the weights, and which version the endpoint advertises meanwhile.
//
// Only the agent sends orders to its engine, and not every engine checks the fence
// (fencing token) of an order. An order is therefore sent only when all of these
// hold:
//
//   - the weights are complete and verified
//   - the agent has recently confirmed its configuration
//   - its turn in the rollout has come
//   - no responses are in progress, or the drain timeout has passed
//
// The response to an order can be lost, so the caller queries the engine's state
// before each step. The package only makes decisions; the caller sends the orders.
package activation

import (
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
)

const (
	// drainTimeout is how long a change waits for responses in progress to end.
	drainTimeout = 30 * time.Second

	// An endpoint that uses at least busyLoad of its concurrency limit is needed
	// for traffic, so a change is deferred for up to maxLoadDeferral until the
	// load falls.
	busyLoad        = 0.7
	maxLoadDeferral = 20 * time.Second

	// minOrderInterval is the minimum interval between two orders. An order is sent
	// again if the engine does not report the new version by then.
	minOrderInterval = time.Second
)

// Target is the version that the endpoint should serve.
type Target struct {
	Version     fulmardeal.Version
	Digest      string // Digest field of the manifest
	Chunks      int
	Complete    bool // every chunk is verified and stored
	TurnReached bool // the rollout order lets this endpoint change now
}

// Inputs is the state that one decision is based on.
type Inputs struct {
	Target    Target
	Fence     int64 // fencing token: the version of the configuration that names the target
	Confirmed bool  // the configuration has recently been confirmed as current
	Held      fulmardeal.ActiveWeights
	HeldKnown bool    // Held is valid: the engine answered the last query
	Running   int     // responses in progress
	Load      float64 // mean fraction of the concurrency limit in use
}

// Action is what the agent must do after a tick.
type Action struct {
	Order *fulmardeal.LoadOrder // to be sent now, or nil
}

// Controller is the state machine of one agent's weight changes. The zero value is
// ready to use.
type Controller struct {
	book          *invariant.Recorder
	serving       fulmardeal.Version
	draining      bool
	drainStarted  time.Time // when draining began
	deferredSince time.Time // when the current deferral because of load began
	lastOrder     time.Time // when the last order was sent
	highestFence  int64     // highest fence of any order sent
}

// New returns a Controller that reports violations to invariants.
func New(book *invariant.Recorder) *Controller { return &Controller{book: book} }

// Serving returns the version for which requests may be admitted. It is zero while
// the endpoint serves no version or drains before a change.
func (s *Controller) Serving() fulmardeal.Version {
	if s.draining {
		return fulmardeal.Version{}
	}
	return s.serving
}

// Draining reports whether the endpoint admits no requests and waits for the
// responses in progress to end.
func (s *Controller) Draining() bool { return s.draining }

// Tick updates the state from in and returns the action to take.
func (s *Controller) Tick(now time.Time, f Inputs) Action {
	if !f.HeldKnown {
		s.serving = fulmardeal.Version{}
		return Action{}
	}
	t := f.Target
	s.serving = f.Held.Version
	if DigestMismatch(f) {
		s.serving = fulmardeal.Version{}
	}
	if t.Version.Zero() || f.Held.Version == t.Version && f.Held.Digest == t.Digest {
		s.draining = false
		return Action{}
	}
	if !s.canOrder(f) {
		s.draining = false
		return Action{}
	}
	return s.drainThenOrder(now, f)
}

// DigestMismatch reports whether the engine serves the target's version with a
// different digest, which means that its chunk store has lost or altered data.
func DigestMismatch(f Inputs) bool {
	t := f.Target
	return f.HeldKnown && !t.Version.Zero() && f.Held.Version == t.Version && f.Held.Digest != t.Digest
}

// canOrder reports whether the preconditions for an order hold. If the engine's
// fence is above in.Fence, the engine has accepted an order that was based on a newer
// configuration than this agent's.
func (s *Controller) canOrder(f Inputs) bool {
	return f.Target.Complete && f.Target.TurnReached && f.Confirmed && f.Held.Fence <= f.Fence && f.Fence >= s.highestFence
}

// deferForLoad reports whether the change is deferred because the endpoint is busy.
// One that serves no version takes no traffic, so its change is never deferred.
func (s *Controller) deferForLoad(now time.Time, f Inputs) bool {
	if s.serving.Zero() || f.Load < busyLoad {
		s.deferredSince = time.Time{}
		return false
	}
	if s.deferredSince.IsZero() {
		s.deferredSince = now
	}
	return now.Sub(s.deferredSince) < maxLoadDeferral
}

// drainThenOrder starts to drain the endpoint and, in a later tick, returns the
// order.
func (s *Controller) drainThenOrder(now time.Time, f Inputs) Action {
	if !s.draining && s.deferForLoad(now, f) {
		return Action{}
	}
	if !s.draining {
		s.draining = true
		s.drainStarted = now
		return Action{}
	}
	if f.Running > 0 && now.Sub(s.drainStarted) < drainTimeout {
		return Action{}
	}
	if now.Sub(s.lastOrder) < minOrderInterval {
		return Action{}
	}

	s.book.Check(f.Target.Complete, "whole", "order to load %v before all its chunks are stored", f.Target.Version)
	s.book.Check(f.Fence >= s.highestFence, "fence", "fence decreased from %d to %d", s.highestFence, f.Fence)
	s.lastOrder = now
	s.highestFence = f.Fence
	return Action{Order: &fulmardeal.LoadOrder{
		Version: f.Target.Version,
		Digest:  f.Target.Digest,
		Chunks:  f.Target.Chunks,
		Fence:   f.Fence,
	}}
}
