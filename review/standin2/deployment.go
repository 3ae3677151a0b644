package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// Names and sizes of the deployment.
const (
	program = "target/fulmardeal"

	serviceModel  = "qalam-llm"
	servicePlain  = "dukan-app"
	serviceOrigin = "sahayak-app"
	modelName     = "m0"
	host          = "shop.example"
	apiKey        = "jnbanfqasnmgkcuyj8pj"
	dataCentre    = "lahore-a"
	region        = "punjab"

	layers    = 16
	chunks    = 64
	chunkSize = 32 << 10
	slots     = 16

	heartbeat = 1200 * time.Millisecond
	expiry    = 3 * heartbeat // of a registration after its runner's last heartbeat

	portCallers   = 8005
	portReadiness = 8002
	portFirst     = 7700
	portLast      = 7715
	portMetrics   = 9464
	portRunner    = 8760
	portStore     = 8007
	portOrigin    = 8006

	gatewayMemory = 284 << 20

	caseTimeout  = 110 * time.Second
	startTimeout = 20 * time.Second
)

// failure ends a case that can't run.
type failure struct{ reason string }

func fail(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

func must(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// deployment is the platform of one case, with the processes that it has started.
type deployment struct {
	prefix  string // first three bytes of all addresses
	dir     string
	store   *site.Store
	origin  *site.Origin
	trouble bool

	storeAddress string // that processes use; empty for the store's own

	outputRate int // bytes per second that are taken of the output of a process; 0 for no limit
	config     fulmardeal.Catalogue
	began      time.Time

	mu      sync.Mutex
	record  io.Writer
	runners []*runner
	started []*exec.Cmd
	nextIP  int
}

// runCase runs a case and returns its exit code.
func runCase(f func(*deployment) bool) (code int) {
	d := &deployment{store: site.NewStore(), origin: site.NewOrigin(chunks, chunkSize), trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(caseTimeout):
			fmt.Fprintln(os.Stderr, "the case takes too long")
		}
		d.stop()
		os.Exit(exitFailed)
	}()
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	d.record = record
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() {
		d.stop()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(d.dir)
		}
		if v := recover(); v != nil {
			d.note("the case could not run: %v", v)
			fmt.Fprintln(os.Stderr, "the case could not run:", v)
			code = exitFailed
		}
	}()
	d.listen()
	if f(d) {
		d.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	d.note("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// note writes a line to the record, with the time since the start of the case.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// listen claims a loopback network and serves the store and the origin there.
func (d *deployment) listen() {
	const networks = 200
	for i := range networks {
		d.prefix = fmt.Sprintf("127.%d.%d", 100+(os.Getpid()/networks+i)%100, 1+(os.Getpid()+i)%networks)
		l, err := net.Listen("tcp", d.address(1, portStore))
		if err != nil {
			continue
		}
		go http.Serve(l, d.store.Handler())
		o, err := net.Listen("tcp", d.address(1, portOrigin))
		must(err)
		go http.Serve(o, d.origin.Handler())
		d.nextIP = 2
		return
	}
	fail("no free loopback network")
}

func (d *deployment) address(n, port int) string {
	return net.JoinHostPort(d.ip(n), strconv.Itoa(port))
}

func (d *deployment) ip(n int) string { return fmt.Sprintf("%s.%d", d.prefix, n) }

// newHost returns the number of a host that isn't used yet.
func (d *deployment) newHost() int {
	d.nextIP++
	return d.nextIP - 1
}

// engineSpec describes the model runners.
func engineSpec() *fulmardeal.EngineSpec {
	return &fulmardeal.EngineSpec{
		Slots: slots, Memory: 317000, Stride: 5, Step: 9.27, PerSequence: 0.0232, PerContext: 0.0322, ReadRate: 20700,
		Models: []fulmardeal.EngineModel{{Name: modelName, Warm: 300 * time.Millisecond}}, Layers: layers, Chunks: chunks, ChunkSize: chunkSize,
	}
}

// configure writes the first configuration.
func (d *deployment) configure() {
	route := func(name, service string, kind fulmardeal.Kind, timeout, objective time.Duration) fulmardeal.Route {
		return fulmardeal.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, Objective: objective, Priority: 1,
			Shares: []fulmardeal.Share{{Service: service, Weight: 1}}, Attempts: 2, Homes: []string{},
		}
	}
	verse := route("verse", serviceModel, fulmardeal.KindStream, 6*time.Second, 500*time.Millisecond)
	verse.Resumable, verse.Pause = true, 400*time.Millisecond
	d.config = fulmardeal.Catalogue{
		Version: 1,
		Routes: []fulmardeal.Route{
			verse,
			route("order", servicePlain, fulmardeal.KindAtMostOnce, 1500*time.Millisecond, 300*time.Millisecond),
			route("read", servicePlain, fulmardeal.KindIdempotent, 1500*time.Millisecond, 300*time.Millisecond),
		},
		Services: []fulmardeal.Service{
			{Name: serviceModel, Connections: 424, Engine: engineSpec()},
			{Name: servicePlain, Connections: 96},
			{Name: serviceOrigin, Connections: 48, Origin: &fulmardeal.OriginSpec{Address: d.address(1, portOrigin), DataCentre: dataCentre, LinkRate: 9.9}},
		},
		Customers: []fulmardeal.Customer{{Name: "bozi300", Keys: []string{apiKey}}},
		Limits:    fulmardeal.Limits{Header: 16 << 10, Body: 4 << 20, HeaderTimeout: 3 * time.Second, Idle: 15 * time.Second},
	}
	d.writeOperator(platform.ConfigRecord(&d.config))
}

// writeOperator writes a record as the operator does.
func (d *deployment) writeOperator(r platform.Record, err error) {
	must(err)
	d.store.Append(string(platform.TopicOperator), []platform.Record{r})
}

// settings returns the settings of a process on a host.
func (d *deployment) settings(name string, n int) fulmardeal.Settings {
	return fulmardeal.Settings{
		Name: name, IP: d.ip(n), DataCentre: dataCentre, Region: region, Regions: map[string]string{dataCentre: region},
		PortRange: [2]int{portFirst, portLast}, StoreAddress: cmp.Or(d.storeAddress, d.address(1, portStore)), HeartbeatInterval: heartbeat,
		Bounds: fulmardeal.Bounds{
			Drain: 2 * time.Second, Grace: 8 * time.Second, KeyRevocation: 5 * time.Second, VersionSwitch: 8 * time.Second,
			RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second, ColdRateFactor: 1.5,
		},
	}
}

// startGateway starts an entry and returns the address for callers.
func (d *deployment) startGateway(name string) string {
	n := d.newHost()
	s := d.settings(name, n)
	s.CallerAddress, s.ReadinessAddress = d.address(n, portCallers), d.address(n, portReadiness)
	s.MemoryLimit, s.MaxFds, s.LinkMbps = gatewayMemory, 4200, 1000
	d.start(s, n, "gateway")
	d.await(name, func() bool {
		resp, err := http.Get(platform.ReadinessURL(s))
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return s.CallerAddress
}

// startLoader starts the agent of an engine on the engine's host.
func (d *deployment) startLoader(r *runner) {
	s := d.settings("agent-"+r.id, r.hostNumber)
	s.EndpointAddress, s.Service = r.address, r.service
	s.MemoryLimit, s.MaxFds, s.LinkMbps = 152<<20, 2048, 7.6
	d.start(s, r.hostNumber, "loader")
}

// await waits until a condition holds.
func (d *deployment) await(what string, ready func() bool) {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if ready() {
			return
		}
	}
	fail("%s is not ready", what)
}

// start starts a program of the system as the platform does.
func (d *deployment) start(s fulmardeal.Settings, n int, role string) *exec.Cmd {
	file := filepath.Join(d.dir, s.Name+".conf")
	must(os.WriteFile(file, []byte(platform.FormatSettings(s)), 0o600))
	log, err := os.Create(filepath.Join(d.dir, s.Name+".log"))
	must(err)
	c := exec.Command(program, role, "--metrics", d.address(n, portMetrics))
	c.Env = append(os.Environ(), platform.SettingsEnv(file))
	c.Stdout, c.Stderr = log, log
	if d.outputRate > 0 {
		out, in, err := os.Pipe()
		must(err)
		c.Stdout = in
		go takeOutput(log, out, d.outputRate)
		defer in.Close()
	} else {
		defer log.Close()
	}
	d.launch(c)
	d.note("started %s %s, process %d", role, s.Name, c.Process.Pid)
	return c
}

// takeOutput copies the output of a process at a limited rate.
func takeOutput(to io.WriteCloser, from io.Reader, rate int) {
	defer to.Close()
	const interval = 20 * time.Millisecond
	for range time.Tick(interval) {
		if _, err := io.CopyN(to, from, int64(rate)*int64(interval)/int64(time.Second)); err != nil {
			return
		}
	}
}

// launch starts a process, which the case ends.
func (d *deployment) launch(c *exec.Cmd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this process is killed
	must(c.Start())
	d.started = append(d.started, c)
}

// stop ends all processes that the case has started.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.started {
		_ = c.Process.Kill() // it may have ended
	}
	for _, c := range d.started {
		_ = c.Wait() // its exit code doesn't matter
	}
	d.started = nil
}

// runner is a runner process, for which the deployment writes the registration.
type runner struct {
	id, service, address string
	hostNumber           int
	engine               bool
	born                 time.Time
	command              *exec.Cmd

	mu       sync.Mutex
	draining bool
	gone     bool
	sequence int64
}

// startRunner starts a runner as a process of its own and registers it.
func (d *deployment) startRunner(id, service string, engine bool, options ...string) *runner {
	n := d.newHost()
	r := &runner{id: id, service: service, engine: engine, hostNumber: n, address: d.address(n, portRunner), born: time.Now().Truncate(time.Millisecond)}
	args := append([]string{"runner", "--listen", r.address, "--id", id, "--born", strconv.FormatInt(r.born.UnixMilli(), 10)}, options...)
	if engine {
		args = append(args, "--engine")
	}
	r.command = exec.Command(os.Args[0], args...)
	r.command.Stderr = os.Stderr
	d.launch(r.command)
	d.await("runner "+id, func() bool {
		c, err := net.Dial("tcp", r.address)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	d.runners = append(d.runners, r)
	d.register(r)
	go func() {
		for range time.Tick(heartbeat) {
			if !d.register(r) {
				return
			}
		}
	}()
	d.note("started runner %s of %s at %s, process %d", id, service, r.address, r.command.Process.Pid)
	return r
}

// register writes the registration of a runner, and reports whether the runner lives.
func (d *deployment) register(r *runner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return false
	}
	r.sequence++
	w := fulmardeal.Registration{
		ID: r.id, Service: r.service, Address: r.address, DataCentre: dataCentre, Slots: slots, Draining: r.draining, Sequence: r.sequence, Born: r.born, Engine: r.engine,
	}
	if r.engine {
		w.Spans = []fulmardeal.Span{{From: 0, To: layers, Version: 1}}
	}
	record, err := platform.RegistrationRecord(w)
	must(err)
	d.store.Append(string(platform.TopicRegistrations), []platform.Record{record})
	return true
}

// drain makes a runner report that it leaves.
func (d *deployment) drain(r *runner) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	must(r.command.Process.Signal(syscall.SIGUSR1)) // it says so in its answers too
	d.register(r)
	d.note("runner %s reports draining", r.id)
}

// kill ends a runner's process. Its registration expires.
func (d *deployment) kill(r *runner) {
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
	must(r.command.Process.Kill())
	d.note("runner %s is gone (SIGKILL of process %d)", r.id, r.command.Process.Pid)
	time.AfterFunc(expiry, func() {
		d.store.Append(string(platform.TopicRegistrations), []platform.Record{{Key: r.id}})
	})
}

// newRequest returns a request of a caller to the entry at an address.
func newRequest(ctx context.Context, method, entry, path, attempt string, deadline time.Duration, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, body)
	must(err)
	r.Host = host
	platform.PeerCodec{}.SetRequestMetadata(r.Header, fulmardeal.RequestMetadata{AttemptID: attempt, Deadline: deadline})
	r.Header.Set("Authorization", "Token "+apiKey)
	return r
}
