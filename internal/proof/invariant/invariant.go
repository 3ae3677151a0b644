// Package invariant checks, inside the running program, what must always hold.
//
// A broken invariant is counted and logged in production and can stop a test.
// It is not for bad input or for faults of other processes: those are errors.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
)

// Breach is one broken invariant.
type Breach struct {
	name   string
	detail string
}

// Name returns the invariant's name, one word.
func (b Breach) Name() string { return b.name }

// Detail returns what was seen.
func (b Breach) Detail() string { return b.detail }

// mostKept bounds the breaches that are kept for a state dump.
const mostKept = 64

// Book collects breaches. The zero value is ready to use, and so is nil, which
// only logs. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	count    int
	breaches []Breach
}

// Check records a breach of the invariant called name when holds is false. It
// returns holds, so that the caller can refuse to go on.
func (b *Book) Check(holds bool, name, format string, args ...any) bool {
	if holds {
		return true
	}

	detail := fmt.Sprintf(format, args...)
	slog.Error("invariant broken", "invariant", name, "detail", detail)
	if b == nil {
		return false
	}

	b.mu.Lock()
	defer b.mu.Unlock()
	b.count++
	if len(b.breaches) < mostKept {
		b.breaches = append(b.breaches, Breach{name: name, detail: detail})
	}
	return false
}

// Count returns how many breaches there have been.
func (b *Book) Count() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

// Breaches returns the first breaches, in the order in which they were seen.
func (b *Book) Breaches() []Breach {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Breach(nil), b.breaches...)
}
