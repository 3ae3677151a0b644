package command

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"fulmardeal"
	"fulmardeal/internal/process/gateway"
	"fulmardeal/internal/process/loader"
	"fulmardeal/internal/process/logbook"
	"fulmardeal/platform"
)

const gatewayHelp = `Runs an entry on the users' platform: it takes callers' requests and forwards
them directly to the endpoints that are registered there. Its settings are the
file that the platform names in the environment. SIGTERM makes it leave
gracefully; SIGHUP changes nothing, since its settings hold for its life.

Example:
  fulmardeal gateway --metrics :9464`

const loaderHelp = `Runs the agent beside a model engine on the users' platform: it brings the
wanted weights to the engine and tells the entries what the engine serves. Its
settings are the file that the platform names in the environment.

Example:
  fulmardeal loader --metrics :9465`

// metricsFlag names the address of the metrics.
type metricsFlag struct {
	Metrics string `long:"metrics" description:"Address of /metrics and /dump" value-name:"HOST:PORT"`
}

// gatewayCommand runs an entry on the users' platform.
type gatewayCommand struct {
	env *environment
	metricsFlag
}

// Execute runs the gateway until it is told to stop.
func (c *gatewayCommand) Execute([]string) error {
	site, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	log, _, closeLog := logbook.New(c.env.out, c.env.level())
	defer closeLog()
	run, cleanup, err := newEntry(site, log, c.Metrics, c.env.err)
	if err != nil {
		return err
	}
	defer cleanup()
	return untilTerminated(log, run)
}

// newEntry sets up an entry. The second function returned releases what it
// holds.
func newEntry(site fulmardeal.Settings, log *slog.Logger, metrics string, dump io.Writer) (func(context.Context) error, func(), error) {
	store, closeStore := platform.NewStore(site.StoreAddress)
	g, cleanup, err := gateway.New(gateway.Options{Site: site, Store: store, Codec: platform.Codec{}, Log: log, Seed: seedOf(), Metrics: metrics, Dump: dump})
	if err != nil {
		closeStore()
		return nil, nil, err
	}
	return g.Run, func() { cleanup(); closeStore() }, nil
}

// loaderCommand runs an agent on the users' platform.
type loaderCommand struct {
	env *environment
	metricsFlag
}

// Execute runs the loader until it is told to stop.
func (c *loaderCommand) Execute([]string) error {
	site, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	log, _, closeLog := logbook.New(c.env.out, c.env.level())
	defer closeLog()
	run, cleanup, err := newAgent(site, log, c.Metrics, c.env.err)
	if err != nil {
		return err
	}
	defer cleanup()
	return untilTerminated(log, run)
}

// newAgent sets up an agent. The second function returned releases what it
// holds.
func newAgent(site fulmardeal.Settings, log *slog.Logger, metrics string, dump io.Writer) (func(context.Context) error, func(), error) {
	store, closeStore := platform.NewStore(site.StoreAddress)
	engine, closeEngine := platform.NewEngine(site.EndpointAddress)
	l, cleanup, err := loader.New(loader.Options{
		Site: site, Store: store, Engine: engine, Log: log, Seed: seedOf(), Metrics: metrics, Dump: dump,
		Origin: func(address string) (fulmardeal.Origin, func()) { return platform.NewOrigin(address) },
	})
	if err != nil {
		closeEngine()
		closeStore()
		return nil, nil, err
	}
	return l.Run, func() { cleanup(); closeEngine(); closeStore() }, nil
}

// untilTerminated runs a process until it gets SIGTERM or an interrupt. SIGHUP
// is noted.
func untilTerminated(log *slog.Logger, run func(ctx context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	go func() {
		for range reloads {
			log.Info("reload", "change", "none: settings hold for the life of the process")
		}
	}()
	return run(ctx)
}
