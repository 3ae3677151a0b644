package request

import (
	"context"
	"time"

	"fulmardeal/internal/traffic/attempt"
)

// maxReplays bounds the endpoints that are tried to continue a broken stream.
const maxReplays = 4

// replay runs the request of a broken stream again, at another endpoint with the
// same weights, and continues the stream where it broke off. It does so only when
// the new run produces the same events as have been delivered, so that the
// caller's answer is the complete answer of one run. It reports whether the
// stream goes on.
func (r *Router) replay(ctx context.Context, old *Reply, e *outcome) bool {
	if !old.state.request.Safe || e.cause == CauseLate || e.cause == CauseHungUp || e.fault == attempt.FaultLarge {
		return false
	}
	if !timeLeft(ctx) || !r.retries.Withdraw() {
		return false
	}
	s := &requestState{request: old.state.request, ran: attempt.RanUnknown, tried: []string{old.attempt.agent.Incarnation}}
	r.balancer.MarkFailed(time.Now(), old.attempt.agent.Incarnation)
	r.finish(old.attempt, true)
	for range maxReplays {
		a, ok := r.newAttempt(s)
		if !ok {
			return false
		}
		if a.pinned != old.attempt.model {
			r.finish(a, false)
			s.tried = append(s.tried, a.agent.Incarnation)
			continue
		}
		next, e := r.replayAt(ctx, s, a, &old.transcript)
		if e == nil {
			old.attempt, old.piece, old.transcript = next.attempt, next.piece, next.transcript
			return true
		}
		r.finish(a, true)
		if !r.recordOutcome(ctx, s, a, e) {
			return false
		}
	}
	return false
}

// replayAt sends the request again and reads its stream up to where the old one
// broke off.
func (r *Router) replayAt(ctx context.Context, s *requestState, a *attemptState, old *transcript) (*Reply, *outcome) {
	piece, e := r.send(ctx, a, r.task(ctx, s, a))
	if e != nil {
		return nil, e
	}
	if !a.streamed() {
		return nil, diverged
	}
	next := &Reply{router: r, state: s, attempt: a}
	for {
		if next.advance(piece, old) {
			break
		}
		if piece.Done {
			return nil, diverged
		}
		if piece, e = r.next(ctx, a); e != nil {
			return nil, e
		}
	}
	if next.diverged {
		return nil, diverged
	}
	return next, nil
}

// diverged is the outcome of a replay whose content differs from what has been
// delivered. Further replays are not tried, because they would differ too.
var diverged = &outcome{ran: attempt.RanUnknown, cause: CauseHungUp, fault: attempt.FaultMixed}

// advance reads a piece of a replay, and reports whether the replay has reached
// the point where the old stream broke off. Events after that point become the
// reply's current piece.
func (r *Reply) advance(piece attempt.Segment, old *transcript) bool {
	var data []byte
	reached := r.transcript.events >= old.events
	for _, event := range r.transcript.split(piece.Data) {
		r.transcript.add(event)
		if reached {
			data = append(data, event...)
			continue
		}
		if r.transcript.events == old.events {
			reached = true
			r.diverged = !r.transcript.equal(old)
		}
	}
	if piece.Done && reached {
		data = append(data, r.transcript.partial...)
	}
	piece.Data = data
	r.piece = piece
	return reached
}
