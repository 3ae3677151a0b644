package attempt

import (
	"context"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/traffic/admission"
)

// Limits of a Table.
const (
	// MaxResponseBytes is the maximum size of a response in bytes.
	MaxResponseBytes = 8 << 20

	// ResponseRetention is how long a finished response stays available to
	// entries. The response to a request with an idempotency key stays available
	// for IDRetention.
	ResponseRetention = time.Minute

	// IDRetention is how long the id of a finished attempt is remembered.
	// A query about an older attempt that is no longer in the table returns
	// StateGone.
	IDRetention = 10 * time.Minute

	// orphanTimeout is how long an idempotent attempt runs on without a read or
	// query from an entry before it is cancelled.
	orphanTimeout = 10 * time.Second

	// pollTimeout is how long a read waits for the next segment.
	pollTimeout = 5 * time.Second

	// minSegmentBytes is the minimum size of a segment of a response that is not
	// streamed. Only the last segment may be smaller, and the empty one that is
	// sent when pollTimeout expires.
	minSegmentBytes = 256 << 10

	// readBufferBytes is the maximum size of one read from the endpoint.
	readBufferBytes = 32 << 10
)

// Guard decides whether an attempt may start, and reports the weights in use. The
// agent process implements it.
type Guard interface {
	// Check returns nil if the attempt may start, otherwise the refusal.
	Check(t Task) *Refusal

	// Serving returns the model version that the endpoint is serving and the
	// digest of its weights. The version is zero for services without a model.
	Serving(ctx context.Context) (v fulmardeal.Version, digest string, err error)
}

// Table runs and tracks the attempts of one agent. It is safe for concurrent
// use.
type Table struct {
	incarnation string
	endpoint    fulmardeal.Endpoint
	limiter     *admission.Limiter
	guard       Guard
	book        *invariant.Recorder

	mu              sync.Mutex
	attempts        map[string]*attempt
	inProgress      sync.WaitGroup
	started         int
	fencingDisabled bool
}

// attempt is the state of one attempt. Its fields are guarded by Table.mu.
type attempt struct {
	id         string
	task       Task
	created    time.Time
	fenced     bool // an entry queried the attempt before its Task arrived; the Task is refused when it arrives
	refusal    *Refusal
	cancel     context.CancelFunc
	status     int
	header     []fulmardeal.Field
	data       []byte // buffered part of the response body; its first byte is at baseOffset of the body
	baseOffset int64
	firstData  time.Time
	done       bool
	doneAt     time.Time
	fault      Fault
	model      fulmardeal.Version
	lastAccess time.Time     // when an entry last sent, read or queried the attempt
	changed    chan struct{} // closed, to wake waiting readers, and replaced by a new channel on every change
	streaming  bool
	discarded  bool // the response was discarded; the id is kept so that the attempt isn't run again
}

// NewTable returns an empty table for the agent process identified by
// incarnation.
func NewTable(incarnation string, e fulmardeal.Endpoint, l *admission.Limiter, g Guard, book *invariant.Recorder) *Table {
	return &Table{
		incarnation: incarnation,
		endpoint:    e,
		limiter:     l,
		guard:       g,
		book:        book,
		attempts:    make(map[string]*attempt),
	}
}

// DisableFencing stops queries from fencing unseen attempts. It lets tests
// verify that the check of at-most-once execution fails without fencing.
func (t *Table) DisableFencing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fencingDisabled = true
}

// Started returns the number of attempts that have been started.
func (t *Table) Started() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.started
}

// Drain waits until no attempt is in progress. It returns an error if ctx is done
// before that.
func (t *Table) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		t.inProgress.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Unread returns the number of finished attempts that still buffer response data
// and that an entry has read or queried in the last orphanTimeout.
func (t *Table) Unread(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, a := range t.attempts {
		if a.done && len(a.data) > 0 && now.Sub(a.lastAccess) < orphanTimeout {
			n++
		}
	}
	return n
}

// Start starts an attempt. If the attempt's id is already known, Start doesn't run
// it a second time. A nil result means that the attempt was started, now or earlier;
// a refusal means that it has not run and will not run.
func (t *Table) Start(task Task) *Refusal {
	now := time.Now()
	if task.Incarnation != t.incarnation {
		return &Refusal{Reason: ReasonIncarnation}
	}
	if r := t.guard.Check(task); r != nil {
		return r
	}

	t.mu.Lock()
	defer t.mu.Unlock()
	if a, known := t.attempts[task.ID]; known {
		return a.attach(now)
	}
	a := &attempt{id: task.ID, task: task, created: now, lastAccess: now, changed: make(chan struct{})}
	if r := t.limiter.Admit(now, task.Customer, task.Share); r != nil {
		return &Refusal{Reason: Reason(r.Reason()), After: r.RetryAfter()}
	}

	t.attempts[task.ID] = a
	t.started++
	t.inProgress.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), task.Remaining)
	a.cancel = cancel
	go t.run(ctx, a)
	return nil
}

// attach is called for each further Task with the id of this attempt. It doesn't
// run the attempt again. It returns a refusal if the attempt has been fenced or
// refused, and nil otherwise.
func (a *attempt) attach(now time.Time) *Refusal {
	a.lastAccess = now
	if a.fenced {
		return &Refusal{Reason: ReasonFenced}
	}
	return a.refusal
}

// QueryState returns the state of an attempt. It fences an attempt that was never
// seen, unless the query is soft. An unknown attempt that is as old as IDRetention
// may have run and been removed from the table, so its state is StateGone.
func (t *Table) QueryState(q StateQuery) StateReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Incarnation != t.incarnation {
		return StateReply{State: StateGone}
	}

	now := time.Now()
	a, known := t.attempts[q.ID]
	switch {
	case known && (a.fenced || a.refusal != nil):
		return StateReply{State: StateFenced}
	case known && a.discarded:
		return StateReply{State: StateGone}
	case known:
		a.lastAccess = now
		return StateReply{State: StateRunning}
	case q.Age >= IDRetention:
		return StateReply{State: StateGone}
	case q.Soft:
		return StateReply{State: StateUnseen}
	}
	if !t.fencingDisabled {
		t.attempts[q.ID] = &attempt{id: q.ID, created: now, fenced: true, done: true, doneAt: now, changed: make(chan struct{})}
	}
	return StateReply{State: StateFenced}
}

// Cancel cancels an attempt in progress, both at the agent and at the endpoint.
func (t *Table) Cancel(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, known := t.attempts[id]
	if known && a.cancel != nil && !a.done {
		a.fault = FaultCancelled
		a.cancel()
	}
}

// Tick cancels idempotent attempts whose entry has stopped reading, and removes
// expired responses and ids.
func (t *Table) Tick(now time.Time) {
	t.limiter.Tick(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, a := range t.attempts {
		switch {
		case !a.done && a.task.Safe && now.Sub(a.lastAccess) > orphanTimeout:
			a.fault = FaultCancelled
			a.cancel()
		case a.done && now.Sub(a.doneAt) > IDRetention:
			delete(t.attempts, id)
		case a.done && !a.discarded && !a.task.Keyed && now.Sub(a.doneAt) > ResponseRetention:
			a.data = nil
			a.discarded = true
		}
	}
}

// Row is the state of one attempt in a state dump.
type Row struct {
	ID       string  `json:"id"`
	Customer string  `json:"customer"`
	Done     bool    `json:"done"`
	Fenced   bool    `json:"fenced,omitempty"`
	Fault    Fault   `json:"fault,omitempty"`
	Bytes    int64   `json:"bytes"`
	Age      float64 `json:"age"` // seconds since the attempt was created
}

// Rows returns the state of all attempts whose response has not been discarded.
func (t *Table) Rows(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Row
	for _, a := range t.attempts {
		if a.discarded {
			continue
		}
		out = append(out, Row{
			ID:       a.id,
			Customer: a.task.Customer,
			Done:     a.done,
			Fenced:   a.fenced,
			Fault:    a.fault,
			Bytes:    a.baseOffset + int64(len(a.data)),
			Age:      now.Sub(a.created).Seconds(),
		})
	}
	return out
}
