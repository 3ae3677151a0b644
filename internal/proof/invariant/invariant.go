// Package invariant checks invariants at run time, also in production.
//
// A violation is logged and counted; tests fail on it. Invalid input and faults
// of other processes are errors, not violations of an invariant.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
)

// Violation is one violation of an invariant.
type Violation struct {
	name   string
	detail string
}

// Name returns the invariant's name, a single word.
func (v Violation) Name() string { return v.name }

// Detail returns the values that violated the invariant.
func (v Violation) Detail() string { return v.detail }

// maxKept is the number of violations that are kept for the state dump. Later ones
// are logged and counted only.
const maxKept = 64

// Recorder records violations. The zero value is ready to use, and a nil *Recorder
// only logs violations. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	count      int
	violations []Violation
}

// Check logs and records a violation of the named invariant if holds is false. It
// returns holds, so that the caller can stop when the invariant is violated.
func (r *Recorder) Check(holds bool, name, format string, args ...any) bool {
	if holds {
		return true
	}

	detail := fmt.Sprintf(format, args...)
	slog.Error("invariant violated", "invariant", name, "detail", detail)
	if r == nil {
		return false
	}

	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if len(r.violations) < maxKept {
		r.violations = append(r.violations, Violation{name: name, detail: detail})
	}
	return false
}

// Count returns the number of violations, including those that were not kept.
func (r *Recorder) Count() int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Violations returns the earliest violations in the order in which they occurred.
func (r *Recorder) Violations() []Violation {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.violations...)
}
