// Package request takes one request from an entry to a whole answer or a true
// refusal.
//
// It picks endpoints, sends attempts, finds out what became of an attempt
// whose connection went silent, and repeats only what may be repeated: an
// attempt that is proved not to have run, or a request that does no harm when
// it runs twice. A request that it gives up on is answered at once, with when
// to come back and whether it has run. It knows no HTTP.
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

// Request is a checked request of a known customer.
type Request struct {
	Customer configuration.Customer
	Service  configuration.Service
	Model    string // the model's name, empty for plain services
	Method   string
	Path     string
	Header   []fulmardeal.Field
	Body     []byte
	Key      string // idempotency key, empty when there is none
	Safe     bool   // running it twice does no harm
	Priority int
	Prefix   string
}

// Cause says in one word why a request was given up.
type Cause string

// Causes of refusals.
const (
	CauseNone    Cause = "none"    // no endpoint serves this
	CauseFull    Cause = "full"    // the endpoints have no room
	CauseRate    Cause = "rate"    // the customer's budget is used up
	CauseLate    Cause = "late"    // the deadline passed
	CauseFailed  Cause = "failed"  // endpoints failed
	CauseLost    Cause = "lost"    // the agent can't be asked what became of it
	CauseClaim   Cause = "claim"   // the key can't be claimed now
	CauseKey     Cause = "key"     // the key was used for another request
	CauseForgone Cause = "gone"    // the caller hung up
	CauseUnready Cause = "unready" // this entry has no configuration yet
	CauseDenied  Cause = "denied"  // no traffic rule allows it
	CauseSpent   Cause = "spent"   // the budget of repeats is used up
)

// RefusedError is a request that was given up. Ran is RanNo only when that is
// proved.
type RefusedError struct {
	Cause Cause
	Ran   attempt.Ran
	After time.Duration // when to come back
	Last  attempt.Reason
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s (ran %s, come back in %v)", e.Cause, e.Ran, e.After)
}

// BrokenError is an answer that ended before it was whole, after its first
// part was handed on.
type BrokenError struct {
	Fault attempt.Fault
}

func (e *BrokenError) Error() string { return fmt.Sprintf("answer broken off: %s", e.Fault) }

// Reply is an answer that has begun. A plain one is whole when Do returns it;
// a stream goes on with Next until Done, in whole events. Close must be called.
type Reply struct {
	router     *Router
	job        *job
	flight     *flight
	piece      attempt.Segment
	transcript transcript // of a stream
	differs    bool       // a replay that says something else
}

// Status returns the endpoint's status.
func (r *Reply) Status() int { return r.flight.status }

// Header returns the endpoint's header fields.
func (r *Reply) Header() []fulmardeal.Field { return r.flight.header }

// Data returns the bytes of the current piece.
func (r *Reply) Data() []byte { return r.piece.Data }

// Done reports whether the current piece is the last.
func (r *Reply) Done() bool { return r.piece.Done }

// Streamed reports whether the endpoint streams the answer.
func (r *Reply) Streamed() bool { return r.flight.streamed() }

// Endpoint returns the endpoint that answers.
func (r *Reply) Endpoint() fulmardeal.Instance { return r.flight.agent }

// Model returns the weights that answer.
func (r *Reply) Model() fulmardeal.Version { return r.flight.model }

// Next waits for the next piece. The error is a *BrokenError.
func (r *Reply) Next(ctx context.Context) error {
	for {
		piece, e := r.router.next(ctx, r.flight)
		if e != nil {
			if !r.router.replay(ctx, r, e) {
				return &BrokenError{Fault: e.fault}
			}
		} else {
			r.hand(piece)
		}
		if len(r.piece.Data) > 0 || r.piece.Done {
			return nil
		}
	}
}

// hand makes the whole events of a piece the current one. What follows the last
// event at the end of the stream is handed on too.
func (r *Reply) hand(piece attempt.Segment) {
	var data []byte
	for _, event := range r.transcript.take(piece.Data) {
		r.transcript.note(event)
		data = append(data, event...)
	}
	if piece.Done {
		data = append(data, r.transcript.part...)
	}
	piece.Data = data
	r.piece = piece
}

// Close ends the request. An answer that is not whole is cancelled.
func (r *Reply) Close() { r.router.land(r.flight, !r.piece.Done) }

// Claimer makes idempotency keys belong to attempts.
type Claimer interface {
	Acquire(ctx context.Context, c claim.Claim) (claim.Claim, error)
}

// Chooser picks endpoints and learns from what became of it.
type Chooser interface {
	Pick(now time.Time, w choice.Wish) (choice.Pick, bool)
	Known(w choice.Wish) (known, allowed bool)
	Heard(now time.Time, incarnation string, r attempt.Capacity)
	Full(now time.Time, incarnation string, after time.Duration)
	Away(now time.Time, incarnation string)
	Failed(now time.Time, incarnation string)
	End(incarnation string)
}
