package dispatch

import "time"

// Place is a request's place at an endpoint. End must be called.
type Place struct {
	table        *Table
	group        *group
	endpoint     *Endpoint
	promptTokens int
	weights      int64
	sentAt       time.Time
	expected     time.Duration // to the first event, by the prediction
	started      bool
	released     bool
}

// Endpoint returns the endpoint.
func (p *Place) Endpoint() *Endpoint { return p.endpoint }

// Weights returns the version that the endpoint was believed to hold.
func (p *Place) Weights() int64 { return p.weights }

// Expected returns the predicted time to the first event.
func (p *Place) Expected() time.Duration { return p.expected }

// First notes that the answer has begun.
func (p *Place) First() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	if !p.started {
		now := time.Now()
		p.endpoint.recordFirstEvent(now, now.Sub(p.sentAt), p.expected)
	}
	p.markStarted()
}

func (p *Place) markStarted() {
	if !p.started {
		p.started = true
		p.endpoint.pendingTokens -= p.promptTokens
	}
}

// End gives the place back. Calling it again does nothing.
func (p *Place) End(f Fate) {
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
	p.endpoint.recordOutcome(now, f)
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
