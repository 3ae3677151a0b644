package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

const (
	loopback  = "127.0.0.1"
	zone      = "gulf-a"
	region    = "gulf"
	hostName  = "ledger.example"
	plain     = "ledger"
	heartbeat = 1200 * time.Millisecond
	drainTime = 2 * time.Second // bounds.drainMs
	revokeMax = 5 * time.Second // bounds.revokeMs
	readyWait = 20 * time.Second

	contracts = "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,chunks"
)

// trial is one run of a case: the stand-in of the store, the entry, and the record.
type trial struct {
	trouble bool
	program string
	dir     string // for settings and logs
	start   time.Time
	store   *site.Store
	proxy   *site.Proxy // between the entry and the store

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	cleanups  []func()
	closed    bool

	entry   *exec.Cmd // the entry that was started last
	callers string    // its address for clients

	versionBound time.Duration // bounds.version_ms; 0 for 8,000 ms
}

func newTrial(folder, program string) (*trial, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	return &trial{trouble: os.Getenv("TROUBLE") != "0", program: program, dir: dir, start: time.Now(), record: record, store: site.NewStore()}, nil
}

// log writes a line to the record.
func (t *trial) log(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.record, "%8.3f s  %s\n", time.Since(t.start).Seconds(), fmt.Sprintf(format, args...))
}

func (t *trial) close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	processes, cleanups := t.processes, t.cleanups
	t.mu.Unlock()
	for _, p := range processes {
		_ = p.Process.Kill() // fails if it has ended
		_, _ = p.Process.Wait()
	}
	for _, f := range cleanups {
		f()
	}
	_ = os.RemoveAll(t.dir)
	_ = t.record.Close()
}

// startProcess starts a process, which close ends.
func (t *trial) startProcess(cmd *exec.Cmd) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return os.ErrClosed
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	t.processes = append(t.processes, cmd)
	return nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startStore starts the store, with a proxy on the entry's way to it.
func (t *trial) startStore() (string, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	t.serveOn(l, t.store.Handler())
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	proxy, closeProxy, err := site.NewProxy(address, l.Addr().String())
	if err != nil {
		return "", err
	}
	t.proxy = proxy
	t.cleanups = append(t.cleanups, closeProxy)
	return address, nil
}

// serve serves HTTP at an address until the trial ends.
func (t *trial) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.serveOn(l, h)
	return nil
}

func (t *trial) serveOn(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.cleanups = append(t.cleanups, func() { _ = server.Close() })
}

// settings returns settings like those of a small deployment, for a process on a port of its own.
func (t *trial) settings(name, store string) (fulmardeal.Settings, error) {
	address, err := freeAddress()
	if err != nil {
		return fulmardeal.Settings{}, err
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return fulmardeal.Settings{}, err
	}
	first, err := strconv.Atoi(port)
	return fulmardeal.Settings{
		Name: name, IP: loopback, DataCentre: zone, Region: region, Regions: map[string]string{zone: region}, PortRange: [2]int{first, first},
		StoreAddress: store, LinkMbps: 1000, HeartbeatInterval: heartbeat,
		Bounds: fulmardeal.Bounds{
			Drain: drainTime, Grace: 8 * time.Second, KeyRevocation: revokeMax, VersionSwitch: cmp.Or(t.versionBound, 8*time.Second),
			RetryRatio: 0.2, RetryExtra: 106, RetryWindow: 10 * time.Second, ColdRateFactor: 1.5,
		},
	}, err
}

// startProgram starts a program of the deploy file with its settings.
func (t *trial) startProgram(role string, s fulmardeal.Settings) (*exec.Cmd, error) {
	metrics, err := freeAddress()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(t.dir, s.Name+".conf")
	text := platform.FormatSettings(s) + "contracts=" + contracts + "\nbounds.strictRevoke=true\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(t.dir, s.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	t.cleanups = append(t.cleanups, func() { _ = out.Close() })
	cmd := exec.Command(t.program, role, "--metrics", metrics)
	cmd.Env = append(os.Environ(), platform.SettingsEnv(file))
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, t.startProcess(cmd)
}

// startEntry starts the entry, and waits until it is ready.
func (t *trial) startEntry(store string) error {
	s, err := t.settings("front-"+zone+"-1", store)
	if err != nil {
		return err
	}
	if s.CallerAddress, err = freeAddress(); err != nil {
		return err
	}
	if s.ReadinessAddress, err = freeAddress(); err != nil {
		return err
	}
	s.MemoryLimit, s.MaxFds = 284<<20, 4100
	cmd, err := t.startProgram("gateway", s)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.entry, t.callers = cmd, s.CallerAddress
	t.mu.Unlock()
	for by := time.Now().Add(readyWait); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(platform.ReadinessURL(s))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.log("the entry is ready")
			return nil
		}
	}
	return fmt.Errorf("the entry was not ready after %v", readyWait)
}

// startAgent starts the agent of an engine.
func (t *trial) startAgent(i int, store, engine string) error {
	s, err := t.settings(fmt.Sprintf("side-%s-%d", zone, i+1), store)
	if err != nil {
		return err
	}
	s.MemoryLimit, s.MaxFds, s.LinkMbps = 152<<20, 2048, 7.6
	s.EndpointAddress, s.Service = engine, pool
	_, err = t.startProgram("loader", s)
	return err
}

// configure writes a configuration to the store, whose answer is the acknowledgement.
func (t *trial) configure(c *fulmardeal.Catalogue) error {
	record, err := platform.ConfigRecord(c)
	if err != nil {
		return err
	}
	t.store.Append(string(platform.TopicOperator), []platform.Record{record})
	t.log("configuration %d acknowledged", c.Version)
	return nil
}

// register writes or removes a runner's registration.
func (t *trial) register(r fulmardeal.Registration, gone bool) error {
	record, err := platform.RegistrationRecord(r)
	if err != nil {
		return err
	}
	if gone {
		record.Value = nil
	}
	t.store.Append(string(platform.TopicRegistrations), []platform.Record{record})
	return nil
}
