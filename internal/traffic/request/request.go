// Package request routes one request from an entry to an endpoint, and returns a
// complete response or a refusal that states whether the request has run.
//
// It picks endpoints, sends attempts to their agents, and queries the state of an
// attempt whose connection was lost. It retries only when that is safe: after an
// attempt that is known not to have run, or if the request may run twice without
// harm. A request that can't be served is refused soon rather than at its deadline,
// and the refusal states how long to wait before a retry. The package doesn't
// depend on HTTP.
package request

import (
	"context"
	"fmt"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/traffic/attempt"
	"fulmardeal/internal/traffic/choice"
	"fulmardeal/internal/traffic/claim"
)

// Request is a validated request of an authenticated customer.
type Request struct {
	Customer configuration.Customer
	Service  configuration.Service
	Model    string // the model's name, empty for services without a model
	Method   string
	Path     string
	Header   []fulmardeal.Field
	Body     []byte
	Key      string // idempotency key, empty when there is none
	Safe     bool   // may run more than once without harm
	Priority int
	Prefix   string // requests with the same prefix benefit from the cache of the same endpoint
}

// Cause is the reason why a request was refused.
type Cause string

// Causes of refusals. Callers see them in the Fulmardeal-Cause header.
const (
	CauseNoEndpoint  Cause = "none"    // no endpoint is available for the service and model
	CauseFull        Cause = "full"    // the endpoints have no free capacity
	CauseRateLimit   Cause = "rate"    // the customer's rate limit is reached
	CauseLate        Cause = "late"    // the deadline passed
	CauseFailed      Cause = "failed"  // endpoints failed
	CauseLost        Cause = "lost"    // the agent is unreachable or has no record of the attempt
	CauseClaim       Cause = "claim"   // the idempotency key can't be claimed now
	CauseKeyReused   Cause = "key"     // the idempotency key was used for a different request
	CauseHungUp      Cause = "gone"    // the caller disconnected
	CauseUnready     Cause = "unready" // this entry has no configuration yet
	CauseDenied      Cause = "denied"  // no traffic rule allows the customer to use an endpoint of the service
	CauseRetryBudget Cause = "spent"   // the retry budget is used up
)

// RefusedError reports that a request was given up. Ran is RanNo only if it is
// certain that the request has not run and won't.
type RefusedError struct {
	Cause      Cause
	Ran        attempt.Ran
	RetryAfter time.Duration  // delay before a retry
	LastReason attempt.Reason // why the agent refused the last attempt; empty if it didn't
}

// Error returns a text that callers see in the body of the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s (ran %s, come back in %v)", e.Cause, e.Ran, e.RetryAfter)
}

// BrokenError reports that a response was truncated after its first part had been
// delivered to the caller.
type BrokenError struct {
	Fault attempt.Fault
}

// Error returns a text that callers see at the end of a truncated stream.
func (e *BrokenError) Error() string { return fmt.Sprintf("answer broken off: %s", e.Fault) }

// Response is a response that has started. A response that is not streamed is
// complete when Do returns it. A streamed response is read with Next until Done
// reports true; each of its segments holds complete events. Close must be called.
type Response struct {
	router     *Router
	state      *requestState
	attempt    *attemptState
	segment    attempt.Segment
	transcript transcript // the events delivered so far, if the response is a stream
	diverged   bool       // this is a replay, and its events differ from those delivered before
}

// Status returns the status code of the endpoint's response.
func (r *Response) Status() int { return r.attempt.status }

// Header returns the endpoint's header fields.
func (r *Response) Header() []fulmardeal.Field { return r.attempt.header }

// Data returns the bytes of the current segment.
func (r *Response) Data() []byte { return r.segment.Data }

// Done reports whether the current segment is the last one.
func (r *Response) Done() bool { return r.segment.Done }

// Streamed reports whether the response is a stream of server-sent events.
func (r *Response) Streamed() bool { return r.attempt.streamed() }

// Endpoint returns the instance that produces the response.
func (r *Response) Endpoint() fulmardeal.Instance { return r.attempt.agent }

// Model returns the version of the weights that produce the response, zero for
// services without a model.
func (r *Response) Model() fulmardeal.Version { return r.attempt.model }

// Next waits for the next segment. If the stream is truncated, Next tries to
// continue it at another endpoint, and returns a *BrokenError if that fails.
func (r *Response) Next(ctx context.Context) error {
	for {
		segment, e := r.router.next(ctx, r.attempt)
		if e != nil {
			if !r.router.replay(ctx, r, e) {
				return &BrokenError{Fault: e.fault}
			}
		} else {
			r.deliver(segment)
		}
		if len(r.segment.Data) > 0 || r.segment.Done {
			return nil
		}
	}
}

// deliver makes the complete events of a segment the current segment. An
// incomplete event is held back until a later segment completes it; at the end of
// the stream it is delivered as it is.
func (r *Response) deliver(segment attempt.Segment) {
	var data []byte
	for _, event := range r.transcript.split(segment.Data) {
		r.transcript.add(event)
		data = append(data, event...)
	}
	if segment.Done {
		data = append(data, r.transcript.partial...)
	}
	segment.Data = data
	r.segment = segment
}

// Close ends the request. If the response isn't complete, its attempt is cancelled
// at the agent.
func (r *Response) Close() { r.router.finish(r.attempt, !r.segment.Done) }

// Claimer claims idempotency keys for attempts. Acquire returns the claim that owns
// the key, which may be an earlier one.
type Claimer interface {
	Acquire(ctx context.Context, c claim.Claim) (claim.Claim, error)
}

// Balancer is the load balancer. It picks endpoints, and receives the agents' load
// reports and the outcomes of attempts.
type Balancer interface {
	Pick(now time.Time, want choice.Criteria) (choice.Pick, bool)
	// Known reports whether an endpoint of the service is known, and whether the
	// traffic rules allow the customer to use one.
	Known(want choice.Criteria) (known, allowed bool)
	UpdateLoad(now time.Time, incarnation string, r attempt.Capacity)
	MarkFull(now time.Time, incarnation string, after time.Duration)
	MarkUnavailable(now time.Time, incarnation string)
	MarkFailed(now time.Time, incarnation string)
	Release(incarnation string)
}
