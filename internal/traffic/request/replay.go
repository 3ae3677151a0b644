package request

import (
	"context"
	"time"

	"fulmardeal/internal/traffic/attempt"
)

// mostReplays bounds the endpoints that are tried to continue a broken stream.
const mostReplays = 4

// replay runs the request of a broken stream again, at another endpoint with the
// same weights, and continues the stream where it broke off. It does so only when
// the new run produces the same events as have been delivered, so that the
// caller's answer is the complete answer of one run. It reports whether the
// stream goes on.
func (r *Router) replay(ctx context.Context, old *Reply, e *end) bool {
	if !old.job.request.Safe || e.cause == CauseLate || e.cause == CauseForgone || e.fault == attempt.FaultLarge {
		return false
	}
	if !enough(ctx) || !r.repeats.Spend() {
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

// repeat sends the request again and reads its stream up to where the old one
// broke off.
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

// differs is the end of a replay whose content differs from what has been
// delivered. Further replays are not tried, because they would differ too.
var differs = &end{ran: attempt.RanUnknown, cause: CauseForgone, fault: attempt.FaultMixed}

// advance reads a piece of a replay, and reports whether the replay has reached
// the point where the old stream broke off. Events after that point become the
// reply's current piece.
func (r *Reply) advance(piece attempt.Piece, old *transcript) bool {
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
