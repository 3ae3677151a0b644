package soak

import (
	"fmt"
	"slices"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
)

// Limits of the checks of requests whose callers have left.
const (
	boundGone       = 500 * time.Millisecond // from the close of the caller's connection to the end of the work
	maxGoneArrivals = 3                      // requests that may reach an endpoint later than boundGone
	maxGoneShare    = 0.25                   // of the runs that would last so long, those that may go on
)

// runSpan is one run of a request at an endpoint.
type runSpan struct {
	endpoint, address string
	from, to          time.Time // to is zero while the run lasts
	expected          time.Duration
}

// goneRecord is what endpoints received too late after callers had left.
type goneRecord struct {
	arrivals []Violation
}

// callerLeft records that the caller of a request closes its connection before the answer is
// complete.
func (c *Checker) callerLeft(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.left.IsZero() {
		r.left = time.Now()
	}
}

// requestLeft counts a request whose caller has left.
func (c *Checker) requestLeft() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Cancelled++
}

// RequestEnded records that a run has ended or was dropped.
func (c *Checker) RequestEnded(a site.ReceivedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.Attempt]
	if r == nil {
		return
	}
	for _, run := range r.spans {
		if run.endpoint == a.Endpoint.ID && run.to.IsZero() {
			run.to = time.Now()
			return
		}
	}
}

// checkArrivalAfterLeaving checks that a request does not reach an endpoint long after its
// caller has left. c.mu must be held.
func (c *Checker) checkArrivalAfterLeaving(r *request, a site.ReceivedRequest) {
	if r.left.IsZero() || a.Time.Sub(r.left) <= boundGone || !c.undisturbed(r.left, entryScope(r.entry), a.Endpoint.Address) {
		return
	}
	c.gone.arrivals = append(c.gone.arrivals, Violation{GuaranteeGone, a.Attempt, time.Since(c.startTime),
		fmt.Sprintf("reached %s %v after its caller had left entry %d", a.Endpoint.ID, a.Time.Sub(r.left), r.entry)})
}

// checkGone checks that endpoints do not go on with requests whose callers have left. Counted
// are requests that may be repeated, and streams. c.mu must be held.
func (c *Checker) checkGone() []Violation {
	var out, goesOn []Violation
	if len(c.gone.arrivals) > maxGoneArrivals {
		out = append(out, c.gone.arrivals...)
	}
	lasting := 0
	for _, r := range c.requests {
		if r.left.IsZero() || !r.route.Repeatable() && r.route.Kind != fulmardeal.KindStream {
			continue
		}
		due := r.left.Add(boundGone)
		for _, run := range r.spans {
			if run.from.After(due) || !run.from.Add(run.expected).After(due) || c.affected(r.sent, due, entryScope(r.entry), run.address) {
				continue
			}
			lasting++
			if run.to.IsZero() || run.to.After(due) {
				goesOn = append(goesOn, Violation{GuaranteeGone, r.attempt, due.Sub(c.startTime),
					fmt.Sprintf("runs at %s more than %v after its caller has left entry %d, %s", run.endpoint, boundGone, r.entry, r.leave)})
			}
		}
	}
	if float64(len(goesOn)) > maxGoneShare*float64(lasting) {
		out = append(out, goesOn...)
	}
	return out
}

// affected reports whether a fault affected any of the scopes, or all, in an interval or in the
// settleTime before it. c.mu must be held.
func (c *Checker) affected(from, to time.Time, scopes ...string) bool {
	scopes = append(scopes, scopeAll)
	return slices.ContainsFunc(c.disturbances, func(d disturbance) bool {
		return slices.Contains(scopes, d.scope) && d.from.Before(to) && (d.to.IsZero() || d.to.Add(settleTime).After(from))
	})
}
