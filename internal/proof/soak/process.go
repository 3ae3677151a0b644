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

// Process is a process of the system that has been started.
type Process interface {
	Signal(s os.Signal) error
	Done() <-chan struct{} // closed when the process has exited
	Err() error            // error of the process, once it has exited
}

// Starter starts processes of the system.
type Starter interface {
	// Start starts a process in the given role. It may create files in dir.
	Start(role string, s fulmardeal.Settings, dir string, out io.Writer) (Process, error)
}

// Roles of processes. Each is a subcommand of the program.
const (
	RoleEntry = "gateway"
	RoleAgent = "loader"
)

// Program starts processes from an executable file.
type Program struct {
	Path string
}

// Start writes the settings file of a process and starts it.
func (p Program) Start(role string, s fulmardeal.Settings, dir string, out io.Writer) (Process, error) {
	file := filepath.Join(dir, s.Name+".conf")
	if err := os.WriteFile(file, []byte(platform.FormatSettings(s)), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(p.Path, role)
	cmd.Env = append(os.Environ(), platform.SettingsEnv(file))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	proc := &runningProgram{command: cmd, done: make(chan struct{})}
	go func() {
		proc.err = cmd.Wait()
		close(proc.done)
	}()
	return proc, nil
}

// runningProgram is a process that Program has started.
type runningProgram struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

func (r *runningProgram) Signal(s os.Signal) error { return r.command.Process.Signal(s) }
func (r *runningProgram) Done() <-chan struct{}    { return r.done }

func (r *runningProgram) Err() error {
	<-r.done
	return r.err
}

// Behaviour of the simulated platform towards the processes.
const (
	processRestartDelay = 150 * time.Millisecond // from the exit of a process to its restart
	restartPollInterval = 10 * time.Millisecond  // between two checks whether a process has been restarted
	readinessInterval   = 500 * time.Millisecond // interval of the readiness checks
	readinessTimeout    = 300 * time.Millisecond
	unreadyThreshold    = 2 // failed checks in a row that take an entry out of rotation
)

// member is one process of the fleet, which may be restarted many times.
type member struct {
	role     string
	settings fulmardeal.Settings

	mu       sync.Mutex
	process  Process
	stopping bool // the process was sent a signal that may end it
	busy     bool // a fault of the process is in progress
	ready    bool // result of the last readiness check
	misses   int  // failed readiness checks in a row
}

// fleet starts, monitors and signals the processes of the system.
type fleet struct {
	deployment *deployment
	starter    Starter
	members    []*member // all processes of the system, first the entries and then the agents
	entries    int       // number of members that are entries
	dir        string    // directory for logs and settings files
	watchers   sync.WaitGroup
	closing    chan struct{}
}

// start starts a member's process and restarts it whenever it exits.
func (f *fleet) start(i int) error {
	m := f.members[i]
	out, err := os.OpenFile(filepath.Join(f.dir, m.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p, err := f.starter.Start(m.role, m.settings, f.dir, out)
	if err != nil {
		out.Close()
		return err
	}
	m.mu.Lock()
	m.process, m.stopping = p, false
	m.mu.Unlock()
	select {
	case <-f.closing: // since the last process has exited: close has signalled that one
		_ = p.Signal(syscall.SIGKILL) // fails only if the process has just exited
	default:
	}
	f.watchers.Go(func() {
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
			f.deployment.checker.recordUnattributed(GuaranteeGraceful, "%s exited unexpectedly: %v", m.settings.Name, p.Err())
		}
		time.Sleep(processRestartDelay)
		if err := f.start(i); err != nil {
			f.deployment.checker.recordUnattributed(GuaranteeGraceful, "%s could not be restarted: %v", m.settings.Name, err)
		}
	})
	return nil
}

// signal sends a signal to a member's process and returns the process, or nil if the
// member has none yet. If mayEnd is set, the signal may end the process, and its
// exit is not recorded as a violation.
func (f *fleet) signal(i int, s os.Signal, mayEnd bool) Process {
	m := f.members[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return nil
	}
	m.stopping = m.stopping || mayEnd
	// Signal fails only if the process has already exited.
	_ = m.process.Signal(s)
	return m.process
}

// kill ends a member's process and waits until it has been restarted. Another signal would
// otherwise be sent to the process that has ended.
func (f *fleet) kill(i int) {
	m := f.members[i]
	p := f.signal(i, syscall.SIGKILL, true)
	for p != nil {
		m.mu.Lock()
		restarted := m.process != p
		m.mu.Unlock()
		if restarted {
			return
		}
		select {
		case <-f.closing:
			return
		case <-time.After(restartPollInterval):
		}
	}
}

// terminate stops a member with SIGTERM, and with SIGKILL if it does not exit
// within its grace period.
func (f *fleet) terminate(i int) {
	p := f.signal(i, syscall.SIGTERM, true)
	if p == nil {
		return
	}
	select {
	case <-p.Done():
		if err := p.Err(); err != nil {
			f.deployment.checker.recordUnattributed(GuaranteeGraceful, "%s exited with an error after SIGTERM: %v", f.members[i].settings.Name, err)
		}
	case <-time.After(boundGrace):
		f.deployment.checker.recordUnattributed(GuaranteeGraceful, "%s was still running %v after SIGTERM", f.members[i].settings.Name, boundGrace)
		_ = p.Signal(syscall.SIGKILL) // fails only if the process has just exited
	}
}

// close kills all processes and waits until they have exited.
func (f *fleet) close() {
	close(f.closing)
	for i := range f.members {
		f.signal(i, syscall.SIGCONT, false)
		f.signal(i, syscall.SIGKILL, true)
	}
	f.watchers.Wait()
}

// pollReadiness polls the readiness of the entries, as the platform's load
// balancer does.
func (f *fleet) pollReadiness(done <-chan struct{}) {
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, m := range f.members[:f.entries] {
			resp, err := client.Get(platform.ReadinessURL(m.settings))
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				resp.Body.Close()
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
		case <-time.After(readinessInterval):
		}
	}
}

// pickEntry returns the index of the entry that a caller uses next. This is the
// current one as long as the caller's connection to it is open, and otherwise a
// random one of the entries in rotation, or of all entries if none is in rotation.
func (f *fleet) pickEntry(current int, random *rand.Rand) int {
	if current >= 0 {
		return current
	}
	var inRotation []int
	for i, m := range f.members[:f.entries] {
		m.mu.Lock()
		if m.misses < unreadyThreshold {
			inRotation = append(inRotation, i)
		}
		m.mu.Unlock()
	}
	if len(inRotation) == 0 {
		return random.IntN(f.entries)
	}
	return inRotation[random.IntN(len(inRotation))]
}

func (f *fleet) entryAddress(i int) string { return f.members[i].settings.CallerAddress }

// recordUnattributed records a violation that does not concern a particular request.
func (c *Checker) recordUnattributed(p Guarantee, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(p, "", "%s", fmt.Sprintf(format, args...))
}
