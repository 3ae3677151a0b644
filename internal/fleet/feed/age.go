package feed

import (
	"sync"
	"time"
)

// Bounds on the detection of stalls.
const (
	// maxBeatInterval is the longest interval between two beats of a process that runs.
	maxBeatInterval = 100 * time.Millisecond

	// stallMemory is how long after its end a stall may have delayed what the process
	// reads. A process that has just been resumed works through a backlog.
	stallMemory = time.Second

	// minWait is how long a process must have run while a call waited before a late
	// response shows that the store had nothing to send.
	minWait = 100 * time.Millisecond
)

// Pulse detects intervals in which the process did not run, for example because it was
// stopped or its instance was suspended. What arrives meanwhile is read late. The zero
// value has not seen a beat.
type Pulse struct {
	mu         sync.Mutex
	last       time.Duration // time of the last beat
	stallStart time.Duration // last beat before the first of the last stalls that followed closely on each other
	stallEnd   time.Duration // first beat after the last of them; zero if there was none
}

// Beat records that the process runs. It is to be called at intervals well below
// maxBeatInterval, with readings of the clock that the Followers use.
func (p *Pulse) Beat(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last != 0 && now-p.last > maxBeatInterval {
		p.stallStart, p.stallEnd = p.backlogSince(p.last), now
	}
	p.last = now
}

// backlogSince returns the start of the stall whose backlog the process may still work
// through at the given time, or that time if there is none. The caller must hold p.mu.
func (p *Pulse) backlogSince(now time.Duration) time.Duration {
	if p.stallEnd != 0 && now-p.stallEnd < stallMemory {
		return p.stallStart
	}
	return now
}

// RunningSince returns a time since which the process has run, as far as that may have
// delayed what it reads now: now itself, unless a stall ended a short time ago. It
// returns 0 if there was no beat.
func (p *Pulse) RunningSince(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == 0 || now-p.last > maxBeatInterval {
		return p.backlogSince(p.last)
	}
	return p.backlogSince(now)
}

// changeAge returns an upper bound on the time since the changes of a read were written.
// What the store did not have at the time known was written after it. A change that
// the store or a relay was waiting for was sent on at once, and arrived when it was read,
// unless the process stood still. A process that stood still as soon as it had made the
// call, or before, can't tell such a change from one that it has read late. A relay adds
// the bound that it knows itself.
func changeAge(known, callStart, runningSince, now time.Duration, awaited bool, relayAge time.Duration) time.Duration {
	transit := now - max(callStart, min(runningSince, now))
	age := now - known
	switch {
	case relayAge > 0:
		age = min(age, relayAge+transit)
	case awaited && runningSince-callStart > minWait:
		age = min(age, transit)
	}
	return max(0, age)
}
