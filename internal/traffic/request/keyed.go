package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"fulmardeal"
	"fulmardeal/internal/traffic/attempt"
	"fulmardeal/internal/traffic/claim"
)

// An attempt that owns a key may not have arrived yet, because another entry is
// about to send it. Before it is fenced, its state is polled at this interval, at
// most this many times.
const (
	arrivalPoll     = 50 * time.Millisecond
	maxArrivalPolls = 20
)

// keyed reports whether the request's idempotency key has to be claimed. A
// request that may run twice needs no claim.
func keyed(q Request) bool { return q.Key != "" && !q.Safe }

// claimKey claims the request's key for an attempt. If another attempt already owns
// the key, a is redirected to that one.
func (r *Router) claimKey(ctx context.Context, s *requestState, a *attemptState) *outcome {
	q := s.request
	sum := sha256.Sum256([]byte(q.Method + " " + q.Path + "\n" + string(q.Body)))
	c := claim.Claim{
		Key:     q.Customer.Name() + "/" + q.Service.Name() + "/" + q.Key,
		Body:    hex.EncodeToString(sum[:]),
		Attempt: a.id,
		Agent:   a.agent.Incarnation,
		Address: a.agent.Address,
		After:   s.replaces,
	}
	w, err := r.claims.Acquire(ctx, c)
	switch {
	case err != nil:
		r.log.Warn("refused a request: its idempotency key could not be claimed", "service", q.Service.Name(), "err", err)
		return &outcome{ran: attempt.RanNo, cause: CauseClaim, retryAfter: defaultRetryAfter}
	case w.Body != c.Body:
		s.ran = attempt.RanNo
		return &outcome{ran: attempt.RanNo, cause: CauseKeyReused}
	case w.Attempt == c.Attempt:
		s.ran = attempt.RanNo // owning the key proves that no earlier attempt ran
		s.replaces = c.Attempt
		return nil
	}
	return r.share(ctx, s, a, w)
}

// share redirects a to the attempt that owns the key, so that the response of that
// attempt is read. If the owner is known not to have run, the request's next
// attempt may replace it.
func (r *Router) share(ctx context.Context, s *requestState, a *attemptState, w claim.Claim) *outcome {
	r.balancer.Release(a.agent.Incarnation)
	a.shared = true
	a.id = w.Attempt
	a.agent = fulmardeal.Instance{Incarnation: w.Agent, Address: w.Address}
	a.client = r.pool.Client(w.Address)
	a.sent = time.Now()

	word, err := r.awaitArrival(ctx, a)
	switch {
	case err != nil, word.State == attempt.StateGone:
		return &outcome{ran: attempt.RanUnknown, cause: CauseLost}
	case word.State == attempt.StateFenced:
		s.ran = attempt.RanNo
		s.replaces = w.Attempt
		return &outcome{ran: attempt.RanNo, reason: attempt.ReasonFenced}
	}
	return nil
}

// awaitArrival queries the state of an attempt that another entry may be about to
// send. It fences the attempt only if it hasn't arrived after maxArrivalPolls
// queries.
func (r *Router) awaitArrival(ctx context.Context, a *attemptState) (attempt.StateReply, error) {
	q := attempt.StateQuery{ID: a.id, Incarnation: a.agent.Incarnation, Soft: true}
	for range maxArrivalPolls {
		word, err := r.ask(ctx, a, q)
		if err != nil || word.State != attempt.StateUnseen {
			return word, err
		}
		time.Sleep(arrivalPoll)
	}
	q.Soft = false
	return r.ask(ctx, a, q)
}
