package command

import (
	"context"
	"errors"
	"os"
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

type settingsFlag struct {
	Settings string `long:"settings" description:"Settings of the process, in TOML" value-name:"FILE" required:"true"`
}

// process is a process that has been created but does not run yet.
type process struct {
	node   *node.Node
	run    func(ctx context.Context) error
	gauges func() []monitor.Gauge
}

// serve runs a process and its monitor until SIGTERM or SIGINT, and then stops
// it gracefully. The monitor is stopped last.
func (e *environment) serve(s settings.Process, p process) error {
	m, closeMonitor, err := monitor.New(s.Metrics, p.node, p.gauges)
	if err != nil {
		return err
	}
	defer closeMonitor()
	ctx, stop := catchSignals(os.Interrupt, syscall.SIGTERM)
	defer stop()

	monitorCtx, stopMonitor := context.WithCancel(context.Background())
	defer stopMonitor()
	var g errgroup.Group
	g.Go(func() error { return m.Run(monitorCtx, e.err) })
	g.Go(func() error {
		defer stopMonitor()
		return p.run(ctx)
	})
	return g.Wait()
}

// openPlatform creates the platform adapters that entries and agents share.
func openPlatform(s settings.Process) (fulmardeal.Network, *adapter.Log, *adapter.Directory, error) {
	log, err := adapter.NewLog(s.Log)
	directory, err2 := adapter.NewDirectory(s.Directory)
	return connection.TCP{}, log, directory, errors.Join(err, err2)
}

// randomSeed returns a seed that differs between processes.
func randomSeed() uint64 { return uint64(time.Now().UnixNano()) }
