package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"fulmardeal"
	"fulmardeal/internal/proof/soak"
)

// platformShape is the size of the deployment that the subcommand local runs with the
// flag --platform.
var platformShape = soak.Shape{Entries: 3, Engines: 4, Plain: 8, DataCentres: 2}

// platformCallers is the number of simulated callers of that deployment.
const platformCallers = 12

// runPlatform runs a deployment of the users' platform within this process,
// without faults, and prints a summary.
func (c *local) runPlatform() error {
	if c.Settings != "" || c.Model != "" {
		return errors.New("local: --settings and --model can't be combined with --platform, whose deployment is fixed")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, remove, err := soak.NewLogDir(0)
	if err != nil {
		return err
	}
	defer remove()
	r, err := soak.Run(ctx, soak.Options{
		Faults: []soak.Fault{}, RecoveryTime: c.For, Shape: platformShape, Callers: platformCallers, Starter: &inProcessStarter{metrics: c.Metrics}, LogDir: dir, Out: io.Discard,
	})
	if err != nil {
		return err
	}
	counts := r.Counts
	fmt.Fprintf(c.env.out, "requests  %d sent, %d served, %d refused, %d failed, %d left by their callers\n", counts.Sent, counts.Served, counts.Refused, counts.Failed, counts.Cancelled)
	fmt.Fprintf(c.env.out, "promises  %d broken\n", len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintln(c.env.out, violation)
	}
	if err := writeReport(c.Report, r); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return errors.New("local: guarantees were violated: see the summary")
	}
	return nil
}

// inProcessStarter starts entries and agents within this process.
type inProcessStarter struct {
	metrics string // address of the first entry's metrics; not served if empty
	first   atomic.Bool
}

// Start starts an entry or an agent.
func (starter *inProcessStarter) Start(role string, s fulmardeal.Settings, _ string, out io.Writer) (soak.Process, error) {
	create, metrics := newAgent, ""
	if role == soak.RoleEntry {
		create = newEntry
		if starter.first.CompareAndSwap(false, true) {
			metrics = starter.metrics
		}
	}
	run, cleanup, err := create(s, slog.New(slog.NewTextHandler(out, nil)), metrics, out)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &inProcess{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		defer cleanup()
		p.err = run(ctx)
	}()
	return p, nil
}

// inProcess is an entry or agent within this process. SIGTERM and SIGKILL stop
// it; other signals are ignored.
type inProcess struct {
	stop context.CancelFunc
	done chan struct{}
	err  error
}

func (p *inProcess) Signal(s os.Signal) error {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stop()
	}
	return nil
}

func (p *inProcess) Done() <-chan struct{} { return p.done }

func (p *inProcess) Err() error {
	<-p.done
	return p.err
}
