package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Times of a shutdown.
const (
	// shutdownDelay is how long an entry that shuts down still accepts
	// requests. The load balancer polls the readiness once a second and
	// acts on the second negative response. It is at most half of the grace period.
	shutdownDelay = 2600 * time.Millisecond

	// shutdownMargin is the margin between the end of the requests in progress
	// and SIGKILL, at most an eighth of the grace period. Callers expect that a
	// request that lasts to the last sixth of the grace period may be cut, but
	// none earlier.
	shutdownMargin = 900 * time.Millisecond

	// lastAnswersTimeout is how long the answers to these requests may take.
	lastAnswersTimeout = 300 * time.Millisecond

	// retryAfterLeaving is the Retry-After of a request that may last longer than the rest of
	// the grace period. Callers return to another entry.
	retryAfterLeaving = 50 * time.Millisecond
)

// errGraceOver is the cause of the end of a request's context at the end of the
// grace period.
var errGraceOver = errors.New("grace period over")

// timeIsUp reports whether a request's context has ended at its deadline or at the
// end of the grace period, and not because the caller has disconnected.
func timeIsUp(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, errGraceOver)
}

// shutDown accepts requests until the load balancer has noticed that the entry
// is leaving, then waits for the requests in progress to end. At the end of the
// grace period, it ends them with endRequests.
//
// Server.Shutdown never closes a connection whose request is passed on: it declares
// the shutdown before it looks at the state of a connection, and a connection that
// has read a request looks for a shutdown after it has changed its state.
func (g *Gateway) shutDown(s *http.Server, endRequests context.CancelCauseFunc) {
	g.leaving.Store(true)
	grace := g.settings.Bounds.Grace
	g.log.Info("leaving", "grace", grace)
	start := time.Now()
	end := start.Add(grace - min(shutdownMargin, grace/8))
	g.requestsEnd.Store(&end)
	time.Sleep(min(shutdownDelay, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := s.Shutdown(ctx)
	if err == nil {
		return
	}
	g.log.Warn("shutdown grace period expired with requests in progress", "err", err)
	endRequests(errGraceOver)
	ctx, cancel = context.WithTimeout(context.Background(), lastAnswersTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		g.log.Warn("connections closed with requests in progress", "err", err)
	}
}

// refuseOutlasting refuses the request, and reports so, if it may run once only, has not run,
// and may last longer than the rest of the grace period. Its caller would not learn whether it
// has run.
func (c *call) refuseOutlasting() bool {
	end := c.gateway.requestsEnd.Load()
	if end == nil || c.route.Repeatable() || c.runs > 0 || c.progress.started || !c.deadline.After(*end) {
		return false
	}
	c.log.Info("refused", "reason", "leaving", "service", c.service, "after", retryAfterLeaving, "left", time.Until(*end), "deadline", time.Until(c.deadline), "version", c.version)
	c.refuse(http.StatusServiceUnavailable, "leaving", retryAfterLeaving)
	return true
}
