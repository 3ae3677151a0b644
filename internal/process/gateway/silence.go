package gateway

import (
	"context"
	"time"

	"fulmardeal"
)

// Silences of an endpoint after which a request that may be retried is also sent to a
// second one. The first attempt goes on: an endpoint may be silent for a second or so and
// then continue, and the second one may fail.
const (
	// minPlainSilence applies to a plain response. Plain calls rarely take longer.
	minPlainSilence = 400 * time.Millisecond

	// minFirstEventSilence applies to the first event of a stream. It leaves another
	// engine half of the time that callers wait for that event.
	minFirstEventSilence = 1200 * time.Millisecond

	// minEventSilence applies to each further event. Callers disconnect after 2 s or
	// more, and a decoding pass takes a tenth of that.
	minEventSilence = 1000 * time.Millisecond

	// slotPollInterval is the interval between two attempts to find a slot for the
	// second attempt, and refusedPause the wait after an endpoint refused it: refusals
	// use up the budget of retries.
	slotPollInterval = 50 * time.Millisecond
	refusedPause     = 250 * time.Millisecond
)

// silenceTimeout returns how long the attempts in progress may send nothing until
// another one is considered.
func (c *call) silenceTimeout() time.Duration {
	switch {
	case c.progress.started:
		return max(minEventSilence, 2*c.route.Pause)
	case c.route.Kind == fulmardeal.KindStream:
		return max(minFirstEventSilence, 2*c.route.Objective)
	}
	return max(minPlainSilence, c.route.Objective)
}

// onSilence starts another attempt beside those in progress if the request may be tried
// at another endpoint, there is one with a free slot, and the budget of retries allows
// it. Whichever attempt answers first is the one that the caller gets. It never ends an
// attempt.
func (c *call) onSilence(ctx context.Context) {
	if _, ok := c.mayRetry(ctx); !ok {
		return
	}
	c.recordSilence()
	budget := c.gateway.retryBudget(c.service)
	if !budget.Withdraw() {
		c.silenceTimer.Reset(slotPollInterval)
		return
	}
	request := c.dispatchRequest()
	var err error
	if request.AvoidedWeights, err = c.gateway.quarantine.Check(time.Now(), c.service, c.metadata.PromptParts); err != nil {
		budget.Refund()
		return
	}
	reservation, ok := c.gateway.table.TryReserve(request)
	if !ok {
		budget.Refund()
		c.silenceTimer.Reset(slotPollInterval)
		return
	}
	permit, err := c.enter(reservation)
	if err != nil {
		budget.Refund()
		c.silenceTimer.Reset(slotPollInterval)
		return
	}
	c.log.Info("second attempt started", "endpoint", reservation.Endpoint().ID(), "events", c.progress.events)
	c.gateway.stats.count("second_attempts", c.service)
	c.start(ctx, reservation, permit)
}

// recordSilence records the silence of the attempts in progress, once for each. The idle
// connections to a silent endpoint may be dead too.
func (c *call) recordSilence() {
	for _, a := range c.attempts {
		if a.silent {
			continue
		}
		a.silent = true
		e := a.reservation.Endpoint()
		c.log.Warn("endpoint silent", "endpoint", e.ID(), "silence", c.silenceTimeout(), "begun", c.progress.started, "events", c.progress.events, "used", c.timeUsed())
		a.reservation.RecordSilence()
		c.gateway.pool.CloseIdle(e.Address())
	}
}
