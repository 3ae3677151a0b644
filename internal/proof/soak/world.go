package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// Names and sizes of the deployment that a run builds.
const (
	serviceModel  = "verse"
	servicePlain  = "shop"
	serviceOther  = "stock" // to which routes are moved
	serviceOrigin = "press"
	host          = "shop.example"

	layers      = 4
	chunks      = 8
	chunkSize   = 4 << 10 // bytes
	warm        = 150 * time.Millisecond
	slots       = 4
	plainWork   = 15 * time.Millisecond
	eventWork   = 20 * time.Millisecond
	beat        = 600 * time.Millisecond // half of what the platform's pages show, so that runs are short
	lapseAfter  = 3 * beat
	drainExtra  = 500 * time.Millisecond // endpoints serve a little longer than they must
	restartLate = 700 * time.Millisecond // until an endpoint that has ended starts again

	portCallers   = 8005
	portReadiness = 8002
	portFirst     = 7700
	portLast      = 7715
	portEndpoint  = 8100 // as registered
	portBehind    = 8101 // where it listens
	portStore     = 9000
	portOrigin    = 9001
	networks      = 250 // 127.1 to 127.250, one for each run
	hostsOfSystem = 200 // hosts in the last part of a loopback address
)

// world is one run's deployment: the platform's stand-in, the system and the
// operator.
type world struct {
	checker   *Checker
	shape     Shape
	prefix    string // of all loopback addresses of this run
	store     *site.Store
	origin    *site.Origin
	endpoints []*site.Endpoint // engines first
	ways      []*site.Proxy    // to each endpoint
	toStore   []*site.Proxy    // from each process
	fleet     *fleet
	routes    []fulmardeal.Route
	customers []fulmardeal.Customer
	regions   map[string]string
	cleanups  []func()

	mu      sync.Mutex
	current fulmardeal.Catalogue
	weights int64
	busy    map[int]bool   // endpoints with a fault in progress
	modes   []site.Mode    // of the store, one for each fault in progress
	out     map[string]int // faults in progress that keep a data centre out
}

func (w *world) close() {
	for i := len(w.cleanups) - 1; i >= 0; i-- {
		w.cleanups[i]()
	}
}

// address returns a port of a host of this run.
func (w *world) address(n, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d.%d", w.prefix, n/hostsOfSystem, 1+n%hostsOfSystem), strconv.Itoa(port))
}

func dataCentre(i int) string { return string(rune('a' + i)) }

// newWorld starts the stand-ins. Each run uses loopback addresses of its own.
func newWorld(shape Shape, starter Starter, dir string) (*world, error) {
	w := &world{shape: shape, store: site.NewStore(), origin: site.NewOrigin(chunks, chunkSize), weights: 1,
		regions: make(map[string]string), busy: make(map[int]bool), out: make(map[string]int)}
	for i := range shape.DataCentres {
		w.regions[dataCentre(i)] = "region-" + dataCentre(i)
	}
	w.checker = NewChecker(w.regions)
	w.fleet = &fleet{world: w, starter: starter, entries: shape.Entries, dir: dir, closing: make(chan struct{})}
	if err := w.claimNetwork(); err != nil {
		return w, err
	}
	w.configure()
	if err := w.serve(w.address(0, portOrigin), w.origin.Handler()); err != nil {
		return w, err
	}
	for i := range shape.Entries + shape.Engines + shape.Plain {
		if err := w.place(i); err != nil {
			return w, err
		}
	}
	return w, nil
}

// claimNetwork takes the first loopback network in which no other run has its
// store, beginning at a place of this process's own.
func (w *world) claimNetwork() error {
	var err error
	for i := range networks {
		w.prefix = fmt.Sprintf("127.%d", 1+(os.Getpid()+i)%networks)
		if err = w.serve(w.address(0, portStore), w.store.Handler()); err == nil {
			return nil
		}
	}
	return err
}

// serve starts a server of this process.
func (w *world) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l) // it ends with the run
	w.cleanups = append(w.cleanups, func() { s.Close() })
	return nil
}

// place sets up the n-th host: an entry, an engine with its agent, or a plain
// endpoint.
func (w *world) place(n int) error {
	s := w.shape
	place := dataCentre(n % s.DataCentres)
	if n < s.Entries+s.Engines {
		if err := w.placeMember(n, place); err != nil {
			return err
		}
	}
	if n < s.Entries {
		return nil
	}
	o := site.EndpointOptions{
		Service: serviceModel, DataCentre: place, Address: w.address(1+n, portEndpoint), ListenAddress: w.address(1+n, portBehind), Slots: slots,
		ServiceTime: eventWork, Engine: w.engine(), Origin: w.origin, Observer: w.checker,
	}
	if k := n - s.Entries - s.Engines; k >= 0 {
		o.Service, o.ServiceTime, o.Engine, o.WarmUp = servicePlain, plainWork, nil, boundCold
		if k/s.DataCentres%2 == 1 {
			o.Service = serviceOther
		}
	}
	e := site.NewEndpoint(o, true)
	if err := e.Start(); err != nil {
		return err
	}
	p, closeProxy, err := site.NewProxy(o.Address, o.ListenAddress)
	if err != nil {
		return err
	}
	w.endpoints, w.ways = append(w.endpoints, e), append(w.ways, p)
	w.cleanups = append(w.cleanups, func() { e.Crash(true) }, closeProxy)
	return nil
}

// placeMember adds a process with a way of its own to the store.
func (w *world) placeMember(n int, place string) error {
	way := w.address(1+n, portStore)
	p, closeProxy, err := site.NewProxy(way, w.address(0, portStore))
	if err != nil {
		return err
	}
	w.toStore = append(w.toStore, p)
	w.cleanups = append(w.cleanups, closeProxy)
	m := &member{role: RoleEntry, site: fulmardeal.Site{
		Name: entryScope(n), Host: w.hostOf(1 + n), DataCentre: place, Region: w.regions[place], Regions: w.regions,
		Callers: w.address(1+n, portCallers), Readiness: w.address(1+n, portReadiness), Ports: [2]int{portFirst, portLast},
		Store: way, MemoryLimit: 256 << 20, LinkRate: 100, Beat: beat,
		Bounds: fulmardeal.Bounds{
			Drain: boundDrain, Grace: boundGrace, Revoke: boundRevoke, Weights: boundWeights,
			RepeatRatio: repeatRatio, RepeatExtra: repeatExtra, RepeatEvery: repeatEvery, ColdOver: coldOver,
		},
	}}
	if n >= w.shape.Entries {
		m.role, m.site.Name = RoleAgent, fmt.Sprintf("agent-%d", n-w.shape.Entries)
		m.site.Callers, m.site.Readiness = "", ""
		m.site.Endpoint, m.site.Service = w.address(1+n, portEndpoint), serviceModel
	}
	w.fleet.members = append(w.fleet.members, m)
	return nil
}

func (w *world) hostOf(n int) string {
	h, _, _ := net.SplitHostPort(w.address(n, portFirst)) // it is an address with a port
	return h
}

func (w *world) engine() *fulmardeal.EngineSpec {
	return &fulmardeal.EngineSpec{
		Slots: slots, Memory: 100000, Stride: 5, Step: 4, PerSequence: 0.02, PerContext: 0.02, ReadRate: 20000,
		Models: []fulmardeal.EngineModel{{Name: modelName, Warm: warm}}, Layers: layers, Chunks: chunks, ChunkSize: chunkSize,
	}
}

// configure makes the first configuration.
func (w *world) configure() {
	route := func(name, service string, kind fulmardeal.Kind, timeout time.Duration) fulmardeal.Route {
		return fulmardeal.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, Objective: timeout / 4, Priority: 1,
			Shares: []fulmardeal.Share{{Service: service, Weight: 1}}, Attempts: 2, Homes: []string{},
		}
	}
	const plainTime, streamTime = 1500 * time.Millisecond, 3 * time.Second
	resumable := route("verse", serviceModel, fulmardeal.KindStream, streamTime)
	resumable.Resumable = true
	local := route("local", servicePlain, fulmardeal.KindIdempotent, plainTime)
	local.Homes = []string{w.regions[dataCentre(0)]}
	w.routes = []fulmardeal.Route{
		route("read", servicePlain, fulmardeal.KindIdempotent, plainTime),
		route("order", servicePlain, fulmardeal.KindOnce, plainTime),
		resumable, route("poem", serviceModel, fulmardeal.KindStream, streamTime), local,
	}
	w.customers = []fulmardeal.Customer{
		{Name: "florist", Keys: []string{"f1", "f2"}},
		{Name: "printer", Keys: []string{"p1", "p2", "p3", "p4"}},
	}
	w.current = fulmardeal.Catalogue{
		Version: 1,
		Routes:  append([]fulmardeal.Route{}, w.routes...),
		Services: []fulmardeal.Service{
			{Name: serviceModel, Connections: 100, Engine: w.engine()},
			{Name: servicePlain, Connections: 100, Cold: boundCold, ColdRate: coldRate},
			{Name: serviceOther, Connections: 100, Cold: boundCold, ColdRate: coldRate},
			{Name: serviceOrigin, Connections: 40, Origin: &fulmardeal.OriginSpec{Address: w.address(0, portOrigin), DataCentre: dataCentre(0), LinkRate: 100}},
		},
		Customers: append([]fulmardeal.Customer{}, w.customers...),
		Limits:    fulmardeal.Limits{Header: 16 << 10, Body: 1 << 20, HeaderTimeout: 3 * time.Second, Idle: 15 * time.Second},
	}
}

// registerEndpoints registers the endpoints, as they do themselves, and removes those that
// have been silent.
func (w *world) registerEndpoints(done <-chan struct{}) {
	type known struct {
		id   string
		last time.Time
	}
	list := make([]known, len(w.endpoints))
	for {
		for i, e := range w.endpoints {
			r, up := e.Registration()
			down := w.store.Mode() != site.ModeHealthy && w.store.Mode() != site.ModeSlow && w.store.Mode() != site.ModeLossy
			switch {
			case up && !down:
				if list[i].id != r.ID && list[i].id != "" {
					w.register(platform.Record{Key: list[i].id})
				}
				list[i] = known{r.ID, time.Now()}
				x, err := platform.RegistrationRecord(r)
				if err != nil {
					panic(err) // registrations can be encoded
				}
				w.register(x)
			case list[i].id != "" && time.Since(list[i].last) > lapseAfter:
				w.register(platform.Record{Key: list[i].id})
				list[i].id = ""
			}
		}
		select {
		case <-done:
			return
		case <-time.After(beat):
		}
	}
}

func (w *world) register(r platform.Record) {
	w.store.Append(string(platform.TopicRegistrations), []platform.Record{r})
}
