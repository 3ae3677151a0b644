// Package loader is the agent process on the users' platform: it stands beside
// one model engine, brings the wanted weights to it, and tells the entries what
// the engine serves. Requests don't pass through it.
package loader

import (
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/fleet/feed"
	"fulmardeal/internal/fleet/roster"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/traffic/sharing"
	"fulmardeal/internal/weights/chunk"
)

// Times and bounds of an agent.
const (
	// The configuration is large and the agents are many: they read it at the
	// start, and again when no entry has told them of versions for a while or the
	// origin isn't where it was.
	silentAfter = 4 * time.Second // entries tell each second, each agent by three
	rereadLeast = 2 * time.Second

	lookEvery   = 250 * time.Millisecond
	lookSoon    = 50 * time.Millisecond // while the engine loads
	memoryPart  = 0.7                   // of the memory limit, for the heap
	mostClients = 64                    // connections to other agents
	peersEvery  = 3 * time.Second       // a spread takes about that long; peers that start meanwhile find the others
	entriesFor  = 20 * time.Second      // the list of entries may be so old; who isn't told learns it from the registration
	heapGrowth  = 40                    // per cent, instead of 100: memory is dearer than processor time here
)

// Engine is the engine beside the agent, with its staged chunks.
type Engine interface {
	chunk.Store
	State(ctx context.Context) (fulmardeal.EngineState, error)
	Start(ctx context.Context, v fulmardeal.Version, expect int64) error
}

// Store is what an agent uses of the platform's store.
type Store interface {
	Operator() fulmardeal.Feed
	Registrations() fulmardeal.Feed
	Entries() fulmardeal.Feed
}

// OpenOrigin opens the origin of weights at an address. The returned function
// closes its connections.
type OpenOrigin func(address string) (fulmardeal.Origin, func())

// Options are what an agent is built from.
type Options struct {
	Site   fulmardeal.Site
	Store  Store
	Engine Engine
	Origin OpenOrigin
	Log    *slog.Logger
	Seed   uint64
}

// Loader is one agent process.
type Loader struct {
	options   Options
	log       *slog.Logger
	address   string // for other processes
	catalogue catalogue.Table
	server    *connection.Server
	pool      *connection.Pool
	origin    *origin
	exchange  *chunk.Exchange
	shelf     *shelf
	work      work
	wake      chan struct{} // has a token when a fetch has ended

	mu       sync.Mutex
	peers    []chunk.Peer
	peersAt  time.Time
	entries  []*net.UDPAddr
	entredAt time.Time
	heard    time.Time // when an entry last told of versions
	read     time.Time // when the configuration was last asked for
	moved    bool      // the origin may be elsewhere
}

// New opens the agent's listener. The returned function releases what it holds.
func New(o Options) (*Loader, func(), error) {
	address := net.JoinHostPort(o.Site.Host, strconv.Itoa(o.Site.Ports[0]))
	l := &Loader{options: o, log: o.Log, address: address, shelf: &shelf{engine: o.Engine}, wake: make(chan struct{}, 1)}
	server, closeServer, err := connection.Listen(connection.TCP{}, address)
	if err != nil {
		return nil, nil, err
	}
	pool, closePool := connection.NewPool(connection.TCP{}, mostClients)
	l.server, l.pool = server, pool
	l.origin = &origin{open: o.Origin}
	l.exchange = chunk.NewExchange(l.origin, l.shelf, pool, o.Log)
	l.exchange.SetPace(chunk.Serving(o.Site.LinkRate, true))
	cleanup := func() {
		l.origin.close()
		closePool()
		closeServer()
	}
	if err := server.Register(chunk.ServiceName, l.exchange); err != nil {
		cleanup()
		return nil, nil, err
	}
	return l, cleanup, nil
}

// readOperator asks for what operators have written, when that is due.
func (l *Loader) readOperator(ctx context.Context) {
	now := time.Now()
	known := l.catalogue.View().Catalogue() != nil
	l.mu.Lock()
	due := !known || l.moved || now.Sub(l.heard) > silentAfter
	pause := rereadLeast
	if known && !l.moved {
		pause = silentAfter
	}
	if !known {
		pause = rereadFirst
	}
	due = due && now.Sub(l.read) >= pause
	if due {
		l.read, l.moved = now, false
	}
	l.mu.Unlock()
	if !due {
		return
	}
	changes, _, err := l.options.Store.Operator().Newest(ctx)
	if err != nil {
		l.log.Warn("configuration not read", "err", err)
		return
	}
	for _, e := range l.catalogue.Apply(time.Now(), feed.Batch{Changes: changes, Whole: true}) {
		l.log.Info("in force", "what", e.What, "name", e.Name, "version", e.Version)
	}
	if c := l.catalogue.View().Catalogue(); c != nil && c.Origin() != nil {
		l.origin.at(c.Origin().Address)
	}
}

// rereadFirst is the pause between two reads until the first configuration.
const rereadFirst = 300 * time.Millisecond

// hear takes over which versions an entry says are named.
func (l *Loader) hear(list []sharing.Wanted) {
	now := time.Now()
	l.mu.Lock()
	l.heard = now
	l.mu.Unlock()
	for _, w := range list {
		if l.catalogue.Learn(now.Add(-w.Age), fulmardeal.Naming{Model: w.Model, Version: w.Version}) {
			l.log.Info("in force", "what", "version", "name", w.Model, "version", w.Version, "age", w.Age)
			l.wakeUp()
		}
	}
}

// wakeUp makes the next look come at once.
func (l *Loader) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run works until the context ends.
func (l *Loader) Run(ctx context.Context) error {
	s := l.options.Site
	debug.SetGCPercent(heapGrowth)
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryLimit)))
	}
	l.log.Info("started", "name", s.Name, "place", s.DataCentre, "endpoint", s.Endpoint)
	defer l.log.Info("stopped")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sharing.ListenWanted(ctx, l.address, l.hear, l.log) })
	g.Go(func() error { return l.server.Serve() })
	g.Go(func() error { l.look(ctx); return nil })
	g.Go(func() error {
		<-ctx.Done()
		l.server.Stop()
		return nil
	})
	return g.Wait()
}

// engineSpec returns how the engine works and the model that it serves.
func (l *Loader) engineSpec() (*fulmardeal.EngineSpec, string) {
	c := l.catalogue.View().Catalogue()
	if c == nil {
		return nil, ""
	}
	s := c.Service(l.options.Site.Service)
	if s == nil || s.Engine == nil || len(s.Engine.Models) == 0 {
		return nil, ""
	}
	return s.Engine, s.Engine.Models[0].Name
}

// Peers returns the other agents: there is one beside each engine, on the
// engine's own instance. The list is read only while chunks are fetched.
func (l *Loader) Peers() []chunk.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers
}

// refreshPeers reads the registered engines.
func (l *Loader) refreshPeers(ctx context.Context) {
	l.mu.Lock()
	due := time.Since(l.peersAt) >= peersEvery
	if due {
		l.peersAt = time.Now()
	}
	l.mu.Unlock()
	if !due {
		return
	}
	changes, _, err := l.options.Store.Registrations().Newest(ctx)
	if err != nil {
		l.log.Warn("agents not listed", "err", err)
		return
	}
	var list roster.Roster
	list.Apply(time.Now(), feed.Batch{Changes: changes, Whole: true})
	var peers []chunk.Peer
	for _, r := range list.List() {
		if r.Service != l.options.Site.Service {
			continue
		}
		peers = append(peers, l.peer(r.Address, r.DataCentre))
	}
	l.mu.Lock()
	l.peers = peers
	l.mu.Unlock()
}

// peer describes the agent beside an engine. Agents are told apart by their
// instance.
func (l *Loader) peer(engine, place string) chunk.Peer {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		host = engine
	}
	return chunk.Peer{
		Incarnation: host,
		Name:        host,
		Address:     net.JoinHostPort(host, strconv.Itoa(l.options.Site.Ports[0])),
		Region:      l.options.Site.Regions[place],
	}
}

// self describes this agent.
func (l *Loader) self() chunk.Peer {
	return l.peer(l.options.Site.Endpoint, l.options.Site.DataCentre)
}

// tell says to the entries what the engine serves. It is said twice, since
// datagrams get lost; the registration says the same a little later.
func (l *Loader) tell(ctx context.Context, weights int64, loading bool) {
	l.mu.Lock()
	entries, old := l.entries, time.Since(l.entredAt) > entriesFor
	l.mu.Unlock()
	if old {
		fresh, err := sharing.Addresses(ctx, l.options.Store.Entries())
		if err != nil {
			l.log.Warn("entries not listed", "err", err)
		} else {
			l.mu.Lock()
			l.entries, l.entredAt = fresh, time.Now()
			l.mu.Unlock()
			entries = fresh
		}
	}
	n := sharing.Notice{Address: l.options.Site.Endpoint, Weights: weights, Loading: loading}
	for range 2 {
		if err := sharing.Tell(n, entries); err != nil {
			l.log.Warn("entries not told", "err", err)
		}
	}
}
