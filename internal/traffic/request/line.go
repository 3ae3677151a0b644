package request

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Bounds of waiting for room. What arrives when the line is full is refused at
// once, so that under overload nobody waits in vain.
const (
	// longestWait bounds one request's wait.
	longestWait = 300 * time.Millisecond

	// lineTime is the length of the line, as a time at the present rate of
	// answers.
	lineTime = 100 * time.Millisecond

	leastLine = 2
	mostLine  = 256

	// lookEvery is how often the first in line tries without having been told
	// of room: room may have come from other entries' requests.
	lookEvery = 20 * time.Millisecond

	// rateTime is the time over which the rate of answers is averaged.
	rateTime = time.Second
)

// line is where requests to one service wait, for a moment, until an endpoint
// has room. The first to come is the first to try.
type line struct {
	mu      sync.Mutex
	waiting []*waiter
	rate    float64 // answers a second
	counted time.Time
	ended   int
}

// waiter is one request in line. It leaves the line when its turn comes, and
// goes back to the front when it finds no room after all.
type waiter struct {
	turn  chan string // the incarnation of the agent that has room, if known
	since time.Time
}

// busy reports whether others wait already.
func (l *line) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// join takes a place at the end, unless the line is full.
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

// back puts a waiter that found no room to the front.
func (l *line) back(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.Insert(l.waiting, 0, w)
}

// leave takes a waiter out of the line and reports whether it was in it.
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

// freed notes that an agent has ended a request of this entry: it has room for
// another, which the first in line is told.
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
		l.waiting[0].turn <- incarnation // has room: a waiter in line has no turn yet
		l.waiting = slices.Delete(l.waiting, 0, 1)
	}
}

// first takes w out of the line if it is the first.
func (l *line) first(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 || l.waiting[0] != w {
		return false
	}
	l.waiting = slices.Delete(l.waiting, 0, 1)
	return true
}

// wait waits for w's turn to try, which takes it out of the line, and returns
// the agent that has room, if one is known. It reports false when the wait has
// been too long, or the context ends.
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
			return "", !l.leave(w) // a turn that has come meanwhile is taken
		case <-end.C:
			return "", !l.leave(w)
		}
	}
}
