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

// Times of asking after an attempt whose connection was lost.
const (
	askTimeout = time.Second
	askTries   = 3

	// cancelTimeout bounds telling an agent that an attempt is given up.
	cancelTimeout = 2 * time.Second
)

// flight is one attempt on its way, as the entry sees it.
type flight struct {
	id       string
	agent    fulmardeal.Instance
	pinned   fulmardeal.Version // the weights that must answer
	client   *connection.Client
	line     *line // of the request's service
	sent     time.Time
	offset   int64
	status   int
	header   []fulmardeal.Field
	model    fulmardeal.Version
	begun    bool
	followed bool // another entry's attempt, read here too
	landed   bool
}

func (f *flight) streamed() bool {
	for _, h := range f.header {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

// end is how an attempt ended without a whole answer.
type end struct {
	ran    attempt.Ran
	reason attempt.Reason // when the agent refused it
	after  time.Duration
	fault  attempt.Fault
	cause  Cause
}

// launch sends the attempt and returns the first piece of its answer.
func (r *Router) launch(ctx context.Context, f *flight, t attempt.Task) (attempt.Segment, *end) {
	f.sent = time.Now()
	var piece attempt.Segment
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
		return attempt.Segment{}, &end{ran: attempt.RanNo, reason: attempt.ReasonUnsent, cause: CauseLost}
	}
	if e := r.settle(ctx, f); e != nil {
		return attempt.Segment{}, e
	}
	return r.next(ctx, f)
}

var errCrossed = errors.New("answer with another attempt's id")

// crossed drops a connection that brought another attempt's answer.
func (r *Router) crossed(f *flight, p attempt.Segment) {
	r.log.Warn("crossed answer dropped", "attempt", f.id, "got", p.ID, "endpoint", f.agent.Name)
	f.client.Reconnect()
}

// next returns the next piece that has something in it.
func (r *Router) next(ctx context.Context, f *flight) (attempt.Segment, *end) {
	for {
		place := attempt.Cursor{ID: f.id, Incarnation: f.agent.Incarnation, Offset: f.offset}
		var piece attempt.Segment
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
			return attempt.Segment{}, r.ended(ctx)
		}
		if e := r.settle(ctx, f); e != nil {
			return attempt.Segment{}, e
		}
	}
}

// take handles the first piece, which may be empty when the answer is slow.
func (r *Router) take(ctx context.Context, f *flight, piece attempt.Segment) (attempt.Segment, *end) {
	p, e := r.sort(f, piece)
	if e != nil || len(p.Data) > 0 || p.Done {
		return p, e
	}
	return r.next(ctx, f)
}

// sort tells a piece of an answer from a refusal and from a fault.
func (r *Router) sort(f *flight, p attempt.Segment) (attempt.Segment, *end) {
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

// settle asks the agent what became of an attempt whose connection was lost;
// the client opens a new one. It returns nil when the attempt's answer can be
// read on.
func (r *Router) settle(ctx context.Context, f *flight) *end {
	q := attempt.StateQuery{ID: f.id, Incarnation: f.agent.Incarnation, Age: time.Since(f.sent)}
	for range askTries {
		if ctx.Err() != nil {
			return r.ended(ctx)
		}
		word, err := r.ask(ctx, f, q)
		if err != nil {
			continue // the client notices a silent connection and opens a new one
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

func (r *Router) ask(ctx context.Context, f *flight, q attempt.StateQuery) (attempt.StateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var word attempt.StateReply
	err := f.client.Call(ctx, attempt.ServiceName+".Ask", q, &word)
	if err != nil {
		return word, fmt.Errorf("ask after %s: %w", f.id, err)
	}
	return word, nil
}

// ended is the end of a request whose context is over: its deadline passed, or
// its caller hung up.
func (r *Router) ended(ctx context.Context) *end {
	cause := CauseForgone
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		cause = CauseLate
	}
	return &end{ran: attempt.RanUnknown, cause: cause, fault: attempt.FaultLate}
}

// land ends a flight at the entry, and at the agent when it is given up.
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
	place := attempt.Cursor{ID: f.id, Incarnation: f.agent.Incarnation}
	err := f.client.Call(ctx, attempt.ServiceName+".Cancel", place, &attempt.Empty{})
	if err != nil {
		r.log.Debug("cancel not delivered", "attempt", f.id, "endpoint", f.agent.Name, "err", err)
	}
}
