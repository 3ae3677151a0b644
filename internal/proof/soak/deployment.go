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

// Names, sizes and times of the deployment of a run.
const (
	serviceModel  = "verse"
	servicePlain  = "shop"
	serviceOther  = "stock" // target of routes that are moved
	serviceOrigin = "press"
	host          = "shop.example"

	layers               = 4                      // number of layers of the model
	chunks               = 8                      // number of chunks of each version of the weights
	chunkSize            = 4 << 10                // bytes
	engineWarmUp         = 150 * time.Millisecond // time that an engine needs to load all layers of a version
	slots                = 4                      // requests that an endpoint runs concurrently
	plainServiceTime     = 15 * time.Millisecond  // duration of a request at a plain endpoint
	eventServiceTime     = 20 * time.Millisecond  // time between two events of a stream
	heartbeatInterval    = 600 * time.Millisecond // half of the value in the platform's documentation, to shorten runs
	registrationTTL      = 3 * heartbeatInterval  // from the last heartbeat of an endpoint until its registration is removed
	drainExtra           = 500 * time.Millisecond // how much longer than boundDrain a draining endpoint serves requests
	endpointRestartDelay = 700 * time.Millisecond // time from the stop of an endpoint until its restart

	portCallers        = 8005
	portReadiness      = 8002
	portFirst          = 7700
	portLast           = 7715
	portEndpoint       = 8100 // port of the proxy that injects faults; endpoints register the proxy's address
	portEndpointDirect = 8101 // port of the endpoint itself
	portStore          = 9000
	portOrigin         = 9001
	portStoreView      = 9002 // the store as one process sees it
	maxNetworks        = 250  // 127.1.0.0/16 to 127.250.0.0/16, one for each concurrent run
	hostsPerSubnet     = 200  // hosts per /24 of the loopback addresses
)

// deployment is what one run tests: the simulated platform, the processes of
// the system, and the operator.
type deployment struct {
	checker         *Checker
	shape           Shape
	prefix          string // first two bytes of all addresses of this run
	store           *site.Store
	origin          *site.Origin
	endpoints       []*site.Endpoint // all endpoints of the run, first the engines and then the plain ones
	endpointProxies []*site.Proxy    // proxies in front of the endpoints, one for each
	storeProxies    []*site.Proxy    // proxies in front of the store, one for each process of the system
	storeViews      []*site.View     // the store as each process sees it, behind its proxy
	fleet           *fleet
	routes          []fulmardeal.Route
	customers       []fulmardeal.Customer
	regions         map[string]string
	cleanups        []func()

	mu             sync.Mutex
	configuration  fulmardeal.Catalogue
	weightsVersion int64
	busy           map[int]bool   // endpoints with a fault in progress
	storeModes     []site.Mode    // modes of the store, one for each fault in progress
	evacuations    map[string]int // evacuations in progress of each data centre
	poisons        int            // poisoned parts so far
	leaving        int            // groups of callers of FaultLeavers so far
}

func (d *deployment) close() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
}

// address returns the address of a port of the n-th host of this run.
func (d *deployment) address(n, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d.%d", d.prefix, n/hostsPerSubnet, 1+n%hostsPerSubnet), strconv.Itoa(port))
}

func dataCentre(i int) string { return string(rune('a' + i)) }

// newDeployment starts the simulated platform and its endpoints on loopback
// addresses that no other run uses. The caller must close the result even after
// an error.
func newDeployment(shape Shape, starter Starter, dir string) (*deployment, error) {
	d := &deployment{shape: shape, store: site.NewStore(), origin: site.NewOrigin(chunks, chunkSize), weightsVersion: 1,
		regions: make(map[string]string), busy: make(map[int]bool), evacuations: make(map[string]int)}
	for i := range shape.DataCentres {
		d.regions[dataCentre(i)] = "region-" + dataCentre(i)
	}
	d.checker = NewChecker(d.regions)
	d.fleet = &fleet{deployment: d, starter: starter, entries: shape.Entries, dir: dir, closing: make(chan struct{})}
	if err := d.claimNetwork(); err != nil {
		return d, err
	}
	d.configure()
	if err := d.startServer(d.address(0, portOrigin), d.origin.Handler()); err != nil {
		return d, err
	}
	for i := range shape.Entries + shape.Engines + shape.Plain {
		if err := d.addHost(i); err != nil {
			return d, err
		}
	}
	return d, nil
}

// claimNetwork reserves a loopback network by listening on the store's address,
// which fails if another run uses the network. The search begins at a number
// that depends on the process ID, so that concurrent runs rarely collide.
func (d *deployment) claimNetwork() error {
	var err error
	for i := range maxNetworks {
		d.prefix = fmt.Sprintf("127.%d", 1+(os.Getpid()+i)%maxNetworks)
		if err = d.startServer(d.address(0, portStore), d.store.Handler()); err == nil {
			return nil
		}
	}
	return err
}

// startServer starts an HTTP server, which is closed at the end of the run.
func (d *deployment) startServer(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l) // returns when the server is closed
	d.cleanups = append(d.cleanups, func() { s.Close() })
	return nil
}

// addHost adds the n-th host: an entry, an engine with its agent, or a plain
// endpoint.
func (d *deployment) addHost(n int) error {
	shape := d.shape
	dc := dataCentre(n % shape.DataCentres)
	if n < shape.Entries+shape.Engines {
		if err := d.addMember(n, dc); err != nil {
			return err
		}
	}
	if n < shape.Entries {
		return nil
	}
	opts := site.EndpointOptions{
		Service: serviceModel, DataCentre: dc, Address: d.address(1+n, portEndpoint), ListenAddress: d.address(1+n, portEndpointDirect), Slots: slots,
		ServiceTime: eventServiceTime, Engine: d.engine(), Origin: d.origin, Observer: d.checker,
		Poisoned: isPoison, Poison: func(a site.ReceivedRequest) { d.crashByPoison(n-shape.Entries, a) },
	}
	if k := n - shape.Entries - shape.Engines; k >= 0 {
		opts.Poisoned = nil
		opts.Service, opts.ServiceTime, opts.Engine, opts.WarmUp = servicePlain, plainServiceTime, nil, coldPeriod
		if k/shape.DataCentres%2 == 1 {
			opts.Service = serviceOther
		}
	}
	e := site.NewEndpoint(opts, true)
	if err := e.Start(); err != nil {
		return err
	}
	proxy, closeProxy, err := site.NewProxy(opts.Address, opts.ListenAddress)
	if err != nil {
		return err
	}
	d.endpoints, d.endpointProxies = append(d.endpoints, e), append(d.endpointProxies, proxy)
	d.cleanups = append(d.cleanups, func() { e.Crash(true) }, closeProxy)
	return nil
}

// addMember adds a process with its own proxy in front of the store.
func (d *deployment) addMember(n int, dc string) error {
	storeAddress, viewAddress := d.address(1+n, portStore), d.address(1+n, portStoreView)
	view := d.store.View()
	if err := d.startServer(viewAddress, view); err != nil {
		return err
	}
	proxy, closeProxy, err := site.NewProxy(storeAddress, viewAddress)
	if err != nil {
		return err
	}
	d.storeViews = append(d.storeViews, view)
	d.storeProxies = append(d.storeProxies, proxy)
	d.cleanups = append(d.cleanups, closeProxy)
	m := &member{role: RoleEntry, settings: fulmardeal.Settings{
		Name: entryScope(n), IP: d.hostOf(1 + n), DataCentre: dc, Region: d.regions[dc], Regions: d.regions,
		CallerAddress: d.address(1+n, portCallers), ReadinessAddress: d.address(1+n, portReadiness), PortRange: [2]int{portFirst, portLast},
		StoreAddress: storeAddress, MemoryLimit: 256 << 20, LinkMbps: 100, HeartbeatInterval: heartbeatInterval,
		Bounds: fulmardeal.Bounds{
			Drain: boundDrain, Grace: boundGrace, KeyRevocation: boundRevoke, VersionSwitch: boundWeights,
			RetryRatio: retryRatio, RetryExtra: retryBurst, RetryWindow: retryWindow, ColdRateFactor: coldRateTolerance,
		},
	}}
	if n >= d.shape.Entries {
		m.role, m.settings.Name = RoleAgent, fmt.Sprintf("agent-%d", n-d.shape.Entries)
		m.settings.CallerAddress, m.settings.ReadinessAddress = "", ""
		m.settings.EndpointAddress, m.settings.Service = d.address(1+n, portEndpoint), serviceModel
	}
	d.fleet.members = append(d.fleet.members, m)
	return nil
}

func (d *deployment) hostOf(n int) string {
	h, _, _ := net.SplitHostPort(d.address(n, portFirst)) // address always returns a host and a port
	return h
}

func (d *deployment) engine() *fulmardeal.EngineSpec {
	return &fulmardeal.EngineSpec{
		Slots: slots, Memory: 100000, Stride: 5, Step: 4, PerSequence: 0.02, PerContext: 0.02, ReadRate: 20000,
		Models: []fulmardeal.EngineModel{{Name: modelName, Warm: engineWarmUp}}, Layers: layers, Chunks: chunks, ChunkSize: chunkSize,
	}
}

// configure builds the initial configuration.
func (d *deployment) configure() {
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
	local.Homes = []string{d.regions[dataCentre(0)]}
	d.routes = []fulmardeal.Route{
		route("read", servicePlain, fulmardeal.KindIdempotent, plainTime),
		route("order", servicePlain, fulmardeal.KindAtMostOnce, plainTime),
		resumable, route("poem", serviceModel, fulmardeal.KindStream, streamTime), local,
	}
	d.customers = []fulmardeal.Customer{
		{Name: "florist", Keys: []string{"f1", "f2"}},
		{Name: "printer", Keys: []string{"p1", "p2", "p3", "p4"}},
	}
	d.configuration = fulmardeal.Catalogue{
		Version: 1,
		Routes:  append([]fulmardeal.Route{}, d.routes...),
		Services: []fulmardeal.Service{
			{Name: serviceModel, Connections: 100, Engine: d.engine()},
			{Name: servicePlain, Connections: 100, Cold: coldPeriod, ColdRate: coldRate},
			{Name: serviceOther, Connections: 100, Cold: coldPeriod, ColdRate: coldRate},
			{Name: serviceOrigin, Connections: 40, Origin: &fulmardeal.OriginSpec{Address: d.address(0, portOrigin), DataCentre: dataCentre(0), LinkRate: 100}},
		},
		Customers: append([]fulmardeal.Customer{}, d.customers...),
		Limits:    fulmardeal.Limits{Header: 16 << 10, Body: 1 << 20, HeaderTimeout: 3 * time.Second, Idle: 15 * time.Second},
	}
}

// registerEndpoints writes the registration of each endpoint at every heartbeat
// interval, in place of the endpoints, and removes registrations that have expired.
func (d *deployment) registerEndpoints(done <-chan struct{}) {
	type registration struct {
		id   string
		last time.Time
	}
	registrations := make([]registration, len(d.endpoints))
	for {
		for i, e := range d.endpoints {
			r, up := e.Registration()
			down := d.store.Mode() != site.ModeHealthy && d.store.Mode() != site.ModeSlow && d.store.Mode() != site.ModeLossy
			switch {
			case up && !down:
				if registrations[i].id != r.ID && registrations[i].id != "" {
					d.register(platform.Record{Key: registrations[i].id})
				}
				registrations[i] = registration{r.ID, time.Now()}
				record, err := platform.RegistrationRecord(r)
				if err != nil {
					panic(err) // registrations can be encoded
				}
				d.register(record)
			case registrations[i].id != "" && time.Since(registrations[i].last) > registrationTTL:
				d.register(platform.Record{Key: registrations[i].id})
				registrations[i].id = ""
			}
		}
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (d *deployment) register(r platform.Record) {
	d.store.Append(string(platform.TopicRegistrations), []platform.Record{r})
}
