// Package endpoint has small stand-ins of what stands behind the system: model
// engines and plain services. They count what they are given, so that tests can
// tell whether anything ran twice or was too much, and fail on request.
package endpoint

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// Strength is what a stand-in bears: Cold requests at once just after a start,
// growing to Limit within Warm.
type Strength struct {
	Limit int
	Cold  int
	Warm  time.Duration
}

// Counts are what a stand-in has seen.
type Counts struct {
	Runs      int `json:"runs"`
	Over      int `json:"over"`      // runs that began above what it bore
	Doubled   int `json:"doubled"`   // orders that ran again
	Cancelled int `json:"cancelled"` // runs that were given up under way
	Falls     int `json:"falls"`     // times that it fell over
	Partial   int `json:"partial"`   // loads of weights that were not whole
	Stale     int `json:"stale"`     // orders with an old fence
}

// work tracks the runs of a stand-in.
type work struct {
	strength Strength

	mu      sync.Mutex
	counts  Counts
	last    time.Time // when the last run began
	boot    string
	booted  time.Time
	running map[string]func() // cancels by attempt id
}

func newWork(s Strength) *work {
	w := &work{strength: s, running: make(map[string]func())}
	w.restart()
	return w
}

// restart makes the stand-in cold. The lock is held, or nobody else is there.
func (w *work) restart() {
	w.boot = uuid.NewString()
	w.booted = time.Now()
}

// bears returns the runs that it bears at once.
func (w *work) bears(now time.Time) int {
	s := w.strength
	open := now.Sub(w.booted)
	if open >= s.Warm {
		return s.Limit
	}
	return s.Cold + int(float64(s.Limit-s.Cold)*float64(open)/float64(s.Warm))
}

// warmth returns the part of the full strength, from 0 to 1.
func (w *work) warmth() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.bears(time.Now())) / float64(w.strength.Limit)
}

// fallFactor is how far above what it bears a stand-in falls over.
const fallFactor = 1.5

// begin counts a run in. It reports false when the stand-in falls over.
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

// fall cuts all runs and starts cold. The lock is held.
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

// cancel gives a run up.
func (w *work) cancel(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cancel, known := w.running[id]; known {
		w.counts.Cancelled++
		cancel()
	}
}

// Counts returns what the stand-in has seen.
func (w *work) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Chill makes the stand-in cold without a word. Runs in progress go on.
func (w *work) Chill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
}

// Last returns when the last run began.
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
