package gateway

import "fulmardeal/internal/traffic/budget"

// retryBudgetFraction is the fraction of this entry's share of the
// retry budget that it uses. The rest is a reserve, because refusals by
// endpoints count as retries too and requests are spread unevenly over
// the entries.
const retryBudgetFraction = 0.7

// retryBudget returns this entry's budget of retries for a service.
func (g *Gateway) retryBudget(service string) *budget.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.retryBudgets[service]
	if r == nil {
		r = budget.NewRetryBudget(g.settings.Bounds.RetryRatio*retryBudgetFraction, g.retryBurst())
		g.retryBudgets[service] = r
	}
	return r
}

// retryBurst returns this entry's share of the retries that all entries may make in addition
// to the ratio.
func (g *Gateway) retryBurst() float64 {
	return max(1, g.settings.Bounds.RetryExtra*retryBudgetFraction/float64(1+g.mesh.PeerCount()))
}

// shareRetries adapts the budgets to the number of entries.
func (g *Gateway) shareRetries() {
	burst := g.retryBurst()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.retryBudgets {
		r.SetBurst(burst)
	}
}
