package budget

import "sync"

// RetryBudget limits retries to a fraction of the requests, so that retries don't
// multiply the load when endpoints fail. It is safe for concurrent use.
type RetryBudget struct {
	ratio float64 // retries allowed per request

	mu        sync.Mutex
	burst     float64 // maximum of the field available, in retries
	available float64
}

// NewRetryBudget returns a retry budget that starts full, with burst retries.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, available: burst}
}

// SetBurst changes the maximum of the retries that are available at once, such as when entries
// that share it have come or gone.
func (b *RetryBudget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.available = min(b.available, burst)
}

// Deposit credits the budget for one request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.ratio, b.burst)
}

// Withdraw consumes one retry and reports whether one was available.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Refund returns a retry that was withdrawn and not made.
func (b *RetryBudget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+1, b.burst)
}
