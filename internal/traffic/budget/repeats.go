package budget

import "sync"

// Repeats is a retry budget. It limits retries to a fraction of the requests, so
// that retries don't multiply the load when endpoints fail. It is safe for
// concurrent use.
type Repeats struct {
	part  float64 // retries allowed per request
	burst float64 // maximum of have

	mu   sync.Mutex
	have float64 // retries available
}

// NewRepeats returns a retry budget that starts full, with burst retries.
func NewRepeats(part, burst float64) *Repeats {
	return &Repeats{part: part, burst: burst, have: burst}
}

// Earn credits the budget for one request.
func (b *Repeats) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.have = min(b.have+b.part, b.burst)
}

// Spend consumes one retry and reports whether one was available.
func (b *Repeats) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}
