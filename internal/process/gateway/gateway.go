// Package gateway implements the entry process on the users' platform. It
// accepts callers' requests, determines the route and the customer, has package
// dispatch select an endpoint, and forwards the request directly to that
// endpoint. It keeps no state that another entry would need.
package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/fleet/feed"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/fleet/roster"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/process/monitor"
	"fulmardeal/internal/traffic/budget"
	"fulmardeal/internal/traffic/dispatch"
	"fulmardeal/internal/traffic/forward"
	"fulmardeal/internal/traffic/quarantine"
	"fulmardeal/internal/traffic/sharing"
)

// Timeouts, intervals and limits of an entry.
const (
	// operatorPollWait is how long a long-poll call to the store waits for
	// a change of the configuration. A dead connection is detected after
	// this time plus the timeout of a call. The sum must be well below 5 s,
	// the time within which every entry must refuse a removed key.
	operatorPollWait = 1500 * time.Millisecond

	// registrationPollFraction is the interval between two reads of the
	// registrations, as a fraction of the time within which this entry must
	// know that an endpoint is leaving. Two intervals fit into that time, so
	// that one read may fail.
	registrationPollFraction = 0.35

	// How long what a restored store lacks stays valid. Endpoints that live write
	// their registrations again within about 2 s of the store's return.
	operatorHold     = 10 * time.Second
	registrationHold = 2 * time.Second

	// maxStoreReaders is the number of entries of a data centre that read
	// the store on behalf of the others there. In a data centre with at
	// most this many entries, each one reads the store itself.
	maxStoreReaders = 4

	// discoveryTimeout is how long an entry that has just started waits for
	// the list of the other entries. If it didn't wait, it would read the
	// store itself although other entries can relay the feeds to it.
	discoveryTimeout    = time.Second
	discoverySettleTime = 300 * time.Millisecond // additional wait if others read the store for this entry

	maxRelayConns = 2 * maxStoreReaders // maximum number of connections to other entries

	tickInterval = 20 * time.Millisecond // between two checks for endpoint slots that become free by time alone

	// revokeMargin is how long before the revocation bound an entry stops
	// accepting keys that it cannot confirm. A request may take this long
	// to reach its endpoint, and it must not arrive there after the bound.
	revokeMargin = 400 * time.Millisecond

	// maxReadyStoreAge is the maximum age of the last successful read of
	// the store at which the entry is ready. When the read is older, another
	// entry serves callers better. Two calls to the store take less time than
	// this.
	maxReadyStoreAge = 2500 * time.Millisecond

	heapLimitFraction = 0.75 // heap limit as a fraction of the memory limit

	bufferedFraction     = 0.2      // maximum size of all buffered responses, as a fraction of the memory limit
	defaultBufferedBytes = 64 << 20 // the same without a memory limit

	defaultMaxBodyBytes = 4 << 20 // of a request's body, if the configuration sets no limit
)

// Names of the feeds in the requests that entries send to each other's relays.
const (
	feedOperator      = "operator"
	feedRegistrations = "registrations"
)

// Codec reads and writes the platform's headers, and knows the fields that it adds to the
// events of a stream.
type Codec interface {
	ReadRequestMetadata(h http.Header) fulmardeal.RequestMetadata
	ForwardHeader(caller http.Header, f fulmardeal.ForwardMetadata) http.Header
	ReadResponseMetadata(status int, h http.Header) fulmardeal.ResponseMetadata
	ResponseHeader(endpoint http.Header) http.Header
	SetRejectionHeader(h http.Header, attempt string, after time.Duration)
	EventField(name []byte) bool
}

// Store is the part of the platform's store that a gateway uses.
type Store interface {
	sharing.Announcer
	PutQuarantine(ctx context.Context, q fulmardeal.Quarantine) error
	PutKeyed(ctx context.Context) error
	Operator() fulmardeal.Feed
	Registrations() fulmardeal.Feed
	Entries() fulmardeal.Feed
}

// Options configures a Gateway.
type Options struct {
	Settings fulmardeal.Settings
	Store    Store
	Codec    Codec
	Log      *slog.Logger
	Seed     uint64

	Metrics string    // address on which metrics are served; not served if empty
	Dump    io.Writer // destination of the state dump on SIGQUIT

	// LimitHeap limits the heap of the whole process, as debug.SetMemoryLimit does. It is nil
	// if the process isn't the gateway's own.
	LimitHeap func(bytes int64) int64
}

// Gateway is one entry process.
type Gateway struct {
	settings       fulmardeal.Settings
	codec          Codec
	store          Store
	log            *slog.Logger
	catalogue      catalogue.Table
	roster         roster.Roster
	table          *dispatch.Table
	refreshing     sync.Mutex // held while the table is refreshed
	pool           *forward.Pool
	bodies         *forward.Budget // of the bodies of callers' requests
	mesh           *sharing.Mesh
	pulse          feed.Pulse
	operator       *feed.Follower
	registrations  *feed.Follower
	faults         *feed.FaultLog
	relay          feed.Relay         // serves the feeds to other entries
	rpcServer      *connection.Server // for RPCs of other entries
	capacity       ledger.Capacity
	ledger         *ledger.Ledger // of the connections that others open
	heap           *ledger.Heap
	stats          *Stats
	metricsAddress string
	dumpWriter     io.Writer

	callerListener    net.Listener
	callerConns       callerConns
	readinessListener net.Listener
	leaving           atomic.Bool
	requestsEnd       atomic.Pointer[time.Time] // when requests in progress are ended; nil unless leaving
	configured        atomic.Pointer[time.Time] // when operators' changes last took effect; nil if never
	keyedStored       atomic.Bool               // the store says that keys are required

	crashes    crashChecks
	quarantine *quarantine.Table

	mu           sync.Mutex
	retryBudgets map[string]*budget.RetryBudget // keyed by the service's name
}

// New opens the gateway's listeners. The returned function releases its
// resources.
func New(o Options) (*Gateway, func(), error) {
	var cleanups []func()
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	stats, closeStats := newStats()
	cleanups = append(cleanups, closeStats)
	g := &Gateway{
		settings:       o.Settings,
		codec:          o.Codec,
		store:          o.Store,
		log:            o.Log,
		stats:          stats,
		faults:         feed.NewFaultLog(o.Log, stats.recordRefused),
		metricsAddress: o.Metrics,
		dumpWriter:     o.Dump,
		retryBudgets:   make(map[string]*budget.RetryBudget),
	}
	g.table = dispatch.New(dispatch.Options{
		DataCentre: o.Settings.DataCentre, Region: o.Settings.Region, Regions: o.Settings.Regions, Bounds: o.Settings.Bounds, Contention: o.Settings.Contention, Seed: o.Seed,
	})
	g.quarantine = quarantine.New(quarantine.Options{Entry: o.Settings.Name, Seed: o.Seed})
	cleanups = append(cleanups, g.openBudgets(o.LimitHeap))
	address := net.JoinHostPort(o.Settings.IP, itoa(o.Settings.PortRange[0]))
	mesh, closeMesh, err := sharing.NewMesh(sharing.Options{
		Name: o.Settings.Name, DataCentre: o.Settings.DataCentre, Regions: o.Settings.Regions, Listen: address, Table: g.table, Quarantine: g.quarantine, EntryFeed: o.Store.Entries(), Announcer: o.Store, Keyed: g.applyKeyed,
		Targets: func() []catalogue.Target { return g.catalogue.View().Targets() }, Agents: g.agents, AgentPort: uint16(o.Settings.PortRange[0]), Log: o.Log, Faults: g.faults,
	})
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	g.mesh = mesh
	cleanups = append(cleanups, closeMesh)
	server, closeServer, err := connection.Listen(connection.TCP{}, address)
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	server.SetLog(o.Log)
	server.SetLimits(connection.ServerLimits{Ledger: g.ledger, Conns: g.capacity.Conns(ledger.PeersFraction), Calls: maxPeerCalls})
	g.rpcServer = server
	cleanups = append(cleanups, closeServer)
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{{o.Settings.CallerAddress, &g.callerListener}, {o.Settings.ReadinessAddress, &g.readinessListener}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			cleanup()
			return nil, nil, err
		}
		*l.to = listener
		cleanups = append(cleanups, func() { listener.Close() })
	}
	clients, closeClients := connection.NewPool(connection.TCP{}, maxRelayConns)
	cleanups = append(cleanups, closeClients)
	g.operator = g.newFollower(clients, feed.Options{Name: feedOperator, Feed: o.Store.Operator(), Wait: operatorPollWait, Hold: operatorHold, Apply: g.applyOperatorChanges})
	every := time.Duration(registrationPollFraction * float64(o.Settings.Bounds.Drain))
	g.registrations = g.newFollower(clients, feed.Options{Name: feedRegistrations, Feed: o.Store.Registrations(), Interval: every, Hold: registrationHold, Apply: g.applyRegistrations})
	if err := server.Register(feed.RelayName, g.relay.Service()); err != nil {
		cleanup()
		return nil, nil, err
	}
	return g, cleanup, nil
}

// newFollower returns a follower that reads through relays if there are any,
// and feeds this entry's own relay.
func (g *Gateway) newFollower(clients *connection.Pool, o feed.Options) *feed.Follower {
	r := &feed.RelayClient{Name: o.Name, Store: o.Feed, Relays: g.relayAddresses, Log: g.log, Call: clients.Call}
	apply := o.Apply
	o.Feed, o.Pause, o.Lag, o.Waited, o.RelayAge, o.Pulse, o.Provisional = r, r.Pause, r.Lag, r.Waited, r.Age, &g.pulse, r.Provisional
	o.Log, o.Faults = g.log, g.faults
	o.Apply = func(b feed.Batch) { apply(g.relay.Put(o.Name, b)) }
	recaller := feed.Recaller{Peers: g.mesh.Peers, Call: clients.Call, Log: g.log}
	o.Recall = func(ctx context.Context, era int64) bool {
		if r.Relayed() {
			return false // the relay has reconciled what it sent
		}
		return g.relay.Recall(o.Name, recaller.Recall(ctx, o.Name, era))
	}
	f := feed.New(o)
	g.relay.Add(o.Name, f.Age)
	return f
}

// relayAddresses returns the entries that read the store for this one, or none
// if this entry reads the store itself.
func (g *Gateway) relayAddresses() []string {
	readers, own := g.mesh.StoreReaders(maxStoreReaders)
	if own {
		return nil
	}
	// The order depends on this entry's name, which spreads the entries over
	// the relays.
	return membership.Order("relay/"+g.settings.Name, readers)
}

// followFeeds waits until the entries that may read the feeds for this one are
// known, then follows the feeds.
func (g *Gateway) followFeeds(ctx context.Context) error {
	t := time.NewTimer(discoveryTimeout)
	defer t.Stop()
	select {
	case <-g.mesh.Listed():
	case <-t.C:
	case <-ctx.Done():
		return nil
	}
	if len(g.relayAddresses()) > 0 {
		t.Reset(discoverySettleTime)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.operator.Run(ctx) })
	group.Go(func() error { return g.registrations.Run(ctx) })
	return group.Wait()
}

// applyOperatorChanges applies changes made by operators, and sends the new
// target versions of the weights to the agents without waiting for the next
// regular update.
func (g *Gateway) applyOperatorChanges(b feed.Batch) {
	now := time.Now()
	events := g.catalogue.Apply(now, b)
	for _, e := range events {
		g.log.Info("in force", "what", e.Kind, "name", e.Name, "version", e.Version, "age", b.MaxAge, "full", b.Full)
	}
	if len(events) > 0 {
		g.configured.Store(&now)
		view := g.catalogue.View()
		if c := view.Catalogue(); c != nil {
			g.callerConns.setLimits(c.Limits)
		}
		g.logAccess(view, events)
		g.refreshTable(now)
		g.mesh.UpdateAgents()
	}
}

// sinceConfiguration returns the time since operators' changes last took effect, or
// -1 s if there were none.
func (g *Gateway) sinceConfiguration() time.Duration {
	if at := g.configured.Load(); at != nil {
		return time.Since(*at)
	}
	return -time.Second
}

// agents returns the hosts and data centres of the agents. There is one agent
// beside each engine, on the engine's instance. An endpoint of a service that the
// configuration doesn't name is none.
func (g *Gateway) agents() []sharing.Agent {
	var out []sharing.Agent
	c := g.catalogue.View().Catalogue()
	for _, r := range g.roster.List() {
		if c != nil && c.Service(r.Service) == nil {
			continue
		}
		a, err := netip.ParseAddrPort(r.Address)
		if err == nil && r.Engine && a.Addr().Is4() {
			out = append(out, sharing.Agent{Host: a.Addr(), DataCentre: r.DataCentre})
		}
	}
	return out
}

// applyRegistrations applies changes of the registrations to the endpoints.
func (g *Gateway) applyRegistrations(b feed.Batch) {
	now := time.Now()
	before := g.roster.Version()
	b = g.withoutOwn(b)
	if len(b.Late) > 0 {
		g.log.Warn("registrations written late are ignored", "endpoints", strings.Join(b.Late, ","))
	}
	g.roster.Apply(now, b)
	if g.roster.Version() != before {
		g.log.Info("endpoints changed", "endpoints", len(g.roster.List()), "silence", b.SinceLastRead)
		g.mesh.UpdateAgents() // a new agent has not received any update yet
	}
	if len(b.Changes) > 0 || g.roster.Version() != before {
		g.refreshTable(now)
	}
}

// Run runs the gateway until the context ends, then shuts it down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Info("started", "name", g.settings.Name, "place", g.settings.DataCentre, "callers", g.settings.CallerAddress)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	requests, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(nil)
	server := g.server()
	server.BaseContext = func(net.Listener) context.Context { return requests }
	ready := &http.Server{Handler: http.HandlerFunc(g.handleReadiness), ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout, IdleTimeout: defaultIdleTimeout}
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return serve(server, callerListener{g.listenCallers(), &g.callerConns}) })
	group.Go(func() error {
		return serve(ready, g.ledger.Listen(g.readinessListener, "readiness", g.capacity.Conns(ledger.MonitorFraction)))
	})
	group.Go(func() error { return g.followFeeds(work) })
	group.Go(g.rpcServer.Serve)
	group.Go(func() error { return g.mesh.Run(work) })
	group.Go(func() error { g.tick(work); return nil })
	group.Go(func() error { g.storeQuarantines(work); return nil })
	group.Go(func() error { g.storeKeyed(work); return nil })
	group.Go(func() error {
		return monitor.Serve(work, g.metricsAddress, g.ledger, g.capacity.Conns(ledger.MonitorFraction), g.stats.reporter, g.dump, g.dumpWriter,
			monitor.Path{Name: RoutePath, Serve: g.serveRoute})
	})
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			g.shutDown(server, endRequests)
		case <-work.Done():
		}
		g.rpcServer.Stop()
		return errors.Join(server.Close(), ready.Close())
	})
	err := group.Wait()
	g.log.Info("stopped", "err", err)
	return err
}

// maxBufferedBytes returns how many bytes of endpoints' responses an entry with the
// given memory limit buffers at most.
func maxBufferedBytes(memoryLimit int64) int64 {
	if memoryLimit <= 0 {
		return defaultBufferedBytes
	}
	return int64(bufferedFraction * float64(memoryLimit))
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (g *Gateway) server() *http.Server {
	return &http.Server{
		Handler:           g,
		ConnContext:       withCallerConn,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: placeholderHeaderTimeout,
		IdleTimeout:       placeholderIdleTimeout,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug), // what callers send; panics are logged by logPanic
	}
}

func (g *Gateway) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var lastGauges time.Time
	var suspension feed.Suspension
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now, uptime := time.Now(), feed.Uptime()
		g.pulse.Beat(uptime)
		g.heap.Update()
		if d := suspension.Elapsed(now, uptime); d > 0 {
			g.log.Warn("instance was suspended", "for", d)
			g.addSuspended(now, d)
		}
		if now.Sub(lastGauges) >= reportInterval {
			lastGauges = now
			g.updateGauges()
			g.reportShares(now)
			g.shareRetries()
		}
		if g.roster.Expire(now) {
			g.refreshTable(now)
		}
		g.table.Tick(now)
		g.logEgress()
	}
}

// ready reports whether the load balancer should send requests to this entry,
// and the reason for the response body.
func (g *Gateway) ready() (bool, string) {
	age, known := g.operator.Age()
	_, listed := g.registrations.Age()
	switch {
	case g.leaving.Load():
		return false, "leaving"
	case !known || !listed || g.catalogue.View().Catalogue() == nil || !g.catalogue.View().AccessKnown():
		return false, "starting"
	case age > maxReadyStoreAge:
		return false, "store silent"
	}
	return true, "ready"
}

func (g *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	ready, reason := g.ready()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// A failed write means that the load balancer has closed the connection.
	_, _ = w.Write([]byte(reason + "\n"))
}
