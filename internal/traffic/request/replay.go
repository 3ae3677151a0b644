package request

import (
	"context"
	"time"

	"fulmardeal/internal/traffic/attempt"
)

// mostReplays bounds the endpoints that are asked to take a broken stream over.
const mostReplays = 4

// replay runs a broken stream's request again, at another endpoint with the
// same weights, and goes on where the caller's copy ends. It does so only when
// the new run says, event by event, what has been handed on: the caller's
// answer is then the new run's, whole. Otherwise the stream stays broken.
func (r *Router) replay(ctx context.Context, old *Reply, e *end) bool {
	if !old.job.request.Safe || e.cause == CauseLate || e.cause == CauseForgone || e.fault == attempt.FaultLarge {
		return false
	}
	if !enough(ctx) || !r.repeats.Withdraw() {
		return false
	}
	j := &job{request: old.job.request, ran: attempt.RanUnknown, tried: []string{old.flight.agent.Incarnation}}
	r.chooser.Failed(time.Now(), old.flight.agent.Incarnation)
	r.land(old.flight, true)
	for range mostReplays {
		f, ok := r.prepare(j)
		if !ok {
			return false
		}
		if f.pinned != old.flight.model {
			r.land(f, false)
			j.tried = append(j.tried, f.agent.Incarnation)
			continue
		}
		next, e := r.repeat(ctx, j, f, &old.transcript)
		if e == nil {
			old.flight, old.piece, old.transcript = next.flight, next.piece, next.transcript
			return true
		}
		r.land(f, true)
		if !r.learn(ctx, j, f, e) {
			return false
		}
	}
	return false
}

// repeat sends the request and reads its stream up to where the old one ended.
func (r *Router) repeat(ctx context.Context, j *job, f *flight, old *transcript) (*Reply, *end) {
	piece, e := r.launch(ctx, f, r.task(ctx, j, f))
	if e != nil {
		return nil, e
	}
	if !f.streamed() {
		return nil, differs
	}
	next := &Reply{router: r, job: j, flight: f}
	for {
		if next.advance(piece, old) {
			break
		}
		if piece.Done {
			return nil, differs
		}
		if piece, e = r.next(ctx, f); e != nil {
			return nil, e
		}
	}
	if next.differs {
		return nil, differs
	}
	return next, nil
}

// differs is the end of a replay that says something else than the stream that
// it was to go on with. Another one would too.
var differs = &end{ran: attempt.RanUnknown, cause: CauseForgone, fault: attempt.FaultMixed}

// advance takes a piece of a replay in, and reports whether it has come to where
// the old stream ended. The events after that are the reply's current piece.
func (r *Reply) advance(piece attempt.Segment, old *transcript) bool {
	var data []byte
	reached := r.transcript.events >= old.events
	for _, event := range r.transcript.take(piece.Data) {
		r.transcript.note(event)
		if reached {
			data = append(data, event...)
			continue
		}
		if r.transcript.events == old.events {
			reached = true
			r.differs = !r.transcript.same(old)
		}
	}
	if piece.Done && reached {
		data = append(data, r.transcript.part...)
	}
	piece.Data = data
	r.piece = piece
	return reached
}
