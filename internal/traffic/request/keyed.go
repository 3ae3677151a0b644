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

// Times of waiting for an attempt that another entry has claimed a key for and
// may be about to send.
const (
	followWait  = 50 * time.Millisecond
	followTries = 20
)

func keyed(q Request) bool { return q.Key != "" && !q.Safe }

// claim makes the request's key belong to the flight's attempt. When it
// belongs to another attempt already, the flight becomes that one.
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
	w, err := r.claims.Acquire(ctx, c)
	switch {
	case err != nil:
		r.log.Warn("key not claimed", "service", q.Service.Name(), "err", err)
		return &end{ran: attempt.RanNo, cause: CauseClaim, after: defaultAfter}
	case w.Body != c.Body:
		j.ran = attempt.RanNo
		return &end{ran: attempt.RanNo, cause: CauseKey}
	case w.Attempt == c.Attempt:
		j.ran = attempt.RanNo // nobody ran it before
		j.after = c.Attempt
		return nil
	}
	return r.follow(ctx, j, f, w)
}

// follow turns the flight to the attempt that holds the key. When that one is
// proved not to have run, the next try may replace it.
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

// patient asks after another entry's attempt, and fences it only when it hasn't
// arrived after a while.
func (r *Router) patient(ctx context.Context, f *flight) (attempt.StateReply, error) {
	q := attempt.StateQuery{ID: f.id, Incarnation: f.agent.Incarnation, Soft: true}
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
