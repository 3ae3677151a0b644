package request

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"fulmardeal"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/traffic/attempt"
)

// Bounds of asking an agent for the state of an attempt.
const (
	askTimeout = time.Second
	askTries   = 3

	// cancelTimeout bounds the call that cancels an attempt at its agent.
	cancelTimeout = 2 * time.Second
)

// flight is the entry's side of one attempt.
type flight struct {
	id       string
	agent    fulmardeal.Instance
	pinned   fulmardeal.Version // the weights that must answer
	client   *connection.Client
	line     *line // of the request's service and model
	sent     time.Time
	offset   int64 // up to which the answer has been read
	status   int
	header   []fulmardeal.Field
	model    fulmardeal.Version // the weights that answer
	begun    bool               // the answer has begun
	followed bool               // another request's attempt, whose answer is read here too
	landed   bool               // ended at the entry
}

// streamed reports whether the answer is a stream of server-sent events.

func (f *flight) streamed() bool {
	for _, h := range f.header {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

// end is how an attempt ended without a complete answer.
type end struct {
	ran    attempt.Ran
	reason attempt.Reason // when the agent refused it
	after  time.Duration
	fault  attempt.Fault
	cause  Cause
}

// launch sends the attempt and returns the first piece of its answer. When the
// connection is lost it asks the agent for the attempt's state before it goes on.
func (r *Router) launch(ctx context.Context, f *flight, t attempt.Task) (attempt.Piece, *end) {
	f.sent = time.Now()
	var piece attempt.Piece
	err := f.client.Call(ctx, attempt.ServiceName+".Run", t, &piece)
	if err == nil && piece.ID == f.id {
		return r.take(ctx, f, piece)
	}
	if err == nil {
		r.crossed(f, piece)
		err = &connection.LostError{Address: f.client.Address(), Method: "Run", Cause: errCrossed}
	}

	var dial *connection.DialError
	if errors.As(err, &dial) {
		return attempt.Piece{}, &end{ran: attempt.RanNo, reason: attempt.ReasonUnsent, cause: CauseLost}
	}
	if e := r.settle(ctx, f); e != nil {
		return attempt.Piece{}, e
	}
	return r.next(ctx, f)
}

var errCrossed = errors.New("answer carries another attempt's ID")

// crossed replaces a connection on which the answer of another attempt was
// received.
func (r *Router) crossed(f *flight, p attempt.Piece) {
	r.log.Warn("dropped an answer that belongs to another attempt", "attempt", f.id, "got", p.ID, "endpoint", f.agent.Name)
	f.client.Renew()
}

// next returns the next piece that has data or ends the answer.
func (r *Router) next(ctx context.Context, f *flight) (attempt.Piece, *end) {
	for {
		place := attempt.Place{ID: f.id, Incarnation: f.agent.Incarnation, Offset: f.offset}
		var piece attempt.Piece
		err := f.client.Call(ctx, attempt.ServiceName+".Read", place, &piece)
		switch {
		case err == nil && piece.ID == f.id && piece.Offset == f.offset:
			p, e := r.sort(f, piece)
			if e != nil || len(p.Data) > 0 || p.Done {
				return p, e
			}
			continue
		case err == nil:
			r.crossed(f, piece)
		case ctx.Err() != nil:
			return attempt.Piece{}, r.ended(ctx)
		}
		if e := r.settle(ctx, f); e != nil {
			return attempt.Piece{}, e
		}
	}
}

// take handles the first piece, which is empty when the answer is slow to begin.
func (r *Router) take(ctx context.Context, f *flight, piece attempt.Piece) (attempt.Piece, *end) {
	p, e := r.sort(f, piece)
	if e != nil || len(p.Data) > 0 || p.Done {
		return p, e
	}
	return r.next(ctx, f)
}

// sort returns a piece of an answer, or how the attempt ended if the piece
// carries a refusal or a fault. It passes the agent's load report to the load
// balancer.
func (r *Router) sort(f *flight, p attempt.Piece) (attempt.Piece, *end) {
	now := time.Now()
	r.chooser.Heard(now, f.agent.Incarnation, p.Room)
	if p.Refusal != nil {
		return p, &end{ran: attempt.RanNo, reason: p.Refusal.Reason, after: p.Refusal.After}
	}
	if p.Done && p.Fault != attempt.FaultNone {
		return p, &end{ran: attempt.RanUnknown, fault: p.Fault, cause: causeOf(p.Fault)}
	}
	if !f.begun && p.Status != 0 {
		f.begun = true
		f.status, f.header, f.model = p.Status, p.Header, p.Model
	}
	f.offset += int64(len(p.Data))
	return p, nil
}

func causeOf(f attempt.Fault) Cause {
	if f == attempt.FaultLate {
		return CauseLate
	}
	return CauseFailed
}

// settle asks the agent, over a new connection, for the state of an attempt whose
// connection was lost. It returns nil when the attempt runs or has run and its
// answer can be read on.
func (r *Router) settle(ctx context.Context, f *flight) *end {
	q := attempt.Question{ID: f.id, Incarnation: f.agent.Incarnation, Age: time.Since(f.sent)}
	for range askTries {
		if ctx.Err() != nil {
			return r.ended(ctx)
		}
		word, err := r.ask(ctx, f, q)
		if err != nil {
			continue // the client detects a dead connection and opens a new one
		}
		switch word.State {
		case attempt.StateFenced:
			return &end{ran: attempt.RanNo, reason: attempt.ReasonFenced}
		case attempt.StateRunning:
			return nil
		default:
			return &end{ran: attempt.RanUnknown, cause: CauseLost, fault: attempt.FaultCut}
		}
	}
	return &end{ran: attempt.RanUnknown, cause: CauseLost, fault: attempt.FaultCut}
}

func (r *Router) ask(ctx context.Context, f *flight, q attempt.Question) (attempt.Word, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var word attempt.Word
	err := f.client.Call(ctx, attempt.ServiceName+".Ask", q, &word)
	if err != nil {
		return word, fmt.Errorf("get state of attempt %s: %w", f.id, err)
	}
	return word, nil
}

// ended returns the end of an attempt whose context has ended, because the
// request's deadline has passed or the caller has hung up.
func (r *Router) ended(ctx context.Context) *end {
	cause := CauseForgone
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		cause = CauseLate
	}
	return &end{ran: attempt.RanUnknown, cause: cause, fault: attempt.FaultLate}
}

// land ends an attempt at the entry. With giveUp it is also cancelled at the
// agent, in the background.
func (r *Router) land(f *flight, giveUp bool) {
	if f.landed {
		return
	}
	f.landed = true
	if !f.followed {
		r.chooser.End(f.agent.Incarnation)
	}
	if f.begun {
		f.line.freed(time.Now(), f.agent.Incarnation)
	}
	if giveUp && !f.followed {
		go r.cancel(f)
	}
}

func (r *Router) cancel(f *flight) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	place := attempt.Place{ID: f.id, Incarnation: f.agent.Incarnation}
	err := f.client.Call(ctx, attempt.ServiceName+".Cancel", place, &attempt.Empty{})
	if err != nil {
		r.log.Debug("could not cancel an attempt", "attempt", f.id, "endpoint", f.agent.Name, "err", err)
	}
}
