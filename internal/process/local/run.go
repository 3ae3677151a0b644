package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/bench/load"
	"fulmardeal/internal/fleet/configuration"
)

// Times of the main job.
const (
	applyWait    = 16 * time.Second
	spreadWait   = 5 * time.Minute
	settleWait   = 30 * time.Second
	progressWait = 500 * time.Millisecond

	// defaultFor is how long requests are served, over the whole run.
	defaultFor = 20 * time.Second
)

// Job is the main job of a local run: a file is spread to the selected
// instances while requests are served, and a data centre goes out and returns.
type Job struct {
	File   string        // the model's weights; generated when empty
	For    time.Duration // of the requests
	Out    io.Writer     // progress, in lines
	Live   bool          // the writer is a terminal: progress is overwritten
	Logger Options
}

// Report is what a local run came to.
type Report struct {
	Replicas  int          `json:"replicas"`
	Seconds   float64      `json:"seconds"` // until all replicas served the weights
	Size      int64        `json:"size"`    // bytes
	Copies    float64      `json:"copies"`  // drawn from the origin
	Identical bool         `json:"identical"`
	Stop      float64      `json:"stop"` // seconds until the last new work in the data centre taken out
	Requests  load.Summary `json:"requests"`
	Over      int          `json:"over"`
	Breaches  int          `json:"breaches"`
}

// Good reports whether nothing went wrong that must not.
func (r Report) Good() bool {
	q := r.Requests
	return r.Identical && q.FalseRefusals+q.Duplicates+q.Truncated+q.Inconsistent+q.Mismatched+r.Over+r.Breaches == 0
}

// StuckError says what a run was waiting for when its time ran out.
type StuckError struct {
	For  string
	Have string
}

func (e *StuckError) Error() string { return fmt.Sprintf("gave up waiting for %s: %s", e.For, e.Have) }

// Do runs the job on a system of the settings.
func Do(ctx context.Context, s Settings, j Job) (Report, error) {
	if j.For == 0 {
		j.For = defaultFor
	}
	x, stop, err := Start(ctx, s, j.Logger)
	if err != nil {
		return Report{}, err
	}
	r, err := x.job(ctx, j)
	return r, errors.Join(err, stop())
}

// job runs the parts of the main job one after the other.
func (x *System) job(ctx context.Context, j Job) (Report, error) {
	if err := x.Configure(ctx, x.settings.Configuration); err != nil {
		return Report{}, err
	}
	fmt.Fprintf(j.Out, "configuration in force in %d processes\n", len(x.Entries())+len(x.Agents()))
	m, size, sum, err := x.publish(j.File)
	if err != nil {
		return Report{}, err
	}
	g, err := x.Load(ctx, j.For)
	if err != nil {
		return Report{}, err
	}

	var sending errgroup.Group
	sending.Go(func() error { g.Run(ctx, j.For); return nil })
	report := Report{Size: size}
	if err := x.spread(ctx, j, m, &report); err != nil {
		return Report{}, oops.In("local").With("model", m.Name).Wrapf(err, "spreading the weights")
	}
	if report.Stop, err = x.outAndBack(ctx, j); err != nil {
		return Report{}, oops.In("local").Wrapf(err, "taking a data centre out and back")
	}
	fmt.Fprintln(j.Out, "waiting for the last answers")
	if err := sending.Wait(); err != nil {
		return Report{}, err
	}

	report.Requests = g.Results().Summarize(x.ledger)
	report.Identical = x.identical(sum)
	report.Over = x.Over()
	report.Breaches = x.Book().Count()
	return report, nil
}

// Configure applies a change and waits until it is in force everywhere.
func (x *System) Configure(ctx context.Context, change configuration.Document) error {
	out, err := x.operator.Apply(ctx, change, applyWait)
	switch {
	case err != nil:
		return err
	case !out.Accepted:
		return fmt.Errorf("change refused: %s", out.Reason)
	}
	return x.await(ctx, applyWait, "the configuration to be in force", func() (bool, string) {
		n := 0
		all := append(x.Entries(), x.Agents()...)
		for _, m := range all {
			if m.Version() >= out.Offset {
				n++
			}
		}
		return n == len(all), fmt.Sprintf("%d of %d processes have it", n, len(all))
	})
}

// Version returns the configuration that the member has in force.
func (m *Member) Version() fulmardeal.Offset {
	if m.Entry != nil {
		return m.Entry.Node().Store().Version()
	}
	return m.Agent.Node().Store().Version()
}

// await waits until done reports true.
func (x *System) await(ctx context.Context, most time.Duration, what string, done func() (bool, string)) error {
	end := time.Now().Add(most)
	for {
		ok, have := done()
		if ok {
			return nil
		}
		if !time.Now().Before(end) {
			return &StuckError{For: what, Have: have}
		}
		t := time.NewTimer(progressWait / 10)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}

// publish puts the job's weights into the origin and returns their entry,
// size and SHA-256.
func (x *System) publish(file string) (configuration.ModelEntry, int64, string, error) {
	r := Generate(x.settings.Seed, x.settings.Weights.Size)
	if file != "" {
		f, err := os.Open(file)
		if err != nil {
			return configuration.ModelEntry{}, 0, "", err
		}
		defer f.Close()
		r = f
	}
	h := sha256.New()
	n := &counter{}
	v := fulmardeal.Version{Model: modelName, Name: "v1"}
	m, err := x.Publish(v, io.TeeReader(r, io.MultiWriter(h, n)))
	m.At = "service=" + x.ModelService()
	return m, n.bytes, hex.EncodeToString(h.Sum(nil)), err
}

// modelName is the model of a local run.
const modelName = "verse"

type counter struct {
	bytes int64
}

func (c *counter) Write(p []byte) (int, error) {
	c.bytes += int64(len(p))
	return len(p), nil
}

// ModelService returns the name of the first service of model engines.
func (x *System) ModelService() string {
	for _, s := range x.settings.Configuration.Service {
		if s.Kind == configuration.ServiceModel {
			return s.Name
		}
	}
	return ""
}

// PlainService returns the name of the first plain service.
func (x *System) PlainService() string {
	for _, s := range x.settings.Configuration.Service {
		if s.Kind == configuration.ServicePlain {
			return s.Name
		}
	}
	return ""
}

// Load returns a generator of the settings' load.
func (x *System) Load(_ context.Context, _ time.Duration) (*load.Generator, error) {
	l := x.settings.Load
	return load.New(load.Settings{
		Seed:          x.settings.Seed,
		Entries:       x.Addresses(),
		Customers:     x.Customers(),
		Digests:       x.Digests,
		ClientLatency: time.Duration(x.settings.Link.Client),
		PromptCount:   50,
		Classes: []load.RequestClass{
			{Kind: load.KindStream, Model: modelName, Rate: l.Rate / 2, Tokens: l.Tokens},
			{Kind: load.KindCompletion, Model: modelName, Rate: l.Rate / 2, Tokens: l.Tokens},
			{Kind: load.KindOrder, Service: x.PlainService(), Rate: l.Orders / 2},
			{Kind: load.KindOrder, Service: x.PlainService(), Rate: l.Orders / 4, Keyed: true},
			{Kind: load.KindCatalogueRead, Service: x.PlainService(), Rate: l.Orders / 4},
		},
	})
}

// Addresses returns the entries' addresses for callers.
func (x *System) Addresses() []string {
	var out []string
	for _, m := range x.Entries() {
		out = append(out, m.Entry.Address())
	}
	return out
}

// largeWeight is how much more a large customer sends than a small one.
const largeWeight = 4

// Customers returns the customers of the settings with the keys of trials.
func (x *System) Customers() []load.Customer {
	var out []load.Customer
	for _, c := range x.settings.Configuration.Customer {
		weight := 1.0
		for _, l := range c.Label {
			if l.Name == "size" && l.Value == "large" {
				weight = largeWeight
			}
		}
		out = append(out, load.Customer{Name: c.Name, Key: "key-" + c.Name, Weight: weight})
	}
	return out
}

// Digests returns the digests of the weights that engines have been seen to
// serve whole: those of the versions in the origin.
func (x *System) Digests() []string { return x.origin.Digests() }

// identical reports whether every engine serves bytes with the SHA-256.
func (x *System) identical(sum string) bool {
	n := 0
	for _, m := range x.Agents() {
		if m.Engine == nil {
			continue
		}
		if m.Engine.Digest() != sum {
			return false
		}
		n++
	}
	return n > 0
}

// Over returns how many runs began above what their endpoints bore, and loads
// of weights that were not whole.
func (x *System) Over() int {
	n := 0
	for _, m := range x.Agents() {
		if m.Engine != nil {
			n += m.Engine.Counts().OverLimit + m.Engine.Counts().IncompleteLoads
		}
		if m.Plain != nil {
			n += m.Plain.Counts().OverLimit
		}
	}
	return n
}

// spread places the model and shows how far it is until all serve it.
func (x *System) spread(ctx context.Context, j Job, m configuration.ModelEntry, r *Report) error {
	begun := time.Now()
	if err := x.Configure(ctx, configuration.Document{Model: []configuration.ModelEntry{m}}); err != nil {
		return err
	}
	p := newProgress(x, j)
	err := x.await(ctx, spreadWait, "all replicas to serve the weights", func() (bool, string) {
		ready, all := x.Ready(fulmardeal.Version{Model: m.Name, Name: m.Version})
		p.show(time.Now())
		r.Replicas = all
		return ready == all, fmt.Sprintf("%d of %d do", ready, all)
	})
	if err != nil {
		return err
	}
	p.end()
	r.Seconds = time.Since(begun).Seconds()
	r.Copies = float64(x.origin.SentBytes()) / float64(max(1, r.Size))
	fmt.Fprintf(j.Out, "%d replicas serve %s@%s after %.1f s; %.2f copies were drawn from the origin\n",
		r.Replicas, m.Name, m.Version, r.Seconds, r.Copies)
	return nil
}

// Ready counts the engines' agents that serve a version, and all of them.
func (x *System) Ready(v fulmardeal.Version) (ready, all int) {
	for _, m := range x.Agents() {
		if m.Engine == nil {
			continue
		}
		all++
		if m.Agent.Node().Members().Self().Serving == v {
			ready++
		}
	}
	return ready, all
}

// outAndBack takes the last data centre out, waits until it is idle, and
// brings it back. It returns the seconds until its last new work.
func (x *System) outAndBack(ctx context.Context, j Job) (float64, error) {
	centres := x.settings.Configuration.DataCentre
	e := centres[len(centres)-1]
	e.Out = true
	before := time.Now()
	if err := x.Configure(ctx, configuration.Document{DataCentre: []configuration.DataCentreEntry{e}}); err != nil {
		return 0, err
	}
	err := x.await(ctx, settleWait, e.Name+" to be idle", func() (bool, string) {
		n := x.Running(e.Name)
		return n == 0, fmt.Sprintf("%d requests in progress", n)
	})
	if err != nil {
		return 0, err
	}
	last := x.LastWork(e.Name)
	stop := max(0, last.Sub(before).Seconds())
	fmt.Fprintf(j.Out, "%s is out: its last new work began %.2f s after the order\n", e.Name, stop)

	e.Out = false
	if err := x.Configure(ctx, configuration.Document{DataCentre: []configuration.DataCentreEntry{e}}); err != nil {
		return 0, err
	}
	fmt.Fprintf(j.Out, "%s is back, and opens slowly\n", e.Name)
	return stop, nil
}

// Running returns the runs in progress at the endpoints of a data centre.
func (x *System) Running(dataCentre string) int {
	n := 0
	for _, m := range x.Agents() {
		if m.DataCentre == dataCentre {
			n += m.work().Running()
		}
	}
	return n
}

// LastWork returns when the last run began at the endpoints of a data centre.
func (x *System) LastWork(dataCentre string) time.Time {
	var last time.Time
	for _, m := range x.Agents() {
		if m.DataCentre == dataCentre && m.work().LastStart().After(last) {
			last = m.work().LastStart()
		}
	}
	return last
}

// worker is what engines and plain services have in common.
type worker interface {
	Running() int
	LastStart() time.Time
}

func (m *Member) work() worker {
	if m.Engine != nil {
		return m.Engine
	}
	return m.Plain
}
