package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
)

// Distances that a prediction adds, for the bytes and the delay of the way.
const (
	otherPlace  = 2 * time.Millisecond  // a round trip between data centres
	otherRegion = 10 * time.Millisecond // a round trip, and a share of a narrow link
)

// freedWeight is how fast the rate of freed places is forgotten: half a second.
const freedWindow = 500 * time.Millisecond

// Options are what a table is built from.
type Options struct {
	DataCentre string
	Region     string
	Regions    map[string]string // region of each data centre
	Bounds     fulmardeal.Bounds
	Seed       uint64
}

// Table is what one entry knows of the endpoints, and the lines before them. It
// is safe for concurrent use.
type Table struct {
	options Options

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*group
	view     *catalogue.View
	peers    map[string]*peer // by entry
	memory   memory
}

// group is the endpoints of one service.
type group struct {
	endpoints []*Endpoint
	line      line
	freed     int // places that came free in the present window
	window    time.Time
	rate      float64 // places that come free a second
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{
		options:  o,
		random:   rand.New(rand.NewPCG(o.Seed, 5)),
		services: make(map[string]*group),
		view:     &catalogue.View{},
		peers:    make(map[string]*peer),
	}
}

// Refresh takes over the registered endpoints and what operators want.
func (t *Table) Refresh(now time.Time, list []fulmardeal.Registration, v *catalogue.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = v
	c := v.Catalogue()
	if c == nil {
		return
	}
	next := make(map[string]*group, len(c.Services))
	for i := range c.Services {
		name := c.Services[i].Name
		next[name] = &group{}
		if old := t.services[name]; old != nil {
			next[name] = old
		}
	}
	fresh := make(map[string][]*Endpoint, len(next))
	for _, r := range list {
		if s := c.Service(r.Service); s != nil {
			fresh[r.Service] = append(fresh[r.Service], t.endpoint(now, next[r.Service], r, s))
		}
	}
	for name, g := range next {
		g.endpoints = fresh[name]
		t.settle(now, g)
	}
	t.services = next
}

// endpoint returns the endpoint of a registration, with what is known of it.
func (t *Table) endpoint(now time.Time, g *group, r fulmardeal.Registration, s *fulmardeal.Service) *Endpoint {
	i := slices.IndexFunc(g.endpoints, func(e *Endpoint) bool { return e.id == r.ID && e.address == r.Address })
	if i >= 0 {
		g.endpoints[i].register(now, r, s)
		return g.endpoints[i]
	}
	e := &Endpoint{id: r.ID, address: r.Address, hash: xxhash.Sum64String(r.ID), region: t.options.Regions[r.DataCentre]}
	switch {
	case r.DataCentre == t.options.DataCentre:
	case e.region == t.options.Region:
		e.distance = otherPlace
	default:
		e.distance = otherRegion
	}
	e.register(now, r, s)
	return e
}

// Heed takes over what the agent beside an engine says of it.
func (t *Table) Heed(now time.Time, address string, weights int64, loading bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.services {
		for _, e := range g.endpoints {
			if e.registration.Address == address && e.engine() != nil {
				e.heed(now, weights, loading)
				t.settle(now, g)
			}
		}
	}
}

// field returns what placing looks at. The lock is held.
func (t *Table) field(now time.Time, g *group) *field {
	f := &field{
		now:     now,
		entries: 1 + len(t.peers),
		out:     t.view.Out,
		fresh:   func(int64) bool { return true },
		others: func(hash uint64) others {
			var sum others
			for _, p := range t.peers {
				if now.Sub(p.heard) > peerSilent {
					continue
				}
				o := p.others[hash]
				sum.running += o.running
				sum.unread += o.unread
			}
			return sum
		},
	}
	if len(g.endpoints) == 0 || g.endpoints[0].engine() == nil || len(g.endpoints[0].engine().Models) == 0 {
		return f
	}
	model := g.endpoints[0].engine().Models[0].Name
	f.fresh = func(weights int64) bool {
		since, superseded := t.view.Superseded(model, weights)
		return !superseded || now.Sub(since) < t.options.Bounds.VersionSwitch-versionMargin
	}
	return f
}

// RefusedError is a request that can't be placed.
type RefusedError struct {
	Reason Refusal
	After  time.Duration // when its caller should come back
	Waited time.Duration
}

func (e *RefusedError) Error() string { return "no place: " + string(e.Reason) }

// Place finds a place for a request, which may take a moment in line. The
// context ends when the caller leaves. The error is a *RefusedError.
func (t *Table) Place(ctx context.Context, w *Want) (*Place, error) {
	now := time.Now()
	t.mu.Lock()
	p, x, reason := t.enter(now, w)
	t.mu.Unlock()
	if p != nil {
		return p, nil
	}
	if x == nil {
		return nil, t.refuse(w, reason, 0)
	}
	timer := time.NewTimer(time.Until(x.until))
	defer timer.Stop()
	reason = RefusedFull
	select {
	case e := <-x.turn:
		return t.placed(w, e), nil
	case reason = <-x.over:
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	still := t.services[w.Service] != nil && t.services[w.Service].line.leave(x)
	t.mu.Unlock()
	if !still {
		select {
		case e := <-x.turn: // its turn came at the same moment
			return t.placed(w, e), nil
		default:
		}
	}
	return nil, t.refuse(w, reason, time.Since(now))
}

// enter places a request at once, or puts it in line, or says why neither.
func (t *Table) enter(now time.Time, w *Want) (*Place, *waiter, Refusal) {
	g := t.services[w.Service]
	if g == nil {
		return nil, nil, RefusedNone
	}
	if hopeless(now, w) {
		return nil, nil, RefusedLate
	}
	first := t.memory.since(w.Sent, w.Fingerprint)
	f := t.field(now, g)
	x := newWaiter(now, w, first, first.Add(w.Objective-soonest(g, w)))
	pressing := t.pressing(now, w.Service, g)
	if yields(x.late(now), pressing) {
		return nil, nil, RefusedFull
	}
	f.contenders = t.contenders(now, w.Service, g)
	e, known := place(f, g.endpoints, w, t.random)
	if e != nil {
		expected := predict(f, e, w) - e.lagNow(now)
		t.begin(now, e, w)
		return &Place{table: t, group: g, endpoint: e, prompt: w.Prompt, weights: e.weights, sent: now, expected: expected}, nil, ""
	}
	if !known {
		return nil, nil, RefusedNone
	}
	g.line.waiters = append(g.line.waiters, x)
	t.turnAway(now, g)
	return nil, x, ""
}

// turnAway refuses those in line whose turn won't come.
func (t *Table) turnAway(now time.Time, g *group) {
	g.line.order(now)
	for _, x := range g.line.outrun(now, g.rate) {
		g.line.leave(x)
		x.over <- RefusedFull
	}
}

// soonest returns how long a request takes to its first event at an engine
// that has nothing else to read.
func soonest(g *group, w *Want) time.Duration {
	if len(g.endpoints) == 0 || g.endpoints[0].engine() == nil {
		return 0
	}
	s := g.endpoints[0].engine()
	return firstEvent(s, s.Slots, 0, w.Prompt)
}

func (t *Table) begin(now time.Time, e *Endpoint, w *Want) {
	e.running++
	e.unread += w.Prompt
	e.take(now)
}

// placed makes a place of an endpoint that was given in line.
func (t *Table) placed(w *Want, e *Endpoint) *Place {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	p := &Place{table: t, group: t.services[w.Service], endpoint: e, prompt: w.Prompt, weights: e.weights, sent: now}
	if p.group != nil {
		p.expected = predict(t.field(now, p.group), e, w) - e.lagNow(now)
	}
	return p
}

func (t *Table) refuse(w *Want, r Refusal, waited time.Duration) *RefusedError {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.memory.note(now, w.Fingerprint, t.memory.since(w.Sent, w.Fingerprint))
	pressing := 0
	if g := t.services[w.Service]; g != nil {
		pressing = t.pressing(now, w.Service, g)
	}
	return &RefusedError{Reason: r, After: comeBack(r, pressing, t.random), Waited: waited}
}

// settle gives room to those in line.
func (t *Table) settle(now time.Time, g *group) {
	if len(g.line.waiters) == 0 {
		return
	}
	f := t.field(now, g)
	g.line.order(now)
	pressing := 0
	for name, x := range t.services {
		if x == g {
			pressing, f.contenders = t.pressing(now, name, g), t.contenders(now, name, g)
		}
	}
	for _, x := range slices.Clone(g.line.waiters) {
		if yields(x.late(now), pressing) {
			break // so must all behind it
		}
		e, _ := place(f, g.endpoints, x.want, t.random)
		if e == nil {
			continue
		}
		t.begin(now, e, x.want)
		g.line.leave(x)
		x.turn <- e
	}
}

// Tick gives room that comes with time alone: an endpoint that is no longer
// suspected, or no longer said to be full.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.services {
		t.settle(now, g)
	}
}

// Row is one endpoint in a state dump.
type Row struct {
	ID      string  `json:"id"`
	Service string  `json:"service"`
	Address string  `json:"address"`
	Running int     `json:"running"`
	Others  int     `json:"others"` // requests of other entries
	Weights int64   `json:"weights"`
	Failing float64 `json:"failing"`
	Suspect bool    `json:"suspect"`
}

// Rows returns the table for a state dump.
func (t *Table) Rows(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Row
	for name, g := range t.services {
		f := t.field(now, g)
		for _, e := range g.endpoints {
			out = append(out, Row{
				ID: e.ID(), Service: name, Address: e.Address(), Running: e.running, Others: f.others(e.hash).running,
				Weights: e.weights, Failing: e.failing, Suspect: now.Before(e.suspect),
			})
		}
	}
	return out
}

// Counts returns how many endpoints are known, and how many wait in line.
func (t *Table) Counts() (endpoints, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.services {
		endpoints += len(g.endpoints)
		waiting += len(g.line.waiters)
	}
	return endpoints, waiting
}
