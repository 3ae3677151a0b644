package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// Process is a running process of the system.
type Process interface {
	Signal(s os.Signal) error
	Done() <-chan struct{} // closed when it has ended
	Err() error            // how it ended
}

// Starter starts processes of the system.
type Starter interface {
	// Start starts a process, whose files may be in a directory.
	Start(role string, s fulmardeal.Settings, dir string, out io.Writer) (Process, error)
}

// Roles of processes, which are subcommands of the program.
const (
	RoleEntry = "gateway"
	RoleAgent = "loader"
)

// Program starts processes of a program.
type Program struct {
	Path string
}

// Start starts a process with its settings file.
func (p Program) Start(role string, s fulmardeal.Settings, dir string, out io.Writer) (Process, error) {
	file := filepath.Join(dir, s.Name+".conf")
	if err := os.WriteFile(file, []byte(platform.FormatSettings(s)), 0o600); err != nil {
		return nil, err
	}
	c := exec.Command(p.Path, role)
	c.Env = append(os.Environ(), platform.SettingsEnv(file))
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return nil, err
	}
	x := &running{command: c, done: make(chan struct{})}
	go func() {
		x.err = c.Wait()
		close(x.done)
	}()
	return x, nil
}

// running is a process that was started.
type running struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

func (r *running) Signal(s os.Signal) error { return r.command.Process.Signal(s) }
func (r *running) Done() <-chan struct{}    { return r.done }

func (r *running) Err() error {
	<-r.done
	return r.err
}

const (
	restartAfter = 150 * time.Millisecond // the platform starts what has ended again
	readyEvery   = 500 * time.Millisecond // between two questions of the balancer
	readyWait    = 300 * time.Millisecond
	readyMisses  = 2
)

// member is one process of the fleet, through all its starts.
type member struct {
	role string
	site fulmardeal.Settings

	mu       sync.Mutex
	process  Process
	stopping bool // it was told to end
	busy     bool // a fault is in progress
	ready    bool // it said so when it was last asked
	misses   int
}

// fleet is all processes of the system.
type fleet struct {
	world   *world
	starter Starter
	members []*member // entries first
	entries int
	dir     string
	wait    sync.WaitGroup
	closing chan struct{}
}

// start starts a member and watches over it: what ends is started again.
func (f *fleet) start(i int) error {
	m := f.members[i]
	out, err := os.OpenFile(filepath.Join(f.dir, m.site.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p, err := f.starter.Start(m.role, m.site, f.dir, out)
	if err != nil {
		out.Close()
		return err
	}
	m.mu.Lock()
	m.process, m.stopping = p, false
	m.mu.Unlock()
	f.wait.Go(func() {
		defer out.Close()
		<-p.Done()
		select {
		case <-f.closing:
			return
		default:
		}
		m.mu.Lock()
		expected := m.stopping
		m.mu.Unlock()
		if !expected {
			f.world.checker.violation(PromiseGraceful, "%s ended by itself: %v", m.site.Name, p.Err())
		}
		time.Sleep(restartAfter)
		if err := f.start(i); err != nil {
			f.world.checker.violation(PromiseGraceful, "%s did not start again: %v", m.site.Name, err)
		}
	})
	return nil
}

// signal sends a signal to a member, which it may end by.
func (f *fleet) signal(i int, s os.Signal, ends bool) Process {
	m := f.members[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return nil
	}
	m.stopping = m.stopping || ends
	// A process that has just ended needs no signal.
	_ = m.process.Signal(s)
	return m.process
}

// terminate stops a member gracefully, and kills it after the grace.
func (f *fleet) terminate(i int) {
	p := f.signal(i, syscall.SIGTERM, true)
	if p == nil {
		return
	}
	select {
	case <-p.Done():
		if err := p.Err(); err != nil {
			f.world.checker.violation(PromiseGraceful, "%s ended on SIGTERM with %v", f.members[i].site.Name, err)
		}
	case <-time.After(boundGrace):
		f.world.checker.violation(PromiseGraceful, "%s still runs %v after SIGTERM", f.members[i].site.Name, boundGrace)
		_ = p.Signal(syscall.SIGKILL) // it may have ended just now
	}
}

// close ends all processes that were started.
func (f *fleet) close() {
	close(f.closing)
	for i := range f.members {
		f.signal(i, syscall.SIGCONT, false)
		f.signal(i, syscall.SIGKILL, true)
	}
	f.wait.Wait()
}

// watch asks the entries whether they are ready, as the balancer does.
func (f *fleet) watch(done <-chan struct{}) {
	client := &http.Client{Timeout: readyWait, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, m := range f.members[:f.entries] {
			a, err := client.Get(platform.ReadinessURL(m.site))
			ready := err == nil && a.StatusCode == http.StatusOK
			if err == nil {
				a.Body.Close()
			}
			m.mu.Lock()
			m.ready = ready
			m.misses++
			if ready {
				m.misses = 0
			}
			m.mu.Unlock()
		}
		select {
		case <-done:
			return
		case <-time.After(readyEvery):
		}
	}
}

// pick returns the entry that a caller is to use: the one that it has, while its
// connection lives, or one in rotation.
func (f *fleet) pick(current int, random *rand.Rand) int {
	if current >= 0 {
		return current
	}
	var in []int
	for i, m := range f.members[:f.entries] {
		m.mu.Lock()
		if m.misses < readyMisses {
			in = append(in, i)
		}
		m.mu.Unlock()
	}
	if len(in) == 0 {
		return random.IntN(f.entries)
	}
	return in[random.IntN(len(in))]
}

func (f *fleet) address(i int) string { return f.members[i].site.CallerAddress }

// violation notes a violation that belongs to no request.
func (c *Checker) violation(p Promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(p, "", "%s", fmt.Sprintf(format, args...))
}
