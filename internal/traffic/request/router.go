package request

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"fulmardeal"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/traffic/attempt"
	"fulmardeal/internal/traffic/budget"
	"fulmardeal/internal/traffic/choice"
)

// Limits of a request's attempts.
const (
	// maxAttempts is the maximum number of attempts of one request.
	// maxFullRefusals is how many of them may be refused for lack of capacity:
	// when all endpoints are full, more attempts would only add load. Both counts
	// restart after a wait in the queue.
	maxAttempts     = 10
	maxFullRefusals = 4

	// minRemaining is the time before the deadline below which no further attempt
	// is sent.
	minRemaining = 50 * time.Millisecond

	// retryRatio is the number of retries that each request adds to the router's
	// retry budget, and retryBurst the most that the budget can hold.
	retryRatio = 0.05
	retryBurst = 20

	// defaultRetryAfter is the delay before a retry that a refusal states if
	// neither the agent nor the claim gave one.
	defaultRetryAfter = time.Second
)

// Router sends requests to endpoints. It is safe for concurrent use.
type Router struct {
	balancer Balancer
	pool     *connection.Pool
	claims   Claimer
	log      *slog.Logger
	version  func() fulmardeal.Offset
	retries  *budget.RetryBudget

	mu     sync.Mutex
	queues map[string]*waitQueue // by name of the service, a slash, and name of the model
}

// NewRouter returns a router. The function version must return the version of the
// entry's current configuration.
func NewRouter(b Balancer, p *connection.Pool, c Claimer, version func() fulmardeal.Offset, log *slog.Logger) *Router {
	return &Router{
		balancer: b,
		pool:     p,
		claims:   c,
		log:      log,
		version:  version,
		retries:  budget.NewRetryBudget(retryRatio, retryBurst),
		queues:   make(map[string]*waitQueue),
	}
}

// requestState is the state of one request over its attempts.
type requestState struct {
	request Request
	tried   []string // incarnations of agents that aren't tried again
	last    outcome  // how the last attempt ended
	// ran is RanUnknown if any attempt may have run, also one of an earlier request
	// with the same idempotency key.
	ran          attempt.Ran
	fullRefusals int    // attempts refused for lack of capacity
	prefer       string // incarnation of an agent known to have free capacity, or empty
	replaces     string // id of the attempt that owns the idempotency key but is known not to have run, or empty
}

// newRequestState returns the state of a request before its first attempt. If the
// request has an idempotency key, an earlier request with the same key may have run
// already. Whether it has is unknown until the key is claimed.
func newRequestState(q Request) *requestState {
	s := &requestState{request: q, ran: attempt.RanNo}
	if keyed(q) {
		s.ran = attempt.RanUnknown
	}
	return s
}

// Do sends the request and returns a response that has started, or a
// *RefusedError. The context must carry the request's deadline and be cancelled
// when the caller disconnects.
func (r *Router) Do(ctx context.Context, q Request) (*Response, error) {
	r.retries.Deposit()
	queue := r.queue(q)
	s := newRequestState(q)
	if !queue.hasWaiters() {
		response, full := r.tryEndpoints(ctx, s)
		if response != nil {
			return response, nil
		}
		if !full {
			return nil, r.refuse(s)
		}
	}

	// No endpoint has free capacity, or other requests are already waiting.
	w, ok := queue.enqueue(time.Now())
	if !ok {
		s.fullRefusals++
		return nil, r.refuse(s)
	}
	for {
		agent, ok := queue.wait(ctx, w)
		if !ok {
			break
		}
		s.tried, s.fullRefusals, s.prefer = nil, 0, agent
		response, full := r.tryEndpoints(ctx, s)
		if response != nil {
			return response, nil
		}
		if !full {
			return nil, r.refuse(s)
		}
		queue.requeue(w)
	}
	s.fullRefusals++
	return nil, r.refuse(s)
}

// tryEndpoints tries one endpoint after the other. full reports that it gave up only
// because the endpoints had no free capacity.
func (r *Router) tryEndpoints(ctx context.Context, s *requestState) (response *Response, full bool) {
	for range maxAttempts {
		a, ok := r.newAttempt(s)
		if !ok {
			return nil, s.onlyNoCapacity()
		}
		response, e := r.tryOnce(ctx, s, a)
		if e == nil {
			return response, false
		}
		r.finish(a, e.ran != attempt.RanNo && s.request.Safe)
		s.last = *e
		if e.ran != attempt.RanNo {
			s.ran = attempt.RanUnknown
		}
		if !r.recordOutcome(ctx, s, a, e) {
			return nil, s.onlyNoCapacity()
		}
	}
	return nil, s.onlyNoCapacity()
}

// onlyNoCapacity reports whether lack of capacity is the only reason why the
// request wasn't served. Such a request may wait in the queue.
func (s *requestState) onlyNoCapacity() bool {
	return s.fullRefusals > 0 && s.last.ran == attempt.RanNo && s.last.cause == ""
}

// queue returns the queue of the request's service and model.
func (r *Router) queue(q Request) *waitQueue {
	key := q.Service.Name() + "/" + q.Model
	r.mu.Lock()
	defer r.mu.Unlock()
	queue, known := r.queues[key]
	if !known {
		queue = &waitQueue{periodStart: time.Now()}
		r.queues[key] = queue
	}
	return queue
}

// newAttempt picks an endpoint and returns a new attempt for it. It reports false if
// no endpoint can be picked.
func (r *Router) newAttempt(s *requestState) (*attemptState, bool) {
	criteria := s.criteria()
	p, ok := r.balancer.Pick(time.Now(), criteria)
	if !ok {
		return nil, false
	}
	in := p.Instance
	return &attemptState{
		id:     uuid.NewString(),
		agent:  in,
		pinned: p.Serving,
		queue:  r.queue(s.request),
	}, true
}

func (s *requestState) criteria() choice.Criteria {
	q := s.request
	return choice.Criteria{Customer: q.Customer, Service: q.Service.Name(), Model: q.Model, Prefix: q.Prefix, Tried: s.tried, Prefer: s.prefer}
}

// tryOnce sends one attempt, after claiming the request's key if it has one. A
// response that is not streamed is read to its end.
func (r *Router) tryOnce(ctx context.Context, s *requestState, a *attemptState) (*Response, *outcome) {
	if keyed(s.request) {
		if e := r.claimKey(ctx, s, a); e != nil {
			return nil, e
		}
	}

	var segment attempt.Segment
	var e *outcome
	if a.redirected {
		segment, e = r.next(ctx, a)
	} else {
		segment, e = r.send(ctx, a, r.task(ctx, s, a))
	}
	if e != nil {
		return nil, e
	}
	if a.streamed() {
		response := &Response{router: r, state: s, attempt: a}
		response.deliver(segment)
		return response, nil
	}
	return r.readAll(ctx, s, a, segment)
}

// readAll reads a response that is not streamed to its end, so that no part of a
// truncated response reaches the caller.
func (r *Router) readAll(ctx context.Context, s *requestState, a *attemptState, segment attempt.Segment) (*Response, *outcome) {
	data := segment.Data
	for !segment.Done {
		var e *outcome
		segment, e = r.next(ctx, a)
		if e != nil {
			return nil, e
		}
		data = append(data, segment.Data...)
	}
	segment.Data = data
	return &Response{router: r, state: s, attempt: a, segment: segment}, nil
}

func (r *Router) task(ctx context.Context, s *requestState, a *attemptState) attempt.Task {
	q := s.request
	remaining := q.Service.Deadline()
	if d, ok := ctx.Deadline(); ok {
		remaining = time.Until(d)
	}
	return attempt.Task{
		ID:          a.id,
		Incarnation: a.agent.Incarnation,
		Version:     int64(r.version()),
		Model:       a.pinned,
		Service:     q.Service.Name(),
		Customer:    q.Customer.Name(),
		Share:       q.Customer.Share(),
		Method:      q.Method,
		Path:        q.Path,
		Header:      q.Header,
		Body:        q.Body,
		Priority:    q.Priority,
		Remaining:   remaining,
		Safe:        q.Safe,
		Keyed:       keyed(q),
	}
}

// recordOutcome reports the outcome of an attempt to the load balancer and returns
// whether another attempt may be sent.
func (r *Router) recordOutcome(ctx context.Context, s *requestState, a *attemptState, e *outcome) bool {
	now := time.Now()
	if e.reason != attempt.ReasonFenced {
		// After a fenced attempt, the same endpoint may be tried again: its agent
		// answered the query, so only the connection had failed.
		s.tried = append(s.tried, a.agent.Incarnation)
	}
	switch e.reason {
	case attempt.ReasonFenced:
	case attempt.ReasonFull, attempt.ReasonShare:
		s.fullRefusals++
		r.balancer.MarkFull(now, a.agent.Incarnation, e.retryAfter)
	case attempt.ReasonOut, attempt.ReasonLeaving, attempt.ReasonModel, attempt.ReasonUnconfirmed, attempt.ReasonIncarnation:
		r.balancer.MarkUnavailable(now, a.agent.Incarnation)
	default:
		if e.ran == attempt.RanNo && e.reason != "" || e.cause == CauseFailed || e.cause == CauseLost {
			r.balancer.MarkFailed(now, a.agent.Incarnation)
		}
	}

	if !timeLeft(ctx) {
		return false
	}
	if e.ran == attempt.RanNo {
		return s.fullRefusals < maxFullRefusals && e.cause != CauseClaim && e.cause != CauseKeyReused
	}
	if !s.request.Safe || e.cause == CauseLate || e.cause == CauseHungUp || e.fault == attempt.FaultLarge {
		return false
	}
	if !r.retries.Withdraw() {
		s.last.cause = CauseRetryBudget
		return false
	}
	return true
}

// timeLeft reports whether enough time is left for another attempt.
func timeLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	d, ok := ctx.Deadline()
	return !ok || time.Until(d) > minRemaining
}

// refuse returns the error for the caller of a request that isn't tried again.
func (r *Router) refuse(s *requestState) *RefusedError {
	e := &RefusedError{Cause: s.last.cause, Ran: s.ran, RetryAfter: s.last.retryAfter, LastReason: s.last.reason}
	if e.RetryAfter == 0 {
		e.RetryAfter = defaultRetryAfter
	}
	if e.Cause != "" {
		return e
	}

	known, allowed := r.balancer.Known(s.criteria())
	switch {
	case s.fullRefusals > 0:
		e.Cause = CauseFull
	case known && !allowed:
		e.Cause = CauseDenied
	case len(s.tried) == 0:
		e.Cause = CauseNoEndpoint
	default:
		e.Cause = CauseFailed
	}
	return e
}
