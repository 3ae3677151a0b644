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
	// maxWait bounds the time that one request waits.
	maxWait = 300 * time.Millisecond

	// queueTime bounds the length of the queue: it holds as many requests as are
	// answered in this time at the current rate.
	queueTime = 100 * time.Millisecond

	minQueueLength = 2
	maxQueueLength = 256

	// pollInterval is how often the first request in the queue is tried without a
	// notice of free capacity, because requests of other entries may have ended.
	pollInterval = 20 * time.Millisecond

	// ratePeriod is the time over which the rate of answers is measured.
	ratePeriod = time.Second
)

// waitQueue is a short FIFO queue in which requests to one service wait until an
// endpoint has free capacity.
type waitQueue struct {
	mu          sync.Mutex
	waiting     []*waiter
	rate        float64   // answers a second, in the last complete measurement
	periodStart time.Time // when the current measurement of the rate began
	answered    int       // answers since periodStart
}

// waiter is one request in the queue. It is taken out of the queue to be tried,
// and put back to the front when no endpoint has free capacity after all.
type waiter struct {
	wake  chan string // receives the incarnation of the agent that has free capacity
	since time.Time
}

// hasWaiters reports whether requests are waiting.
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

// requeue puts a waiter back to the front of the queue.
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

// requestEnded records that a request of this entry has ended at an agent, which
// therefore has capacity for another one, and wakes the first waiter.
func (q *waitQueue) requestEnded(now time.Time, incarnation string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered++
	if d := now.Sub(q.periodStart); d >= ratePeriod {
		q.rate = float64(q.answered) / d.Seconds()
		q.answered = 0
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

// wait waits until w is to be tried, which removes it from the queue, and returns
// the agent that has free capacity, if one is known. It reports false when w has
// waited for maxWait or the context has ended.
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
			return "", !q.remove(w) // not in the queue any more: woken meanwhile, so it is tried
		case <-timeout.C:
			return "", !q.remove(w)
		}
	}
}
