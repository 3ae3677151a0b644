package chunk

import (
	"sync"
	"time"
)

// originServesFor is how long after its last response the origin counts as one that
// serves. Requests to it wait in line, so a single one can take longer.
const originServesFor = 700 * time.Millisecond

// inTransitTime is how long after the origin went away chunks that it had sent before may
// still arrive.
const inTransitTime = 100 * time.Millisecond

// maxStatusAge bounds the ages in a Status; older facts are not told.
const maxStatusAge = 10 * time.Second

// Status is what agents tell each other about the origin and about requests to it,
// besides the chunks that they hold. The ages pass on what others have told.
type Status struct {
	Asked        Bitmap        // chunks that the sender has requested from the origin or another region and not received
	OriginFailed time.Duration // age of the last failed request to the origin; 0 if none is known
	OriginServed time.Duration // age of the last chunk that the origin sent; 0 if none is known
	CutOff       time.Duration // age of the sender's own last failed request, if the origin serves others but not it; else 0
}

// originView is what an agent knows of the origin from its own requests and from what
// other agents tell. All versions share it.
type originView struct {
	mu     sync.Mutex
	failed time.Time // when a request last failed
	served time.Time // when a chunk was last received
	away   time.Time // when a request last failed while nobody received any chunk

	ownFirst time.Time // this agent's first failed request since the last that succeeded
	cutOff   time.Time // its last one, if others were served after ownFirst and before it
}

// recordOwnFailure records that a request of this agent has failed. If the origin has served
// others since an earlier one failed, and still does, that tells nothing of the origin.
func (o *originView) recordOwnFailure(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ownFirst.IsZero() {
		o.ownFirst = at
	}
	if o.served.Sub(o.ownFirst) > inTransitTime && at.Sub(o.served) <= originServesFor {
		o.cutOff = at
		return
	}
	o.fail(at)
}

// recordOwnSuccess records that this agent has received a chunk.
func (o *originView) recordOwnSuccess(at time.Time) {
	o.recordSuccess(at)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ownFirst, o.cutOff = time.Time{}, time.Time{}
}

// lastCutOff returns when this agent last failed to reach an origin that serves others.
func (o *originView) lastCutOff() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cutOff
}

func (o *originView) recordFailure(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fail(at)
}

// fail does what recordFailure does; the caller holds the lock.
func (o *originView) fail(at time.Time) {
	if !at.After(o.failed) {
		return
	}
	o.failed = at
	if at.Sub(o.served) > originServesFor {
		o.away = at
	}
}

func (o *originView) recordSuccess(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at.After(o.served) {
		o.served = at
	}
}

// serves reports whether the origin has sent a chunk to any agent recently.
func (o *originView) serves(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.served) <= originServesFor
}

// lastAway returns when the origin was last known to be unreachable for everybody.
func (o *originView) lastAway() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away
}

// isAway reports whether the origin is unreachable as far as is known.
func (o *originView) isAway(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away.After(o.served) && now.Sub(o.away) <= originServesFor
}

// lastServed returns when the origin last sent a chunk to any agent.
func (o *originView) lastServed() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.served
}

func (o *originView) status(now time.Time) Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Status{OriginFailed: age(now, o.failed), OriginServed: age(now, o.served), CutOff: age(now, o.cutOff)}
}

// age returns the age to tell to others: 0 for a time that is unknown or long ago.
func age(now, at time.Time) time.Duration {
	if d := now.Sub(at); d <= maxStatusAge {
		return max(d, 1)
	}
	return 0
}

// merge records what another agent has told in its response to a request that was sent
// at a time. Counted from then, facts become older on their way from agent to agent; if
// they became newer, agents could keep them alive among themselves.
func (o *originView) merge(sent time.Time, s Status) {
	if s.OriginServed > 0 && s.OriginServed <= maxStatusAge {
		o.recordSuccess(sent.Add(-s.OriginServed))
	}
	if s.OriginFailed > 0 && s.OriginFailed <= maxStatusAge {
		o.recordFailure(sent.Add(-s.OriginFailed))
	}
}
