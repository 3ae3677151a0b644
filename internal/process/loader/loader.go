// Package loader is the agent process on the users' platform: it stands beside
// one model engine, brings the wanted weights to it, and tells the entries what
// the engine serves. Requests don't pass through it.
package loader

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/fleet/feed"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/process/monitor"
	"fulmardeal/internal/traffic/sharing"
	"fulmardeal/internal/weights/chunk"
)

// Times and bounds of an agent.
const (
	// Entries brief each agent every second, three of them. The configuration is
	// large and the agents are many: an agent reads it from the store only when
	// it has heard nothing for a while, each after a while of its own.
	silentAfter = 4 * time.Second
	silentMost  = 32 * time.Second // pause between two reads at most: it doubles

	// peerFor is how long an agent counts that no entry names any more.
	peerFor = 4 * time.Second

	lookEvery   = 250 * time.Millisecond
	lookSoon    = 50 * time.Millisecond // while the engine loads
	memoryPart  = 0.7                   // of the memory limit, for the heap
	mostClients = 64                    // connections to other agents
	peersEvery  = 3 * time.Second       // a spread takes about that long; peers that start meanwhile find the others
	entriesFor  = 20 * time.Second      // the list of entries may be so old; who isn't told learns it from the registration
	heapGrowth  = 40                    // per cent, instead of 100: memory is dearer than processor time here
)

// reportEvery is how old a figure may be.
const reportEvery = time.Second

// Engine is the engine beside the agent, with its staged chunks.
type Engine interface {
	chunk.Store
	State(ctx context.Context) (fulmardeal.EngineState, error)
	StartLoad(ctx context.Context, v fulmardeal.Version, expect int64) error
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
	Site   fulmardeal.Settings
	Store  Store
	Engine Engine
	Origin OpenOrigin
	Log    *slog.Logger
	Seed   uint64

	Metrics string    // address on which metrics are served; empty for none
	Dump    io.Writer // where the state is written on SIGQUIT
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
	table     *monitor.Table
	scope     tally.Scope
	wake      chan struct{} // has a token when a fetch has ended

	mu      sync.Mutex
	target  catalogue.Target // of this agent's service
	peers   []known
	entries []netip.AddrPort
	peersAt time.Time // when the store was last asked for peers
	heard   time.Time // when an entry was last heard
	next    time.Time // when the store is asked for the configuration, if nothing is heard
	pause   time.Duration
}

// known is an agent that this one has heard of.
type known struct {
	chunk.Peer
	heard time.Time
}

// New opens the agent's listener. The returned function releases what it holds.
func New(o Options) (*Loader, func(), error) {
	address := net.JoinHostPort(o.Site.IP, strconv.Itoa(o.Site.PortRange[0]))
	l := &Loader{options: o, log: o.Log, address: address, shelf: &shelf{engine: o.Engine}, wake: make(chan struct{}, 1)}
	l.table = monitor.NewTable()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "fulmardeal", Reporter: l.table, Separator: "_"}, reportEvery)
	l.scope = scope
	server, closeServer, err := connection.Listen(connection.TCP{}, address)
	if err != nil {
		return nil, nil, err
	}
	pool, closePool := connection.NewPool(connection.TCP{}, mostClients)
	l.server, l.pool = server, pool
	l.origin = &origin{open: o.Origin}
	l.exchange = chunk.NewExchange(l.origin, l.shelf, pool, o.Log)
	l.exchange.SetProfile(chunk.EngineProfile(o.Site.LinkMbps, true))
	cleanup := func() {
		_ = closer.Close() // nothing is left to do when it fails
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

// readOperator asks the store for what operators have written, when no entry
// tells it.
func (l *Loader) readOperator(ctx context.Context) {
	now := time.Now()
	l.mu.Lock()
	if now.Sub(l.heard) < silentAfter {
		l.pause, l.next = 0, time.Time{}
	} else if l.next.IsZero() {
		l.pause = silentAfter
		l.next = now.Add(time.Duration(rand.Float64() * float64(silentAfter)))
	}
	due := !l.next.IsZero() && !now.Before(l.next)
	if due {
		l.pause = min(2*l.pause, silentMost)
		l.next = now.Add(time.Duration((0.5 + rand.Float64()) * float64(l.pause)))
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
	for _, e := range l.catalogue.Apply(time.Now(), feed.Batch{Changes: changes, Full: true}) {
		l.log.Info("in force", "what", e.Kind, "name", e.Name, "version", e.Version)
	}
	l.aim(l.catalogue.View().Targets())
}

// hear takes over what an entry tells.
func (l *Loader) hear(f sharing.AgentUpdate) {
	now := time.Now()
	l.mu.Lock()
	l.heard, l.entries = now, f.Entries
	for _, p := range f.Peers {
		l.meet(now, l.peer(p.Host.String(), p.DataCentre))
	}
	l.peers = slices.DeleteFunc(l.peers, func(k known) bool { return now.Sub(k.heard) > peerFor })
	l.mu.Unlock()
	l.aim(f.Targets)
}

// meet notes another agent. The lock is held.
func (l *Loader) meet(now time.Time, p chunk.Peer) {
	i, found := slices.BinarySearchFunc(l.peers, p.Incarnation, func(k known, key string) int {
		return cmp.Compare(k.Incarnation, key)
	})
	if !found {
		l.peers = slices.Insert(l.peers, i, known{Peer: p})
	}
	l.peers[i].heard = now
}

// aim takes over what this agent's engine is to serve.
func (l *Loader) aim(targets []catalogue.Target) {
	for _, t := range targets {
		if t.Service != l.options.Site.Service {
			continue
		}
		news := l.catalogue.ApplyVersion(t.Since, fulmardeal.Naming{Model: t.Model, Version: t.Version})
		l.mu.Lock()
		first := l.target.Service == ""
		l.target = t
		l.mu.Unlock()
		if t.Origin != "" {
			l.origin.at(t.Origin)
		}
		if news || first {
			l.log.Info("in force", "what", "version", "name", t.Model, "version", t.Version, "age", time.Since(t.Since), "origin", t.Origin)
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
	l.log.Info("started", "name", s.Name, "place", s.DataCentre, "endpoint", s.EndpointAddress)
	defer l.log.Info("stopped")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sharing.ReceiveAgentUpdates(ctx, l.address, l.hear, l.log) })
	g.Go(func() error { return l.server.Serve() })
	g.Go(func() error { l.look(ctx); return nil })
	g.Go(func() error { return monitor.Page(ctx, l.options.Metrics, l.table, l.dump, l.options.Dump) })
	g.Go(func() error {
		<-ctx.Done()
		l.server.Stop()
		return nil
	})
	return g.Wait()
}

// aimed returns what the engine is to serve, once that is known.
func (l *Loader) aimed() (catalogue.Target, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target, l.target.Service != ""
}

// Peers returns the other agents.
func (l *Loader) Peers() []chunk.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]chunk.Peer, 0, len(l.peers))
	for _, k := range l.peers {
		out = append(out, k.Peer)
	}
	return out
}

// refreshPeers reads the registered engines when the entries aren't heard and no
// other agent is known. The list is long, and all agents may do so at once: when
// some are known already, it is read seldom.
func (l *Loader) refreshPeers(ctx context.Context) {
	l.mu.Lock()
	now := time.Now()
	every := peersEvery
	if len(l.peers) > 0 {
		every = silentMost
	}
	due := now.Sub(l.heard) > silentAfter && now.Sub(l.peersAt) >= every
	if due {
		l.peersAt = now
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
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		if r := c.Registration; r != nil && r.Service == l.options.Site.Service {
			if host, _, err := net.SplitHostPort(r.Address); err == nil {
				l.meet(now, l.peer(host, r.DataCentre))
			}
		}
	}
}

// peer describes the agent on an instance. Agents are told apart by that.
func (l *Loader) peer(host, place string) chunk.Peer {
	return chunk.Peer{
		Incarnation: host,
		Name:        host,
		Address:     net.JoinHostPort(host, strconv.Itoa(l.options.Site.PortRange[0])),
		Region:      l.options.Site.Regions[place],
	}
}

// self describes this agent.
func (l *Loader) self() chunk.Peer {
	return l.peer(l.options.Site.IP, l.options.Site.DataCentre)
}

// tell says to the entries what the engine serves. It is said twice, since
// datagrams get lost; the registration says the same a little later.
func (l *Loader) tell(weights int64, loading bool) {
	l.mu.Lock()
	entries := l.entries
	l.mu.Unlock()
	n := sharing.EngineStatus{Address: l.options.Site.EndpointAddress, Weights: weights, Loading: loading}
	for range 2 {
		if err := sharing.SendEngineStatus(n, entries); err != nil {
			l.log.Warn("entries not told", "err", err)
		}
	}
}

// State is an agent's state as it is dumped.
type State struct {
	Name   string           `json:"name"`
	Target catalogue.Target `json:"target"`
	Heard  string           `json:"heard"` // since an entry was heard
	Peers  int              `json:"peers"`
}

func (l *Loader) dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := State{Name: l.options.Site.Name, Target: l.target, Heard: "never", Peers: len(l.peers)}
	if !l.heard.IsZero() {
		s.Heard = time.Since(l.heard).String()
	}
	return s
}

// gauge reports what the agent believes.
func (l *Loader) gauge(held int64, loading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scope.Gauge("weights").Update(float64(held))
	l.scope.Gauge("wanted").Update(float64(l.target.Version))
	l.scope.Gauge("peers").Update(float64(len(l.peers)))
	l.scope.Gauge("loading").Update(0)
	if loading {
		l.scope.Gauge("loading").Update(1)
	}
}
