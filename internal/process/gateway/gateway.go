// Package gateway is the entry process on the users' platform: it takes
// callers' requests, finds the route and the customer, and has package dispatch
// choose an endpoint, to which it forwards directly. It keeps nothing that
// another entry would need.
package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
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
	"fulmardeal/internal/process/monitor"
	"fulmardeal/internal/traffic/budget"
	"fulmardeal/internal/traffic/dispatch"
	"fulmardeal/internal/traffic/forward"
	"fulmardeal/internal/traffic/sharing"
)

// Times and bounds of an entry.
const (
	// operatorWait is how long a call waits for a change of the configuration.
	// A connection that has gone silent is found after that and a call's
	// timeout, well within the 5 s in which a removed key must be refused.
	operatorWait = 1500 * time.Millisecond

	// rosterPart of the time within which an endpoint's notice of leaving must
	// be known is the pause between two reads of the registrations: one may fail.
	rosterPart = 0.35

	// storeReaders is how many entries of a data centre read the store, for all
	// others there. In a data centre with up to so many entries each reads for
	// itself.
	storeReaders = 4

	// meetWait is how long an entry that has just started waits to hear of the
	// others: with few of them known it would read what they read for it.
	meetWait   = time.Second
	meetSettle = 300 * time.Millisecond // after they are listed, when they are many

	relayClients = 2 * storeReaders // connections to other entries

	tickEvery = 20 * time.Millisecond // room that comes with time alone

	// revokeMargin is left between the last request with a key that can't be
	// confirmed any more and the bound: a request may be on its way so long.
	revokeMargin = 400 * time.Millisecond

	// unreadyAfter is the silence of the store after which callers are better
	// served by another entry. It is more than two calls take.
	unreadyAfter = 2500 * time.Millisecond

	// leaveWait is how long a leaving entry takes requests: the balancer asks
	// once a second and believes the second answer.
	leaveWait = 2600 * time.Millisecond

	// leaveMargin is left between the end of the last answer and SIGKILL. A stream
	// that was taken last and lasts longest is broken off then.
	leaveMargin = 900 * time.Millisecond

	memoryPart = 0.75 // of the memory limit, for the heap

	defaultHeader = 64 << 10         // bytes; the configuration's limit is checked besides
	defaultBody   = 4 << 20          // bytes
	headerTimeout = 10 * time.Second // until the configuration is known
	idleTimeout   = 60 * time.Second // longer than any caller keeps a connection

	// repeatPart of the repeats that all entries may make is used: answers of
	// endpoints that refuse count too, and requests spread unevenly.
	repeatPart = 0.7
)

// Names of the feeds.
const (
	feedOperator      = "operator"
	feedRegistrations = "registrations"
)

// Codec translates headers.
type Codec interface {
	ReadRequestMetadata(h http.Header) fulmardeal.RequestMetadata
	ForwardHeader(caller http.Header, f fulmardeal.ForwardMetadata) http.Header
	ReadResponseMetadata(status int, h http.Header) fulmardeal.ResponseMetadata
	ResponseHeader(endpoint http.Header) http.Header
	SetRejectionHeader(h http.Header, attempt string, after time.Duration)
}

// Store is what a gateway uses of the platform's store.
type Store interface {
	sharing.Announcer
	Operator() fulmardeal.Feed
	Registrations() fulmardeal.Feed
	Entries() fulmardeal.Feed
}

// Options are what a gateway is built from.
type Options struct {
	Site  fulmardeal.Settings
	Store Store
	Codec Codec
	Log   *slog.Logger
	Seed  uint64

	Metrics string    // address on which metrics are served; empty for none
	Dump    io.Writer // where the state is written on SIGQUIT
}

// Gateway is one entry process.
type Gateway struct {
	site      fulmardeal.Settings
	codec     Codec
	log       *slog.Logger
	catalogue catalogue.Table
	roster    roster.Roster
	table     *dispatch.Table
	pool      *forward.Pool
	mesh      *sharing.Mesh
	operator  *feed.Follower
	listed    *feed.Follower
	relay     feed.Relay         // for other entries
	within    *connection.Server // for other entries
	stats     *Stats
	metrics   string
	dumpTo    io.Writer

	callers   net.Listener
	readiness net.Listener
	leaving   atomic.Bool

	mu      sync.Mutex
	repeats map[string]*budget.RetryBudget // by service
}

// New opens the gateway's listeners. The returned function releases what it
// holds.
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
		site:    o.Site,
		codec:   o.Codec,
		log:     o.Log,
		stats:   stats,
		metrics: o.Metrics,
		dumpTo:  o.Dump,
		repeats: make(map[string]*budget.RetryBudget),
	}
	g.table = dispatch.New(dispatch.Options{
		DataCentre: o.Site.DataCentre, Region: o.Site.Region, Regions: o.Site.Regions, Bounds: o.Site.Bounds, Seed: o.Seed,
	})
	pool, closePool := forward.NewPool()
	g.pool = pool
	cleanups = append(cleanups, closePool)
	address := net.JoinHostPort(o.Site.IP, itoa(o.Site.PortRange[0]))
	mesh, closeMesh, err := sharing.NewMesh(sharing.Options{
		Name: o.Site.Name, DataCentre: o.Site.DataCentre, Regions: o.Site.Regions, Listen: address, Table: g.table, EntryFeed: o.Store.Entries(), Announcer: o.Store,
		Targets: func() []catalogue.Target { return g.catalogue.View().Targets() }, Agents: g.agents, AgentPort: uint16(o.Site.PortRange[0]), Log: o.Log,
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
	g.within = server
	cleanups = append(cleanups, closeServer)
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{{o.Site.CallerAddress, &g.callers}, {o.Site.ReadinessAddress, &g.readiness}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			cleanup()
			return nil, nil, err
		}
		*l.to = listener
		cleanups = append(cleanups, func() { listener.Close() })
	}
	clients, closeClients := connection.NewPool(connection.TCP{}, relayClients)
	cleanups = append(cleanups, closeClients)
	g.operator = g.newFollower(clients, feed.Options{Name: feedOperator, Feed: o.Store.Operator(), Wait: operatorWait, Apply: g.operated})
	every := time.Duration(rosterPart * float64(o.Site.Bounds.Drain))
	g.listed = g.newFollower(clients, feed.Options{Name: feedRegistrations, Feed: o.Store.Registrations(), Interval: every, Apply: g.registered})
	if err := server.Register(feed.RelayName, g.relay.Service()); err != nil {
		cleanup()
		return nil, nil, err
	}
	return g, cleanup, nil
}

// newFollower returns a follower that reads through relays where there are any,
// and feeds this entry's own.
func (g *Gateway) newFollower(clients *connection.Pool, o feed.Options) *feed.Follower {
	r := &feed.RelayClient{Name: o.Name, Store: o.Feed, Relays: g.relays, Log: g.log, Call: func(ctx context.Context, address, method string, args, reply any) error {
		return clients.Client(address).Call(ctx, method, args, reply)
	}}
	apply := o.Apply
	o.Feed, o.Pause, o.Lag, o.Log = r, r.Pause, r.Lag, g.log
	o.Apply = func(b feed.Batch) {
		g.relay.Put(o.Name, b)
		apply(b)
	}
	f := feed.New(o)
	g.relay.Add(o.Name, f.Age)
	return f
}

// relays returns the entries that read the store for this one; none when it reads
// for itself.
func (g *Gateway) relays() []string {
	readers, own := g.mesh.StoreReaders(storeReaders)
	if own {
		return nil
	}
	// Each entry begins with another one.
	return membership.Order("relay/"+g.site.Name, readers)
}

// follow follows the feeds once the entries that may read them for this one are
// known.
func (g *Gateway) follow(ctx context.Context) error {
	t := time.NewTimer(meetWait)
	defer t.Stop()
	select {
	case <-g.mesh.Listed():
	case <-t.C:
	case <-ctx.Done():
		return nil
	}
	if len(g.relays()) > 0 {
		t.Reset(meetSettle)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.operator.Run(ctx) })
	group.Go(func() error { return g.listed.Run(ctx) })
	return group.Wait()
}

// operated takes over what operators have changed.
func (g *Gateway) operated(b feed.Batch) {
	now := time.Now()
	events := g.catalogue.Apply(now, b)
	for _, e := range events {
		g.log.Info("in force", "what", e.Kind, "name", e.Name, "version", e.Version)
	}
	if len(events) > 0 {
		g.table.Refresh(now, g.roster.List(), g.catalogue.View())
		g.mesh.UpdateAgents()
	}
}

// agents returns the agents: there is one beside each engine, on its instance.
func (g *Gateway) agents() []sharing.Agent {
	var out []sharing.Agent
	for _, r := range g.roster.List() {
		a, err := netip.ParseAddrPort(r.Address)
		if err == nil && r.Engine && a.Addr().Is4() {
			out = append(out, sharing.Agent{Host: a.Addr(), DataCentre: r.DataCentre})
		}
	}
	return out
}

// registered takes over which endpoints there are.
func (g *Gateway) registered(b feed.Batch) {
	now := time.Now()
	before := g.roster.Version()
	g.roster.Apply(now, b)
	if g.roster.Version() != before {
		g.log.Info("endpoints changed", "endpoints", len(g.roster.List()), "silence", b.SinceLastRead)
		g.mesh.UpdateAgents() // an agent that is new has heard nothing yet
	}
	if len(b.Changes) > 0 || g.roster.Version() != before {
		g.table.Refresh(now, g.roster.List(), g.catalogue.View())
	}
}

// Run works until the context ends, then leaves gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	if g.site.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(g.site.MemoryLimit)))
	}
	g.log.Info("started", "name", g.site.Name, "place", g.site.DataCentre, "callers", g.site.CallerAddress)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := g.server()
	ready := &http.Server{Handler: http.HandlerFunc(g.answerReady)}
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return serve(server, g.callers) })
	group.Go(func() error { return serve(ready, g.readiness) })
	group.Go(func() error { return g.follow(work) })
	group.Go(g.within.Serve)
	group.Go(func() error { return g.mesh.Run(work) })
	group.Go(func() error { g.tick(work); return nil })
	group.Go(func() error { return monitor.Page(work, g.metrics, g.stats.table, g.dump, g.dumpTo) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			g.leave(server)
		case <-work.Done():
		}
		g.within.Stop()
		return errors.Join(server.Close(), ready.Close())
	})
	err := group.Wait()
	g.log.Info("stopped", "err", err)
	return err
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
		MaxHeaderBytes:    defaultHeader,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
}

func (g *Gateway) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	var gauged time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		if now.Sub(gauged) >= reportEvery {
			gauged = now
			g.gauge()
		}
		if g.roster.Expire(now) {
			g.table.Refresh(now, g.roster.List(), g.catalogue.View())
		}
		g.table.Tick(now)
	}
}

// leave goes on taking requests until the balancer has heard that the entry is
// leaving, then lets those in progress end.
func (g *Gateway) leave(s *http.Server) {
	g.leaving.Store(true)
	g.log.Info("leaving", "grace", g.site.Bounds.Grace)
	begun := time.Now()
	time.Sleep(leaveWait)
	ctx, cancel := context.WithTimeout(context.Background(), g.site.Bounds.Grace-leaveMargin-time.Since(begun))
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		g.log.Warn("left before all requests ended", "err", err)
	}
}

// ready reports whether callers are well served here.
func (g *Gateway) ready() (bool, string) {
	age, known := g.operator.Age()
	_, listed := g.listed.Age()
	switch {
	case g.leaving.Load():
		return false, "leaving"
	case !known || !listed || g.catalogue.View().Catalogue() == nil:
		return false, "starting"
	case age > unreadyAfter:
		return false, "store silent"
	}
	return true, "ready"
}

func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := g.ready()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// The balancer has no use for an answer that it can't be given.
	_, _ = w.Write([]byte(reason + "\n"))
}

// confirmed reports whether the keys in force are known to be in force still.
func (g *Gateway) confirmed() (time.Duration, bool) {
	age, known := g.operator.Age()
	return age, known && age < g.site.Bounds.KeyRevocation-revokeMargin
}

// repeatsOf returns this entry's share of the repeats to a service.
func (g *Gateway) repeatsOf(service string) *budget.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.repeats[service]
	if r == nil {
		b := g.site.Bounds
		share := b.RetryExtra * repeatPart / float64(1+g.mesh.PeerCount())
		r = budget.NewRetryBudget(b.RetryRatio*repeatPart, max(1, share))
		g.repeats[service] = r
	}
	return r
}

// gauge reports what the entry believes.
func (g *Gateway) gauge() {
	endpoints, waiting := g.table.Counts()
	dialed, reused := g.pool.Counts()
	age, known := g.operator.Age()
	if !known {
		age = -time.Second // nothing has been heard yet
	}
	ready, _ := g.ready()
	s := g.stats.scope
	s.Gauge("version").Update(float64(g.catalogue.View().Version()))
	s.Gauge("store_age_seconds").Update(age.Seconds())
	s.Gauge("endpoints").Update(float64(endpoints))
	s.Gauge("waiting").Update(float64(waiting))
	s.Gauge("entries").Update(float64(1 + g.mesh.PeerCount()))
	s.Gauge("dialed").Update(float64(dialed))
	s.Gauge("reused").Update(float64(reused))
	s.Gauge("ready").Update(0)
	if ready {
		s.Gauge("ready").Update(1)
	}
}

// State is an entry's state as it is dumped.
type State struct {
	Name      string                   `json:"name"`
	Version   int64                    `json:"version"`
	Age       string                   `json:"age"` // of the last word from the store
	Ready     string                   `json:"ready"`
	Targets   []catalogue.Target       `json:"targets"`
	Endpoints []dispatch.EndpointState `json:"endpoints"`
}

func (g *Gateway) dump() any {
	age, known := g.operator.Age()
	_, why := g.ready()
	s := State{
		Name: g.site.Name, Version: g.catalogue.View().Version(), Age: "never", Ready: why,
		Targets: g.catalogue.View().Targets(), Endpoints: g.table.EndpointStates(time.Now()),
	}
	if known {
		s.Age = age.String()
	}
	return s
}
