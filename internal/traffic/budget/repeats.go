package budget

import "sync"

// Repeats is a retry budget. It limits retries to a fraction of the requests, so
// that retries don't multiply the load when endpoints fail. It is safe for
// concurrent use.
type Repeats struct {
	ratio float64 // retries allowed per request
	burst float64 // maximum of available

	mu        sync.Mutex
	available float64
}

// NewRepeats returns a retry budget that starts full, with burst retries.
func NewRepeats(ratio, burst float64) *Repeats {
	return &Repeats{ratio: ratio, burst: burst, available: burst}
}

// Earn credits the budget for one request.
func (b *Repeats) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.ratio, b.burst)
}

// Spend consumes one retry and reports whether one was available.
func (b *Repeats) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
