package main

import (
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

	callers   string // address for clients
	readiness string
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
	server := &http.Server{Handler: t.store.Handler()}
	go func() { _ = server.Serve(l) }()
	t.cleanups = append(t.cleanups, func() { _ = server.Close() })
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

// startEntry starts the entry with settings like those of a small deployment.
func (t *trial) startEntry(store string) error {
	var addresses [4]string
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = a
	}
	t.callers, t.readiness = addresses[0], addresses[1]
	_, port, err := net.SplitHostPort(addresses[2])
	if err != nil {
		return err
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	s := fulmardeal.Settings{
		Name: "front-gulf-a-1", IP: loopback, DataCentre: zone, Region: region, Regions: map[string]string{zone: region},
		CallerAddress: t.callers, ReadinessAddress: t.readiness, PortRange: [2]int{first, first},
		StoreAddress: store, MemoryLimit: 284 << 20, MaxFds: 4100, LinkMbps: 1000, HeartbeatInterval: heartbeat,
		Bounds: fulmardeal.Bounds{
			Drain: drainTime, Grace: 8 * time.Second, KeyRevocation: revokeMax, VersionSwitch: 8 * time.Second,
			RetryRatio: 0.2, RetryExtra: 106, RetryWindow: 10 * time.Second, ColdRateFactor: 1.5,
		},
	}
	file := filepath.Join(t.dir, "entry.conf")
	if err := os.WriteFile(file, []byte(platform.FormatSettings(s)), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(t.dir, "entry.log"))
	if err != nil {
		return err
	}
	t.cleanups = append(t.cleanups, func() { _ = out.Close() })
	cmd := exec.Command(t.program, "gateway", "--metrics", addresses[3])
	cmd.Env = append(os.Environ(), platform.SettingsEnv(file))
	cmd.Stdout, cmd.Stderr = out, out
	if err := t.startProcess(cmd); err != nil {
		return err
	}
	for by := time.Now().Add(readyWait); time.Now().Before(by); time.Sleep(100 * time.Millisecond) {
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
