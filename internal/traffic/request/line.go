package request

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Bounds of the queue. A request that arrives when the queue is full is refused
// at once, so that under overload requests don't wait in vain.
const (
	// longestWait bounds the time that one request waits.
	longestWait = 300 * time.Millisecond

	// lineTime bounds the length of the queue: it holds as many requests as are
	// answered in this time at the current rate.
	lineTime = 100 * time.Millisecond

	leastLine = 2
	mostLine  = 256

	// lookEvery is how often the first request in the queue is tried without a
	// notice of free capacity, because requests of other entries may have ended.
	lookEvery = 20 * time.Millisecond

	// rateTime is the time over which the rate of answers is measured.
	rateTime = time.Second
)

// line is a short FIFO queue in which requests to one service wait until an
// endpoint has free capacity.
type line struct {
	mu      sync.Mutex
	waiting []*waiter
	rate    float64   // answers a second, in the last complete measurement
	counted time.Time // when the current measurement of the rate began
	ended   int       // answers since counted
}

// waiter is one request in the queue. It is taken out of the queue to be tried,
// and put back to the front when no endpoint has free capacity after all.
type waiter struct {
	turn  chan string // receives the incarnation of the agent that has free capacity
	since time.Time
}

// busy reports whether requests are waiting.
func (l *line) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// join appends a new waiter. It reports false when the queue is full.
func (l *line) join(now time.Time) (*waiter, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := min(max(int(l.rate*lineTime.Seconds()), leastLine), mostLine)
	if len(l.waiting) >= most {
		return nil, false
	}
	w := &waiter{turn: make(chan string, 1), since: now}
	l.waiting = append(l.waiting, w)
	return w, true
}

// back puts a waiter back to the front of the queue.
func (l *line) back(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.Insert(l.waiting, 0, w)
}

// leave removes a waiter from the queue and reports whether it was there.
func (l *line) leave(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, w)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// freed records that a request of this entry has ended at an agent, which
// therefore has capacity for another one, and wakes the first waiter.
func (l *line) freed(now time.Time, incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended++
	if d := now.Sub(l.counted); d >= rateTime {
		l.rate = float64(l.ended) / d.Seconds()
		l.ended = 0
		l.counted = now
	}
	if len(l.waiting) > 0 {
		l.waiting[0].turn <- incarnation // doesn't block: the buffer of a waiter in the queue is empty
		l.waiting = slices.Delete(l.waiting, 0, 1)
	}
}

// first removes w if it is at the front of the queue, and reports whether it was.
func (l *line) first(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 || l.waiting[0] != w {
		return false
	}
	l.waiting = slices.Delete(l.waiting, 0, 1)
	return true
}

// wait waits until w is to be tried, which removes it from the queue, and returns
// the agent that has free capacity, if one is known. It reports false when w has
// waited for longestWait or the context has ended.
func (l *line) wait(ctx context.Context, w *waiter) (incarnation string, ok bool) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	end := time.NewTimer(longestWait - time.Since(w.since))
	defer end.Stop()
	for {
		select {
		case incarnation = <-w.turn:
			return incarnation, true
		case <-look.C:
			if l.first(w) {
				return "", true
			}
		case <-ctx.Done():
			return "", !l.leave(w) // not in the queue any more: woken meanwhile, so it is tried
		case <-end.C:
			return "", !l.leave(w)
		}
	}
}
