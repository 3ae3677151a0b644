// Package endpoint implements simulated endpoints: model engines and plain
// services. The endpoints count the requests that they run, so that tests can detect
// duplicate runs and overload. An endpoint that is overloaded crashes.
package endpoint

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// Capacity is the number of requests that an endpoint can run concurrently. It is
// ColdLimit just after a start of the endpoint, and grows linearly to Limit during
// WarmUp.
type Capacity struct {
	Limit     int
	ColdLimit int
	WarmUp    time.Duration
}

// Counts holds the event counters of an endpoint.
type Counts struct {
	Runs            int `json:"runs"`
	OverLimit       int `json:"over"`      // runs that started above the concurrency limit
	Duplicates      int `json:"doubled"`   // runs of an order that had run before
	Cancelled       int `json:"cancelled"` // runs that were cancelled in progress
	Crashes         int `json:"falls"`     // crashes because of overload
	IncompleteLoads int `json:"partial"`   // loads of weights with a missing or wrong chunk
	StaleOrders     int `json:"stale"`     // load orders with an outdated fencing token
}

// runTracker tracks the runs in progress of an endpoint and enforces its
// capacity.
type runTracker struct {
	capacity Capacity

	mu        sync.Mutex
	counts    Counts
	lastStart time.Time // when the last run began
	bootID    string    // identifies the current start of the endpoint
	bootTime  time.Time
	running   map[string]func() // cancel functions by attempt id
}

func newRunTracker(c Capacity) *runTracker {
	t := &runTracker{capacity: c, running: make(map[string]func())}
	t.restart()
	return t
}

// restart begins a new warm-up under a new boot id. The caller must hold t.mu, unless
// nothing else refers to t yet.
func (t *runTracker) restart() {
	t.bootID = uuid.NewString()
	t.bootTime = time.Now()
}

// concurrencyLimit returns the concurrency limit at the given time.
func (t *runTracker) concurrencyLimit(now time.Time) int {
	c := t.capacity
	sinceBoot := now.Sub(t.bootTime)
	if sinceBoot >= c.WarmUp {
		return c.Limit
	}
	return c.ColdLimit + int(float64(c.Limit-c.ColdLimit)*float64(sinceBoot)/float64(c.WarmUp))
}

// limitFraction returns the current concurrency limit as a fraction of the limit of a
// warm endpoint.
func (t *runTracker) limitFraction() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.concurrencyLimit(time.Now())) / float64(t.capacity.Limit)
}

// crashFactor is the multiple of the concurrency limit above which an endpoint
// crashes.
const crashFactor = 1.5

// start registers a run. It returns false if the run overloads the endpoint and
// makes it crash.
func (t *runTracker) start(id string, cancel func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Runs++
	t.lastStart = time.Now()
	limit := t.concurrencyLimit(time.Now())
	t.running[id] = cancel
	if len(t.running) <= limit {
		return true
	}
	t.counts.OverLimit++
	if float64(len(t.running)) <= float64(limit)*crashFactor {
		return true
	}
	t.counts.Crashes++
	t.crash()
	return false
}

// crash simulates a crash: it cancels all runs and restarts cold. The caller
// holds t.mu.
func (t *runTracker) crash() {
	for _, cancel := range t.running {
		cancel()
	}
	t.running = make(map[string]func())
	t.restart()
}

func (t *runTracker) finish(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
}

// cancel cancels the run with the attempt id, if it is in progress.
func (t *runTracker) cancel(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel, known := t.running[id]; known {
		t.counts.Cancelled++
		cancel()
	}
}

// Counts returns a copy of the event counters.
func (t *runTracker) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// ResetWarmUp makes the endpoint cold again. Runs in progress continue. The endpoint
// reports the change only by a new boot id.
func (t *runTracker) ResetWarmUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restart()
}

// LastStart returns the time at which the most recent run started.
func (t *runTracker) LastStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastStart
}

// Running returns the number of runs in progress.
func (t *runTracker) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}
