// Package node is the part that entries and agents have in common: it keeps
// the configuration in force, knows the other processes, and says how it is.
//
// A node reads the log when it is one of the few readers of its data centre,
// and otherwise learns versions from its peers. It holds the highest version
// that it has ever been told. It takes no callers' requests and orders nothing.
package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/proof/invariant"
)

// Times of a node's work.
const (
	tickEvery     = 200 * time.Millisecond
	exchangeEvery = time.Second
	announceEvery = 2 * time.Second
	listEvery     = 2 * time.Second
	listRarely    = 30 * time.Minute
	lookEvery     = 250 * time.Millisecond // for others, while none is known
	readEvery     = 500 * time.Millisecond

	exchangeTimeout = time.Second
	platformTimeout = 2 * time.Second

	// confirmEvery is how old the last confirmation may get before a node asks
	// for one.
	confirmEvery = 800 * time.Millisecond

	// CutoffAfter is the age of the last confirmation after which a node can't
	// know whether its configuration is still in force.
	CutoffAfter = 2500 * time.Millisecond

	// frozenAfter is a pause of the node's own loop after which it confirms
	// its configuration before it takes new work.
	frozenAfter = 2 * time.Second

	// Times until a process that has just started decides what only one of all
	// should do: the platform's list lags.
	settleAfter = time.Second
	aloneAfter  = 6 * time.Second

	poolSize = 256
)

// Options are what a node is built from.
type Options struct {
	Settings  settings.Process
	Role      fulmardeal.Role
	Network   fulmardeal.Network
	Log       fulmardeal.Log
	Directory fulmardeal.Directory
	Logger    *slog.Logger
	Book      *invariant.Recorder
	Seed      uint64
}

// Node is the common part of a process.
type Node struct {
	options     Options
	incarnation string
	server      *connection.Server
	pool        *connection.Pool
	store       *configuration.Store
	members     *membership.Table
	log         *slog.Logger

	mu        sync.Mutex
	digest    string // of the version in digested
	digested  fulmardeal.Offset
	confirmed time.Time // when the configuration was last known to be the newest
	ticked    time.Time
	ready     func() (bool, string)
	dump      func() any
	progress  func() string
	started   time.Time

	candidates map[string]candidates // by job
	listed     time.Time
	joined     bool // another process has told of all that it knows
	joinedAt   time.Time
	logDown    bool
	expired    bool
}

// candidates are the first candidates for a job, as of a version of the
// members.
type candidates struct {
	version uint64
	list    []fulmardeal.Instance
}

// New opens the node's listener. The returned function closes it and all
// connections; Run must have returned before.
func New(o Options) (*Node, func(), error) {
	server, closeServer, err := connection.Listen(o.Network, o.Settings.Listen)
	if err != nil {
		return nil, nil, err
	}
	o.Settings.Listen = server.Address()
	pool, closePool := connection.NewPool(o.Network, poolSize)
	incarnation := uuid.NewString()
	n := &Node{
		options:     o,
		incarnation: incarnation,
		server:      server,
		pool:        pool,
		store:       configuration.NewStore(o.Book),
		members:     membership.NewTable(o.Settings.Instance(o.Role, incarnation), o.Seed),
		log:         o.Logger.With("process", o.Settings.Name),
		started:     time.Now(),
		candidates:  make(map[string]candidates),
	}
	cleanup := func() {
		closeServer()
		closePool()
	}
	if err := server.Register(ServiceName, &Service{node: n}); err != nil {
		cleanup()
		return nil, nil, err
	}
	n.store.Subscribe(n.inForce)
	return n, cleanup, nil
}

// Server returns the node's server, for further services.
func (n *Node) Server() *connection.Server { return n.server }

// Pool returns the node's connections to other processes.
func (n *Node) Pool() *connection.Pool { return n.pool }

// Store returns the configuration in force.
func (n *Node) Store() *configuration.Store { return n.store }

// Members returns the view of the other processes.
func (n *Node) Members() *membership.Table { return n.members }

// Incarnation returns the id of this run of the process.
func (n *Node) Incarnation() string { return n.incarnation }

// Instance returns this process's description.
func (n *Node) Instance() fulmardeal.Instance { return n.members.Self().Instance }

// Log returns the node's logger.
func (n *Node) Log() *slog.Logger { return n.log }

// Describe sets how the role says whether it is ready, what it dumps, and how
// far its long work is. It must be called before Run.
func (n *Node) Describe(ready func() (bool, string), dump func() any, progress func() string) {
	n.ready, n.dump, n.progress = ready, dump, progress
}

// Run works until the context ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(n.server.Serve)
	g.Go(func() error {
		<-ctx.Done()
		n.server.Stop()
		return nil
	})
	g.Go(func() error { return Every(ctx, tickEvery, n.tick) })
	g.Go(func() error { return Every(ctx, exchangeEvery, n.probe) })
	g.Go(func() error { return Every(ctx, announceEvery, n.announce) })
	g.Go(func() error { return Every(ctx, lookEvery, n.list) })
	g.Go(func() error { return Every(ctx, readEvery, n.read) })
	return g.Wait()
}

// Every calls f at once and then at each interval until the context ends.
func Every(ctx context.Context, d time.Duration, f func(ctx context.Context)) error {
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

func (n *Node) tick(context.Context) {
	now := time.Now()
	n.mu.Lock()
	if !n.ticked.IsZero() && now.Sub(n.ticked) > frozenAfter {
		n.log.Warn("process was paused", "for", now.Sub(n.ticked).Round(time.Millisecond).String())
		n.confirmed = time.Time{}
	}
	n.ticked = now
	n.mu.Unlock()
	n.members.Tick(now)
}

// inForce passes a new configuration on at once.
func (n *Node) inForce(c *configuration.Configuration) {
	n.log.Info("configuration in force", "version", int64(c.Version()))
	for _, in := range n.members.Partners(fanout) {
		go n.exchange(context.Background(), in)
	}
}

// fanout is how many peers hear of a new configuration at once from each that
// has it.
const fanout = 4

// Digest returns the digest of the configuration in force.
func (n *Node) Digest() (fulmardeal.Offset, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.store.State()
	if n.digest == "" || n.digested != s.Version() {
		n.digest, n.digested = s.Digest(), s.Version()
	}
	return n.digested, n.digest
}

// Ready reports whether the process can do its work, and if not, why.
func (n *Node) Ready() (bool, string) {
	if n.store.Current() == nil {
		return false, n.unready()
	}
	if n.ready == nil {
		return true, ""
	}
	return n.ready()
}

func (n *Node) unready() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.logDown:
		return "no configuration: the log can't be read and no peer has one"
	case n.expired:
		return "no configuration: the log's records have expired and no peer has one"
	}
	return "no configuration: nothing has been applied yet"
}

// Tell changes this process's own news and passes it on at once.
func (n *Node) Tell(change func(x *membership.MemberUpdate)) {
	before := n.members.Self().Beat
	n.members.UpdateSelf(change)
	if n.members.Self().Beat == before {
		return
	}
	for _, in := range n.members.Partners(fanout) {
		go n.exchange(context.Background(), in)
	}
}

// Leave tells the platform and the others that this process is leaving.
func (n *Node) Leave(ctx context.Context) {
	n.Tell(func(x *membership.MemberUpdate) { x.Instance.Leaving = true })
	n.announce(ctx)
}

// Dump returns the node's tables for the state dump.
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
		Breaches:  n.options.Book.Count(),
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

// Dump is the state of a process.
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
