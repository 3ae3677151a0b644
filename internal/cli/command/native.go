package command

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"fulmardeal"
	"fulmardeal/internal/process/gateway"
	"fulmardeal/internal/process/loader"
	"fulmardeal/internal/process/logbook"
	"fulmardeal/platform"
)

const gatewayHelp = `Runs an entry on the users' platform, which forwards callers' requests directly
to the endpoints that are registered there. The settings are read from the file
that the platform names in the environment. SIGTERM stops the entry gracefully;
SIGHUP has no effect, because settings can't change while it runs.

Example:
  fulmardeal gateway --metrics :9464`

const loaderHelp = `Runs the agent of a model engine on the users' platform, which downloads the
published weights, loads them into the engine, and reports to the entries which
weights the engine serves. The settings are read from the file that the platform
names in the environment.

Example:
  fulmardeal loader --metrics :9465`

type metricsFlag struct {
	Metrics string `long:"metrics" description:"Listen address of /metrics and /dump" value-name:"HOST:PORT"`
}

// gatewayCommand runs an entry on the users' platform.
type gatewayCommand struct {
	env *environment
	metricsFlag
}

// Execute runs the entry until SIGTERM or SIGINT.
func (c *gatewayCommand) Execute([]string) error {
	log, _, closeLog := logbook.New(c.env.out, c.env.level())
	defer closeLog()
	ctx, stop := watchSignals(log)
	defer stop()
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	run, cleanup, err := newEntry(s, log, c.Metrics, c.env.err)
	if err != nil {
		return err
	}
	defer cleanup()
	return run(ctx)
}

// newEntry creates an entry. It returns a function that runs the entry, and a
// function that releases the entry's resources.
func newEntry(s fulmardeal.Settings, log *slog.Logger, metrics string, dump io.Writer) (func(context.Context) error, func(), error) {
	store, closeStore := platform.NewStore(s.StoreAddress)
	entry, cleanup, err := gateway.New(gateway.Options{
		Settings: s, Store: store, Codec: platform.Codec{}, Log: log, Seed: randomSeed(), Metrics: metrics, Dump: dump, LimitHeap: debug.SetMemoryLimit,
	})
	if err != nil {
		closeStore()
		return nil, nil, err
	}
	return entry.Run, func() { cleanup(); closeStore() }, nil
}

// loaderCommand runs an agent on the users' platform.
type loaderCommand struct {
	env *environment
	metricsFlag
}

// Execute runs the agent until SIGTERM or SIGINT.
func (c *loaderCommand) Execute([]string) error {
	log, _, closeLog := logbook.New(c.env.out, c.env.level())
	defer closeLog()
	ctx, stop := watchSignals(log)
	defer stop()
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	run, cleanup, err := newAgent(s, log, c.Metrics, c.env.err)
	if err != nil {
		return err
	}
	defer cleanup()
	return run(ctx)
}

// newAgent creates an agent. It returns a function that runs the agent, and a
// function that releases the agent's resources.
func newAgent(s fulmardeal.Settings, log *slog.Logger, metrics string, dump io.Writer) (func(context.Context) error, func(), error) {
	store, closeStore := platform.NewStore(s.StoreAddress)
	engine, closeEngine := platform.NewEngine(s.EndpointAddress)
	agent, cleanup, err := loader.New(loader.Options{
		Settings: s, Store: store, Engine: engine, Log: log, Seed: randomSeed(), Metrics: metrics, Dump: dump,
		Origin: func(address string) (fulmardeal.Origin, func()) { return platform.NewOrigin(address) },
	})
	if err != nil {
		closeEngine()
		closeStore()
		return nil, nil, err
	}
	return agent.Run, func() { cleanup(); closeEngine(); closeStore() }, nil
}

// catchSignals returns a context that ends at the first of the signals, and a function that
// ends it. The signals stay caught until the process exits: one that arrives while the process
// returns from main must not change its exit status. SIGPIPE is ignored, since a process that
// serves has to outlive the reader of its log.
func catchSignals(signals ...os.Signal) (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := context.WithCancel(context.Background())
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, signals...)
	go func() {
		select {
		case <-caught:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// watchSignals returns a context that ends at SIGTERM or SIGINT; further ones have no
// effect. SIGHUP is only logged. Unless it is watched, SIGHUP ends the process, so that
// commands call watchSignals before anything that may take time. The returned function ends
// the context and the logging; the signals stay caught.
func watchSignals(log *slog.Logger) (context.Context, func()) {
	ctx, cancel := catchSignals(syscall.SIGINT, syscall.SIGTERM)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-reloads:
				log.Info("SIGHUP ignored", "change", "none: settings are read only when the process starts")
			case <-stopped:
				return
			}
		}
	}()
	return ctx, func() {
		close(stopped)
		cancel()
	}
}
