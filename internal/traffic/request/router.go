package request

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"fulmardeal"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/traffic/attempt"
	"fulmardeal/internal/traffic/budget"
	"fulmardeal/internal/traffic/choice"
)

// Bounds of a request's attempts.
const (
	// mostTries bounds the endpoints that are asked for one request, and
	// mostFull those of them that may say that they are full: more would only
	// add load when all are.
	mostTries = 10
	mostFull  = 4

	// leastRemaining is the time below which no further attempt is sent.
	leastRemaining = 50 * time.Millisecond

	// Repeats may be this part of the requests, with a little in hand.
	repeatPart  = 0.05
	repeatBurst = 20

	defaultAfter = time.Second
)

// Router sends requests. It is safe for concurrent use.
type Router struct {
	chooser Chooser
	pool    *connection.Pool
	claims  Claimer
	log     *slog.Logger
	version func() fulmardeal.Offset
	repeats *budget.RetryBudget

	mu    sync.Mutex
	lines map[string]*line // by service and model
}

// NewRouter returns a router. Version returns the configuration's version.
func NewRouter(c Chooser, p *connection.Pool, k Claimer, version func() fulmardeal.Offset, log *slog.Logger) *Router {
	return &Router{
		chooser: c,
		pool:    p,
		claims:  k,
		log:     log,
		version: version,
		repeats: budget.NewRetryBudget(repeatPart, repeatBurst),
		lines:   make(map[string]*line),
	}
}

// job is one request with what its attempts have taught.
type job struct {
	request Request
	tried   []string
	last    end
	ran     attempt.Ran // RanUnknown when any attempt may have run
	full    int
	prefer  string // the agent that is known to have room
	after   string // a proved not-run attempt that holds the key's claim
}

// newJob begins a request. One with a key may have run for an earlier caller,
// which only its claim can tell.
func newJob(q Request) *job {
	j := &job{request: q, ran: attempt.RanNo}
	if keyed(q) {
		j.ran = attempt.RanUnknown
	}
	return j
}

// Do sends the request and returns an answer that has begun, or a
// *RefusedError. The context carries the deadline, and ends when the caller
// hangs up.
func (r *Router) Do(ctx context.Context, q Request) (*Reply, error) {
	r.repeats.Deposit()
	l := r.line(q)
	j := newJob(q)
	if !l.busy() {
		reply, full := r.round(ctx, j)
		if reply != nil {
			return reply, nil
		}
		if !full {
			return nil, r.refuse(j)
		}
	}

	// There is no room: wait in line for a moment, if that is short.
	w, ok := l.join(time.Now())
	if !ok {
		j.full++
		return nil, r.refuse(j)
	}
	for {
		agent, ok := l.wait(ctx, w)
		if !ok {
			break
		}
		j.tried, j.full, j.prefer = nil, 0, agent
		reply, full := r.round(ctx, j)
		if reply != nil {
			return reply, nil
		}
		if !full {
			return nil, r.refuse(j)
		}
		l.back(w)
	}
	j.full++
	return nil, r.refuse(j)
}

// round asks one endpoint after the other. It reports whether it gave up only
// because those that it asked were full.
func (r *Router) round(ctx context.Context, j *job) (reply *Reply, full bool) {
	for range mostTries {
		f, ok := r.prepare(j)
		if !ok {
			return nil, j.onlyFull()
		}
		reply, e := r.try(ctx, j, f)
		if e == nil {
			return reply, false
		}
		r.land(f, e.ran != attempt.RanNo && j.request.Safe)
		j.last = *e
		if e.ran != attempt.RanNo {
			j.ran = attempt.RanUnknown
		}
		if !r.learn(ctx, j, f, e) {
			return nil, j.onlyFull()
		}
	}
	return nil, j.onlyFull()
}

// onlyFull reports whether the last word was that an endpoint is full.
func (j *job) onlyFull() bool {
	return j.full > 0 && j.last.ran == attempt.RanNo && j.last.cause == ""
}

// line returns the line of a request's service or model.
func (r *Router) line(q Request) *line {
	key := q.Service.Name() + "/" + q.Model
	r.mu.Lock()
	defer r.mu.Unlock()
	l, known := r.lines[key]
	if !known {
		l = &line{counted: time.Now()}
		r.lines[key] = l
	}
	return l
}

// prepare picks the endpoint of the next attempt.
func (r *Router) prepare(j *job) (*flight, bool) {
	wish := j.wish()
	p, ok := r.chooser.Pick(time.Now(), wish)
	if !ok {
		return nil, false
	}
	in := p.Instance
	return &flight{
		id:     uuid.NewString(),
		agent:  in,
		pinned: p.Serving,
		client: r.pool.Client(in.Address),
		line:   r.line(j.request),
	}, true
}

func (j *job) wish() choice.Wish {
	q := j.request
	return choice.Wish{Customer: q.Customer, Service: q.Service.Name(), Model: q.Model, Prefix: q.Prefix, Tried: j.tried, Prefer: j.prefer}
}

// try sends one attempt and collects a plain answer whole.
func (r *Router) try(ctx context.Context, j *job, f *flight) (*Reply, *end) {
	if keyed(j.request) {
		if e := r.claim(ctx, j, f); e != nil {
			return nil, e
		}
	}

	var piece attempt.Segment
	var e *end
	if f.followed {
		piece, e = r.next(ctx, f)
	} else {
		piece, e = r.launch(ctx, f, r.task(ctx, j, f))
	}
	if e != nil {
		return nil, e
	}
	if f.streamed() {
		reply := &Reply{router: r, job: j, flight: f}
		reply.hand(piece)
		return reply, nil
	}
	return r.collect(ctx, j, f, piece)
}

// collect reads a plain answer to its end, so that nothing of one that breaks
// off reaches the caller.
func (r *Router) collect(ctx context.Context, j *job, f *flight, piece attempt.Segment) (*Reply, *end) {
	data := piece.Data
	for !piece.Done {
		var e *end
		piece, e = r.next(ctx, f)
		if e != nil {
			return nil, e
		}
		data = append(data, piece.Data...)
	}
	piece.Data = data
	return &Reply{router: r, job: j, flight: f, piece: piece}, nil
}

func (r *Router) task(ctx context.Context, j *job, f *flight) attempt.Task {
	q := j.request
	remaining := q.Service.Deadline()
	if d, ok := ctx.Deadline(); ok {
		remaining = time.Until(d)
	}
	return attempt.Task{
		ID:          f.id,
		Incarnation: f.agent.Incarnation,
		Version:     int64(r.version()),
		Model:       f.pinned,
		Service:     q.Service.Name(),
		Customer:    q.Customer.Name(),
		Share:       q.Customer.Share(),
		Method:      q.Method,
		Path:        q.Path,
		Header:      q.Header,
		Body:        q.Body,
		Priority:    q.Priority,
		Remaining:   remaining,
		Safe:        q.Safe,
		Keyed:       keyed(q),
	}
}

// learn tells the chooser how an attempt ended and reports whether another may
// be sent.
func (r *Router) learn(ctx context.Context, j *job, f *flight, e *end) bool {
	now := time.Now()
	if e.reason != attempt.ReasonFenced {
		// An agent that fences has just answered: only the way to it had failed.
		j.tried = append(j.tried, f.agent.Incarnation)
	}
	switch e.reason {
	case attempt.ReasonFenced:
	case attempt.ReasonFull, attempt.ReasonShare:
		j.full++
		r.chooser.Full(now, f.agent.Incarnation, e.after)
	case attempt.ReasonOut, attempt.ReasonLeaving, attempt.ReasonModel, attempt.ReasonUnconfirmed, attempt.ReasonIncarnation:
		r.chooser.Away(now, f.agent.Incarnation)
	default:
		if e.ran == attempt.RanNo && e.reason != "" || e.cause == CauseFailed || e.cause == CauseLost {
			r.chooser.Failed(now, f.agent.Incarnation)
		}
	}

	if !enough(ctx) {
		return false
	}
	if e.ran == attempt.RanNo {
		return j.full < mostFull && e.cause != CauseClaim && e.cause != CauseKey
	}
	if !j.request.Safe || e.cause == CauseLate || e.cause == CauseForgone || e.fault == attempt.FaultLarge {
		return false
	}
	if !r.repeats.Withdraw() {
		j.last.cause = CauseSpent
		return false
	}
	return true
}

func enough(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	d, ok := ctx.Deadline()
	return !ok || time.Until(d) > leastRemaining
}

// refuse makes the final answer of a request that is given up.
func (r *Router) refuse(j *job) *RefusedError {
	e := &RefusedError{Cause: j.last.cause, Ran: j.ran, After: j.last.after, Last: j.last.reason}
	if e.After == 0 {
		e.After = defaultAfter
	}
	if e.Cause != "" {
		return e
	}

	known, allowed := r.chooser.Known(j.wish())
	switch {
	case j.full > 0:
		e.Cause = CauseFull
	case known && !allowed:
		e.Cause = CauseDenied
	case len(j.tried) == 0:
		e.Cause = CauseNone
	default:
		e.Cause = CauseFailed
	}
	return e
}
