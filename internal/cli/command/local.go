package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	processlocal "fulmardeal/internal/process/local"
	"fulmardeal/internal/traffic/choice"
)

const localHelp = `Runs the whole system in this process over loopback sockets: stand-ins of the
platform and the endpoints, an agent beside each endpoint, and entries. A file
is spread to all engines while requests are served, and a data centre is taken
out and brought back.

With --platform it is a small deployment of the users' platform instead: a
stand-in of its store, origin, engines and plain services, entries and agents as
they run there, and callers.

Examples:
  fulmardeal local
  fulmardeal local --platform --for 10s
  fulmardeal local --model weights.bin --for 30s --report report.json
  fulmardeal local --settings examples/coop.toml`

// local runs the main job.
type local struct {
	env      *environment
	Settings string        `long:"settings" description:"Settings of the local system" value-name:"FILE"`
	Model    string        `long:"model" description:"File to spread; generated when none is given" value-name:"FILE"`
	For      time.Duration `long:"for" description:"How long requests are sent" default:"20s"`
	Platform bool          `long:"platform" description:"Run the small deployment of the users' platform"`
	Report   string        `long:"report" description:"Write the report there, in JSON" value-name:"FILE"`
}

// Execute runs the job and prints its summary.
func (c *local) Execute([]string) error {
	if c.Platform {
		return c.runPlatform()
	}
	s, err := processlocal.Read(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c.env.global.Quiet = !c.env.global.Verbose
	r, err := processlocal.RunJob(ctx, s, processlocal.Job{
		File:     c.Model,
		Duration: c.For,
		Out:      c.env.out,
		Terminal: isTerminal(c.env.out),
		Logger:   processlocal.Options{Logger: c.env.logger(), Policy: choice.PolicyTwoChoices},
	})
	if err != nil {
		return err
	}
	c.print(r)
	if err := writeReport(c.Report, r); err != nil {
		return err
	}
	if !r.Passed() {
		return errors.New("something went wrong that must not: see the summary")
	}
	return nil
}

func (c *local) print(r processlocal.Report) {
	q := r.Requests
	fmt.Fprintf(c.env.out, "\nweights   %d bytes on %d replicas in %.1f s, identical: %t, drawn from the origin: %.2f copies\n",
		r.Size, r.Replicas, r.Seconds, r.Identical, r.OriginCopies)
	fmt.Fprintf(c.env.out, "requests  %d sent, %d whole, %d late, %d refused, %d unknown, %d broken, %d unanswered\n",
		q.Sent, q.Whole, q.Late, q.Refused, q.Unknown, q.Broken, q.Gone)
	for _, cause := range q.Causes {
		fmt.Fprintf(c.env.out, "          given up because of %q: %d\n", cause.Name, cause.Count)
	}
	fmt.Fprintf(c.env.out, "must be 0 false %d, doubled %d, cut %d, mixed %d, wrong %d, over %d, breaches %d\n",
		q.False, q.Doubled, q.Cut, q.Mixed, q.Wrong, r.OverLimit, r.Breaches)
	fmt.Fprintf(c.env.out, "times     first byte p50 %.1f ms, p95 %.1f ms; between tokens p95 %.1f ms; data centre out in %.2f s\n",
		q.First.P50, q.First.P95, q.Between.P95, r.StopSeconds)
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// writeReport writes a report in JSON, if a file is named.
func writeReport(file string, r any) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}
