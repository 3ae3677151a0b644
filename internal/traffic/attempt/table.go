package attempt

import (
	"context"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/traffic/admission"
)

// Bounds of the table.
const (
	// MostAnswer bounds an answer, in bytes.
	MostAnswer = 8 << 20

	// Keep is how long an answer is kept for an entry to pick up. One with an
	// idempotency key is kept up to the Horizon.
	Keep = time.Minute

	// Horizon is how long an id is remembered. Questions about older attempts
	// are answered with StateGone.
	Horizon = 10 * time.Minute

	// orphanAfter is the silence of an entry after which its attempt is
	// cancelled, if running it again does no harm.
	orphanAfter = 10 * time.Second

	// pollWait bounds how long a read waits for the next piece.
	pollWait = 5 * time.Second

	// pieceSize is how much of a plain answer is collected before it is sent.
	pieceSize = 256 << 10

	readSize = 32 << 10
)

// Guard says whether an attempt may start, and which weights serve now. The
// agent process provides it.
type Guard interface {
	// Refuse returns why the attempt may not start, or nil.
	Refuse(t Task) *Refusal

	// Serving returns the weights that the endpoint serves now, with their
	// digest. Plain services have the zero version.
	Serving(ctx context.Context) (v fulmardeal.Version, digest string, err error)
}

// Table holds the attempts of one agent. It is safe for concurrent use.
type Table struct {
	incarnation string
	endpoint    fulmardeal.Endpoint
	limiter     *admission.Limiter
	guard       Guard
	book        *invariant.Book

	mu       sync.Mutex
	attempts map[string]*attempt
	running  sync.WaitGroup
	started  int
	unfenced bool
}

// attempt is one attempt's entity. Its fields are guarded by the table's lock.
type attempt struct {
	id      string
	task    Task
	born    time.Time
	fenced  bool
	refusal *Refusal
	cancel  context.CancelFunc
	status  int
	header  []fulmardeal.Field
	data    []byte // from offset base on
	base    int64
	first   time.Time
	done    bool
	doneAt  time.Time
	fault   Fault
	model   fulmardeal.Version
	touched time.Time     // when an entry last asked for it
	changed chan struct{} // closed and replaced at every change
	stream  bool
	dropped bool // the answer has been given up, only the id is kept
}

// NewTable returns the table of the agent with this incarnation.
func NewTable(incarnation string, e fulmardeal.Endpoint, l *admission.Limiter, g Guard, book *invariant.Book) *Table {
	return &Table{
		incarnation: incarnation,
		endpoint:    e,
		limiter:     l,
		guard:       g,
		book:        book,
		attempts:    make(map[string]*attempt),
	}
}

// Unguard makes questions forget to fence. It exists so that tests can see the
// proof of at-most-once fail without the fence.
func (t *Table) Unguard() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unfenced = true
}

// Started returns how many attempts have been started at the endpoint.
func (t *Table) Started() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.started
}

// Drain waits until no attempt is in progress or the context ends.
func (t *Table) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		t.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Unread returns how many finished answers no entry has read to the end.
func (t *Table) Unread(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, a := range t.attempts {
		if a.done && len(a.data) > 0 && now.Sub(a.touched) < orphanAfter {
			n++
		}
	}
	return n
}

// Begin starts the task's attempt, or attaches to it when its id is known. A
// refusal means that it hasn't run and won't.
func (t *Table) Begin(task Task) *Refusal {
	now := time.Now()
	if task.Incarnation != t.incarnation {
		return &Refusal{Reason: ReasonIncarnation}
	}
	if r := t.guard.Refuse(task); r != nil {
		return r
	}

	t.mu.Lock()
	defer t.mu.Unlock()
	if a, known := t.attempts[task.ID]; known {
		return a.again(now)
	}
	a := &attempt{id: task.ID, task: task, born: now, touched: now, changed: make(chan struct{})}
	if r := t.limiter.Admit(now, task.Customer, task.Share); r != nil {
		return &Refusal{Reason: Reason(r.Reason()), After: r.RetryAfter()}
	}

	t.attempts[task.ID] = a
	t.started++
	t.running.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), task.Remaining)
	a.cancel = cancel
	go t.run(ctx, a)
	return nil
}

// again answers a task whose id is known.
func (a *attempt) again(now time.Time) *Refusal {
	a.touched = now
	if a.fenced {
		return &Refusal{Reason: ReasonFenced}
	}
	return a.refusal
}

// Ask says what became of an attempt, and fences one that was never seen.
func (t *Table) Ask(q Question) Word {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Incarnation != t.incarnation {
		return Word{State: StateGone}
	}

	now := time.Now()
	a, known := t.attempts[q.ID]
	switch {
	case known && (a.fenced || a.refusal != nil):
		return Word{State: StateFenced}
	case known && a.dropped:
		return Word{State: StateGone}
	case known:
		a.touched = now
		return Word{State: StateRunning}
	case q.Age >= Horizon:
		return Word{State: StateGone}
	case q.Soft:
		return Word{State: StateUnseen}
	}
	if !t.unfenced {
		t.attempts[q.ID] = &attempt{id: q.ID, born: now, fenced: true, done: true, doneAt: now, changed: make(chan struct{})}
	}
	return Word{State: StateFenced}
}

// Cancel gives an attempt up; its endpoint is told to stop.
func (t *Table) Cancel(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, known := t.attempts[id]
	if known && a.cancel != nil && !a.done {
		a.fault = FaultCancelled
		a.cancel()
	}
}

// Tick cancels attempts whose entry is silent, and forgets old answers and
// older ids.
func (t *Table) Tick(now time.Time) {
	t.limiter.Tick(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, a := range t.attempts {
		switch {
		case !a.done && a.task.Safe && now.Sub(a.touched) > orphanAfter:
			a.fault = FaultCancelled
			a.cancel()
		case a.done && now.Sub(a.doneAt) > Horizon:
			delete(t.attempts, id)
		case a.done && !a.dropped && !a.task.Keyed && now.Sub(a.doneAt) > Keep:
			a.data = nil
			a.dropped = true
		}
	}
}

// Row is one attempt in a state dump.
type Row struct {
	ID       string  `json:"id"`
	Customer string  `json:"customer"`
	Done     bool    `json:"done"`
	Fenced   bool    `json:"fenced,omitempty"`
	Fault    Fault   `json:"fault,omitempty"`
	Bytes    int64   `json:"bytes"`
	Age      float64 `json:"age"` // seconds
}

// Rows returns the attempts that are in progress or not yet forgotten.
func (t *Table) Rows(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Row
	for _, a := range t.attempts {
		if a.dropped {
			continue
		}
		out = append(out, Row{
			ID:       a.id,
			Customer: a.task.Customer,
			Done:     a.done,
			Fenced:   a.fenced,
			Fault:    a.fault,
			Bytes:    a.base + int64(len(a.data)),
			Age:      now.Sub(a.born).Seconds(),
		})
	}
	return out
}
