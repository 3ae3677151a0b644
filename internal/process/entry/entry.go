// Package entry implements the process that accepts callers' HTTP requests. It
// authenticates the customer, enforces its rate limit, determines the service,
// and routes the request through package request. It keeps no state that another
// entry needs.
package entry

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/process/node"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/traffic/choice"
	"fulmardeal/internal/traffic/claim"
	"fulmardeal/internal/traffic/request"
)

// Limits and intervals of an entry.
const (
	refreshInterval = 200 * time.Millisecond // between two calls of refresh

	maxHeaderBytes  = 16 << 10         // of a request's header
	maxBodyBytes    = 4 << 20          // of a request's body
	maxDrainedBytes = 64 << 20         // read and discarded of a request's body beyond maxBodyBytes
	readTimeout     = 10 * time.Second // for receiving a request
	idleTimeout     = 60 * time.Second // until an idle connection of a caller is closed

	// defaultGrace is the time limit of a graceful shutdown when the settings
	// don't set one.
	defaultGrace = 60 * time.Second

	// leaveDelay is how long a leaving entry still accepts requests, so that the
	// platform's load balancer can take it out of rotation.
	leaveDelay = 500 * time.Millisecond
)

// Platform holds an entry's external dependencies.
type Platform struct {
	Network   fulmardeal.Network
	Log       fulmardeal.Log
	Directory fulmardeal.Directory
}

// Entry is one entry process.
type Entry struct {
	settings settings.Process
	node     *node.Node
	log      *slog.Logger
	choice   *choice.Table
	router   *request.Router
	budgets  *budgets
	server   *fasthttp.Server
	listener net.Listener
	stats    *Stats

	mu      sync.Mutex
	leaving bool

	// Versions of the members and of the configuration that the last call of
	// refresh saw.
	membersVersion       uint64
	configurationVersion fulmardeal.Offset
}

// Options are the settings and dependencies of an entry.
type Options struct {
	Settings   settings.Process
	Platform   Platform
	Logger     *slog.Logger
	Invariants *invariant.Recorder
	Policy     choice.Policy
	Seed       uint64
}

// New returns an entry that listens for callers and peers. The returned function
// closes the listeners and all connections.
func New(o Options) (*Entry, func(), error) {
	n, closeNode, err := node.New(node.Options{
		Settings:   o.Settings,
		Role:       fulmardeal.RoleEntry,
		Network:    o.Platform.Network,
		Log:        o.Platform.Log,
		Directory:  o.Platform.Directory,
		Logger:     o.Logger,
		Invariants: o.Invariants,
		Seed:       o.Seed,
	})
	if err != nil {
		return nil, nil, err
	}
	l, err := net.Listen("tcp", o.Settings.HTTP)
	if err != nil {
		closeNode()
		return nil, nil, err
	}

	s := o.Settings
	table := choice.NewTable(s.Name, s.DataCentre, s.Region, o.Policy, o.Seed)
	e := &Entry{settings: s, node: n, log: n.Logger(), choice: table, listener: l, stats: &Stats{}}
	e.router = request.NewRouter(table, n.Pool(), claim.NewRegistry(o.Platform.Log), n.Store().Version, e.log)
	e.budgets = newBudgets(e)
	e.server = e.newServer()
	cleanup := func() {
		l.Close()
		closeNode()
	}
	if err := n.Server().Register(budgetService, &BudgetService{entry: e}); err != nil {
		cleanup()
		return nil, nil, err
	}
	n.SetReporters(e.ready, e.dump, nil)
	return e, cleanup, nil
}

func (e *Entry) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               e.serve,
		Name:                  "fulmardeal",
		ReadBufferSize:        maxHeaderBytes,
		StreamRequestBody:     true, // readBody limits the size
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          e.refuseUnreadable,
		Logger:                discardLogger{},
	}
}

// discardLogger discards the log lines of fasthttp. The entry counts the requests
// that it refuses itself.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// Node returns the entry's node.
func (e *Entry) Node() *node.Node { return e.node }

// Address returns the address of the listener for callers.
func (e *Entry) Address() string { return e.listener.Addr().String() }

// Stats returns the entry's counters.
func (e *Entry) Stats() *Stats { return e.stats }

// Run runs the entry until the context ends, then shuts it down gracefully.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return e.node.Run(work) })
	g.Go(func() error {
		return e.server.Serve(e.node.Listen(connection.NewRetryingListener(e.listener, e.log), "callers", ledger.CallersFraction))
	})
	g.Go(func() error { return node.RunEvery(work, refreshInterval, e.refresh) })
	g.Go(func() error { return node.RunEvery(work, leaseInterval, e.budgets.requestLeases) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			e.leave(work)
		case <-work.Done():
			e.listener.Close()
		}
		stop()
		return nil
	})
	return g.Wait()
}

// leave announces that the entry is leaving, and waits until the requests in
// progress have ended or the grace period has expired.
func (e *Entry) leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.log.Info("leaving")
	e.node.Leave(ctx)
	time.Sleep(leaveDelay)

	grace := time.Duration(e.settings.Grace)
	if grace == 0 {
		grace = defaultGrace
	}
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	if err := e.server.ShutdownWithContext(ctx); err != nil {
		e.log.Warn("shutdown grace period expired with requests in progress", "err", err)
	}
	e.log.Info("stopped")
}

func (e *Entry) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// refresh applies changes of the members and of the configuration to load
// balancing and quotas.
func (e *Entry) refresh(context.Context) {
	c := e.node.Store().Current()
	membersVersion := e.node.Members().Version()
	e.mu.Lock()
	unchanged := e.membersVersion == membersVersion && e.configurationVersion == c.Version()
	e.membersVersion, e.configurationVersion = membersVersion, c.Version()
	e.mu.Unlock()
	if unchanged || c == nil {
		return
	}
	e.choice.Refresh(e.node.Members().Members(), c)
	e.budgets.configure(c)
}

func (e *Entry) ready() (bool, string) {
	if e.isLeaving() {
		return false, "leaving"
	}
	return true, ""
}

// Tables are an entry's tables in a state dump.
type Tables struct {
	Counts    Counts                 `json:"counts"`
	Endpoints []choice.EndpointState `json:"endpoints"`
	Budgets   []BudgetRow            `json:"budgets"`
}

func (e *Entry) dump() any {
	now := time.Now()
	return Tables{Counts: e.stats.Counts(), Endpoints: e.choice.EndpointStates(now), Budgets: e.budgets.rows(now)}
}
