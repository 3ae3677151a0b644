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
	// mostTries bounds the attempts of one request. mostFull bounds those that
	// are refused for lack of capacity: when all endpoints are full, more attempts
	// would only add load.
	mostTries = 10
	mostFull  = 4

	// leastRemaining is the time before the deadline from which on no further
	// attempt is sent.
	leastRemaining = 50 * time.Millisecond

	// The retry budget: the ratio of retries to requests, and the burst above it.
	repeatPart  = 0.05
	repeatBurst = 20

	defaultAfter = time.Second
)

// Router sends requests to endpoints. It is safe for concurrent use.
type Router struct {
	chooser Chooser
	pool    *connection.Pool
	claims  Claimer
	log     *slog.Logger
	version func() fulmardeal.Offset
	repeats *budget.Repeats

	mu    sync.Mutex
	lines map[string]*line // by service and model
}

// NewRouter returns a router. The function version returns the version of the
// entry's current configuration.
func NewRouter(c Chooser, p *connection.Pool, k Claimer, version func() fulmardeal.Offset, log *slog.Logger) *Router {
	return &Router{
		chooser: c,
		pool:    p,
		claims:  k,
		log:     log,
		version: version,
		repeats: budget.NewRepeats(repeatPart, repeatBurst),
		lines:   make(map[string]*line),
	}
}

// job is the state of one request over its attempts.
type job struct {
	request Request
	tried   []string    // incarnations of the agents that were tried
	last    end         // of the last attempt
	ran     attempt.Ran // RanUnknown when any attempt may have run
	full    int         // attempts refused for lack of capacity
	prefer  string      // the agent that is known to have free capacity
	after   string      // the attempt that holds the key's claim and is proved not to have run
}

// newJob returns the state of a request before its first attempt. A request with
// an idempotency key may have run before: that is unknown until the key is
// claimed.
func newJob(q Request) *job {
	j := &job{request: q, ran: attempt.RanNo}
	if keyed(q) {
		j.ran = attempt.RanUnknown
	}
	return j
}

// Do sends the request and returns an answer that has begun, or a
// *RefusedError. The context must carry the request's deadline and be cancelled
// when the caller hangs up.
func (r *Router) Do(ctx context.Context, q Request) (*Reply, error) {
	r.repeats.Earn()
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

	// No endpoint has free capacity, or others are waiting: wait in the queue.
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

// round tries one endpoint after the other. It reports whether it gave up only
// because the endpoints had no free capacity.
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

// onlyFull reports whether the request failed only for lack of capacity, so that
// it may wait in the queue.
func (j *job) onlyFull() bool {
	return j.full > 0 && j.last.ran == attempt.RanNo && j.last.cause == ""
}

// line returns the queue of the request's service and model.
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

// prepare picks an endpoint and returns a new attempt for it.
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

// try sends one attempt, after claiming the request's key if it has one. A plain
// answer is read to its end.
func (r *Router) try(ctx context.Context, j *job, f *flight) (*Reply, *end) {
	if keyed(j.request) {
		if e := r.claim(ctx, j, f); e != nil {
			return nil, e
		}
	}

	var piece attempt.Piece
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

// collect reads a plain answer to its end, so that no part of an answer that is
// cut off reaches the caller.
func (r *Router) collect(ctx context.Context, j *job, f *flight, piece attempt.Piece) (*Reply, *end) {
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

// learn tells the load balancer how an attempt ended and reports whether another
// one may be sent.
func (r *Router) learn(ctx context.Context, j *job, f *flight, e *end) bool {
	now := time.Now()
	if e.reason != attempt.ReasonFenced {
		// An agent that fences the attempt is reachable again: only the connection
		// had failed, so the same endpoint may be tried again.
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
	if !r.repeats.Spend() {
		j.last.cause = CauseSpent
		return false
	}
	return true
}

// enough reports whether there is time for another attempt.
func enough(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	d, ok := ctx.Deadline()
	return !ok || time.Until(d) > leastRemaining
}

// refuse returns the error of a request that is given up.
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
