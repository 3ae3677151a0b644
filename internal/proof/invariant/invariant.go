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

// Breach is one violation of an invariant.
type Breach struct {
	name   string
	detail string
}

// Name returns the invariant's name, a single word.
func (b Breach) Name() string { return b.name }

// Detail returns the values that violated the invariant.
func (b Breach) Detail() string { return b.detail }

// maxKept limits the violations that are kept for the state dump; all are
// counted.
const maxKept = 64

// Book records violations. The zero value is ready to use; a nil pointer only
// logs them. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	count    int
	breaches []Breach
}

// Check records a violation of the named invariant if holds is false. It
// returns holds, so that the caller can stop.
func (b *Book) Check(holds bool, name, format string, args ...any) bool {
	if holds {
		return true
	}

	detail := fmt.Sprintf(format, args...)
	slog.Error("invariant violated", "invariant", name, "detail", detail)
	if b == nil {
		return false
	}

	b.mu.Lock()
	defer b.mu.Unlock()
	b.count++
	if len(b.breaches) < maxKept {
		b.breaches = append(b.breaches, Breach{name: name, detail: detail})
	}
	return false
}

// Count returns the number of violations, including those that were not kept.
func (b *Book) Count() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

// Breaches returns the earliest violations in the order in which they occurred.
func (b *Book) Breaches() []Breach {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Breach(nil), b.breaches...)
}
