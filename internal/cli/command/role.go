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

// settingsFlag is the flag of the settings file.
type settingsFlag struct {
	Settings string `long:"settings" description:"Settings of the process, in TOML" value-name:"FILE" required:"true"`
}

// role is a process that has been created but does not run yet.
type role struct {
	node   *node.Node
	run    func(ctx context.Context) error
	gauges func() []monitor.Gauge
}

// serve runs a process and its monitor until SIGTERM or SIGINT, and then stops it
// gracefully. The monitor is stopped last.
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

// platformOf creates the platform adapters that entries and agents share.
func platformOf(s settings.Process) (fulmardeal.Network, *adapter.Log, *adapter.Directory, error) {
	l, err := adapter.NewLog(s.Log)
	d, err2 := adapter.NewDirectory(s.Directory)
	return connection.TCP{}, l, d, errors.Join(err, err2)
}

// seedOf returns a seed that differs between processes.
func seedOf() uint64 { return uint64(time.Now().UnixNano()) }
