// Package endpoint provides stand-ins of the back ends: model engines and plain
// services. They count the requests that they run, so that tests can detect
// duplicate runs and overload, and crash when they are overloaded.
package endpoint

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// Strength is the number of concurrent requests that a stand-in can run: Cold
// just after a start, growing linearly to Limit within the time Warm.
type Strength struct {
	Limit int
	Cold  int
	Warm  time.Duration
}

// Counts holds the event counters of a stand-in.
type Counts struct {
	Runs      int `json:"runs"`
	Over      int `json:"over"`      // runs that started above the concurrency limit
	Doubled   int `json:"doubled"`   // runs of an order that had run before
	Cancelled int `json:"cancelled"` // runs that were cancelled in progress
	Falls     int `json:"falls"`     // crashes because of overload
	Partial   int `json:"partial"`   // loads of weights with a missing or wrong chunk
	Stale     int `json:"stale"`     // load orders with an outdated fencing token
}

// work tracks the runs in progress of a stand-in and enforces its capacity.
type work struct {
	strength Strength

	mu      sync.Mutex
	counts  Counts
	last    time.Time // when the last run began
	boot    string    // id of the current start
	booted  time.Time
	running map[string]func() // cancel functions by attempt id
}

func newWork(s Strength) *work {
	w := &work{strength: s, running: make(map[string]func())}
	w.restart()
	return w
}

// restart begins a new warm-up under a new boot id. The caller holds w.mu, or
// has the only reference to w.
func (w *work) restart() {
	w.boot = uuid.NewString()
	w.booted = time.Now()
}

// bears returns the concurrency limit at the given time.
func (w *work) bears(now time.Time) int {
	s := w.strength
	open := now.Sub(w.booted)
	if open >= s.Warm {
		return s.Limit
	}
	return s.Cold + int(float64(s.Limit-s.Cold)*float64(open)/float64(s.Warm))
}

// warmth returns the current concurrency limit as a fraction of the full one.
func (w *work) warmth() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.bears(time.Now())) / float64(w.strength.Limit)
}

// fallFactor is the multiple of the concurrency limit above which a stand-in
// crashes.
const fallFactor = 1.5

// begin registers a run. It returns false if the run overloads the stand-in so
// far that it crashes.
func (w *work) begin(id string, cancel func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Runs++
	w.last = time.Now()
	bears := w.bears(time.Now())
	w.running[id] = cancel
	if len(w.running) <= bears {
		return true
	}
	w.counts.Over++
	if float64(len(w.running)) <= float64(bears)*fallFactor {
		return true
	}
	w.counts.Falls++
	w.fall()
	return false
}

// fall simulates a crash: it cancels all runs and restarts cold. The caller
// holds w.mu.
func (w *work) fall() {
	for _, cancel := range w.running {
		cancel()
	}
	w.running = make(map[string]func())
	w.restart()
}

func (w *work) end(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, id)
}

// cancel cancels the run with the attempt id, if it is in progress.
func (w *work) cancel(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cancel, known := w.running[id]; known {
		w.counts.Cancelled++
		cancel()
	}
}

// Counts returns a copy of the event counters.
func (w *work) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Chill makes the stand-in cold again without signalling it, except by a new
// boot id. Runs in progress continue.
func (w *work) Chill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
}

// Last returns the time at which the most recent run started.
func (w *work) Last() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// Running returns the number of runs in progress.
func (w *work) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}
