// Package entry is the thin process that callers reach: it knows the customer,
// finds the service, and has package request do the rest. It keeps nothing
// that another entry would need.
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
	"fulmardeal/internal/process/node"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/traffic/choice"
	"fulmardeal/internal/traffic/claim"
	"fulmardeal/internal/traffic/request"
)

// Bounds and times of an entry.
const (
	refreshEvery = 200 * time.Millisecond

	mostHeader  = 16 << 10 // bytes
	mostBody    = 4 << 20  // bytes
	mostDrained = 64 << 20 // bytes of a body that is too large
	readTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second

	defaultGrace = 60 * time.Second

	// leaveWait is how long a leaving entry goes on taking requests, so that
	// the platform's balancer can hear of it.
	leaveWait = 500 * time.Millisecond
)

// Platform is what an entry uses of its surroundings.
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
	seen    uint64 // version of the members at the last refresh
	config  fulmardeal.Offset
}

// Options are what an entry is built from.
type Options struct {
	Settings settings.Process
	Platform Platform
	Logger   *slog.Logger
	Book     *invariant.Book
	Policy   choice.Policy
	Seed     uint64
}

// New opens the entry's listeners. The returned function releases what it
// holds.
func New(o Options) (*Entry, func(), error) {
	n, closeNode, err := node.New(node.Options{
		Settings:  o.Settings,
		Role:      fulmardeal.RoleEntry,
		Network:   o.Platform.Network,
		Log:       o.Platform.Log,
		Directory: o.Platform.Directory,
		Logger:    o.Logger,
		Book:      o.Book,
		Seed:      o.Seed,
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
	e := &Entry{settings: s, node: n, log: n.Log(), choice: table, listener: l, stats: &Stats{}}
	e.router = request.NewRouter(table, n.Pool(), claim.NewRegistry(o.Platform.Log), n.Store().Version, e.log)
	e.budgets = newBudgets(e)
	e.server = e.newServer()
	cleanup := func() {
		l.Close()
		closeNode()
	}
	if err := n.Server().Register(budgetService, &Lending{entry: e}); err != nil {
		cleanup()
		return nil, nil, err
	}
	n.Describe(e.ready, e.dump, nil)
	return e, cleanup, nil
}

func (e *Entry) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               e.handle,
		Name:                  "fulmardeal",
		ReadBufferSize:        mostHeader,
		StreamRequestBody:     true, // bounded by readBody
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          e.refuseUnreadable,
		Logger:                quiet{},
	}
}

// quiet drops the library's own log lines; refusals are logged by the entry.
type quiet struct{}

// Printf drops the line.
func (quiet) Printf(string, ...any) {}

// Node returns the common part of the process.
func (e *Entry) Node() *node.Node { return e.node }

// Address returns the address that callers use.
func (e *Entry) Address() string { return e.listener.Addr().String() }

// Stats returns the entry's counters.
func (e *Entry) Stats() *Stats { return e.stats }

// Run works until the context ends, then leaves gracefully.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return e.node.Run(work) })
	g.Go(func() error { return e.server.Serve(e.listener) })
	g.Go(func() error { return node.Every(work, refreshEvery, e.refresh) })
	g.Go(func() error { return node.Every(work, borrowEvery, e.budgets.borrow) })
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

// leave says that the entry is leaving, and lets requests in progress end.
func (e *Entry) leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.log.Info("leaving")
	e.node.Leave(ctx)
	time.Sleep(leaveWait)

	grace := time.Duration(e.settings.Grace)
	if grace == 0 {
		grace = defaultGrace
	}
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	if err := e.server.ShutdownWithContext(ctx); err != nil {
		e.log.Warn("left before all requests ended", "err", err)
	}
	e.log.Info("left")
}

func (e *Entry) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// refresh takes over changes of members and configuration.
func (e *Entry) refresh(context.Context) {
	c := e.node.Store().Current()
	seen := e.node.Members().Version()
	e.mu.Lock()
	same := e.seen == seen && e.config == c.Version()
	e.seen, e.config = seen, c.Version()
	e.mu.Unlock()
	if same || c == nil {
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
