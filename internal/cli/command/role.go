package command

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/platform/adapter"
	"fulmardeal/internal/process/node"
	"fulmardeal/internal/process/settings"

	"fulmardeal/internal/process/monitor"
)

// settingsFlag names the settings file of a process.
type settingsFlag struct {
	Settings string `long:"settings" description:"Settings of the process, in TOML" value-name:"FILE" required:"true"`
}

// role is a process that has been built and waits to run.
type role struct {
	node   *node.Node
	run    func(ctx context.Context) error
	gauges func() []monitor.Gauge
}

// serve runs a role with its monitor until it is told to stop by a signal, then
// leaves gracefully.
func (e *environment) serve(s settings.Process, r role) error {
	m, closeMonitor, err := monitor.New(s.Metrics, r.node, r.gauges)
	if err != nil {
		return err
	}
	defer closeMonitor()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	watched, done := context.WithCancel(context.Background())
	defer done()
	var g errgroup.Group
	g.Go(func() error { return m.Run(watched, e.err) })
	g.Go(func() error {
		defer done()
		return r.run(ctx)
	})
	return g.Wait()
}

// platformOf opens the adapters that both roles need.
func platformOf(s settings.Process) (fulmardeal.Network, *adapter.Log, *adapter.Directory, error) {
	l, err := adapter.NewLog(s.Log)
	d, err2 := adapter.NewDirectory(s.Directory)
	return connection.TCP{}, l, d, errors.Join(err, err2)
}

// seedOf returns a seed for a process's random choices.
func seedOf() uint64 { return uint64(time.Now().UnixNano()) }
