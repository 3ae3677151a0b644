// Package agent implements the process that runs beside one endpoint. It enforces
// the endpoint's concurrency limit, that an attempt runs at most once and on one
// set of weights, and that no new work starts while the agent is leaving or its
// data centre is out of service. It also downloads the endpoint's model weights and
// activates them.
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

// Intervals and timeouts of an agent.
const (
	tickInterval         = 200 * time.Millisecond // between two ticks of the table of attempts
	endpointPollInterval = 250 * time.Millisecond // between two requests for the endpoint's load report
	weightsInterval      = 200 * time.Millisecond // between two ticks of the activation controller
	callTimeout          = time.Second            // of a call to the endpoint or the engine

	// defaultGrace is the time limit of a graceful shutdown when the settings
	// don't set one.
	defaultGrace = 60 * time.Second

	// unreadResponseTimeout is how long a leaving agent waits for entries to read
	// the responses of finished attempts.
	unreadResponseTimeout = 5 * time.Second

	// unconfirmedRetryAfter is the retry delay that the agent sends when it
	// refuses work because it can't confirm its configuration.
	unconfirmedRetryAfter = time.Second
)

// Platform holds an agent's external dependencies.
type Platform struct {
	Network   fulmardeal.Network
	Weights   fulmardeal.Network // for chunk transfers; Network is used when it is nil
	Log       fulmardeal.Log
	Directory fulmardeal.Directory
	Origin    fulmardeal.Origin
	Endpoint  fulmardeal.Endpoint
	Engine    fulmardeal.Engine // nil for plain services
}

// Agent is the process beside one endpoint.
type Agent struct {
	settings   settings.Process
	platform   Platform
	node       *node.Node
	log        *slog.Logger
	invariants *invariant.Recorder
	limiter    *admission.Limiter
	attempts   *attempt.Table
	exchange   *chunk.Exchange // nil for plain services
	weights    *weights

	mu           sync.Mutex
	leaving      bool
	outOfService bool   // whether this data centre was out of service in the last configuration applied
	boot         string // the endpoint's last known boot ID
}

// New returns an agent that listens for its peers. The returned function closes
// the listener and all connections.
func New(s settings.Process, p Platform, log *slog.Logger, invariants *invariant.Recorder, seed uint64) (*Agent, func(), error) {
	n, closeNode, err := node.New(node.Options{
		Settings:   s,
		Role:       fulmardeal.RoleAgent,
		Network:    p.Network,
		Log:        p.Log,
		Directory:  p.Directory,
		Logger:     log,
		Invariants: invariants,
		Seed:       seed,
	})
	if err != nil {
		return nil, nil, err
	}

	a := &Agent{settings: s, platform: p, node: n, log: n.Logger(), invariants: invariants}
	a.limiter = admission.NewLimiter(invariants, admission.Settings{}, time.Now())
	a.attempts = attempt.NewTable(n.Incarnation(), p.Endpoint, a.limiter, a, invariants)
	cleanup := closeNode
	if p.Engine != nil {
		pool, closePool := connection.NewPool(weightsNetwork(p), chunkPoolSize)
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
	n.SetReporters(a.ready, a.dump, a.progress)
	n.Store().Subscribe(a.configure)
	return a, cleanup, nil
}

// chunkPoolSize is the maximum number of connections to peers for chunk transfers.
const chunkPoolSize = 128

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

// Node returns the agent's node.
func (a *Agent) Node() *node.Node { return a.node }

// Attempts returns the table of attempts.
func (a *Agent) Attempts() *attempt.Table { return a.attempts }

// Limiter returns the endpoint's limiter.
func (a *Agent) Limiter() *admission.Limiter { return a.limiter }

// Chunks returns how many chunks of the target weights are held, and their total
// number. Both are 0 until the manifest is known.
func (a *Agent) Chunks() (held, total int) {
	if a.weights == nil {
		return 0, 0
	}
	return a.weights.chunks()
}

// Run runs the agent until the context ends, then shuts it down gracefully: it
// refuses new work and completes the attempts in progress.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return a.node.Run(work) })
	g.Go(func() error { return node.RunEvery(work, tickInterval, a.tick) })
	g.Go(func() error { return node.RunEvery(work, endpointPollInterval, a.pollEndpoint) })
	if a.weights != nil {
		g.Go(func() error { return node.RunEvery(work, weightsInterval, a.weights.tick) })
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

// leave refuses new work, and waits until the attempts in progress have ended and
// their responses have been read.
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
		a.log.Warn("shutdown grace period expired with attempts in progress", "running", a.limiter.Running())
	}
	a.awaitUnreadResponses()
	a.log.Info("stopped")
}

// awaitUnreadResponses waits until entries have read the responses of finished
// attempts, for at most unreadResponseTimeout.
func (a *Agent) awaitUnreadResponses() {
	end := time.Now().Add(unreadResponseTimeout)
	for time.Now().Before(end) && a.attempts.Unread(time.Now()) > 0 {
		time.Sleep(tickInterval / 4)
	}
}

func (a *Agent) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

// configure applies the limits of a new configuration.
func (a *Agent) configure(c *configuration.Configuration) {
	s, known := c.Service(a.settings.Service)
	if !known {
		a.limiter.Configure(admission.Settings{})
		return
	}
	a.limiter.Configure(admission.Settings{Limit: s.Limit(), ColdLimit: s.ColdLimit(), WarmUp: s.WarmUp()})
	a.updateOutOfService(c)
}

// updateOutOfService restarts the limiter's warm-up when the data centre has come
// back into service.
func (a *Agent) updateOutOfService(c *configuration.Configuration) {
	outOfService := c.IsOutOfService(a.settings.DataCentre)
	a.mu.Lock()
	returned := a.outOfService && !outOfService
	a.outOfService = outOfService
	a.mu.Unlock()
	if returned {
		a.limiter.RestartWarmUp(time.Now())
	}
}

func (a *Agent) tick(context.Context) { a.attempts.Tick(time.Now()) }

// pollEndpoint requests the endpoint's load report to detect a restart of the
// endpoint. An endpoint that has restarted is cold.
func (a *Agent) pollEndpoint(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := a.platform.Endpoint.Load(ctx)
	if err != nil {
		return
	}
	a.recordBoot(l.Boot)
}

// recordBoot records the endpoint's boot ID, and restarts the limiter's warm-up
// when it has changed.
func (a *Agent) recordBoot(boot string) {
	a.mu.Lock()
	restarted := a.boot != "" && boot != a.boot
	a.boot = boot
	a.mu.Unlock()
	if restarted {
		a.log.Warn("endpoint has restarted", "boot", boot)
		a.limiter.RestartWarmUp(time.Now())
	}
}

// ready reports whether requests can be served, and the reason if they can't.
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
	Limit      int           `json:"limit"`
	Running    int           `json:"running"`
	ColdStarts int           `json:"colds"`
	Weights    string        `json:"weights,omitempty"`
	Attempts   []attempt.Row `json:"attempts"`
}

func (a *Agent) dump() any {
	now := time.Now()
	return Tables{
		Limit:      a.limiter.Limit(now),
		Running:    a.limiter.Running(),
		ColdStarts: a.limiter.ColdStarts(),
		Weights:    a.progress(),
		Attempts:   a.attempts.Rows(now),
	}
}

// announceWeights gossips which weights the endpoint serves and which it holds,
// and whether its warm-up has ended.
func (a *Agent) announceWeights(serving, held fulmardeal.Version) {
	a.node.UpdateSelf(func(u *membership.MemberUpdate) {
		u.Serving = serving
		u.Held = held
		u.Open = a.limiter.Warm(time.Now())
	})
}
