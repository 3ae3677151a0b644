package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
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

// Ports of a deployment. Each host has a loopback address of its own.
const (
	portCallers   = 8005
	portReadiness = 8002
	portMetrics   = 9464
	portFirst     = 7700
	portLast      = 7715
	portServer    = 8100
	portStore     = 9000
)

const hostName = "cards.example"

// lab is a small deployment: a store, raw servers, and entries as processes.
type lab struct {
	prefix string
	dir    string
	store  *site.Store
	record *os.File
	start  time.Time

	mu        sync.Mutex
	config    fulmardeal.Catalogue
	servers   []*server
	starts    int // of servers
	processes []*process
	closed    bool
	closers   []func()
}

// process is an entry that runs as a process.
type process struct {
	lab      *lab
	settings fulmardeal.Settings
	cmd      *exec.Cmd
	done     chan struct{}
	err      error // of the process, once done is closed
}

func newLab(record string) (*lab, error) {
	l := &lab{store: site.NewStore(), start: time.Now()}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l.dir = dir
	if l.record, err = os.Create(record); err != nil {
		return nil, err
	}
	for i := range 200 {
		l.prefix = fmt.Sprintf("127.%d.7", 20+(os.Getpid()+i)%200)
		var listener net.Listener
		if listener, err = net.Listen("tcp", l.address(1, portStore)); err == nil {
			s := &http.Server{Handler: l.store.Handler()}
			go func() { _ = s.Serve(listener) }()
			l.closers = append(l.closers, func() { _ = s.Close() })
			return l, nil
		}
	}
	return nil, err
}

func (l *lab) host(n int) string { return l.prefix + "." + strconv.Itoa(n) }

func (l *lab) address(n, port int) string { return net.JoinHostPort(l.host(n), strconv.Itoa(port)) }

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all that the case has started. Further calls do nothing.
func (l *lab) close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	processes, servers := l.processes, l.servers
	l.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, s := range servers {
		s.stop()
	}
	for _, c := range l.closers {
		c()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// apply writes the configuration.
func (l *lab) apply() {
	l.mu.Lock()
	l.config.Version += 3
	r, err := platform.ConfigRecord(&l.config)
	l.mu.Unlock()
	if err != nil {
		panic(err)
	}
	l.store.Append(string(platform.TopicOperator), []platform.Record{r})
}

var regions = map[string]string{"lahore-a": "punjab", "karachi-a": "sindh", "peshawar-a": "kpk"}

func (l *lab) settings(n int, dataCentre string) fulmardeal.Settings {
	return fulmardeal.Settings{
		Name: fmt.Sprintf("front-%s-%d", dataCentre, n), IP: l.host(n), DataCentre: dataCentre, Region: regions[dataCentre], Regions: regions,
		CallerAddress: l.address(n, portCallers), ReadinessAddress: l.address(n, portReadiness), PortRange: [2]int{portFirst, portLast},
		StoreAddress: l.address(1, portStore), MemoryLimit: 284 << 20, MaxFds: 4200, LinkMbps: 1000, HeartbeatInterval: 1200 * time.Millisecond,
		Bounds: fulmardeal.Bounds{
			Drain: 2 * time.Second, Grace: 8 * time.Second, KeyRevocation: 5 * time.Second, VersionSwitch: 8 * time.Second,
			RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second, ColdRateFactor: 1.5,
		},
	}
}

var errClosed = errors.New("the case has ended")

// startEntry starts an entry on host n.
func (l *lab) startEntry(n int, dataCentre string, out io.Writer) (*process, error) {
	p := &process{lab: l, settings: l.settings(n, dataCentre), done: make(chan struct{})}
	file := filepath.Join(l.dir, p.settings.Name+".conf")
	if err := os.WriteFile(file, []byte(platform.FormatSettings(p.settings)), 0o600); err != nil {
		return nil, err
	}
	p.cmd = exec.Command("target/fulmardeal", "gateway", "--metrics", l.address(n, portMetrics))
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsEnv(file)}
	if out == nil {
		log, err := os.OpenFile(filepath.Join(l.dir, p.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer log.Close()
		out = log
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, errClosed
	}
	err := p.cmd.Start()
	if err == nil {
		l.processes = append(l.processes, p)
	}
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	l.note("%s started on %s", p.settings.Name, p.settings.CallerAddress)
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	select {
	case <-p.done:
	default:
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

func (p *process) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(platform.ReadinessURL(p.settings))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the entry says that it is ready.
func (p *process) awaitReady() error {
	for range 100 {
		if p.ready() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s did not become ready", p.settings.Name)
}

// server is a server that speaks HTTP on raw connections.
type server struct {
	lab          *lab
	host         int
	registration fulmardeal.Registration
	listener     net.Listener
	serve        func(c *exchange) bool // reports whether the connection stays open

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
	done  chan struct{} // closed when the server has ended
}

// exchange is one request at a server.
type exchange struct {
	server  *server
	conn    net.Conn
	reader  *bufio.Reader
	request *http.Request
	attempt string
}

// startServer starts a server on host n and registers it, with an id that no other start has.
func (l *lab) startServer(n int, service, dataCentre string, slots int, serve func(c *exchange) bool) (*server, error) {
	s := &server{lab: l, host: n, serve: serve, conns: make(map[net.Conn]bool), done: make(chan struct{})}
	l.mu.Lock()
	l.starts++
	id := fmt.Sprintf("i-%d-%d", n, l.starts)
	l.mu.Unlock()
	s.registration = fulmardeal.Registration{
		ID: id, Service: service, Address: l.address(n, portServer), DataCentre: dataCentre, Slots: slots, Born: time.Now(),
	}
	var err error
	if s.listener, err = net.Listen("tcp", s.registration.Address); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	go s.accept()
	go s.beat()
	return s, nil
}

// stop ends the server as a process ends that is killed, and reports whether it was running.
func (s *server) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.ended = true
	close(s.done)
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	return true
}

// crash ends the server, and starts it again after a time as a new one. Its registration
// lapses after three heartbeats.
func (s *server) crash(down time.Duration) {
	if !s.stop() {
		return
	}
	r, l := s.registration, s.lab
	time.AfterFunc(3*heartbeat, func() {
		l.store.Append(string(platform.TopicRegistrations), []platform.Record{{Key: r.ID}})
	})
	time.AfterFunc(down, func() {
		if _, err := l.startServer(s.host, r.Service, r.DataCentre, r.Slots, s.serve); err != nil {
			l.note("server of host %d not started again: %v", s.host, err)
		}
	})
}

const heartbeat = 1200 * time.Millisecond

// beat writes the registration at every heartbeat.
func (s *server) beat() {
	for {
		s.mu.Lock()
		s.registration.Sequence++
		r, err := platform.RegistrationRecord(s.registration)
		s.mu.Unlock()
		if err != nil {
			panic(err) // registrations can be encoded
		}
		s.lab.store.Append(string(platform.TopicRegistrations), []platform.Record{r})
		select {
		case <-s.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		ended := s.ended
		s.mu.Unlock()
		if ended {
			_ = c.Close()
			return
		}
		go s.handle(c)
	}
}

func (s *server) handle(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e := &exchange{server: s, conn: c, reader: reader, request: r, attempt: r.Header.Get("X-Fulmardeal-Attempt-Id")}
		if e.request.Header.Get("X-Fulmardeal-Expect-Instance") != s.registration.ID {
			_, _ = io.Copy(io.Discard, r.Body)
			e.refuse(http.StatusMisdirectedRequest, "")
			continue
		}
		if !s.serve(e) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// head returns the head of an answer that ran, without the end of the head.
func (e *exchange) head(status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Fulmardeal-Attempt-Id: %s\r\nX-Fulmardeal-Response-Stamp: stamp.%s\r\n%s", status, http.StatusText(status), e.attempt, e.attempt, more)
}

func (e *exchange) write(text string) { _, _ = io.WriteString(e.conn, text) }

// refuse says that the request has not run.
func (e *exchange) refuse(status int, more string) {
	e.write(fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Fulmardeal-Attempt-Id: %s\r\nX-Fulmardeal-Not-Run: 1\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), e.attempt, more))
}

// answer answers with a plain body.
func (e *exchange) answer(body string) {
	e.write(e.head(http.StatusOK, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))) + body)
}

func (e *exchange) body() []byte {
	b, _ := io.ReadAll(e.request.Body)
	return b
}

// basicConfig writes the first configuration.
func (l *lab) basicConfig() {
	route := func(name, service string, kind fulmardeal.Kind, timeout time.Duration, attempts int) fulmardeal.Route {
		return fulmardeal.Route{Name: name, Host: hostName, Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, Objective: 300 * time.Millisecond, Priority: 1,
			Shares: []fulmardeal.Share{{Service: service, Weight: 1}}, Attempts: attempts, Homes: []string{}}
	}
	verse := route("verse", "verses", fulmardeal.KindStream, 6*time.Second, 2)
	verse.Resumable = true
	l.config = fulmardeal.Catalogue{
		Version: 1,
		Routes: []fulmardeal.Route{
			route("read", "shop", fulmardeal.KindIdempotent, 3*time.Second, 2),
			route("order", "shop", fulmardeal.KindAtMostOnce, 3*time.Second, 1),
			verse, route("poem", "verses", fulmardeal.KindStream, 6*time.Second, 1),
		},
		Services:  []fulmardeal.Service{{Name: "shop", Connections: 96}, {Name: "verses", Connections: 96}},
		Customers: []fulmardeal.Customer{{Name: "florist", Keys: []string{"k1"}}, {Name: "printer", Keys: []string{"k2"}}},
		Limits:    fulmardeal.Limits{Header: 16 << 10, Body: 1 << 20, HeaderTimeout: 3 * time.Second, Idle: 15 * time.Second},
	}
	l.apply()
}

// startServers starts three servers for plain requests and, if stream isn't nil, three for
// streams, one of each in each zone.
func (l *lab) startServers(plain, stream func(e *exchange) bool) error {
	for i, zone := range []string{"lahore-a", "karachi-a", "peshawar-a"} {
		if _, err := l.startServer(20+i, "shop", zone, 16, plain); err != nil {
			return err
		}
		if stream == nil {
			continue
		}
		if _, err := l.startServer(30+i, "verses", zone, 16, stream); err != nil {
			return err
		}
	}
	return nil
}

// stream answers with events, and reports whether the connection stays open.
func (e *exchange) stream(events int, pause time.Duration) bool {
	e.write(e.head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
	first, _ := strconv.Atoi(e.request.Header.Get("Last-Event-Id")) // none counts as 0
	for n := first + 1; n <= events; n++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, e.attempt, n)
		if _, err := fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	e.write("0\r\n\r\n")
	return true
}
