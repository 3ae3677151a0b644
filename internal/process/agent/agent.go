// Package agent is the process beside one endpoint. What must be true at the
// endpoint is enforced here: how much work it gets, that an attempt runs at
// most once, under one set of weights, and that nothing new comes while it is
// leaving or its data centre is out. It also brings the weights to it.
package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/process/node"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/traffic/admission"
	"fulmardeal/internal/traffic/attempt"
	"fulmardeal/internal/weights/chunk"
)

// Times of an agent's work.
const (
	tickEvery    = 200 * time.Millisecond
	watchEvery   = 250 * time.Millisecond
	weightsEvery = 200 * time.Millisecond
	callTimeout  = time.Second

	// defaultGrace is the longest graceful shutdown when the settings name none.
	defaultGrace = 60 * time.Second

	// readWait is how long a leaving agent waits for finished answers to be
	// read.
	readWait = 5 * time.Second

	// unconfirmedAfter is what a caller is told when the agent can't confirm
	// its configuration.
	unconfirmedAfter = time.Second
)

// Platform is what an agent uses of its surroundings.
type Platform struct {
	Network   fulmardeal.Network
	Weights   fulmardeal.Network // for chunks, when they have a network of their own
	Log       fulmardeal.Log
	Directory fulmardeal.Directory
	Origin    fulmardeal.Origin
	Endpoint  fulmardeal.Endpoint
	Engine    fulmardeal.Engine // nil for plain services
}

// Agent is the process beside one endpoint.
type Agent struct {
	settings settings.Process
	platform Platform
	node     *node.Node
	log      *slog.Logger
	book     *invariant.Recorder
	limiter  *admission.Limiter
	attempts *attempt.Table
	exchange *chunk.Exchange // nil for plain services
	weights  *weights

	mu      sync.Mutex
	leaving bool
	out     bool   // the data centre is out
	boot    string // of the endpoint, as last seen
}

// New opens the agent's listener. The returned function releases what it holds.
func New(s settings.Process, p Platform, log *slog.Logger, book *invariant.Recorder, seed uint64) (*Agent, func(), error) {
	n, closeNode, err := node.New(node.Options{
		Settings:  s,
		Role:      fulmardeal.RoleAgent,
		Network:   p.Network,
		Log:       p.Log,
		Directory: p.Directory,
		Logger:    log,
		Book:      book,
		Seed:      seed,
	})
	if err != nil {
		return nil, nil, err
	}

	a := &Agent{settings: s, platform: p, node: n, log: n.Log(), book: book}
	a.limiter = admission.NewLimiter(book, admission.Settings{}, time.Now())
	a.attempts = attempt.NewTable(n.Incarnation(), p.Endpoint, a.limiter, a, book)
	cleanup := closeNode
	if p.Engine != nil {
		pool, closePool := connection.NewPool(weightsNetwork(p), poolSize)
		a.exchange = chunk.NewExchange(p.Origin, p.Engine, pool, a.log)
		a.weights = newWeights(a, seed)
		cleanup = func() {
			closeNode()
			closePool()
		}
	}
	if err := a.register(); err != nil {
		cleanup()
		return nil, nil, err
	}
	n.Describe(a.ready, a.dump, a.progress)
	n.Store().Subscribe(a.configure)
	return a, cleanup, nil
}

// poolSize bounds the connections to peers for chunks.
const poolSize = 128

func weightsNetwork(p Platform) fulmardeal.Network {
	if p.Weights != nil {
		return p.Weights
	}
	return p.Network
}

func (a *Agent) register() error {
	if err := a.node.Server().Register(attempt.ServiceName, attempt.NewService(a.attempts)); err != nil {
		return err
	}
	if a.exchange == nil {
		return nil
	}
	return a.node.Server().Register(chunk.ServiceName, a.exchange)
}

// Node returns the common part of the process.
func (a *Agent) Node() *node.Node { return a.node }

// Attempts returns the table of attempts.
func (a *Agent) Attempts() *attempt.Table { return a.attempts }

// Limiter returns the endpoint's limiter.
func (a *Agent) Limiter() *admission.Limiter { return a.limiter }

// Chunks returns how many chunks of the endpoint's model are held, and how many
// there are.
func (a *Agent) Chunks() (held, all int) {
	if a.weights == nil {
		return 0, 0
	}
	return a.weights.chunks()
}

// Run works until the context ends, then leaves gracefully: no new work, and
// what is in progress ends first.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return a.node.Run(work) })
	g.Go(func() error { return node.Every(work, tickEvery, a.tick) })
	g.Go(func() error { return node.Every(work, watchEvery, a.watch) })
	if a.weights != nil {
		g.Go(func() error { return node.Every(work, weightsEvery, a.weights.tick) })
		g.Go(func() error { return a.weights.run(work) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			a.leave(work)
		case <-work.Done():
		}
		stop()
		return nil
	})
	return g.Wait()
}

// leave refuses new work, and waits for what is in progress and for its
// answers to be read.
func (a *Agent) leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.log.Info("leaving", "running", a.limiter.Running())

	grace := time.Duration(a.settings.Grace)
	if grace == 0 {
		grace = defaultGrace
	}
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	a.node.Leave(ctx)
	if err := a.attempts.Drain(ctx); err != nil {
		a.log.Warn("left before all work ended", "running", a.limiter.Running())
	}
	a.awaitReaders()
	a.log.Info("left")
}

// awaitReaders gives entries time to read the answers that are finished.
func (a *Agent) awaitReaders() {
	end := time.Now().Add(readWait)
	for time.Now().Before(end) && a.attempts.Unread(time.Now()) > 0 {
		time.Sleep(tickEvery / 4)
	}
}

func (a *Agent) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

// configure takes over the limits of a new configuration.
func (a *Agent) configure(c *configuration.Configuration) {
	s, known := c.Service(a.settings.Service)
	if !known {
		a.limiter.Configure(admission.Settings{})
		return
	}
	a.limiter.Configure(admission.Settings{Limit: s.Limit(), ColdLimit: s.ColdLimit(), WarmUp: s.WarmUp()})
	a.reopen(c)
}

// reopen starts cold again when the data centre has come back.
func (a *Agent) reopen(c *configuration.Configuration) {
	out := c.IsOutOfService(a.settings.DataCentre)
	a.mu.Lock()
	back := a.out && !out
	a.out = out
	a.mu.Unlock()
	if back {
		a.limiter.RestartWarmUp(time.Now())
	}
}

func (a *Agent) tick(context.Context) { a.attempts.Tick(time.Now()) }

// watch looks at the endpoint's own report: a new boot means that it is cold.
func (a *Agent) watch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := a.platform.Endpoint.Load(ctx)
	if err != nil {
		return
	}
	a.seen(l.Boot)
}

// seen notes the endpoint's boot.
func (a *Agent) seen(boot string) {
	a.mu.Lock()
	turned := a.boot != "" && boot != a.boot
	a.boot = boot
	a.mu.Unlock()
	if turned {
		a.log.Warn("endpoint has started anew", "boot", boot)
		a.limiter.RestartWarmUp(time.Now())
	}
}

// ready reports whether requests can be served, and if not, why.
func (a *Agent) ready() (bool, string) {
	switch {
	case a.isLeaving():
		return false, "leaving"
	case a.weights != nil && a.weights.serving().Zero():
		return false, "the endpoint serves no weights yet"
	}
	return true, ""
}

func (a *Agent) progress() string {
	if a.weights == nil {
		return ""
	}
	return a.weights.progress()
}

// Tables are an agent's tables in a state dump.
type Tables struct {
	Limit    int           `json:"limit"`
	Running  int           `json:"running"`
	Colds    int           `json:"colds"`
	Weights  string        `json:"weights,omitempty"`
	Attempts []attempt.Row `json:"attempts"`
}

func (a *Agent) dump() any {
	now := time.Now()
	return Tables{
		Limit:    a.limiter.Limit(now),
		Running:  a.limiter.Running(),
		Colds:    a.limiter.ColdStarts(),
		Weights:  a.progress(),
		Attempts: a.attempts.Rows(now),
	}
}

// announceWeights tells the others what the endpoint serves and holds.
func (a *Agent) announceWeights(serving, held fulmardeal.Version) {
	a.node.Tell(func(n *membership.MemberUpdate) {
		n.Serving = serving
		n.Held = held
		n.Open = a.limiter.Warm(time.Now())
	})
}
