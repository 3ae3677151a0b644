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

// Maximum waits of the main job, and the interval of its progress reports.
const (
	applyTimeout        = 16 * time.Second       // for a change to be accepted, and again for it to be in force in all processes
	distributionTimeout = 5 * time.Minute        // for all replicas to serve the weights
	drainTimeout        = 30 * time.Second       // for a data centre that was taken out of service to become idle
	progressInterval    = 500 * time.Millisecond // between two progress reports

	// defaultDuration is how long requests are sent when the job sets no duration.
	defaultDuration = 20 * time.Second
)

// Job is the main job of a local run. It distributes a file of weights to all
// engines while requests are served, then takes a data centre out of service and
// brings it back.
type Job struct {
	File     string        // the model's weights; generated when empty
	Duration time.Duration // how long requests are sent; defaultDuration when zero
	Out      io.Writer     // where the progress is printed
	Terminal bool          // Out is a terminal: a progress report overwrites the previous one
	Options  Options
}

// Report is the result of a local run.
type Report struct {
	Replicas     int          `json:"replicas"`
	Seconds      float64      `json:"seconds"`   // time until all replicas served the weights
	Size         int64        `json:"size"`      // of the weights, in bytes
	OriginCopies float64      `json:"copies"`    // copies of the weights transferred from the origin
	Identical    bool         `json:"identical"` // all engines serve exactly the published weights
	StopSeconds  float64      `json:"stop"`      // seconds from the order to take a data centre out of service until its last request began
	Requests     load.Summary `json:"requests"`
	OverLimit    int          `json:"over"`     // see System.OverLimit
	Breaches     int          `json:"breaches"` // number of violations of invariants
}

// Passed reports whether the run violated none of the system's guarantees.
func (r Report) Passed() bool {
	q := r.Requests
	return r.Identical && q.FalseRefusals+q.Duplicates+q.Truncated+q.Inconsistent+q.Mismatched+r.OverLimit+r.Breaches == 0
}

// WaitError reports that a condition did not become true before the timeout.
type WaitError struct {
	Want string // the condition waited for
	Have string // how far the condition had come at the timeout
}

func (e *WaitError) Error() string { return fmt.Sprintf("timeout waiting for %s: %s", e.Want, e.Have) }

// RunJob starts a system with the settings, runs the job on it and stops it.
func RunJob(ctx context.Context, s Settings, j Job) (Report, error) {
	if j.Duration == 0 {
		j.Duration = defaultDuration
	}
	x, stop, err := Start(ctx, s, j.Options)
	if err != nil {
		return Report{}, err
	}
	r, err := x.runJob(ctx, j)
	return r, errors.Join(err, stop())
}

// runJob runs the steps of the main job in order.
func (x *System) runJob(ctx context.Context, j Job) (Report, error) {
	if err := x.Configure(ctx, x.settings.Configuration); err != nil {
		return Report{}, err
	}
	fmt.Fprintf(j.Out, "configuration in force in %d processes\n", len(x.Entries())+len(x.Agents()))
	m, size, sum, err := x.publish(j.File)
	if err != nil {
		return Report{}, err
	}
	g, err := x.NewLoadGenerator(ctx, j.Duration)
	if err != nil {
		return Report{}, err
	}

	var sending errgroup.Group
	sending.Go(func() error { g.Run(ctx, j.Duration); return nil })
	report := Report{Size: size}
	if err := x.distribute(ctx, j, m, &report); err != nil {
		return Report{}, oops.In("local").With("model", m.Name).Wrapf(err, "distributing the weights")
	}
	if report.StopSeconds, err = x.drainAndRestore(ctx, j); err != nil {
		return Report{}, oops.In("local").Wrapf(err, "taking a data centre out of service and back")
	}
	fmt.Fprintln(j.Out, "waiting for the last answers")
	if err := sending.Wait(); err != nil {
		return Report{}, err
	}

	report.Requests = g.Results().Summarize(x.ledger)
	report.Identical = x.identical(sum)
	report.OverLimit = x.OverLimit()
	report.Breaches = x.Invariants().Count()
	return report, nil
}

// Configure applies a change and waits until it is in force in all processes.
func (x *System) Configure(ctx context.Context, change configuration.Document) error {
	out, err := x.operator.Apply(ctx, change, applyTimeout)
	switch {
	case err != nil:
		return err
	case !out.Accepted:
		return fmt.Errorf("configuration change refused: %s", out.Reason)
	}
	return x.await(ctx, applyTimeout, "the configuration to be in force", func() (bool, string) {
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

// Version returns the version of the configuration that the member has in force.
func (m *Member) Version() fulmardeal.Offset {
	if m.Entry != nil {
		return m.Entry.Node().Store().Version()
	}
	return m.Agent.Node().Store().Version()
}

// await polls the function done until it reports true, or returns a *WaitError when
// the timeout expires. The string that done returns describes how far the condition
// has come.
func (x *System) await(ctx context.Context, timeout time.Duration, condition string, done func() (bool, string)) error {
	end := time.Now().Add(timeout)
	for {
		ok, have := done()
		if ok {
			return nil
		}
		if !time.Now().Before(end) {
			return &WaitError{Want: condition, Have: have}
		}
		t := time.NewTimer(progressInterval / 10)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}

// publish publishes the job's weights in the origin, and returns their model entry,
// size and SHA-256.
func (x *System) publish(file string) (configuration.ModelEntry, int64, string, error) {
	r := GenerateWeights(x.settings.Seed, x.settings.Weights.Size)
	if file != "" {
		f, err := os.Open(file)
		if err != nil {
			return configuration.ModelEntry{}, 0, "", err
		}
		defer f.Close()
		r = f
	}
	h := sha256.New()
	n := &byteCounter{}
	v := fulmardeal.Version{Model: modelName, Name: "v1"}
	m, err := x.Publish(v, io.TeeReader(r, io.MultiWriter(h, n)))
	m.At = "service=" + x.ModelService()
	return m, n.bytes, hex.EncodeToString(h.Sum(nil)), err
}

// modelName is the name of a local run's model.
const modelName = "verse"

// byteCounter is a writer that counts bytes.
type byteCounter struct {
	bytes int64
}

func (c *byteCounter) Write(p []byte) (int, error) {
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

// NewLoadGenerator returns a generator of the load that the settings describe.
func (x *System) NewLoadGenerator(_ context.Context, _ time.Duration) (*load.Generator, error) {
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

// Addresses returns the addresses of the entries for callers.
func (x *System) Addresses() []string {
	var out []string
	for _, m := range x.Entries() {
		out = append(out, m.Entry.Address())
	}
	return out
}

// largeCustomerWeight is the ratio of the request rates of a large and a small
// customer.
const largeCustomerWeight = 4

// Customers returns the customers in the settings, with the bearer key key-NAME.
func (x *System) Customers() []load.Customer {
	var out []load.Customer
	for _, c := range x.settings.Configuration.Customer {
		weight := 1.0
		for _, l := range c.Label {
			if l.Name == "size" && l.Value == "large" {
				weight = largeCustomerWeight
			}
		}
		out = append(out, load.Customer{Name: c.Name, Key: "key-" + c.Name, Weight: weight})
	}
	return out
}

// Digests returns the digests of the versions in the origin, which are the weights
// that engines may serve.
func (x *System) Digests() []string { return x.origin.Digests() }

// identical reports whether every engine serves weights with the given SHA-256.
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

// OverLimit returns the number of requests that endpoints ran above their
// concurrency limits, plus the number of times that engines loaded incomplete
// weights.
func (x *System) OverLimit() int {
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

// distribute places the model on the engines and shows the progress until all serve
// it.
func (x *System) distribute(ctx context.Context, j Job, m configuration.ModelEntry, r *Report) error {
	started := time.Now()
	if err := x.Configure(ctx, configuration.Document{Model: []configuration.ModelEntry{m}}); err != nil {
		return err
	}
	p := newProgress(x, j)
	err := x.await(ctx, distributionTimeout, "all replicas to serve the weights", func() (bool, string) {
		ready, all := x.CountServing(fulmardeal.Version{Model: m.Name, Name: m.Version})
		p.show(time.Now())
		r.Replicas = all
		return ready == all, fmt.Sprintf("%d of %d do", ready, all)
	})
	if err != nil {
		return err
	}
	p.finish()
	r.Seconds = time.Since(started).Seconds()
	r.OriginCopies = float64(x.origin.SentBytes()) / float64(max(1, r.Size))
	fmt.Fprintf(j.Out, "%d replicas serve %s@%s after %.1f s; %.2f copies were drawn from the origin\n",
		r.Replicas, m.Name, m.Version, r.Seconds, r.OriginCopies)
	return nil
}

// CountServing returns the number of engines that serve a version, and the number
// of all engines.
func (x *System) CountServing(v fulmardeal.Version) (ready, all int) {
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

// drainAndRestore takes the last data centre of the settings out of service, waits
// until it is idle, and brings it back. It returns the seconds from the order to
// take it out of service until its endpoints began the last request.
func (x *System) drainAndRestore(ctx context.Context, j Job) (float64, error) {
	centres := x.settings.Configuration.DataCentre
	e := centres[len(centres)-1]
	e.Out = true
	before := time.Now()
	if err := x.Configure(ctx, configuration.Document{DataCentre: []configuration.DataCentreEntry{e}}); err != nil {
		return 0, err
	}
	err := x.await(ctx, drainTimeout, e.Name+" to be idle", func() (bool, string) {
		n := x.Running(e.Name)
		return n == 0, fmt.Sprintf("%d requests in progress", n)
	})
	if err != nil {
		return 0, err
	}
	last := x.LastStart(e.Name)
	stop := max(0, last.Sub(before).Seconds())
	fmt.Fprintf(j.Out, "%s is out: its last new work began %.2f s after the order\n", e.Name, stop)

	e.Out = false
	if err := x.Configure(ctx, configuration.Document{DataCentre: []configuration.DataCentreEntry{e}}); err != nil {
		return 0, err
	}
	fmt.Fprintf(j.Out, "%s is back, and opens slowly\n", e.Name)
	return stop, nil
}

// Running returns the number of requests in progress at the endpoints of a data
// centre.
func (x *System) Running(dataCentre string) int {
	n := 0
	for _, m := range x.Agents() {
		if m.DataCentre == dataCentre {
			n += m.standIn().Running()
		}
	}
	return n
}

// LastStart returns the time at which the last request began at the endpoints of a
// data centre.
func (x *System) LastStart(dataCentre string) time.Time {
	var last time.Time
	for _, m := range x.Agents() {
		if m.DataCentre == dataCentre && m.standIn().LastStart().After(last) {
			last = m.standIn().LastStart()
		}
	}
	return last
}

// endpointStandIn is what the stand-ins of engines and of plain services have in
// common.
type endpointStandIn interface {
	Running() int
	LastStart() time.Time
}

func (m *Member) standIn() endpointStandIn {
	if m.Engine != nil {
		return m.Engine
	}
	return m.Plain
}
