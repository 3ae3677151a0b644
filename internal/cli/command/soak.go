package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"fulmardeal/internal/proof/soak"
)

const soakHelp = `Runs entries and agents as separate processes against a simulation of the users'
platform, all on loopback addresses, and injects faults: signals, connections
that are delayed, reset, blocked in one direction or refused, endpoints that
crash, drain, misbehave or fall silent, store failures, and changes of the
configuration and of the weights. The seed determines the faults. What callers
and endpoints observe is checked throughout; each violation is printed with the
promise and the request. The logs of a run with violations are kept; explain
reads them.

Examples:
  fulmardeal soak --seed 7
  fulmardeal soak --seed 1 --runs 50 --report soak.json
  fulmardeal soak --plan found.plan
  fulmardeal soak --entries 60 --engines 120 --plain 20 --callers 300`

// soakCommand runs fault-injection tests.
type soakCommand struct {
	env         *environment
	Seed        uint64        `long:"seed" description:"Seed of the first run's faults" default:"1"`
	Runs        int           `long:"runs" description:"Number of runs, with consecutive seeds" default:"1"`
	For         time.Duration `long:"for" description:"Duration of the faults in a run" default:"20s"`
	Entries     int           `long:"entries" description:"Number of entries" default:"3"`
	Engines     int           `long:"engines" description:"Number of model engines, each with an agent" default:"4"`
	Plain       int           `long:"plain" description:"Number of plain endpoints" default:"8"`
	DataCentres int           `long:"datacentres" description:"Number of data centres, each in its own region" default:"2"`
	Callers     int           `long:"callers" description:"Number of callers" default:"12"`
	Plan        string        `long:"plan" description:"File with the faults to inject instead of those of the seed, in the format that a run prints" value-name:"FILE"`
	Report      string        `long:"report" description:"Write the report to this file, in JSON" value-name:"FILE"`
}

// Execute performs the runs.
func (c *soakCommand) Execute([]string) error {
	if c.DataCentres < 1 || c.DataCentres > 26 || c.Entries < 1 || c.Engines < c.DataCentres || c.Plain < 2*c.DataCentres || c.Callers < 1 || c.Runs < 1 {
		return errors.New("soak: expected 1 to 26 data centres, at least 1 entry, 1 caller and 1 run, and at least 1 engine and 2 plain endpoints in each data centre")
	}
	shape := soak.Shape{Entries: c.Entries, Engines: c.Engines, Plain: c.Plain, DataCentres: c.DataCentres}
	var faults []soak.Fault
	if c.Plan != "" {
		var err error
		if faults, err = soak.ReadPlan(c.Plan, shape); err != nil {
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), interruptSignals()...)
	defer stop()
	ctx, out, stopOutput := watchOutput(ctx, c.env.out)
	defer stopOutput()
	var reports []soak.Report
	violations := 0
	for i := range uint64(c.Runs) {
		r, err := c.run(ctx, out, soak.Options{
			Seed: c.Seed + i, FaultTime: c.For, Faults: faults, Shape: shape, Callers: c.Callers, Starter: soak.Program{Path: self}, Out: io.Discard,
		})
		if err != nil {
			return err
		}
		reports = append(reports, r)
		violations += len(r.Violations)
	}
	if err := writeReport(c.Report, reports); err != nil {
		return err
	}
	if violations > 0 {
		return fmt.Errorf("soak: %d violations", violations)
	}
	return nil
}

// interruptSignals returns the signals that end a run. A terminal that is closed (SIGHUP)
// must not end this process without the processes that it has started. Under nohup a
// closed terminal is ignored.
func interruptSignals() []os.Signal {
	signals := []os.Signal{os.Interrupt, syscall.SIGTERM}
	if !signal.Ignored(syscall.SIGHUP) {
		signals = append(signals, syscall.SIGHUP)
	}
	return signals
}

// watchOutput returns a context that is cancelled when a write to the returned writer
// fails, because its reader has gone away. SIGPIPE, which would end this process without
// the processes that it has started, has no effect meanwhile. It can't stand for a reader
// that has gone away itself: once it is caught, writes to the connections of the simulated
// endpoints cause it too.
func watchOutput(ctx context.Context, out io.Writer) (context.Context, io.Writer, func()) {
	pipe := make(chan os.Signal, 1)
	signal.Notify(pipe, syscall.SIGPIPE)
	ctx, cancel := context.WithCancel(ctx)
	return ctx, &watchedWriter{writer: out, cancel: cancel}, func() {
		signal.Stop(pipe)
		cancel()
	}
}

// watchedWriter cancels a context when a write fails.
type watchedWriter struct {
	writer io.Writer
	cancel context.CancelFunc
}

func (w *watchedWriter) Write(p []byte) (int, error) {
	n, err := w.writer.Write(p)
	if err != nil {
		w.cancel()
	}
	return n, err
}

// run performs one run and prints its result. The logs are kept if there are
// violations.
func (c *soakCommand) run(ctx context.Context, out io.Writer, o soak.Options) (soak.Report, error) {
	dir, remove, err := soak.NewLogDir(o.Seed)
	if err != nil {
		return soak.Report{}, err
	}
	o.LogDir = dir
	if c.env.global.Verbose {
		o.Out = out
	}
	r, err := soak.Run(ctx, o)
	if err != nil {
		return r, err
	}
	fmt.Fprintf(out, "seed=%d faults=%d sent=%d served=%d refused=%d failed=%d left=%d violations=%d\n",
		r.Seed, r.Faults, r.Counts.Sent, r.Counts.Served, r.Counts.Refused, r.Counts.Failed, r.Counts.Cancelled, len(r.Violations))
	if len(r.Violations) == 0 {
		remove()
		return r, nil
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(out, violation)
	}
	fmt.Fprintf(out, "logs=%s\n", dir)
	return r, nil
}
