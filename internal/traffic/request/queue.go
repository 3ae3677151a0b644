package request

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Limits of the queue. A request that arrives when the queue is full is refused
// at once, because under overload it would wait in vain.
const (
	// maxWait is the maximum time that a request waits.
	maxWait = 300 * time.Millisecond

	// The queue holds at most as many requests as end within queueTime at the
	// current rate. This limit is kept between minQueueLength and
	// maxQueueLength.
	queueTime      = 100 * time.Millisecond
	minQueueLength = 2
	maxQueueLength = 256

	// pollInterval is how often the first request in the queue is tried without
	// being woken. Only the end of a request of the same entry wakes it, so without
	// polling it would miss the capacity that requests of other entries free.
	pollInterval = 20 * time.Millisecond

	// ratePeriod is the time over which the rate of ended requests is measured.
	ratePeriod = time.Second
)

// waitQueue is a short FIFO queue in which requests to one service and model wait
// until an endpoint has free capacity.
type waitQueue struct {
	mu          sync.Mutex
	waiting     []*waiter
	rate        float64   // ended requests per second, in the last complete period
	periodStart time.Time // start of the current period
	ended       int       // ended requests since periodStart
}

// waiter is one request in the queue. It is removed from the queue to be tried, and
// put back at the front if no endpoint has free capacity after all.
type waiter struct {
	wake  chan string // receives the incarnation of the agent that has free capacity
	since time.Time
}

func (q *waitQueue) hasWaiters() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0
}

// enqueue appends a new waiter. It reports false when the queue is full.
func (q *waitQueue) enqueue(now time.Time) (*waiter, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := min(max(int(q.rate*queueTime.Seconds()), minQueueLength), maxQueueLength)
	if len(q.waiting) >= limit {
		return nil, false
	}
	w := &waiter{wake: make(chan string, 1), since: now}
	q.waiting = append(q.waiting, w)
	return w, true
}

// requeue puts a waiter back at the front of the queue.
func (q *waitQueue) requeue(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.Insert(q.waiting, 0, w)
}

// remove removes a waiter from the queue and reports whether it was there.
func (q *waitQueue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// requestEnded records that a request of this entry has ended at an agent, and
// wakes the first waiter to use the capacity that this frees.
func (q *waitQueue) requestEnded(now time.Time, incarnation string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended++
	if d := now.Sub(q.periodStart); d >= ratePeriod {
		q.rate = float64(q.ended) / d.Seconds()
		q.ended = 0
		q.periodStart = now
	}
	if len(q.waiting) > 0 {
		q.waiting[0].wake <- incarnation // doesn't block: the buffer of a waiter in the queue is empty
		q.waiting = slices.Delete(q.waiting, 0, 1)
	}
}

// removeFirst removes w if it is at the front of the queue, and reports whether it
// was.
func (q *waitQueue) removeFirst(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 || q.waiting[0] != w {
		return false
	}
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return true
}

// wait waits until w is to be tried, and removes it from the queue. It returns the
// incarnation of the agent that has free capacity, or "" if none is known. It
// reports false if w has waited for maxWait or ctx is done.
func (q *waitQueue) wait(ctx context.Context, w *waiter) (incarnation string, ok bool) {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	timeout := time.NewTimer(maxWait - time.Since(w.since))
	defer timeout.Stop()
	for {
		select {
		case incarnation = <-w.wake:
			return incarnation, true
		case <-poll.C:
			if q.removeFirst(w) {
				return "", true
			}
		case <-ctx.Done():
			return "", !q.remove(w) // w is no longer queued if it was woken meanwhile; then it is tried
		case <-timeout.C:
			return "", !q.remove(w)
		}
	}
}
