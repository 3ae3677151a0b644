package forward

import (
	"sync/atomic"
	"time"
)

// Budget bounds the bytes that are buffered for many requests together. The zero value has no
// room. It is safe for concurrent use.
type Budget struct {
	max    int64
	used   atomic.Int64
	relief func() bool
}

// A reservation that doesn't fit is tried again while others are about to release theirs.
const (
	reliefTries = 20
	reliefPause = 5 * time.Millisecond
)

// SetRelief sets a function that makes others release what they have reserved. It reports
// whether some will soon. It must be called before the budget is used.
func (b *Budget) SetRelief(relief func() bool) { b.relief = relief }

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget { return &Budget{max: bytes} }

// Reserve accounts for bytes that are to be buffered, and reports whether they fit.
func (b *Budget) Reserve(bytes int) bool {
	for range reliefTries {
		if b.reserve(bytes) {
			return true
		}
		if b.relief == nil || int64(bytes) > b.max || !b.relief() {
			return false
		}
		time.Sleep(reliefPause)
	}
	return b.reserve(bytes)
}

func (b *Budget) reserve(bytes int) bool {
	if b.used.Add(int64(bytes)) <= b.max {
		return true
	}
	b.used.Add(-int64(bytes))
	return false
}

// Release returns bytes that were reserved.
func (b *Budget) Release(bytes int) { b.used.Add(-int64(bytes)) }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Share is what one buffer has reserved of a budget. A small buffer needs no reservation.
type Share struct {
	budget   *Budget
	free     int // bytes that need no reservation
	reserved int
}

// Share returns a share for a buffer, of which the given number of bytes is free.
func (b *Budget) Share(free int) Share { return Share{budget: b, free: free} }

// Resize changes the reservation to that of a buffer of the given size, and reports whether
// it fits. If not, the reservation stays as it was. It may wait until others have released
// theirs.
func (s *Share) Resize(bytes int) bool { return s.resize(bytes, s.budget.Reserve) }

// TryResize is like Resize, but it doesn't wait.
func (s *Share) TryResize(bytes int) bool { return s.resize(bytes, s.budget.reserve) }

func (s *Share) resize(bytes int, reserve func(bytes int) bool) bool {
	more := max(0, bytes-s.free) - s.reserved
	if more > 0 && !reserve(more) {
		return false
	}
	if more < 0 {
		s.budget.Release(-more)
	}
	s.reserved += more
	return true
}

// Close returns what is reserved.
func (s *Share) Close() {
	if s.reserved > 0 {
		s.budget.Release(s.reserved)
		s.reserved = 0
	}
}
