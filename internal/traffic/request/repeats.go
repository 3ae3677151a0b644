package request

import "sync"

// repeats is the budget of second attempts: a part of the requests, so that
// repeats can't multiply the load when endpoints fail.
type repeats struct {
	mu   sync.Mutex
	have float64
}

func (b *repeats) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.have = min(b.have+repeatPart, repeatBurst)
}

func (b *repeats) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}
