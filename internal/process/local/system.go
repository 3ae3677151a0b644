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

// Times of the stand-ins.
const (
	directoryLag    = 500 * time.Millisecond
	directoryForget = 10 * time.Second
	grace           = 20 * time.Second
)

// Options are what the settings don't say.
type Options struct {
	Logger *slog.Logger
	Policy choice.Policy
	Book   *invariant.Recorder
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

// urls are the addresses of the platform's stand-ins.
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
	Engine     *endpoint.Engine  // nil but for engines
	Plain      *endpoint.Service // nil but for plain services
	url        string            // of the endpoint
	stop       context.CancelFunc
	done       chan struct{} // closed when the member has ended
	failure    error         // set before done is closed
	kill       func()
}

// Start starts the platform, the endpoints, their agents and the entries. The
// returned function stops them all gracefully.
func Start(ctx context.Context, s Settings, o Options) (*System, func() error, error) {
	if o.Book == nil {
		o.Book = &invariant.Recorder{}
	}
	g, ctx := errgroup.WithContext(ctx)
	x := &System{
		settings:  s,
		options:   o,
		fabric:    network.New(connection.TCP{}, s.Link.shape()),
		group:     g,
		context:   ctx,
		log:       platform.NewLog(0),
		origin:    platform.NewOrigin(s.Weights.Origin * bytesPerMegabit),
		directory: platform.NewDirectory(directoryLag, directoryForget),
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

// serve runs a stand-in on a loopback port and returns its URL.
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

func (x *System) name(dataCentre, what string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.serial++
	return fmt.Sprintf("%s-%s-%d", dataCentre, what, x.serial)
}

func (x *System) process(name, dataCentre string) settings.Process {
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

// AddAgent starts an endpoint of a group and its agent.
func (x *System) AddAgent(g EndpointGroup) (*Member, error) {
	p := x.process(x.name(g.DataCentre, g.Service), g.DataCentre)
	p.Service = g.Service
	m := &Member{Name: p.Name, DataCentre: p.DataCentre, Service: g.Service}
	handler := x.endpoint(m, g)
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
	a, cleanup, err := agent.New(p, platform, x.options.Logger, x.options.Book, x.seed(p.Name))
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

// endpoint makes the stand-in of a group and returns its handler.
func (x *System) endpoint(m *Member, g EndpointGroup) http.Handler {
	s, _ := x.settings.service(g.Service)
	strength := endpoint.Capacity{Limit: s.Limit, ColdLimit: s.Cold, WarmUp: time.Duration(s.Warm)}
	if s.Kind == configuration.ServiceModel {
		m.Engine = endpoint.NewEngine(endpoint.EngineSettings{
			Capacity: strength,
			Latency: endpoint.Latency{
				FirstToken:    time.Duration(g.First),
				TokenInterval: time.Duration(g.Token),
				WeightLoad:    time.Duration(g.Load),
			},
			CheckFencing: g.ChecksFence,
		})
		return m.Engine.Handler()
	}
	m.Plain = endpoint.NewService(endpoint.ServiceSettings{Capacity: strength, CallTime: time.Duration(g.Took)}, x.ledger)
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

// AddEntry starts an entry.
func (x *System) AddEntry(dataCentre string) (*Member, error) {
	p := x.process(x.name(dataCentre, "entry"), dataCentre)
	l, err := adapter.NewLog(p.Log)
	d, err2 := adapter.NewDirectory(p.Directory)
	if err := errors.Join(err, err2); err != nil {
		return nil, err
	}
	e, cleanup, err := entry.New(entry.Options{
		Settings: p,
		Platform: entry.Platform{Network: x.fabric.At(x.site(p)), Log: l, Directory: d},
		Logger:   x.options.Logger,
		Book:     x.options.Book,
		Policy:   x.options.Policy,
		Seed:     x.seed(p.Name),
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

// run runs a member until it is stopped, and cleans up after it.
func (x *System) run(m *Member, f func(context.Context) error, cleanup func()) {
	ctx, stop := context.WithCancel(x.context)
	m.stop = stop
	m.done = make(chan struct{})
	var once sync.Once
	m.kill = func() { once.Do(cleanup) }
	x.group.Go(func() error {
		m.failure = f(ctx)
		m.kill()
		close(m.done)
		return nil
	})
}

// Stop stops the member gracefully and waits for it.
func (m *Member) Stop() error {
	m.stop()
	<-m.done
	return m.failure
}

// Kill breaks the member's listeners and connections off, together with its
// endpoint, as if its instance had died.
func (m *Member) Kill() {
	m.kill()
	m.stop()
}

// Stop stops everything gracefully: entries first, then agents.
func (x *System) Stop() error {
	var failures []error
	for _, list := range [][]*Member{x.Entries(), x.Agents()} {
		var g errgroup.Group
		for _, m := range list {
			g.Go(m.Stop)
		}
		failures = append(failures, g.Wait())
	}
	failures = append(failures, x.group.Wait())
	x.close()
	return errors.Join(failures...)
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

// Entries returns the entries in the order of their start.
func (x *System) Entries() []*Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]*Member(nil), x.entries...)
}

// Agents returns the agents in the order of their start.
func (x *System) Agents() []*Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]*Member(nil), x.agents...)
}

// EndpointURL returns the address of the first endpoint of a service.
func (x *System) EndpointURL(service string) string {
	for _, m := range x.Agents() {
		if m.Service == service {
			return m.url
		}
	}
	return ""
}

// Operator returns the operators' side.
func (x *System) Operator() *operator.Operator { return x.operator }

// Log returns the stand-in of the log.
func (x *System) Log() *platform.Log { return x.log }

// Origin returns the stand-in of the origin.
func (x *System) Origin() *platform.Origin { return x.origin }

// Fabric returns the links.
func (x *System) Fabric() *network.Fabric { return x.fabric }

// Ledger returns the orders that have run.
func (x *System) Ledger() *endpoint.Ledger { return x.ledger }

// Book returns the invariants' book.
func (x *System) Book() *invariant.Recorder { return x.options.Book }

// Settings returns what the system was started with.
func (x *System) Settings() Settings { return x.settings }

// Publish puts a version into the origin and returns its model's entry, without
// a place.
func (x *System) Publish(v fulmardeal.Version, r io.Reader) (configuration.ModelEntry, error) {
	digest, err := x.origin.Publish(v, r, x.settings.Weights.Chunk)
	return configuration.ModelEntry{Name: v.Model, Version: v.Name, Digest: digest}, err
}

// Generate returns size bytes that follow from a seed.
func Generate(seed uint64, size int) io.Reader {
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
