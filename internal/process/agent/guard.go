package agent

import (
	"context"
	"time"

	"fulmardeal"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/traffic/attempt"
)

// Check says why an attempt may not start now. It is the last word: entries
// may not have heard yet what this process has.
func (a *Agent) Check(t attempt.Task) *attempt.Refusal {
	if fulmardeal.Offset(t.Version) > a.node.Store().Version() {
		// The entry knows a newer configuration, perhaps one that takes this
		// data centre out.
		if !a.node.Catchup(context.Background(), fulmardeal.Offset(t.Version)) {
			return &attempt.Refusal{Reason: attempt.ReasonUnconfirmed, After: unconfirmedAfter}
		}
	}

	c := a.node.Store().Current()
	switch {
	case a.isLeaving():
		return &attempt.Refusal{Reason: attempt.ReasonLeaving}
	case c == nil:
		return &attempt.Refusal{Reason: attempt.ReasonUnconfirmed, After: unconfirmedAfter}
	case c.IsOutOfService(a.settings.DataCentre):
		return &attempt.Refusal{Reason: attempt.ReasonOut}
	case a.settings.Cutoff != settings.CutoffServe && !a.node.Confirmed(time.Now()):
		return &attempt.Refusal{Reason: attempt.ReasonUnconfirmed, After: unconfirmedAfter}
	case t.Service != a.settings.Service:
		return &attempt.Refusal{Reason: attempt.ReasonModel}
	case a.weights != nil && (t.Model.Zero() || a.weights.serving() != t.Model):
		return &attempt.Refusal{Reason: attempt.ReasonModel}
	}
	return nil
}

// Serving asks the engine what it serves. A plain service serves the zero
// version. An engine that has started anew is found cold here, before the
// attempt that asks is sent to it.
func (a *Agent) Serving(ctx context.Context) (fulmardeal.Version, string, error) {
	if a.platform.Engine == nil {
		return fulmardeal.Version{}, "", nil
	}
	h, err := a.platform.Engine.ActiveWeights(ctx)
	if err != nil {
		return fulmardeal.Version{}, "", err
	}
	a.seen(h.Boot)
	return h.Version, h.Digest, nil
}
