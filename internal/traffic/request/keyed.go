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

// Bounds of waiting for the arrival of an attempt that holds the key's claim:
// another entry may be about to send it.
const (
	followWait  = 50 * time.Millisecond
	followTries = 20
)

// keyed reports whether the request's idempotency key has to be claimed. A
// request that may run twice needs no claim.
func keyed(q Request) bool { return q.Key != "" && !q.Safe }

// claim claims the request's key for the attempt f. When another attempt holds
// the key already, f is turned into that one.
func (r *Router) claim(ctx context.Context, j *job, f *flight) *end {
	q := j.request
	sum := sha256.Sum256([]byte(q.Method + " " + q.Path + "\n" + string(q.Body)))
	c := claim.Claim{
		Key:     q.Customer.Name() + "/" + q.Service.Name() + "/" + q.Key,
		Body:    hex.EncodeToString(sum[:]),
		Attempt: f.id,
		Agent:   f.agent.Incarnation,
		Address: f.agent.Address,
		After:   j.after,
	}
	w, err := r.claims.Take(ctx, c)
	switch {
	case err != nil:
		r.log.Warn("could not claim an idempotency key", "service", q.Service.Name(), "err", err)
		return &end{ran: attempt.RanNo, cause: CauseClaim, after: defaultAfter}
	case w.Body != c.Body:
		j.ran = attempt.RanNo
		return &end{ran: attempt.RanNo, cause: CauseKey}
	case w.Attempt == c.Attempt:
		j.ran = attempt.RanNo // the claim proves that no earlier attempt ran
		j.after = c.Attempt
		return nil
	}
	return r.follow(ctx, j, f, w)
}

// follow turns f into the attempt that holds the key, so that its answer is read
// instead. When that attempt is proved not to have run, the request's next attempt
// may replace it.
func (r *Router) follow(ctx context.Context, j *job, f *flight, w claim.Claim) *end {
	r.chooser.End(f.agent.Incarnation)
	f.followed = true
	f.id = w.Attempt
	f.agent = fulmardeal.Instance{Incarnation: w.Agent, Address: w.Address}
	f.client = r.pool.Client(w.Address)
	f.sent = time.Now()

	word, err := r.patient(ctx, f)
	switch {
	case err != nil, word.State == attempt.StateGone:
		return &end{ran: attempt.RanUnknown, cause: CauseLost}
	case word.State == attempt.StateFenced:
		j.ran = attempt.RanNo
		j.after = w.Attempt
		return &end{ran: attempt.RanNo, reason: attempt.ReasonFenced}
	}
	return nil
}

// patient asks for the state of an attempt that another entry may be about to
// send. It fences the attempt only if that hasn't arrived after followTries
// questions.
func (r *Router) patient(ctx context.Context, f *flight) (attempt.Word, error) {
	q := attempt.Question{ID: f.id, Incarnation: f.agent.Incarnation, Soft: true}
	for range followTries {
		word, err := r.ask(ctx, f, q)
		if err != nil || word.State != attempt.StateUnseen {
			return word, err
		}
		time.Sleep(followWait)
	}
	q.Soft = false
	return r.ask(ctx, f, q)
}
