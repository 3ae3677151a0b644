package budget

import "sync"

// Repeats is a budget of second attempts: a part of the requests, so that
// repeats can't multiply the load when endpoints fail. It is safe for
// concurrent use.
type Repeats struct {
	part  float64 // repeats that each request earns
	burst float64 // repeats in hand at most

	mu   sync.Mutex
	have float64
}

// NewRepeats returns a full budget.
func NewRepeats(part, burst float64) *Repeats {
	return &Repeats{part: part, burst: burst, have: burst}
}

// Earn takes note of one request.
func (b *Repeats) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.have = min(b.have+b.part, b.burst)
}

// Spend takes one repeat and reports whether there was one.
func (b *Repeats) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}
