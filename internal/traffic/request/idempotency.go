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

// An attempt that owns a key may not have arrived at its agent yet, because another
// entry is about to send it. Fencing it at once would stop that entry's request.
// Therefore the attempt's state is first polled up to maxArrivalPolls times, every
// arrivalPollInterval.
const (
	arrivalPollInterval = 50 * time.Millisecond
	maxArrivalPolls     = 20
)

// keyed reports whether the request's idempotency key has to be claimed. A
// request that may run twice needs no claim.
func keyed(q Request) bool { return q.Key != "" && !q.Safe }

// claimKey claims the request's key for a new attempt. If another attempt already
// owns the key, the new attempt isn't sent: its state is redirected to the owner,
// whose response the request then reads.
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
	owner, err := r.claims.Acquire(ctx, c)
	switch {
	case err != nil:
		r.log.Warn("refused a request: its idempotency key could not be claimed", "service", q.Service.Name(), "err", err)
		return &outcome{ran: attempt.RanNo, cause: CauseClaim, retryAfter: defaultRetryAfter}
	case owner.Body != c.Body:
		s.ran = attempt.RanNo
		return &outcome{ran: attempt.RanNo, cause: CauseKeyReused}
	case owner.Attempt == c.Attempt:
		s.ran = attempt.RanNo // owning the key proves that no earlier attempt ran
		s.replaces = c.Attempt
		return nil
	}
	return r.redirectToOwner(ctx, s, a, owner)
}

// redirectToOwner replaces the id and agent of a new attempt by those of the attempt
// that owns the key. It returns nil if the owner's response can be read. If the
// owner is known not to have run, the request's next attempt may replace it.
func (r *Router) redirectToOwner(ctx context.Context, s *requestState, a *attemptState, owner claim.Claim) *outcome {
	r.balancer.Release(a.agent.Incarnation)
	a.redirected = true
	a.id = owner.Attempt
	a.agent = fulmardeal.Instance{Incarnation: owner.Agent, Address: owner.Address}
	a.sent = time.Now()

	reply, err := r.awaitArrival(ctx, a)
	switch {
	case err != nil && ctx.Err() != nil:
		return r.contextOutcome(ctx)
	case err != nil, reply.State == attempt.StateGone:
		return &outcome{ran: attempt.RanUnknown, cause: CauseLost}
	case reply.State == attempt.StateFenced:
		s.ran = attempt.RanNo
		s.replaces = owner.Attempt
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
		reply, err := r.queryState(ctx, a, q)
		if err != nil || reply.State != attempt.StateUnseen {
			return reply, err
		}
		time.Sleep(arrivalPollInterval)
	}
	q.Soft = false
	return r.queryState(ctx, a, q)
}
