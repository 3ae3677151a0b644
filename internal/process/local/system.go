package local

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/platform/adapter"
	"fulmardeal/internal/process/agent"
	"fulmardeal/internal/process/entry"
	"fulmardeal/internal/process/operator"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/standin/endpoint"
	"fulmardeal/internal/standin/network"
	"fulmardeal/internal/standin/platform"
	"fulmardeal/internal/traffic/choice"
)

// Parameters of the stand-ins and the processes.
const (
	directoryListingDelay = 500 * time.Millisecond // until the directory lists an announced instance
	directoryExpiry       = 10 * time.Second       // until the directory removes an instance that no longer announces itself
	grace                 = 20 * time.Second       // time limit of graceful shutdowns
)

// Options are the dependencies of a system, and what its settings don't contain.
type Options struct {
	Logger     *slog.Logger
	Policy     choice.Policy
	Invariants *invariant.Recorder
}

// System is a running local system.
type System struct {
	settings Settings
	options  Options
	fabric   *network.Fabric
	group    *errgroup.Group
	context  context.Context
	operator *operator.Operator

	log       *platform.Log
	origin    *platform.Origin
	directory *platform.Directory
	urls      urls

	mu      sync.Mutex
	entries []*Member
	agents  []*Member
	serial  int
	ledger  *endpoint.Ledger
	closers []func()
}

// urls are the URLs of the platform's stand-ins.
type urls struct {
	log       string
	origin    string
	directory string
}

// Member is one entry or one agent with its endpoint.
type Member struct {
	Name       string
	DataCentre string
	Service    string
	Entry      *entry.Entry
	Agent      *agent.Agent
	Engine     *endpoint.Engine  // nil unless the endpoint is an engine
	Plain      *endpoint.Service // nil unless the endpoint is a plain service
	url        string            // URL of the endpoint
	stop       context.CancelFunc
	done       chan struct{} // closed when the member has stopped
	err        error         // error with which the member stopped, nil if none; set before done is closed
	kill       func()
}

// Start starts the stand-ins of the platform and the endpoints, the agents and the
// entries. The returned function stops them all gracefully.
func Start(ctx context.Context, s Settings, o Options) (*System, func() error, error) {
	if o.Invariants == nil {
		o.Invariants = &invariant.Recorder{}
	}
	g, ctx := errgroup.WithContext(ctx)
	x := &System{
		settings:  s,
		options:   o,
		fabric:    network.New(connection.TCP{}, s.Link.profile()),
		group:     g,
		context:   ctx,
		log:       platform.NewLog(0),
		origin:    platform.NewOrigin(s.Weights.Origin * bytesPerMegabit),
		directory: platform.NewDirectory(directoryListingDelay, directoryExpiry),
		ledger:    endpoint.NewLedger(),
	}
	if err := x.start(); err != nil {
		x.close()
		return nil, nil, err
	}
	return x, x.Stop, nil
}

func (x *System) start() error {
	var err error
	if x.urls.log, err = x.serve(x.log.Handler()); err != nil {
		return err
	}
	if x.urls.origin, err = x.serve(x.origin.Handler()); err != nil {
		return err
	}
	if x.urls.directory, err = x.serve(x.directory.Handler()); err != nil {
		return err
	}
	op, closeOperator := operator.New(x.log, x.directory, connection.TCP{})
	x.operator = op
	x.closers = append(x.closers, closeOperator)

	for _, g := range x.settings.Endpoint {
		for range g.Count {
			if _, err := x.AddAgent(g); err != nil {
				return err
			}
		}
	}
	for _, g := range x.settings.Entry {
		for range g.Count {
			if _, err := x.AddEntry(g.DataCentre); err != nil {
				return err
			}
		}
	}
	return nil
}

// serve runs a stand-in on a loopback port until the system stops, and returns its
// URL.
func (x *System) serve(h http.Handler) (string, error) {
	url, stop, err := serve(h)
	if err != nil {
		return "", err
	}
	x.mu.Lock()
	x.closers = append(x.closers, stop)
	x.mu.Unlock()
	return url, nil
}

// serve runs an HTTP server on a loopback port. It returns the server's URL and a
// function that closes it.
func serve(h http.Handler) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() {
		// Serve always returns an error once the server is closed.
		_ = s.Serve(l)
	}()
	return "http://" + l.Addr().String(), func() { s.Close() }, nil
}

func (x *System) newName(dataCentre, kind string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.serial++
	return fmt.Sprintf("%s-%s-%d", dataCentre, kind, x.serial)
}

func (x *System) processSettings(name, dataCentre string) settings.Process {
	return settings.Process{
		Name:       name,
		DataCentre: dataCentre,
		Region:     x.settings.region(dataCentre),
		Listen:     "127.0.0.1:0",
		HTTP:       "127.0.0.1:0",
		Log:        x.urls.log,
		Directory:  x.urls.directory,
		Origin:     x.urls.origin,
		Home:       x.settings.Home,
		Grace:      configuration.Duration(grace),
	}
}

func (x *System) site(p settings.Process) network.Site {
	return network.Site{Instance: p.Name, DataCentre: p.DataCentre, Region: p.Region}
}

// AddAgent starts one endpoint with the properties of a group, and its agent.
func (x *System) AddAgent(g EndpointGroup) (*Member, error) {
	p := x.processSettings(x.newName(g.DataCentre, g.Service), g.DataCentre)
	p.Service = g.Service
	m := &Member{Name: p.Name, DataCentre: p.DataCentre, Service: g.Service}
	handler := x.newEndpoint(m, g)
	url, stopEndpoint, err := serve(handler)
	if err != nil {
		return nil, err
	}
	p.Endpoint = url
	m.url = url
	p.Engine = m.Engine != nil

	platform, err := agentPlatform(p, x.fabric.At(x.site(p)))
	if err != nil {
		stopEndpoint()
		return nil, err
	}
	a, cleanup, err := agent.New(p, platform, x.options.Logger, x.options.Invariants, x.seed(p.Name))
	if err != nil {
		stopEndpoint()
		return nil, err
	}
	m.Agent = a
	x.run(m, a.Run, func() {
		cleanup()
		stopEndpoint()
	})
	x.mu.Lock()
	x.agents = append(x.agents, m)
	x.mu.Unlock()
	return m, nil
}

func (x *System) seed(name string) uint64 {
	h := x.settings.Seed
	for _, b := range []byte(name) {
		h = h*31 + uint64(b)
	}
	return h
}

// newEndpoint creates the stand-in of an endpoint and returns its handler.
func (x *System) newEndpoint(m *Member, g EndpointGroup) http.Handler {
	s, _ := x.settings.service(g.Service)
	capacity := endpoint.Capacity{Limit: s.Limit, ColdLimit: s.Cold, WarmUp: time.Duration(s.Warm)}
	if s.Kind == configuration.ServiceModel {
		m.Engine = endpoint.NewEngine(endpoint.EngineSettings{
			Capacity: capacity,
			Latency: endpoint.Latency{
				FirstToken:    time.Duration(g.FirstToken),
				TokenInterval: time.Duration(g.TokenInterval),
				WeightLoad:    time.Duration(g.LoadTime),
			},
			CheckFencing: g.ChecksFence,
		})
		return m.Engine.Handler()
	}
	m.Plain = endpoint.NewService(endpoint.ServiceSettings{Capacity: capacity, CallTime: time.Duration(g.CallDuration)}, x.ledger)
	return m.Plain.Handler()
}

func agentPlatform(p settings.Process, n fulmardeal.Network) (agent.Platform, error) {
	l, err := adapter.NewLog(p.Log)
	d, err2 := adapter.NewDirectory(p.Directory)
	o, err3 := adapter.NewOrigin(p.Origin)
	e, err4 := adapter.NewEndpoint(p.Endpoint)
	if err := errors.Join(err, err2, err3, err4); err != nil {
		return agent.Platform{}, err
	}
	out := agent.Platform{Network: n, Log: l, Directory: d, Origin: o, Endpoint: e}
	if p.Engine {
		out.Engine, err = adapter.NewEngine(p.Endpoint)
	}
	return out, err
}

// AddEntry starts an entry in a data centre.
func (x *System) AddEntry(dataCentre string) (*Member, error) {
	p := x.processSettings(x.newName(dataCentre, "entry"), dataCentre)
	l, err := adapter.NewLog(p.Log)
	d, err2 := adapter.NewDirectory(p.Directory)
	if err := errors.Join(err, err2); err != nil {
		return nil, err
	}
	e, cleanup, err := entry.New(entry.Options{
		Settings:   p,
		Platform:   entry.Platform{Network: x.fabric.At(x.site(p)), Log: l, Directory: d},
		Logger:     x.options.Logger,
		Invariants: x.options.Invariants,
		Policy:     x.options.Policy,
		Seed:       x.seed(p.Name),
	})
	if err != nil {
		return nil, err
	}
	m := &Member{Name: p.Name, DataCentre: dataCentre, Entry: e}
	x.run(m, e.Run, cleanup)
	x.mu.Lock()
	x.entries = append(x.entries, m)
	x.mu.Unlock()
	return m, nil
}

// run runs f for a member in the background until the member is stopped, and calls
// cleanup afterwards.
func (x *System) run(m *Member, f func(context.Context) error, cleanup func()) {
	ctx, stop := context.WithCancel(x.context)
	m.stop = stop
	m.done = make(chan struct{})
	var once sync.Once
	m.kill = func() { once.Do(cleanup) }
	x.group.Go(func() error {
		m.err = f(ctx)
		m.kill()
		close(m.done)
		return nil
	})
}

// Stop stops the member gracefully and waits until it has ended.
func (m *Member) Stop() error {
	m.stop()
	<-m.done
	return m.err
}

// Kill closes the listeners and connections of the member and its endpoint
// immediately, which simulates a crash of its instance.
func (m *Member) Kill() {
	m.kill()
	m.stop()
}

// Stop stops everything gracefully: entries first, then agents.
func (x *System) Stop() error {
	var errs []error
	for _, list := range [][]*Member{x.Entries(), x.Agents()} {
		var g errgroup.Group
		for _, m := range list {
			g.Go(m.Stop)
		}
		errs = append(errs, g.Wait())
	}
	errs = append(errs, x.group.Wait())
	x.close()
	return errors.Join(errs...)
}

func (x *System) close() {
	x.mu.Lock()
	closers := x.closers
	x.closers = nil
	x.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}

// Entries returns the entries in the order in which they were started.
func (x *System) Entries() []*Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]*Member(nil), x.entries...)
}

// Agents returns the agents in the order in which they were started.
func (x *System) Agents() []*Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]*Member(nil), x.agents...)
}

// EndpointURL returns the URL of the first endpoint of a service.
func (x *System) EndpointURL(service string) string {
	for _, m := range x.Agents() {
		if m.Service == service {
			return m.url
		}
	}
	return ""
}

// Operator returns an operator for the system.
func (x *System) Operator() *operator.Operator { return x.operator }

// Log returns the stand-in of the log.
func (x *System) Log() *platform.Log { return x.log }

// Origin returns the stand-in of the origin.
func (x *System) Origin() *platform.Origin { return x.origin }

// Fabric returns the simulated links between the processes.
func (x *System) Fabric() *network.Fabric { return x.fabric }

// Ledger returns the record of the orders that plain services have run.
func (x *System) Ledger() *endpoint.Ledger { return x.ledger }

// Invariants returns the recorder of violated invariants.
func (x *System) Invariants() *invariant.Recorder { return x.options.Invariants }

// Settings returns the settings that the system was started with.
func (x *System) Settings() Settings { return x.settings }

// Publish publishes a version in the origin and returns its model entry, without a
// placement.
func (x *System) Publish(v fulmardeal.Version, r io.Reader) (configuration.ModelEntry, error) {
	digest, err := x.origin.Publish(v, r, x.settings.Weights.Chunk)
	return configuration.ModelEntry{Name: v.Model, Version: v.Name, Digest: digest}, err
}

// GenerateWeights returns size pseudorandom bytes, which depend only on the seed.
func GenerateWeights(seed uint64, size int) io.Reader {
	out := make([]byte, size)
	s := seed*2862933555777941757 + 3037000493
	for i := range out {
		s ^= s << 13
		s ^= s >> 7
		s ^= s << 17
		out[i] = byte(s)
	}
	return bytes.NewReader(out)
}
