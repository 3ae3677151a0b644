package dispatch

import "time"

// Reservation is a slot at an endpoint that is reserved for a request. The
// caller must call Release.
type Reservation struct {
	table        *Table
	group        *group
	endpoint     *Endpoint
	promptTokens int
	weights      int64
	sentAt       time.Time
	expected     time.Duration // predicted time to the first event
	started      bool
	released     bool
}

// Endpoint returns the endpoint on which the slot is reserved.
func (p *Reservation) Endpoint() *Endpoint { return p.endpoint }

// Weights returns the version of the weights that the endpoint was known to
// hold when the slot was reserved.
func (p *Reservation) Weights() int64 { return p.weights }

// ExpectedFirstEvent returns the predicted time to the first event.
func (p *Reservation) ExpectedFirstEvent() time.Duration { return p.expected }

// RecordFirstEvent records that the first event of the answer has arrived.
func (p *Reservation) RecordFirstEvent() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	if !p.started {
		now := time.Now()
		p.endpoint.recordFirstEvent(now, now.Sub(p.sentAt), p.expected)
	}
	p.markStarted()
}

// markStarted stops counting the request's prompt as pending, because the answer
// has started or the attempt has ended.
func (p *Reservation) markStarted() {
	if !p.started {
		p.started = true
		p.endpoint.pendingTokens -= p.promptTokens
	}
}

// Release frees the slot and records the outcome of the attempt. Further calls
// have no effect.
func (p *Reservation) Release(outcome Outcome) {
	now := time.Now()
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	p.markStarted()
	p.endpoint.running--
	p.endpoint.released = append(p.endpoint.released, now)
	p.endpoint.recordOutcome(now, outcome)
	g := p.group
	if g == nil {
		return
	}
	g.released++
	if d := now.Sub(g.windowStart); d >= releaseRateWindow {
		g.releaseRate = float64(g.released) / d.Seconds()
		g.released, g.windowStart = 0, now
	}
	t.assignQueued(now, g)
}
