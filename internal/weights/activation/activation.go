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
	Running   int     // responses that the endpoint has in progress
	Load      float64 // mean fraction of the endpoint's concurrency limit in use
}

// Action is what the agent must do after a tick.
type Action struct {
	Order *fulmardeal.LoadOrder // order to send to the engine now; nil if there is none
}

// Controller is the state machine of one agent's weight changes. The zero value is
// ready to use.
type Controller struct {
	invariants    *invariant.Recorder
	serving       fulmardeal.Version
	draining      bool
	drainStarted  time.Time // when draining began
	deferredSince time.Time // when the current deferral because of load began; zero when there is none
	lastOrder     time.Time // when the last order was sent
	highestFence  int64     // highest fencing token of any order sent
}

// New returns a Controller that reports a violation of its invariants to the
// recorder.
func New(invariants *invariant.Recorder) *Controller { return &Controller{invariants: invariants} }

// Serving returns the version for which requests may be admitted. It is zero while
// the endpoint serves no version or drains before a change.
func (c *Controller) Serving() fulmardeal.Version {
	if c.draining {
		return fulmardeal.Version{}
	}
	return c.serving
}

// Draining reports whether the endpoint admits no requests and waits for the
// responses in progress to end.
func (c *Controller) Draining() bool { return c.draining }

// Tick updates the state from the inputs and returns the action to take.
func (c *Controller) Tick(now time.Time, in Inputs) Action {
	if !in.HeldKnown {
		c.serving = fulmardeal.Version{}
		return Action{}
	}
	t := in.Target
	c.serving = in.Held.Version
	if DigestMismatch(in) {
		c.serving = fulmardeal.Version{}
	}
	if t.Version.Zero() || in.Held.Version == t.Version && in.Held.Digest == t.Digest {
		c.draining = false
		return Action{}
	}
	if !c.canOrder(in) {
		c.draining = false
		return Action{}
	}
	return c.drainThenOrder(now, in)
}

// DigestMismatch reports whether the engine serves the target's version with a
// different digest, which means that its chunk store has lost or altered data.
func DigestMismatch(in Inputs) bool {
	t := in.Target
	return in.HeldKnown && !t.Version.Zero() && in.Held.Version == t.Version && in.Held.Digest != t.Digest
}

// canOrder reports whether the preconditions for an order hold. If the engine's
// fence is above in.Fence, the engine has accepted an order that was based on a newer
// configuration than this agent's, and this agent must not undo that order.
func (c *Controller) canOrder(in Inputs) bool {
	return in.Target.Complete && in.Target.TurnReached && in.Confirmed && in.Held.Fence <= in.Fence && in.Fence >= c.highestFence
}

// deferForLoad reports whether the change is deferred because the endpoint is busy.
// An endpoint that serves no version takes no traffic, so its change is never
// deferred.
func (c *Controller) deferForLoad(now time.Time, in Inputs) bool {
	if c.serving.Zero() || in.Load < busyLoad {
		c.deferredSince = time.Time{}
		return false
	}
	if c.deferredSince.IsZero() {
		c.deferredSince = now
	}
	return now.Sub(c.deferredSince) < maxLoadDeferral
}

// drainThenOrder starts to drain the endpoint and, in a later tick, returns the
// order.
func (c *Controller) drainThenOrder(now time.Time, in Inputs) Action {
	if !c.draining && c.deferForLoad(now, in) {
		return Action{}
	}
	if !c.draining {
		c.draining = true
		c.drainStarted = now
		return Action{}
	}
	if in.Running > 0 && now.Sub(c.drainStarted) < drainTimeout {
		return Action{}
	}
	if now.Sub(c.lastOrder) < minOrderInterval {
		return Action{}
	}

	c.invariants.Check(in.Target.Complete, "whole", "order to load %v before all its chunks are stored", in.Target.Version)
	c.invariants.Check(in.Fence >= c.highestFence, "fence", "fence decreased from %d to %d", c.highestFence, in.Fence)
	c.lastOrder = now
	c.highestFence = in.Fence
	return Action{Order: &fulmardeal.LoadOrder{
		Version: in.Target.Version,
		Digest:  in.Target.Digest,
		Chunks:  in.Target.Chunks,
		Fence:   in.Fence,
	}}
}
