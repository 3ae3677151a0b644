package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"fulmardeal"
	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/traffic/dispatch"
	"fulmardeal/internal/traffic/quarantine"
)

// Limits and intervals of the attempts of one request.
const (
	// maxEndpointsTried is the maximum number of endpoints tried for one
	// request, including those that refuse it.
	maxEndpointsTried = 5

	// weightsCheckInterval is the interval between two checks whether the weights
	// of an endpoint that has not begun to answer may still be used.
	weightsCheckInterval = 100 * time.Millisecond
)

// run tries endpoints until the caller has a response.
func (c *call) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // of the attempts that are still running
	c.updates = make(chan update)
	c.silenceTimer = time.NewTimer(c.silenceTimeout())
	defer c.silenceTimer.Stop()
	c.weightsTimer = time.NewTimer(weightsCheckInterval)
	defer c.weightsTimer.Stop()
	if !c.startNext(ctx) {
		return
	}
	for {
		select {
		case u := <-c.updates:
			if c.apply(ctx, u) {
				return
			}
		case <-c.silenceTimer.C:
			c.onSilence(ctx)
		case now := <-c.weightsTimer.C:
			c.checkWeights(now)
		case <-ctx.Done():
			if timeIsUp(ctx) {
				c.runs += len(c.attempts)
				c.giveUp(ctx, "time is up")
				return
			}
			c.abortDisconnected()
		}
	}
}

// startNext waits for a slot and starts an attempt there, while no other attempt is
// running. If there is no slot, or its parts must not be sent, it ends the request and
// returns false.
func (c *call) startNext(ctx context.Context) bool {
	start := time.Now()
	for {
		if c.refuseOutlasting() {
			return false
		}
		reservation, permit, err := c.reserve(ctx)
		if err == nil && c.refuseOutlasting() {
			permit.Done(time.Now())
			reservation.Release(dispatch.OutcomeCancelled)
			return false
		}
		if err == nil {
			c.queueTime += time.Since(start)
			c.start(ctx, reservation, permit)
			return true
		}
		var held *quarantine.HeldError
		if !errors.As(err, &held) {
			c.queueTime += time.Since(start)
			c.handleReserveError(ctx, err)
			return false
		}
		if held.Reason != quarantine.ReasonSuspect || time.Since(start) >= suspectWait || !sleep(ctx, suspectPollInterval) {
			c.handleHeldError(ctx, held)
			return false
		}
	}
}

// A request with a suspect part waits for the end of another one's trial, which shows in
// most cases that the part is sound.
const (
	suspectWait         = 300 * time.Millisecond
	suspectPollInterval = 20 * time.Millisecond
)

// sleep waits and reports whether ctx is still in force.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// reserve waits for a slot for an attempt, and asks whether the request may be sent with
// regard to its parts. The error is a *dispatch.RefusedError or a *quarantine.HeldError.
func (c *call) reserve(ctx context.Context) (*dispatch.Reservation, *quarantine.Permit, error) {
	request := c.dispatchRequest()
	var err error
	if request.AvoidedWeights, err = c.gateway.quarantine.Check(time.Now(), c.service, c.metadata.PromptParts); err != nil {
		return nil, nil, err
	}
	reservation, err := c.gateway.table.Reserve(ctx, request)
	if err != nil {
		return nil, nil, err
	}
	permit, err := c.enter(reservation)
	return reservation, permit, err
}

// enter asks whether the request may be sent to an endpoint with regard to its parts. If
// not, it releases the slot.
func (c *call) enter(reservation *dispatch.Reservation) (*quarantine.Permit, error) {
	permit, err := c.gateway.quarantine.Enter(time.Now(), c.service, c.metadata.PromptParts, reservation.Weights())
	if err != nil {
		reservation.Release(dispatch.OutcomeCancelled)
	}
	return permit, err
}

// start starts an attempt.
func (c *call) start(ctx context.Context, reservation *dispatch.Reservation, permit *quarantine.Permit) {
	forwarded := fulmardeal.ForwardMetadata{
		Instance:       reservation.Endpoint().ID(),
		Deadline:       time.Until(c.deadline),
		Customer:       c.customer,
		Priority:       -1,
		WeightsVersion: reservation.RequiredWeights(time.Now()),
		LastEventID:    c.progress.resumeAfter(c.metadata.LastEventID),
	}
	if c.progress.weights != 0 {
		forwarded.WeightsVersion = c.progress.weights
	}
	if c.progress.started {
		forwarded.Priority = 0 // most urgent: its caller is waiting in the middle of a response
	}
	request := c.request
	request.Header = c.gateway.codec.ForwardHeader(c.request.Header, forwarded)
	request.Trail = &c.trail
	ctx, cancel := context.WithCancel(ctx)
	exchange, withdraw := context.WithCancel(ctx)
	a := &attempt{call: c, reservation: reservation, permit: permit, request: request, resumed: c.progress.started, cancel: cancel, withdraw: withdraw}
	a.request.CheckSend = a.checkSend
	a.order, a.weights = c.progress.nextOrder(c.metadata.LastEventID), c.progress.weights
	c.attempts = append(c.attempts, a)
	c.sends++
	if reservation.PassedOver() > 0 {
		c.gateway.stats.count("passed_over", c.service)
	}
	c.silenceTimer.Reset(c.silenceTimeout())
	c.weightsTimer.Reset(weightsCheckInterval)
	go a.run(ctx, exchange)
}

// checkWeights withdraws the request from endpoints that have not begun to answer it and
// whose weights may not be used any longer, or not for its parts. Weights may be
// superseded, and parts quarantined, while it waits.
func (c *call) checkWeights(now time.Time) {
	next := weightsCheckInterval
	waiting := false
	for _, a := range c.attempts {
		if a.begun.Load() {
			continue
		}
		waiting = true
		if a.permit.Condemned() {
			c.log.Info("request withdrawn: its parts have been quarantined", "endpoint", a.reservation.Endpoint().ID(), "parts", strings.Join(c.metadata.PromptParts, ","))
			a.withdraw()
			continue
		}
		by := a.reservation.StartBy()
		switch {
		case by.IsZero():
		case now.Before(by):
			next = min(next, by.Sub(now))
		default:
			c.log.Info("request withdrawn: the endpoint's weights may not be used any longer", "endpoint", a.reservation.Endpoint().ID(), "weights", a.reservation.Weights())
			a.withdraw()
		}
	}
	if waiting {
		c.weightsTimer.Reset(next)
	}
}

// apply applies an update and reports whether the request has ended.
func (c *call) apply(ctx context.Context, u update) (ended bool) {
	if u.response != nil {
		c.buffered = append(c.buffered, u.response.body)
		c.bufferedBytes += cap(u.response.body)
		c.caller.count(ledger.Answer, c.bufferedBytes)
	}
	switch {
	case u.attempt.cancelled:
		return false
	case !u.ended:
		c.cancelOthers(u.attempt)
		u.attempt.silent = false
		if !c.writeEvents(u) {
			c.abortDisconnected()
		}
		c.silenceTimer.Reset(c.silenceTimeout()) // afterwards, because a slow caller delays the write
		return false
	case u.result == finished:
		c.cancelOthers(u.attempt)
		c.finish(u)
		return true
	}
	return c.applyFailure(ctx, u)
}

// applyFailure applies the update of an attempt that has ended without a complete
// response, and reports whether the request has ended. If no other attempt is in
// progress, it starts one if that is permitted.
func (c *call) applyFailure(ctx context.Context, u update) (ended bool) {
	u.attempt.cancel()
	c.attempts = slices.DeleteFunc(c.attempts, func(a *attempt) bool { return a == u.attempt })
	if u.result == maybeRun {
		c.runs++
	}
	if u.response != nil {
		c.lastFailure = u.response
	}
	if u.outcome != dispatch.OutcomeFull {
		c.tried = append(c.tried, u.attempt.reservation.Endpoint().ID())
	}
	if len(c.attempts) > 0 {
		pause := refusedPause
		if slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !a.silent }) {
			pause = c.silenceTimeout()
		}
		c.silenceTimer.Reset(pause)
		return false
	}
	reason, ok := c.mayRetry(ctx)
	if ok && u.suspect && c.progress.started {
		reason, ok = "may crash another endpoint", false
	}
	if ok && !u.withheld && !c.gateway.retryBudget(c.service).Withdraw() {
		reason, ok = "repeats used up", false
	}
	if !ok {
		c.giveUp(ctx, reason)
		return true
	}
	return !c.startNext(ctx)
}

// cancelOthers cancels all attempts but the one whose response the caller gets.
func (c *call) cancelOthers(leader *attempt) {
	if len(c.attempts) == 1 {
		return
	}
	for _, a := range c.attempts {
		if a == leader {
			continue
		}
		a.cancelled = true
		a.cancel()
		c.runs++
		c.tried = append(c.tried, a.reservation.Endpoint().ID())
	}
	c.log.Info("attempt answered before another", "endpoint", leader.reservation.Endpoint().ID(), "first", c.attempts[0] == leader, "events", c.progress.events)
	c.attempts = append(c.attempts[:0], leader)
}

// finish ends the request with a complete response.
func (c *call) finish(u update) {
	reservation := u.attempt.reservation
	if u.response != nil {
		c.writeResponse(u.response)
		if u.outcome == dispatch.OutcomeServed {
			c.gateway.stats.served(c.service, time.Since(c.received))
		}
		return
	}
	c.progress.ended = true
	c.gateway.stats.served(c.service, time.Since(c.received))
	c.log.Info("served", "endpoint", reservation.Endpoint().ID(), "first", c.progress.firstEvent, "pause", c.progress.longestPause, "events", c.progress.events,
		"expected", reservation.ExpectedFirstEvent(), "waited", c.queueTime, "prompt", c.metadata.PromptTokens, "sends", c.sends, "passed", reservation.PassedOver(), "weights", u.weights, "left", u.attempt.startTimeLeft())
}

func (c *call) dispatchRequest() *dispatch.Request {
	request := &dispatch.Request{
		Service:         c.service,
		HomeRegions:     c.homeRegions,
		PromptTokens:    c.metadata.PromptTokens,
		RequiredWeights: c.progress.weights,
		Tried:           slices.Clone(c.tried),
		Deadline:        c.deadline,
		Fingerprint:     c.fingerprint,
		Sent:            c.received,
		Objective:       c.route.Objective,
		Customer:        c.customer,
		Rank:            c.rank,
	}
	for _, a := range c.attempts {
		request.Tried = append(request.Tried, a.reservation.Endpoint().ID())
	}
	if c.progress.started {
		request.Sent, request.Objective, request.Resumed = time.Now(), c.route.Pause, true
	}
	return request
}

// mayRetry reports whether another endpoint may be tried, and the reason if not. The
// attempts in progress count as run.
func (c *call) mayRetry(ctx context.Context) (string, bool) {
	runs := c.runs + len(c.attempts)
	switch {
	case ctx.Err() != nil:
		return "time is up", false
	case runs > 0 && !c.route.Repeatable():
		return "may have run", false
	case c.progress.order.unnumbered:
		return "events without ids", false
	case runs >= c.route.Attempts:
		return "attempts used up", false
	case c.sends >= maxEndpointsTried:
		return "too many endpoints asked", false
	}
	return "", true
}

// maxIdleTime returns the maximum idle time of a pooled connection that may be
// used for this request. A request that must not be retried needs a recently
// used connection: the endpoint may have closed an older one, and then it is
// unknown whether it has received the request.
func (c *call) maxIdleTime() time.Duration {
	if c.route.Repeatable() {
		return time.Hour
	}
	return recentUse
}

// recentUse is the maximum idle time of a connection on which a request that must not be
// retried is sent. It is below all idle timeouts of endpoints, which are whole seconds.
const recentUse = 300 * time.Millisecond

// noDeadline is the deadline of a wait that only ends with the request's deadline.
var noDeadline time.Time
