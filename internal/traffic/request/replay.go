package request

import (
	"context"
	"time"

	"fulmardeal/internal/traffic/attempt"
)

// maxReplays is the maximum number of endpoints that are tried to continue a
// truncated stream.
const maxReplays = 4

// replay runs the request of a truncated stream again, at another endpoint with the
// same weights, and continues the stream where it was truncated. It does so only if
// the new run first reproduces the events that were delivered, so that the caller
// gets the complete response of a single run. It reports whether the stream
// continues.
func (r *Router) replay(ctx context.Context, old *Response, e *outcome) bool {
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
			old.attempt, old.segment, old.transcript = next.attempt, next.segment, next.transcript
			return true
		}
		r.finish(a, true)
		if !r.recordOutcome(ctx, s, a, e) {
			return false
		}
	}
	return false
}

// replayAt sends the request again and reads its stream up to where the old one was
// truncated.
func (r *Router) replayAt(ctx context.Context, s *requestState, a *attemptState, old *transcript) (*Response, *outcome) {
	segment, e := r.send(ctx, a, r.task(ctx, s, a))
	if e != nil {
		return nil, e
	}
	if !a.streamed() {
		return nil, diverged
	}
	next := &Response{router: r, state: s, attempt: a}
	for {
		if next.advance(segment, old) {
			break
		}
		if segment.Done {
			return nil, diverged
		}
		if segment, e = r.next(ctx, a); e != nil {
			return nil, e
		}
	}
	if next.diverged {
		return nil, diverged
	}
	return next, nil
}

// diverged is the outcome of a replay whose events differ from those delivered.
// CauseHungUp stops further replays, which would differ too, and doesn't count as a
// failure of the endpoint.
var diverged = &outcome{ran: attempt.RanUnknown, cause: CauseHungUp, fault: attempt.FaultMixed}

// advance reads a segment of a replay, and reports whether the replay has reached
// the point where the old stream was truncated. Events after that point become the
// current segment.
func (r *Response) advance(segment attempt.Segment, old *transcript) bool {
	var data []byte
	reached := r.transcript.events >= old.events
	for _, event := range r.transcript.split(segment.Data) {
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
	if segment.Done && reached {
		data = append(data, r.transcript.partial...)
	}
	segment.Data = data
	r.segment = segment
	return reached
}
