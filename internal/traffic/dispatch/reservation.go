package dispatch

import (
	"slices"
	"time"

	"fulmardeal/internal/traffic/fairness"
	"fulmardeal/internal/traffic/ratelimit"
)

// Reservation is a slot at an endpoint that is reserved for a request. The
// caller must call Release.
type Reservation struct {
	table        *Table
	group        *group
	endpoint     *Endpoint
	promptTokens int
	weights      int64
	sentAt       time.Time
	expected     time.Duration // predicted time to the first event
	started      bool          // the first event has arrived, or the request has ended
	silent       bool          // a silence has been recorded, and no event has arrived since
	released     bool

	limitKey   ratelimit.Key
	permit     ratelimit.Permit
	sent       bool // the request has been sent, as far as is known
	passedOver int  // endpoints that were not selected because of their limits

	hold fairness.Hold
}

// assignment is a slot at an endpoint that has been assigned to a request.
type assignment struct {
	endpoint   *Endpoint
	permit     ratelimit.Permit
	passedOver int // endpoints that were not selected because of their limits
	hold       fairness.Hold
}

func (t *Table) newReservation(now time.Time, g *group, a assignment, req *Request, expected time.Duration) *Reservation {
	return &Reservation{
		table: t, group: g, endpoint: a.endpoint, promptTokens: req.PromptTokens, weights: a.endpoint.weights, sentAt: now, expected: expected,
		limitKey: a.endpoint.limitKey, permit: a.permit, passedOver: a.passedOver, hold: a.hold,
	}
}

// queuedReservation returns the reservation for an endpoint assigned to a
// queued request.
func (t *Table) queuedReservation(w *waiter, a assignment) *Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	expected := predict(t.fleetState(now, w.group), a.endpoint, w.request) - a.endpoint.currentLag(now)
	return t.newReservation(now, w.group, a, w.request, expected)
}

// Endpoint returns the endpoint on which the slot is reserved.
func (r *Reservation) Endpoint() *Endpoint { return r.endpoint }

// EndpointState reports whether the endpoint is about to stop, or is no longer registered,
// and whether it is in its cold phase.
func (r *Reservation) EndpointState() (leaving, cold bool) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := r.endpoint
	return e.isLeaving() || !slices.Contains(r.group.endpoints, e), time.Now().Before(e.coldUntil)
}

// BarredError reports that an endpoint must get no more requests since its slot was reserved.
type BarredError struct {
	Reason string // "leaving", "out of service" or "paused"
}

func (e *BarredError) Error() string { return "endpoint must get no requests: " + e.Reason }

// CheckEndpoint checks that the endpoint may still get requests. What bars it may have become
// known while a connection was opened. The error is a *BarredError.
func (r *Reservation) CheckEndpoint() error {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := r.endpoint
	switch {
	case e.isLeaving() || !slices.Contains(r.group.endpoints, e):
		return &BarredError{Reason: "leaving"}
	case t.view.IsOutOfService(e.registration.DataCentre):
		return &BarredError{Reason: "out of service"}
	case e.isPaused(time.Now()):
		return &BarredError{Reason: "paused"}
	}
	return nil
}

// Weights returns the version of the weights that the endpoint was known to
// hold when the slot was reserved.
func (r *Reservation) Weights() int64 { return r.weights }

// ExpectedFirstEvent returns the predicted time to the first event.
func (r *Reservation) ExpectedFirstEvent() time.Duration { return r.expected }

// RequiredWeights returns the version of the weights that the endpoint must hold when it
// runs the request, or 0 if that is not to be checked. What an entry knows of an engine
// may be out of date, and only the engine itself can tell when it starts a request.
func (r *Reservation) RequiredWeights(now time.Time) int64 {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := r.endpoint.engine()
	if s == nil || len(s.Models) == 0 || r.weights <= firstVersion {
		return 0
	}
	model := s.Models[0].Name
	end, superseded := t.weightsEnd(model, firstVersion)
	if !superseded {
		return 0
	}
	if r.weights < t.view.PublishedVersion(model).Version && now.Before(end.Add(-supersededMargin)) {
		return 0 // the engine may have changed over, and may serve the request with any version that there is
	}
	return r.weights
}

// firstVersion is the lowest version of a model's weights.
const firstVersion = 1

// RecordWeights records that the endpoint has answered with other weights than it was
// known to hold, unless something else has become known since the slot was reserved.
func (r *Reservation) RecordWeights(weights int64) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if e := r.endpoint; e.engine() != nil && e.weights == r.weights {
		e.weights, e.statusAt = weights, time.Now()
	}
}

// StartBy returns the time by which the request must have started at the endpoint,
// because the endpoint's weights must not be used any more afterwards. It returns
// the zero time if there is no such limit. Designed for engines that are still busy
// or fail when a new version replaces theirs: a request that waits inside one must
// not start too late.
func (r *Reservation) StartBy() time.Time {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := r.endpoint.engine()
	if s == nil || len(s.Models) == 0 {
		return time.Time{}
	}
	end, superseded := t.weightsEnd(s.Models[0].Name, r.weights)
	if !superseded {
		return time.Time{}
	}
	return end.Add(-startMargin)
}

// RecordEvent records an event of the response, or a complete plain response. The first
// one shows the endpoint's lag, and each one that the endpoint isn't silent.
func (r *Reservation) RecordEvent() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	now := time.Now()
	if !r.started {
		r.endpoint.recordFirstEvent(now, now.Sub(r.sentAt), r.expected)
	}
	r.markStarted()
	if r.silent && !r.released {
		r.endSilence()
		r.table.assignQueued(now, r.group)
	}
}

// RecordSilence records that the endpoint has sent nothing for longer than expected. The
// endpoint becomes suspect as after a failure, but keeps the slot, because it may go on.
func (r *Reservation) RecordSilence() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.released {
		r.silent = true
		r.endpoint.recordSilence(time.Now())
	}
}

// RecordCrash records that the endpoint's process has ended without an announcement.
func (r *Reservation) RecordCrash() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.endpoint.recordCrash()
}

// endSilence ends the suspicion against an endpoint that was silent and has gone on.
// Designed for an engine that is silent for a moment: it keeps its streams, each of which
// doubles the time of the suspicion, and would get no others when it has gone on.
func (r *Reservation) endSilence() {
	if r.silent {
		r.silent = false
		r.endpoint.silentUntil = time.Time{}
	}
}

// markStarted stops counting the request's prompt as pending, because the
// response has started or the request has ended.
func (r *Reservation) markStarted() {
	if !r.started {
		r.started = true
		r.endpoint.pendingTokens -= r.promptTokens
	}
}

// Release frees the slot and records the outcome of the request. Further calls
// have no effect.
func (r *Reservation) Release(outcome Outcome) {
	now := time.Now()
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	r.markStarted()
	if outcome == OutcomeServed {
		r.endSilence()
	}
	if !r.sent {
		t.limits.PutBack(now, r.limitKey, r.permit)
	}
	r.hold.End(now)
	r.endpoint.inProgress--
	r.endpoint.released = append(r.endpoint.released, now)
	r.endpoint.recordOutcome(now, outcome)
	g := r.group
	g.released++
	if d := now.Sub(g.windowStart); d >= releaseRateWindow {
		g.releaseRate = float64(g.released) / d.Seconds()
		g.released, g.windowStart = 0, now
	}
	t.assignQueued(now, g)
}
