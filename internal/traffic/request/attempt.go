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

// Limits of the calls about an attempt.
const (
	// queryTimeout limits one query for the state of an attempt. maxQueries is how
	// many such queries may fail in a row before the attempt is given up as lost.
	queryTimeout = time.Second
	maxQueries   = 3

	// cancelTimeout limits the call that cancels an attempt at its agent.
	cancelTimeout = 2 * time.Second
)

// attemptState is the entry's side of one attempt.
type attemptState struct {
	id         string
	agent      fulmardeal.Instance
	pinned     fulmardeal.Version // the required weights, zero for services without a model
	queue      *waitQueue         // queue of the request's service and model
	sent       time.Time
	offset     int64 // number of bytes of the response read so far
	status     int
	header     []fulmardeal.Field
	model      fulmardeal.Version // the weights that produce the response
	started    bool               // the status and header have been received
	redirected bool               // the attempt was sent for another request; this request only reads its response
	finished   bool               // finish has been called
}

// streamed reports whether the response is a stream of server-sent events.
func (a *attemptState) streamed() bool {
	for _, h := range a.header {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

// outcome is how an attempt ended without a complete response.
type outcome struct {
	ran        attempt.Ran
	reason     attempt.Reason // empty unless the attempt was refused
	retryAfter time.Duration  // delay before a retry; 0 if none was given
	fault      attempt.Fault
	cause      Cause
}

// send sends the attempt and returns the first segment of its response. If the
// connection is lost, it queries the attempt's state and resumes reading if the
// attempt was started.
func (r *Router) send(ctx context.Context, a *attemptState, t attempt.Task) (attempt.Segment, *outcome) {
	a.sent = time.Now()
	var segment attempt.Segment
	err := r.pool.Call(ctx, a.agent.Address, attempt.ServiceName+".Run", t, &segment)
	if err == nil && segment.ID == a.id {
		return r.firstSegment(ctx, a, segment)
	}
	if err == nil {
		r.dropMismatched(a, segment)
		err = &connection.LostError{Address: a.agent.Address, Method: "Run", Cause: errMismatchedID}
	}

	var dial *connection.DialError
	if errors.As(err, &dial) {
		return attempt.Segment{}, &outcome{ran: attempt.RanNo, reason: attempt.ReasonUnsent, cause: CauseLost}
	}
	if e := r.resolve(ctx, a); e != nil {
		return attempt.Segment{}, e
	}
	return r.next(ctx, a)
}

var errMismatchedID = errors.New("response carries another attempt's ID")

// dropMismatched closes a connection on which the response of another attempt was
// received, so that the next call opens a new one.
func (r *Router) dropMismatched(a *attemptState, p attempt.Segment) {
	r.log.Warn("dropped the response of another attempt and closed the connection", "attempt", a.id, "got", p.ID, "endpoint", a.agent.Name)
	r.pool.Reconnect(a.agent.Address)
}

// next returns the next segment that has data or ends the response.
func (r *Router) next(ctx context.Context, a *attemptState) (attempt.Segment, *outcome) {
	for {
		cursor := attempt.Cursor{ID: a.id, Incarnation: a.agent.Incarnation, Offset: a.offset}
		var segment attempt.Segment
		err := r.pool.Call(ctx, a.agent.Address, attempt.ServiceName+".Read", cursor, &segment)
		switch {
		case err == nil && segment.ID == a.id && segment.Offset == a.offset:
			p, e := r.classify(a, segment)
			if e != nil || len(p.Data) > 0 || p.Done {
				return p, e
			}
			continue
		case err == nil:
			r.dropMismatched(a, segment)
		case ctx.Err() != nil:
			return attempt.Segment{}, r.contextOutcome(ctx)
		}
		if e := r.resolve(ctx, a); e != nil {
			return attempt.Segment{}, e
		}
	}
}

// firstSegment handles the first segment of a response. If the endpoint is slow to
// respond, that segment is empty, and firstSegment waits for the next one.
func (r *Router) firstSegment(ctx context.Context, a *attemptState, segment attempt.Segment) (attempt.Segment, *outcome) {
	p, e := r.classify(a, segment)
	if e != nil || len(p.Data) > 0 || p.Done {
		return p, e
	}
	return r.next(ctx, a)
}

// classify returns the segment, or the attempt's outcome if the segment carries a
// refusal or a fault. It passes the agent's load report to the load balancer.
func (r *Router) classify(a *attemptState, p attempt.Segment) (attempt.Segment, *outcome) {
	now := time.Now()
	r.balancer.UpdateLoad(now, a.agent.Incarnation, p.Room)
	if p.Refusal != nil {
		return p, &outcome{ran: attempt.RanNo, reason: p.Refusal.Reason, retryAfter: p.Refusal.After}
	}
	if p.Done && p.Fault != attempt.FaultNone {
		return p, &outcome{ran: attempt.RanUnknown, fault: p.Fault, cause: causeOf(p.Fault)}
	}
	if !a.started && p.Status != 0 {
		a.started = true
		a.status, a.header, a.model = p.Status, p.Header, p.Model
	}
	a.offset += int64(len(p.Data))
	return p, nil
}

func causeOf(f attempt.Fault) Cause {
	if f == attempt.FaultLate {
		return CauseLate
	}
	return CauseFailed
}

// resolve queries the agent, over a new connection, for the state of an attempt
// whose connection was lost. It returns nil if the attempt was started and reading
// of its response can be resumed.
func (r *Router) resolve(ctx context.Context, a *attemptState) *outcome {
	q := attempt.StateQuery{ID: a.id, Incarnation: a.agent.Incarnation, Age: time.Since(a.sent)}
	reply, err := r.queryState(ctx, a, q)
	switch {
	case err != nil && ctx.Err() != nil:
		return r.contextOutcome(ctx)
	case err == nil && reply.State == attempt.StateFenced:
		return &outcome{ran: attempt.RanNo, reason: attempt.ReasonFenced}
	case err == nil && reply.State == attempt.StateRunning:
		return nil
	}
	return &outcome{ran: attempt.RanUnknown, cause: CauseLost, fault: attempt.FaultCut}
}

// queryState queries the agent for the state of an attempt until it answers, at most
// maxQueries times.
func (r *Router) queryState(ctx context.Context, a *attemptState, q attempt.StateQuery) (reply attempt.StateReply, err error) {
	for range maxQueries {
		reply, err = r.queryStateOnce(ctx, a, q)
		if err == nil || ctx.Err() != nil {
			break
		}
		// The next query uses a new connection if this one is dead.
	}
	return reply, err
}

func (r *Router) queryStateOnce(ctx context.Context, a *attemptState, q attempt.StateQuery) (attempt.StateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply attempt.StateReply
	err := r.pool.Call(ctx, a.agent.Address, attempt.ServiceName+".Ask", q, &reply)
	if err != nil {
		return reply, fmt.Errorf("query state of attempt %s: %w", a.id, err)
	}
	return reply, nil
}

// contextOutcome returns the outcome of an attempt whose context is done: the
// request's deadline has passed or the caller has disconnected.
func (r *Router) contextOutcome(ctx context.Context) *outcome {
	cause := CauseHungUp
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		cause = CauseLate
	}
	return &outcome{ran: attempt.RanUnknown, cause: cause, fault: attempt.FaultLate}
}

// finish ends an attempt at the entry. If giveUp is set, it also cancels the attempt
// at the agent, in the background.
func (r *Router) finish(a *attemptState, giveUp bool) {
	if a.finished {
		return
	}
	a.finished = true
	if !a.redirected {
		r.balancer.Release(a.agent.Incarnation)
	}
	if a.started {
		a.queue.requestEnded(time.Now(), a.agent.Incarnation)
	}
	if giveUp && !a.redirected {
		go r.cancel(a)
	}
}

func (r *Router) cancel(a *attemptState) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	cursor := attempt.Cursor{ID: a.id, Incarnation: a.agent.Incarnation}
	err := r.pool.Call(ctx, a.agent.Address, attempt.ServiceName+".Cancel", cursor, &attempt.Empty{})
	if err != nil {
		r.log.Debug("could not cancel an attempt at its agent", "attempt", a.id, "endpoint", a.agent.Name, "err", err)
	}
}
