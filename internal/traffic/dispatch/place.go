package dispatch

import "time"

// Place is a request's place at an endpoint. End must be called.
type Place struct {
	table    *Table
	group    *group
	endpoint *Endpoint
	prompt   int
	weights  int64
	sent     time.Time
	expected time.Duration // to the first event, by the prediction
	begun    bool
	ended    bool
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
	if !p.begun {
		now := time.Now()
		p.endpoint.begin(now, now.Sub(p.sent), p.expected)
	}
	p.first()
}

func (p *Place) first() {
	if !p.begun {
		p.begun = true
		p.endpoint.unread -= p.prompt
	}
}

// End gives the place back. Calling it again does nothing.
func (p *Place) End(f Fate) {
	now := time.Now()
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	p.first()
	p.endpoint.running--
	p.endpoint.freed = append(p.endpoint.freed, now)
	p.endpoint.learn(now, f)
	g := p.group
	if g == nil {
		return
	}
	g.freed++
	if d := now.Sub(g.window); d >= freedWindow {
		g.rate = float64(g.freed) / d.Seconds()
		g.freed, g.window = 0, now
	}
	t.settle(now, g)
}
