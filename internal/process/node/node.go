// Package node implements what entries and agents have in common: it keeps the
// configuration in force, tracks the other processes, and reports status.
//
// Only a few processes of each data centre read the log; the others get new
// configuration versions from their peers. A node keeps the highest version
// that it has received. It serves no callers and issues no load orders.
package node

import (
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/proof/invariant"
)

// Intervals and timeouts of a node.
const (
	tickInterval      = 200 * time.Millisecond // between two ticks of the failure detector
	exchangeInterval  = time.Second            // between two exchanges with peers
	announceInterval  = 2 * time.Second        // between two announcements to the platform's directory
	listInterval      = 2 * time.Second        // between two reads of the directory's list of instances
	idleListInterval  = 30 * time.Minute       // between two reads of the directory's list by a process that gets updates from peers
	listCheckInterval = 250 * time.Millisecond // between two checks whether a read of the list of instances is due
	readInterval      = 500 * time.Millisecond // between two reads of the log

	writeStall      = 30 * time.Second // that a write to whoever opened a connection may make no progress
	exchangeTimeout = time.Second      // of an exchange with a peer
	platformTimeout = 2 * time.Second  // of a call to the log or the directory

	// confirmationRenewAge is the age of the last confirmation from which a node
	// requests a new one.
	confirmationRenewAge = 800 * time.Millisecond

	// MaxConfirmationAge is the maximum age of the last confirmation. When it
	// is older, the process must assume that a newer configuration is in
	// force.
	MaxConfirmationAge = 2500 * time.Millisecond

	// pauseThreshold is the time between two ticks above which the process
	// counts as having been paused: it must confirm its configuration again
	// before it accepts new work.
	pauseThreshold = 2 * time.Second

	// Delays before a process that has just started makes decisions that
	// depend on who the other members are. The directory's list of instances
	// lags, so an earlier decision could miss some members.
	joinSettleTime   = time.Second     // after the process has joined
	noPeerSettleTime = 6 * time.Second // after the start of the process, when it finds no peer

	connectionPoolSize = 256 // maximum number of connections to other processes
)

// Options are the settings and dependencies of a node.
type Options struct {
	Settings   settings.Process
	Role       fulmardeal.Role
	Network    fulmardeal.Network
	Log        fulmardeal.Log
	Directory  fulmardeal.Directory
	Logger     *slog.Logger
	Invariants *invariant.Recorder
	Seed       uint64
}

// Node is the common part of a process.
type Node struct {
	options     Options
	incarnation string
	server      *connection.Server
	capacity    ledger.Capacity
	ledger      *ledger.Ledger // of the connections that others open
	closed      atomic.Int64   // connections that the ledger has closed
	heap        *ledger.Heap   // belongs to tick
	pool        *connection.Pool
	store       *configuration.Store
	members     *membership.Table
	log         *slog.Logger

	mu            sync.Mutex
	digest        string            // cached digest of the configuration in force
	digestVersion fulmardeal.Offset // configuration version that digest belongs to
	confirmed     time.Time         // when the configuration was last known to be the newest, zero if never
	lastTick      time.Time
	ready         func() (bool, string)
	dump          func() any
	progress      func() string
	startTime     time.Time

	candidates     map[string]candidates // keyed by job
	lastList       time.Time
	joined         bool // another process has sent this one its members and its configuration
	joinTime       time.Time
	logDown        bool // the last read of the log failed
	recordsExpired bool // the log no longer has records that this process needs
}

// candidates caches the members that rank first for a job, such as reading the
// log, as of a version of the membership table.
type candidates struct {
	version uint64
	list    []fulmardeal.Instance
}

// New returns a node that listens for its peers. The returned function closes
// the listener and all connections, and must be called after Run has returned.
func New(o Options) (*Node, func(), error) {
	server, closeServer, err := connection.Listen(o.Network, o.Settings.Listen)
	if err != nil {
		return nil, nil, err
	}
	o.Settings.Listen = server.Address()
	pool, closePool := connection.NewPool(o.Network, connectionPoolSize)
	incarnation := uuid.NewString()
	n := &Node{
		options:     o,
		incarnation: incarnation,
		server:      server,
		pool:        pool,
		store:       configuration.NewStore(o.Invariants),
		members:     membership.NewTable(o.Settings.Instance(o.Role, incarnation), o.Seed),
		log:         o.Logger.With("process", o.Settings.Name),
		startTime:   time.Now(),
		candidates:  make(map[string]candidates),
	}
	server.SetLog(n.log)
	n.capacity = ledger.CurrentCapacity()
	n.ledger = ledger.New(ledger.Limits{Bytes: n.capacity.Bytes(), Stall: writeStall, Log: n.log, Count: func(ledger.Reason) { n.closed.Add(1) }})
	n.heap = n.ledger.Heap(n.capacity.HeapLimit(), debug.SetMemoryLimit)
	server.SetLimits(connection.ServerLimits{Ledger: n.ledger, Conns: n.capacity.Conns(ledger.PeersFraction)})
	cleanup := func() {
		closeServer()
		closePool()
	}
	if err := server.Register(ServiceName, &Service{node: n}); err != nil {
		cleanup()
		return nil, nil, err
	}
	n.store.Subscribe(n.onConfiguration)
	return n, cleanup, nil
}

// Server returns the node's RPC server, on which further services can be
// registered.
func (n *Node) Server() *connection.Server { return n.server }

// Listen returns a listener whose connections the node's ledger accounts for. It has at most
// the given fraction of the process's sockets.
func (n *Node) Listen(inner net.Listener, name string, fraction float64) net.Listener {
	return n.ledger.Listen(inner, name, n.capacity.Conns(fraction))
}

// Ledger returns the ledger of the connections that others open.
func (n *Node) Ledger() *ledger.Ledger { return n.ledger }

// Closed returns how many connections were closed for what they held.
func (n *Node) Closed() int64 { return n.closed.Load() }

// Pool returns the pool of connections to other processes.
func (n *Node) Pool() *connection.Pool { return n.pool }

// Store returns the store of the configuration in force.
func (n *Node) Store() *configuration.Store { return n.store }

// Members returns the membership table.
func (n *Node) Members() *membership.Table { return n.members }

// Incarnation returns the id of this run of the process.
func (n *Node) Incarnation() string { return n.incarnation }

// Instance returns this process's description.
func (n *Node) Instance() fulmardeal.Instance { return n.members.Self().Instance }

// Logger returns the node's logger.
func (n *Node) Logger() *slog.Logger { return n.log }

// SetReporters sets the functions that report the role's readiness, its tables for
// the state dump, and its progress; nil functions report nothing. It must be
// called before Run.
func (n *Node) SetReporters(ready func() (bool, string), dump func() any, progress func() string) {
	n.ready, n.dump, n.progress = ready, dump, progress
}

// Run serves peers and runs the periodic work until the context ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(n.server.Serve)
	g.Go(func() error {
		<-ctx.Done()
		n.server.Stop()
		return nil
	})
	g.Go(func() error { return RunEvery(ctx, tickInterval, n.tick) })
	g.Go(func() error { return RunEvery(ctx, exchangeInterval, n.probe) })
	g.Go(func() error { return RunEvery(ctx, announceInterval, n.announce) })
	g.Go(func() error { return RunEvery(ctx, listCheckInterval, n.refreshMembers) })
	g.Go(func() error { return RunEvery(ctx, readInterval, n.readLog) })
	return g.Wait()
}

// RunEvery calls f immediately and then at every interval d, until the context
// ends.
func RunEvery(ctx context.Context, d time.Duration, f func(ctx context.Context)) error {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// tick detects a pause of the process, which invalidates its last confirmation, and
// advances the failure detector.
func (n *Node) tick(context.Context) {
	now := time.Now()
	n.mu.Lock()
	if !n.lastTick.IsZero() && now.Sub(n.lastTick) > pauseThreshold {
		n.log.Warn("process was paused", "for", now.Sub(n.lastTick).Round(time.Millisecond).String())
		n.confirmed = time.Time{}
	}
	n.lastTick = now
	n.mu.Unlock()
	n.members.Tick(now)
	n.heap.Update()
}

// onConfiguration sends a new configuration to some peers without waiting for
// the next periodic exchange.
func (n *Node) onConfiguration(c *configuration.Configuration) {
	n.log.Info("configuration in force", "version", int64(c.Version()))
	for _, in := range n.members.Partners(fanout) {
		go n.exchange(context.Background(), in)
	}
}

// fanout is the number of peers to which a process sends a new configuration or
// an update about itself immediately.
const fanout = 4

// Digest returns the version and the digest of the configuration in force.
func (n *Node) Digest() (fulmardeal.Offset, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.store.State()
	if n.digest == "" || n.digestVersion != s.Version() {
		n.digest, n.digestVersion = s.Digest(), s.Version()
	}
	return n.digestVersion, n.digest
}

// Ready reports whether the process can serve, and the reason if it can't.
func (n *Node) Ready() (bool, string) {
	if n.store.Current() == nil {
		return false, n.notReadyReason()
	}
	if n.ready == nil {
		return true, ""
	}
	return n.ready()
}

// notReadyReason returns why there is no configuration yet.
func (n *Node) notReadyReason() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.logDown:
		return "no configuration: the log can't be read and no peer has one"
	case n.recordsExpired:
		return "no configuration: the log's records have expired and no peer has one"
	}
	return "no configuration: nothing has been applied yet"
}

// UpdateSelf applies a change to the update about this process and, if it had an
// effect, sends the update to some peers immediately.
func (n *Node) UpdateSelf(change func(u *membership.MemberUpdate)) {
	before := n.members.Self().Beat
	n.members.UpdateSelf(change)
	if n.members.Self().Beat == before {
		return
	}
	for _, in := range n.members.Partners(fanout) {
		go n.exchange(context.Background(), in)
	}
}

// Leave announces to the platform and to peers that this process is leaving.
func (n *Node) Leave(ctx context.Context) {
	n.UpdateSelf(func(x *membership.MemberUpdate) { x.Instance.Leaving = true })
	n.announce(ctx)
}

// Dump returns the state of the process.
func (n *Node) Dump() Dump {
	now := time.Now()
	version, digest := n.Digest()
	ready, reason := n.Ready()
	d := Dump{
		Name:      n.options.Settings.Name,
		Role:      n.options.Role,
		Version:   version,
		Digest:    digest,
		Ready:     ready,
		Reason:    reason,
		Confirmed: n.Confirmed(now),
		Breaches:  n.options.Invariants.Count(),
	}
	for _, m := range n.members.Members() {
		d.Members = append(d.Members, MemberRow{
			Name:       m.Instance().Name,
			DataCentre: m.Instance().DataCentre,
			State:      m.State().String(),
			Leaving:    m.Instance().Leaving,
			Serving:    m.Serving().String(),
		})
	}
	if n.dump != nil {
		d.Tables = n.dump()
	}
	return d
}

// Dump is the state dump of a process.
type Dump struct {
	Name      string            `json:"name"`
	Role      fulmardeal.Role   `json:"role"`
	Version   fulmardeal.Offset `json:"version"`
	Digest    string            `json:"digest"`
	Ready     bool              `json:"ready"`
	Reason    string            `json:"reason,omitempty"`
	Confirmed bool              `json:"confirmed"`
	Breaches  int               `json:"breaches"`
	Members   []MemberRow       `json:"members"`
	Tables    any               `json:"tables,omitempty"`
}

// MemberRow is one member in a state dump.
type MemberRow struct {
	Name       string `json:"name"`
	DataCentre string `json:"datacentre"`
	State      string `json:"state"`
	Leaving    bool   `json:"leaving,omitempty"`
	Serving    string `json:"serving,omitempty"`
}
