package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// The deployment is like the small ones of the pages: 3 zones in 3 regions, the bounds of their
// sheets, 64 pieces of 32,768 bytes, 16 slots.
const (
	model       = "daka510000"
	service     = "verse-llm"
	origin      = "weights"
	host        = "shop.example"
	prefix      = "/verse/"
	layers      = 16
	pieces      = 64
	pieceBytes  = 32768
	slots       = 16
	contact     = 3 * time.Second         // contactMs
	heartbeat   = 1200 * time.Millisecond // heartbeatMs
	versionTime = 8 * time.Second         // version_ms
	restart     = 300 * time.Millisecond  // from the end of a process until the platform starts it again

	portStore, portOrigin            = 8007, 8009
	portCallers, portReadiness       = 8005, 8002
	portFirst, portLast, portMetrics = 7700, 7715, 9464
	portRunner, portBehindProxy      = 8740, 8741
)

var zones = []string{"lahore-a", "karachi-a", "peshawar-a"}

var regions = map[string]string{"lahore-a": "punjab", "karachi-a": "sindh", "peshawar-a": "kpk"}

// event is a line of a runner's output.
type event struct {
	At      int64  `json:"at"`
	Runner  string `json:"runner"`
	Kind    string `json:"kind"`
	Attempt string `json:"attempt"`
	Parts   string `json:"parts"`
	Number  int    `json:"number"`
	Version int64  `json:"version"`
	Detail  string `json:"detail"`
}

func (e event) time() time.Time { return time.Unix(0, e.At) }

// runnerProcess is a model runner, which has a new id and process at each start.
type runnerProcess struct {
	number  int
	address string
	args    []string
	proxy   *site.Proxy // nil if there is none

	mu       sync.Mutex
	command  *exec.Cmd
	id       string
	starts   int
	up       bool
	loaded   int64
	born     time.Time
	sequence int64
	record   platform.Record // the registration that was written last
	silent   bool            // the registration isn't renewed any more
	holds    bool            // the next heartbeat is not done when it is sent
	late     platform.Record // that heartbeat
	lateAt   time.Time       // when it was sent
	gone     bool            // the runner isn't started again
	downtime time.Duration   // after a crash
}

// deployment is the platform and the processes that run on it.
type deployment struct {
	dir     string
	prefix  string
	store   *site.Store
	started time.Time
	runners []*runnerProcess
	loaders []*exec.Cmd
	onEvent func(r *runnerProcess, e event) // set before the runners start

	mu       sync.Mutex
	out      io.Writer
	entries  []string // callers' addresses
	checks   []string // readiness addresses
	commands []*exec.Cmd
	events   []event
	closing  bool
	cleanups []func()
	waits    sync.WaitGroup
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%8.3f  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes and returns the result.
func (d *deployment) verdict(broken string) int {
	if broken == "" {
		d.note("RESULT: the rule held")
		fmt.Println("the rule held")
		return 0
	}
	d.note("RESULT: the rule was broken: %s", broken)
	fmt.Println("the rule was broken:", broken)
	return 1
}

// address returns an address of the n-th machine.
func (d *deployment) address(n, port int) string {
	return net.JoinHostPort(d.ip(n), strconv.Itoa(port))
}

func (d *deployment) ip(n int) string { return fmt.Sprintf("%s.0.%d", d.prefix, n+1) }

// newDeployment starts the store and the origin on a loopback network that nobody uses.
func newDeployment(dir string, out io.Writer) (*deployment, error) {
	d := &deployment{dir: dir, out: out, store: site.NewStore(), started: time.Now()}
	var err error
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d", 2+rand.IntN(250))
		if err = d.serve(d.address(0, portStore), d.store.Handler()); err == nil {
			break
		}
	}
	if err != nil {
		return d, err
	}
	return d, d.serve(d.address(0, portOrigin), site.NewOrigin(pieces, pieceBytes).Handler())
}

func (d *deployment) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l) // returns when the server is closed
	d.cleanups = append(d.cleanups, func() { s.Close() })
	return nil
}

// append writes an operator's record.
func (d *deployment) append(r platform.Record, err error) error {
	if err == nil {
		d.store.Append(string(platform.TopicOperator), []platform.Record{r})
	}
	return err
}

// configure writes the configuration. The route is a stream, as on the sheets.
func (d *deployment) configure() error {
	c := &fulmardeal.Catalogue{
		Version: 3,
		Routes: []fulmardeal.Route{{
			Name: "verse", Host: host, Prefix: prefix, Kind: fulmardeal.KindStream, Timeout: 6 * time.Second, Objective: 500 * time.Millisecond,
			Pause: 400 * time.Millisecond, Priority: 1, Shares: []fulmardeal.Share{{Service: service, Weight: 1}}, Attempts: 2,
		}},
		Services: []fulmardeal.Service{
			{Name: service, Connections: 424, Engine: &fulmardeal.EngineSpec{
				Slots: slots, Memory: 317000, Stride: 5, Step: 9.27, PerSequence: 0.05, PerContext: 0.05, ReadRate: 20700,
				Models: []fulmardeal.EngineModel{{Name: model, Warm: 300 * time.Millisecond}}, Layers: layers, Chunks: pieces, ChunkSize: pieceBytes,
			}},
			{Name: origin, Connections: 48, Origin: &fulmardeal.OriginSpec{Address: d.address(0, portOrigin), DataCentre: zones[0], LinkRate: 9.9}},
		},
		Customers: []fulmardeal.Customer{{Name: "bozi300", Keys: []string{"key-one", "key-two"}}},
		Limits:    fulmardeal.Limits{Header: 16 << 10, Body: 4 << 20, HeaderTimeout: 5 * time.Second, Idle: 10 * time.Second},
	}
	return d.append(platform.ConfigRecord(c))
}

// name writes new weights.
func (d *deployment) name(version int64) error {
	d.note("operator: op/version/%s version %d acknowledged", model, version)
	return d.append(platform.PublicationRecord(fulmardeal.Publication{Model: model, Version: version}))
}

func (d *deployment) settings(n int, name string) fulmardeal.Settings {
	zone := zones[n%len(zones)]
	return fulmardeal.Settings{
		Name: name, IP: d.ip(n), DataCentre: zone, Region: regions[zone], Regions: regions, PortRange: [2]int{portFirst, portLast},
		StoreAddress: d.address(0, portStore), HeartbeatInterval: heartbeat,
		Bounds: fulmardeal.Bounds{
			Drain: 2 * time.Second, Grace: 8 * time.Second, KeyRevocation: 5 * time.Second, VersionSwitch: versionTime,
			RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second, ColdRateFactor: 1.5,
		},
	}
}

// startEntries starts gateways on machines of their own, from machine 1 on.
func (d *deployment) startEntries(count int) error {
	for i := range count {
		s := d.settings(1+i, fmt.Sprintf("front-%d", i+1))
		s.CallerAddress, s.ReadinessAddress = d.address(1+i, portCallers), d.address(1+i, portReadiness)
		s.MemoryLimit, s.LinkMbps = 284<<20, 1000
		if _, err := d.startProgram("gateway", s); err != nil {
			return err
		}
		d.entries, d.checks = append(d.entries, s.CallerAddress), append(d.checks, s.ReadinessAddress)
	}
	return nil
}

// firstSide is the machine of the first runner.
const firstSide = 20

// startLoader starts the loader beside a runner.
func (d *deployment) startLoader(r *runnerProcess) error {
	s := d.settings(firstSide+r.number, fmt.Sprintf("side-%d", r.number+1))
	s.EndpointAddress, s.Service = r.address, service
	s.MemoryLimit, s.LinkMbps = 152<<20, 7.6
	cmd, err := d.startProgram("loader", s)
	d.loaders = append(d.loaders, cmd)
	return err
}

// startProgram starts one of the project's processes with the command of the deploy file.
func (d *deployment) startProgram(role string, s fulmardeal.Settings) (*exec.Cmd, error) {
	file := filepath.Join(d.dir, s.Name+".conf")
	if err := os.WriteFile(file, []byte(platform.FormatSettings(s)), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(d.dir, s.Name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(*program, role, "--metrics", net.JoinHostPort(s.IP, strconv.Itoa(portMetrics)))
	cmd.Env = append(os.Environ(), platform.SettingsEnv(file))
	cmd.Stdout, cmd.Stderr = out, out
	if err := d.start(cmd); err != nil {
		return nil, err
	}
	d.waits.Go(func() {
		err := cmd.Wait()
		out.Close()
		d.mu.Lock()
		closing := d.closing
		d.mu.Unlock()
		if !closing {
			d.note("process %s ended by itself: %v", s.Name, err)
		}
	})
	return cmd, nil
}

// start starts a process that ends with this one.
func (d *deployment) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return os.ErrProcessDone
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.commands = append(d.commands, cmd)
	return nil
}

// addRunner starts a runner that holds version 1, its registration, and the loader beside it.
func (d *deployment) addRunner(downtime time.Duration, proxied bool, args ...string) (*runnerProcess, error) {
	n := len(d.runners)
	r := &runnerProcess{number: n, address: d.address(firstSide+n, portRunner), args: args, downtime: downtime}
	d.runners = append(d.runners, r)
	listen := r.address
	if proxied {
		listen = d.address(firstSide+n, portBehindProxy)
		proxy, closeProxy, err := site.NewProxy(r.address, listen)
		if err != nil {
			return r, err
		}
		r.proxy = proxy
		d.cleanups = append(d.cleanups, closeProxy)
	}
	if err := d.startRunner(r, listen, 1); err != nil {
		return r, err
	}
	d.waits.Go(func() { d.register(r) })
	return r, d.startLoader(r)
}

// startRunner starts a runner's process. After a crash it is started again; the staged pieces
// have survived then, and no layers are loaded.
func (d *deployment) startRunner(r *runnerProcess, listen string, held int64) error {
	r.mu.Lock()
	r.starts++
	r.id = fmt.Sprintf("i-%d-%d", r.number+1, r.starts)
	args := append([]string{"-listen", listen, "-id", r.id, "-held", strconv.FormatInt(held, 10)}, r.args...)
	cmd := exec.Command(*runner, args...)
	r.command, r.loaded, r.born = cmd, held, time.Now()
	r.mu.Unlock()
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := d.start(cmd); err != nil {
		return err
	}
	d.waits.Go(func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			var e event
			if json.Unmarshal(scanner.Bytes(), &e) == nil {
				d.handle(r, e)
			}
		}
		_ = cmd.Wait() // a crash is no failure of the script
		r.mu.Lock()
		r.up = false
		r.mu.Unlock()
		d.note("runner %s has ended", r.id)
		if r.isGone() {
			return
		}
		time.Sleep(r.downtime)
		if err := d.startRunner(r, listen, 0); err != nil && err != os.ErrProcessDone {
			d.note("runner %d can't be started: %v", r.number, err)
		}
	})
	return nil
}

func (r *runnerProcess) isGone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}

// handle handles a line of a runner's output.
func (d *deployment) handle(r *runnerProcess, e event) {
	r.mu.Lock()
	switch e.Kind {
	case "started":
		r.up = true
	case "order":
		r.loaded = 0
	case "loaded":
		r.loaded = e.Version
	}
	r.mu.Unlock()
	switch e.Kind {
	case "get", "put", "list", "state":
	default:
		d.note("runner %s: %s %s%s version=%d %s", e.Runner, e.Kind, e.Attempt, ifSet(" parts="+e.Parts, e.Parts), e.Version, e.Detail)
	}
	d.mu.Lock()
	d.events = append(d.events, e)
	d.mu.Unlock()
	if d.onEvent != nil {
		d.onEvent(r, e)
	}
}

func ifSet(text, value string) string {
	if value == "" {
		return ""
	}
	return text
}

// register keeps a runner's registration, which lapses after three heartbeats of silence.
func (d *deployment) register(r *runnerProcess) {
	registered := ""
	var last time.Time
	for !d.isClosing() {
		r.mu.Lock()
		if r.silent {
			r.mu.Unlock()
			return
		}
		id, up := r.id, r.up
		r.sequence++
		entry := fulmardeal.Registration{ID: id, Service: service, Address: r.address, DataCentre: zones[r.number%len(zones)], Slots: slots, Sequence: r.sequence, Born: r.born, Engine: true}
		if r.loaded > 0 {
			entry.Spans = []fulmardeal.Span{{From: 0, To: layers, Version: r.loaded}}
		}
		r.mu.Unlock()
		var records []platform.Record
		if registered != "" && (up && registered != id || time.Since(last) > 3*heartbeat) {
			records = append(records, platform.Record{Key: registered})
			registered = ""
		}
		if up {
			record, err := platform.RegistrationRecord(entry)
			if err != nil {
				panic(err) // registrations can be encoded
			}
			records = append(records, record)
			registered, last = id, time.Now()
		}
		r.mu.Lock()
		switch {
		case len(records) == 0 || r.silent:
		case r.holds:
			r.holds, r.late, r.lateAt = false, records[len(records)-1], time.Now()
			d.note("store: the answer to a heartbeat of runner %s is lost, and it will be done late: %s", r.id, r.late.Value)
		default:
			d.store.Append(string(platform.TopicRegistrations), records)
			r.record = records[len(records)-1]
		}
		r.mu.Unlock()
		for wait := heartbeat; wait > 0 && !d.isClosing(); wait -= 100 * time.Millisecond {
			time.Sleep(100 * time.Millisecond)
			r.mu.Lock()
			changed := r.up != up || r.id != id || r.up && r.loaded != entry.Holds(layers)
			r.mu.Unlock()
			if changed && wait < heartbeat {
				break // the entry changes when more than seq changes
			}
		}
	}
}

func (d *deployment) isClosing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closing
}

// awaitReady waits until all gateways say that they are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until) && ctx.Err() == nil; {
		ready := 0
		for _, address := range d.checks {
			if resp, err := client.Get("http://" + address + "/api/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.checks) {
			d.note("platform: all %d gateways are ready", ready)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("gateways aren't ready")
}

// count returns how many events of the runners match.
func (d *deployment) count(match func(event) bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.events {
		if match(e) {
			n++
		}
	}
	return n
}

// attempts returns the requests of a kind of event at a runner since a time.
func (d *deployment) attempts(kind, runner string, since time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, e := range d.events {
		if e.Kind == kind && e.Runner == runner && e.time().After(since) {
			out = append(out, e.Attempt)
		}
	}
	return out
}

// close ends all processes that were started.
func (d *deployment) close() {
	d.mu.Lock()
	d.closing = true
	commands := d.commands
	d.mu.Unlock()
	for _, cmd := range commands {
		_ = cmd.Process.Signal(syscall.SIGCONT) // fails if the process has ended
		_ = cmd.Process.Kill()
	}
	d.waits.Wait()
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		copyLogs(d.dir, filepath.Dir(*record))
	}
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}
