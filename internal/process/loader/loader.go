// Package loader implements the agent process on the users' platform. It runs
// beside one model engine, downloads the wanted version of the weights to it,
// and reports to the entries what the engine serves. Requests don't pass
// through it.
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
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/fleet/feed"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/process/monitor"
	"fulmardeal/internal/traffic/sharing"
	"fulmardeal/internal/weights/chunk"
	"fulmardeal/internal/weights/rollout"
)

// Timeouts, intervals and limits of an agent.
const (
	// updateTimeout is the time without an update from an entry after which
	// an agent reads the configuration from the store. Three entries send
	// it an update every second. The configuration is large and there are
	// many agents, so they read it only without updates, and at random
	// times.
	updateTimeout = 4 * time.Second

	// maxReadPause is the maximum mean pause between two such reads. The
	// pause doubles with each read until it reaches the maximum. An agent
	// that knows some peers reads the registrations at this interval.
	maxReadPause = 32 * time.Second

	// peerTTL is how long an agent is still considered a peer after entries
	// have stopped listing it.
	peerTTL = 4 * time.Second

	stepInterval      = 250 * time.Millisecond // between two calls of reconcile
	busyStepInterval  = 50 * time.Millisecond  // between two calls of reconcile, while a downloaded version is to be loaded
	heapLimitFraction = 0.7                    // heap limit as a fraction of the memory limit
	maxPeerConns      = 64                     // maximum number of connections to other agents
	maxPeerCalls      = 32                     // calls in progress on the connection of another agent, which has a few
	writeStall        = 30 * time.Second       // that a write to whoever opened a connection may make no progress

	// peerReadInterval is the interval between two reads of the
	// registrations to find peers. It is about as long as a download, so
	// that agents that start during the download find each other.
	peerReadInterval = 3 * time.Second

	// entryListMaxAge is the maximum age of the list of entries to which the
	// agent reports. No code applies it: the list is used at any age. An
	// entry that gets no report uses the agent's registration instead.
	entryListMaxAge = 20 * time.Second
	gcPercent       = 40 // GOGC; instead of 100, because memory is scarcer than CPU time here
)

// reportInterval is the maximum age of a reported metric.
const reportInterval = time.Second

// Engine is the engine beside the agent, including its store of staged chunks.
type Engine interface {
	chunk.Store
	State(ctx context.Context) (fulmardeal.EngineState, error)

	// StartLoad returns a *fulmardeal.RefusedOrderError if the engine refuses the order.
	StartLoad(ctx context.Context, o fulmardeal.LayerLoad) error
}

// Store is the part of the platform's store that an agent uses.
type Store interface {
	Operator() fulmardeal.Feed
	Registrations() fulmardeal.Feed
	Entries() fulmardeal.Feed
}

// OpenOrigin returns a client of the origin of weights at an address, and a
// function that closes its connections.
type OpenOrigin func(address string) (fulmardeal.Origin, func())

// Options configures a Loader.
type Options struct {
	Settings fulmardeal.Settings
	Store    Store
	Engine   Engine
	Origin   OpenOrigin
	Log      *slog.Logger
	Seed     uint64

	Metrics string    // address on which metrics are served; not served if empty
	Dump    io.Writer // destination of the state dump on SIGQUIT
}

// Loader is one agent process.
type Loader struct {
	options   Options
	log       *slog.Logger
	address   string // on which the agent serves RPCs and receives updates from entries
	catalogue catalogue.Table
	server    *connection.Server
	capacity  ledger.Capacity
	ledger    *ledger.Ledger // of the connections that others open
	pool      *connection.Pool
	origin    *origin
	exchange  *chunk.Exchange
	chunks    *chunkStore
	state     loadState // used by the goroutine of engineLoop only
	reporter  *monitor.Reporter
	scope     tally.Scope
	wake      chan struct{} // signals to engineLoop that a download has ended or the target has changed
	changed   chan struct{} // signals the same to downloadLoop
	uptime    func() time.Duration

	shortage atomic.Int64 // ns until engines hold weights that may be used; 0 for no gap, or if others tell of it

	downloadsMu sync.Mutex
	downloads   []*download    // newest last
	held        int64          // version that the engine held when it last answered, 0 for none
	choice      rollout.Choice // what was planned last
	engineSeen  bool           // the engine has answered
	firstTarget time.Time      // when the wanted version was first known

	mu         sync.Mutex
	target     catalogue.Target // version that this agent's engine is to serve
	peers      []knownPeer
	entries    []netip.AddrPort
	peersRead  time.Time     // when the registrations were last read to find peers
	lastUpdate time.Time     // when the last update from an entry was received
	nextRead   time.Time     // when to read the configuration from the store; zero while updates arrive
	readPause  time.Duration // mean pause between two reads of the configuration from the store, doubled at each one
}

// knownPeer is another agent.
type knownPeer struct {
	chunk.Peer
	lastSeen time.Time
}

// New opens the agent's listener. The returned function releases its resources.
func New(o Options) (*Loader, func(), error) {
	address := net.JoinHostPort(o.Settings.IP, strconv.Itoa(o.Settings.PortRange[0]))
	l := &Loader{options: o, log: o.Log, address: address, chunks: &chunkStore{engine: o.Engine}, wake: make(chan struct{}, 1), changed: make(chan struct{}, 1), uptime: feed.Uptime}
	l.reporter = monitor.NewReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "fulmardeal", Reporter: l.reporter, Separator: "_"}, reportInterval)
	l.scope = scope
	server, closeServer, err := connection.Listen(connection.TCP{}, address)
	if err != nil {
		return nil, nil, err
	}
	server.SetLog(o.Log)
	l.capacity = ledger.Capacity{Memory: o.Settings.MemoryLimit, Fds: o.Settings.MaxFds}
	l.ledger = ledger.New(ledger.Limits{Bytes: l.capacity.Bytes(), Stall: writeStall, Log: o.Log, Count: func(r ledger.Reason) {
		l.scope.Tagged(map[string]string{"reason": string(r)}).Counter("closed").Inc(1)
	}})
	server.SetLimits(connection.ServerLimits{Ledger: l.ledger, Conns: l.capacity.Conns(ledger.CallersFraction), Calls: maxPeerCalls})
	pool, closePool := connection.NewPool(connection.TCP{}, maxPeerConns)
	l.server, l.pool = server, pool
	l.origin = &origin{open: o.Origin}
	l.exchange = chunk.NewExchange(l.origin, l.chunks, pool, o.Log)
	l.exchange.SetProfile(chunk.EngineProfile(o.Settings.LinkMbps))
	cleanup := func() {
		_ = closer.Close() // a failure needs no action
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

// readConfiguration reads the configuration from the store if no entry sends
// updates and the next read is due.
func (l *Loader) readConfiguration(ctx context.Context) {
	now := time.Now()
	l.mu.Lock()
	if now.Sub(l.lastUpdate) < updateTimeout {
		l.readPause, l.nextRead = 0, time.Time{}
	} else if l.nextRead.IsZero() {
		l.readPause = updateTimeout
		l.nextRead = now.Add(time.Duration(rand.Float64() * float64(updateTimeout)))
	}
	due := !l.nextRead.IsZero() && !now.Before(l.nextRead)
	if due {
		l.readPause = min(2*l.readPause, maxReadPause)
		l.nextRead = now.Add(time.Duration((0.5 + rand.Float64()) * float64(l.readPause)))
	}
	l.mu.Unlock()
	if !due {
		return
	}
	changes, _, err := l.options.Store.Operator().Newest(ctx)
	if err != nil {
		l.log.Warn("cannot read the configuration from the store", "err", err)
		return
	}
	for _, e := range l.catalogue.Apply(time.Now(), feed.Batch{Changes: changes, Full: true}) {
		l.log.Info("in force", "what", e.Kind, "name", e.Name, "version", e.Version)
	}
	l.setTarget(l.catalogue.View().Targets())
}

// applyUpdate applies an update from an entry.
func (l *Loader) applyUpdate(u sharing.AgentUpdate) {
	now := time.Now()
	l.mu.Lock()
	l.lastUpdate, l.entries = now, u.Entries
	for _, p := range u.Peers {
		l.addPeer(now, l.peer(p.Host.String(), p.DataCentre))
	}
	l.peers = slices.DeleteFunc(l.peers, func(k knownPeer) bool { return now.Sub(k.lastSeen) > peerTTL })
	l.mu.Unlock()
	l.setTarget(u.Targets)
}

// addPeer adds another agent or renews it. l.mu must be held.
func (l *Loader) addPeer(now time.Time, p chunk.Peer) {
	i, found := slices.BinarySearchFunc(l.peers, p.Incarnation, func(k knownPeer, key string) int {
		return cmp.Compare(k.Incarnation, key)
	})
	if !found {
		l.peers = slices.Insert(l.peers, i, knownPeer{Peer: p})
	}
	l.peers[i].lastSeen = now
}

// setTarget sets what this agent's engine is to serve.
func (l *Loader) setTarget(targets []catalogue.Target) {
	for _, t := range targets {
		if t.Service != l.options.Settings.Service {
			continue
		}
		changed := l.catalogue.ApplyVersion(t.Since, fulmardeal.Publication{Model: t.Model, Version: t.Version})
		l.mu.Lock()
		first := l.target.Service == ""
		l.target = t
		l.mu.Unlock()
		if t.Origin != "" {
			l.origin.setAddress(t.Origin)
		}
		if changed || first {
			l.log.Info("in force", "what", "version", "name", t.Model, "version", t.Version, "age", time.Since(t.Since), "origin", t.Origin)
			l.wakeUp()
		}
	}
}

// wakeUp makes the agent reconcile and update its downloads at once.
func (l *Loader) wakeUp() {
	signal(l.wake)
	signal(l.changed)
}

// signal puts a token into a channel that holds one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// setHeld records the version that the engine holds, and reports whether it has changed
// or was unknown.
func (l *Loader) setHeld(version int64) bool {
	l.downloadsMu.Lock()
	defer l.downloadsMu.Unlock()
	changed := l.held != version || !l.engineSeen
	l.held, l.engineSeen = version, true
	return changed
}

// readLoop reads from the store what entries don't send.
func (l *Loader) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.readConfiguration(ctx)
		if l.isDownloading() {
			l.refreshPeers(ctx)
		}
		sleep(ctx, stepInterval)
	}
}

func (l *Loader) isDownloading() bool {
	l.downloadsMu.Lock()
	defer l.downloadsMu.Unlock()
	return slices.ContainsFunc(l.downloads, func(d *download) bool { return d.swarm == nil })
}

// Run runs the agent until the context ends.
func (l *Loader) Run(ctx context.Context) error {
	s := l.options.Settings
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(s.MemoryLimit)))
	}
	l.log.Info("started", "name", s.Name, "place", s.DataCentre, "endpoint", s.EndpointAddress)
	defer l.log.Info("stopped")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sharing.ReceiveAgentUpdates(ctx, l.address, l.applyUpdate, l.log) })
	g.Go(func() error { return l.server.Serve() })
	g.Go(func() error { l.reconcileLoop(ctx); return nil })
	g.Go(func() error {
		return monitor.Serve(ctx, l.options.Metrics, l.ledger, l.capacity.Conns(ledger.MonitorFraction), l.reporter, l.dump, l.options.Dump)
	})
	g.Go(func() error {
		<-ctx.Done()
		l.server.Stop()
		return nil
	})
	return g.Wait()
}

// currentTarget returns what the engine is to serve, and whether that is known.
func (l *Loader) currentTarget() (catalogue.Target, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target, l.target.Service != ""
}

// Peers returns the other agents known to this one.
func (l *Loader) Peers() []chunk.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]chunk.Peer, 0, len(l.peers))
	for _, k := range l.peers {
		out = append(out, k.Peer)
	}
	return out
}

// refreshPeers finds other agents in the registrations if no entry sends
// updates. The list of registrations is long and all agents may read it at the
// same time, so an agent that already knows some peers reads it less often.
func (l *Loader) refreshPeers(ctx context.Context) {
	l.mu.Lock()
	now := time.Now()
	every := peerReadInterval
	if len(l.peers) > 0 {
		every = maxReadPause
	}
	due := now.Sub(l.lastUpdate) > updateTimeout && now.Sub(l.peersRead) >= every
	if due {
		l.peersRead = now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	changes, _, err := l.options.Store.Registrations().Newest(ctx)
	if err != nil {
		l.log.Warn("cannot read the registrations from the store", "err", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		if r := c.Registration; r != nil && r.Service == l.options.Settings.Service {
			if host, _, err := net.SplitHostPort(r.Address); err == nil {
				l.addPeer(now, l.peer(host, r.DataCentre))
			}
		}
	}
}

// peer returns the agent on an instance. An agent is identified by the host of
// its instance.
func (l *Loader) peer(host, dataCentre string) chunk.Peer {
	return chunk.Peer{
		Incarnation: host,
		Name:        host,
		Address:     net.JoinHostPort(host, strconv.Itoa(l.options.Settings.PortRange[0])),
		Region:      l.options.Settings.Regions[dataCentre],
	}
}

// self returns this agent as a peer.
func (l *Loader) self() chunk.Peer {
	return l.peer(l.options.Settings.IP, l.options.Settings.DataCentre)
}

// reportStatus reports to the entries what the engine serves. The report is
// sent twice because datagrams get lost. The registration carries the same
// information, but a little later.
func (l *Loader) reportStatus(weights int64, loading bool) {
	l.mu.Lock()
	entries := l.entries
	l.mu.Unlock()
	status := sharing.EngineStatus{Address: l.options.Settings.EndpointAddress, Weights: weights, Loading: loading, Shortage: time.Duration(l.shortage.Load())}
	for range 2 {
		if err := sharing.SendEngineStatus(status, entries); err != nil {
			l.log.Warn("cannot send the engine's status to entries", "err", err)
		}
	}
}

// State is the state of an agent in a state dump.
type State struct {
	Name        string           `json:"name"`
	Target      catalogue.Target `json:"target"`
	SinceUpdate string           `json:"heard"` // time since the last update from an entry, or "never"
	Peers       int              `json:"peers"`
	Versions    []VersionState   `json:"versions"`

	Takeovers map[chunk.Takeover]int `json:"takeovers"` // chunks drawn that others were chosen to draw, by reason
}

// VersionState is the state of the download of one version in a state dump.
type VersionState struct {
	Version  string         `json:"version"`
	Progress chunk.Progress `json:"progress"`
	Drawn    int64          `json:"drawn"`  // bytes received from the origin
	Paused   bool           `json:"paused"` // nothing of it is fetched now
	Skipped  bool           `json:"skipped"`
}

// versionStates returns the states of all downloads.
func (l *Loader) versionStates() []VersionState {
	l.downloadsMu.Lock()
	defer l.downloadsMu.Unlock()
	var out []VersionState
	for _, d := range l.downloads {
		v := VersionState{Version: d.version.String(), Paused: l.choice.Pauses(d.number), Skipped: l.choice.Skips(d.number)}
		if s := d.transfer.Load(); s != nil {
			v.Progress, v.Drawn = s.Progress(), s.OriginBytes()
		}
		out = append(out, v)
	}
	return out
}

func (l *Loader) dump() any {
	versions := l.versionStates()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := State{Name: l.options.Settings.Name, Target: l.target, SinceUpdate: "never", Peers: len(l.peers), Versions: versions, Takeovers: l.exchange.Takeovers()}
	if !l.lastUpdate.IsZero() {
		s.SinceUpdate = time.Since(l.lastUpdate).String()
	}
	return s
}

func (l *Loader) updateGauges(held int64, loading bool) {
	for reason, n := range l.exchange.Takeovers() {
		l.scope.Gauge("takeovers_" + string(reason)).Update(float64(n))
	}
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
