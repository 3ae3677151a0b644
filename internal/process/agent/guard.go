package agent

import (
	"context"
	"time"

	"fulmardeal"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/traffic/attempt"
)

// Check returns the reason why an attempt must not start now, or nil. The agent
// has the final decision, because the state known to an entry may be outdated.
func (a *Agent) Check(t attempt.Task) *attempt.Refusal {
	if fulmardeal.Offset(t.Version) > a.node.Store().Version() {
		// The entry has a newer configuration than this agent. The newer one may
		// take this data centre out of service.
		if !a.node.CatchUp(context.Background(), fulmardeal.Offset(t.Version)) {
			return &attempt.Refusal{Reason: attempt.ReasonUnconfirmed, After: unconfirmedRetryAfter}
		}
	}

	c := a.node.Store().Current()
	switch {
	case a.isLeaving():
		return &attempt.Refusal{Reason: attempt.ReasonLeaving}
	case c == nil:
		return &attempt.Refusal{Reason: attempt.ReasonUnconfirmed, After: unconfirmedRetryAfter}
	case c.IsOutOfService(a.settings.DataCentre):
		return &attempt.Refusal{Reason: attempt.ReasonOut}
	case a.settings.Cutoff != settings.CutoffServe && !a.node.Confirmed(time.Now()):
		return &attempt.Refusal{Reason: attempt.ReasonUnconfirmed, After: unconfirmedRetryAfter}
	case t.Service != a.settings.Service:
		return &attempt.Refusal{Reason: attempt.ReasonModel}
	case a.weights != nil && (t.Model.Zero() || a.weights.serving() != t.Model):
		return &attempt.Refusal{Reason: attempt.ReasonModel}
	}
	return nil
}

// Serving asks the engine which weights it serves, and returns their version and
// digest. For a plain service both are zero. It also detects a restart of the
// engine, so that the warm-up applies to the attempt for which it is called.
func (a *Agent) Serving(ctx context.Context) (fulmardeal.Version, string, error) {
	if a.platform.Engine == nil {
		return fulmardeal.Version{}, "", nil
	}
	h, err := a.platform.Engine.ActiveWeights(ctx)
	if err != nil {
		return fulmardeal.Version{}, "", err
	}
	a.recordBoot(h.Boot)
	return h.Version, h.Digest, nil
}
