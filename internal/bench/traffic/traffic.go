// Package traffic measures how requests fare: policies of choosing endpoints
// side by side, in steady load and under faults, on a local system of the sizes
// of today. What runs is the product's own code over loopback; only the
// platform and the endpoints are stand-ins.
package traffic

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal/internal/bench/load"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/process/local"
	"fulmardeal/internal/traffic/choice"
)

// Scenario is what happens during a load.
type Scenario string

// Scenarios.
const (
	Steady Scenario = "steady" // 80% of capacity, nothing happens
	Burst  Scenario = "burst"  // twice the capacity for a while
	Leave  Scenario = "leave"  // a data centre goes out and returns, while weights spread
	Kill   Scenario = "kill"   // endpoints die with their agents
	Freeze Scenario = "freeze" // instances fall silent for a while
	Cut    Scenario = "cut"    // open connections go silent for good
	Cold   Scenario = "cold"   // endpoints turn cold without a word
)

// Scenarios returns all scenarios in the order of a full run.
func Scenarios() []Scenario { return []Scenario{Steady, Burst, Leave, Kill, Freeze, Cut, Cold} }

// The engines of the experiment and the load that they carry.
const (
	engineLimit = 8
	engineCold  = 2
	engineWarm  = 2 * time.Second
	engineFirst = 100 * time.Millisecond
	engineToken = 20 * time.Millisecond
	tokens      = 20
	warmUp      = 3 * time.Second
	modelSize   = 4 << 20 // bytes

	// orderPart is the orders for each completion.
	orderPart = 0.2
)

// Settings describe a run.
type Settings struct {
	Seed      uint64
	Policies  []choice.Policy
	Scenarios []Scenario
	For       time.Duration // of the load in each scenario
	Out       io.Writer     // progress
}

// Row is the report of one scenario under one policy.
type Row struct {
	Policy   choice.Policy `json:"policy"`
	Scenario Scenario      `json:"scenario"`
	load.Summary
	Over     int     `json:"over"`
	Stop     float64 `json:"stop"`    // seconds until the last new work in a data centre taken out
	Goodput  float64 `json:"goodput"` // whole answers a second, as a part of capacity
	Good     float64 `json:"good"`    // part of the requests that were whole and in time
	Breaches int     `json:"breaches"`
}

// Run runs every scenario under every policy.
func Run(ctx context.Context, s Settings) ([]Row, error) {
	var rows []Row
	for _, sc := range s.Scenarios {
		for _, p := range s.Policies {
			r, err := one(ctx, s, sc, p)
			if err != nil {
				return rows, fmt.Errorf("%s under %s: %w", sc, p, err)
			}
			fmt.Fprintln(s.Out, r)
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// String returns the row as a line.
func (r Row) String() string {
	return fmt.Sprintf("%-7s %-7s sent %5d good %6.2f%% goodput %4.0f%% late %d refused %d unknown %d broken %d gone %d | "+
		"false %d doubled %d cut %d mixed %d wrong %d over %d breaches %d | first %.0f/%.0f/%.0f between %.0f/%.0f/%.0f refusal p95 %.0f ms stop %.2f s %v",
		r.Scenario, r.Policy, r.Sent, 100*r.Good, 100*r.Goodput, r.Late, r.Refused, r.Unknown, r.Broken, r.Gone,
		r.False, r.Doubled, r.Cut, r.Mixed, r.Wrong, r.Over, r.Breaches,
		r.First.P50, r.First.P95, r.First.P99, r.Between.P50, r.Between.P95, r.Between.P99, r.Refusal.P95, r.Stop, r.Causes)
}

// settings returns the local system of the experiment.
func settings(seed uint64) (local.Settings, error) {
	s, err := local.Read("")
	if err != nil {
		return s, err
	}
	s.Seed = seed
	s.Weights.Size = modelSize
	for i := range s.Configuration.Service {
		e := &s.Configuration.Service[i]
		if e.Kind == configuration.ServiceModel {
			e.Limit, e.Cold, e.Warm = engineLimit, engineCold, configuration.Duration(engineWarm)
		}
	}
	for i := range s.Endpoint {
		g := &s.Endpoint[i]
		if g.FirstToken > 0 {
			g.FirstToken, g.TokenInterval = configuration.Duration(engineFirst), configuration.Duration(engineToken)
		}
	}
	s.Configuration.Budget = nil // the load of this experiment has no customers' bounds
	return s, nil
}

// bench is one scenario under way.
type bench struct {
	system   *local.System
	scenario Scenario
	length   time.Duration
	capacity float64 // completions a second
	stop     float64
	model    configuration.ModelEntry
}

func one(ctx context.Context, s Settings, sc Scenario, p choice.Policy) (Row, error) {
	ls, err := settings(s.Seed)
	if err != nil {
		return Row{}, err
	}
	x, stop, err := local.Start(ctx, ls, local.Options{Logger: slog.New(slog.DiscardHandler), Policy: p})
	if err != nil {
		return Row{}, err
	}
	b := &bench{system: x, scenario: sc, length: s.For}
	row, err := b.run(ctx, s.Seed, p)
	stopErr := stop()
	if err != nil {
		return Row{}, err
	}
	return row, stopErr
}

func (b *bench) run(ctx context.Context, seed uint64, p choice.Policy) (Row, error) {
	m, err := b.system.Deploy(ctx, "v1")
	if err != nil {
		return Row{}, err
	}
	b.model = m
	engines := 0
	for _, a := range b.system.Agents() {
		if a.Engine != nil {
			engines++
		}
	}
	took := engineFirst + tokens*engineToken
	b.capacity = float64(engines) * engineLimit / took.Seconds()
	time.Sleep(warmUp)

	g, err := load.New(b.load(seed))
	if err != nil {
		return Row{}, err
	}
	var eg errgroup.Group
	eg.Go(func() error { g.Run(ctx, b.length); return nil })
	if err := b.event(ctx); err != nil {
		return Row{}, err
	}
	if err := eg.Wait(); err != nil {
		return Row{}, err
	}
	return b.report(g, p), nil
}

func (b *bench) report(g *load.Generator, p choice.Policy) Row {
	row := Row{Policy: p, Scenario: b.scenario, Summary: g.Results().Summarize(b.system.Ledger())}
	row.Over = b.system.OverLimit()
	row.Breaches = b.system.Book().Count()
	row.Stop = b.stop
	row.Good = float64(row.Whole) / float64(max(1, row.Sent))
	row.Goodput = float64(g.Results().WholeOf(load.Stream, load.Whole)) / b.length.Seconds() / b.capacity
	return row
}

// level returns the completions a second as a part of capacity.
func (b *bench) level() float64 {
	switch b.scenario {
	case Steady:
		return 0.8
	case Burst:
		return 2
	}
	return 0.55 // fits into two of the three data centres
}

func (b *bench) load(seed uint64) load.Settings {
	rate := b.capacity * b.level()
	orders := b.capacity * orderPart
	shop := b.system.PlainService()
	return load.Settings{
		Seed:      seed,
		Entries:   b.system.Addresses(),
		Customers: b.system.Customers(),
		Digests:   b.system.Digests,
		Client:    time.Duration(b.system.Settings().Link.Client),
		Prompts:   100,
		Parts: []load.Part{
			{Kind: load.Stream, Model: b.model.Name, Rate: rate * 3 / 4, Tokens: tokens, Timeout: 10 * time.Second},
			{Kind: load.Whole, Model: b.model.Name, Rate: rate / 4, Tokens: tokens, Timeout: 10 * time.Second},
			{Kind: load.Order, Service: shop, Rate: orders / 2, Timeout: 10 * time.Second},
			{Kind: load.Order, Service: shop, Rate: orders / 4, Keyed: true, Timeout: 10 * time.Second},
			{Kind: load.Look, Service: shop, Rate: orders / 4, Timeout: 10 * time.Second},
		},
	}
}

// wait waits for a part of the load's length.
func (b *bench) wait(ctx context.Context, part float64) {
	t := time.NewTimer(time.Duration(part * float64(b.length)))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// event makes happen what the scenario is about.
func (b *bench) event(ctx context.Context) error {
	b.wait(ctx, 0.25)
	switch b.scenario {
	case Leave:
		return b.leave(ctx)
	case Kill:
		b.kill()
	case Freeze:
		b.freeze(ctx)
	case Cut:
		b.system.BlackholeConnections()
	case Cold:
		b.chill()
	}
	return nil
}

// leave takes the last data centre out while a new version spreads, and brings
// it back.
func (b *bench) leave(ctx context.Context) error {
	centres := b.system.Settings().Configuration.DataCentre
	e := centres[len(centres)-1]
	if _, err := b.system.StartDeploy(ctx, "v2"); err != nil {
		return err
	}
	e.Out = true
	before := time.Now()
	change := configuration.Document{DataCentre: []configuration.DataCentreEntry{e}}
	if err := b.system.Configure(ctx, change); err != nil {
		return err
	}
	b.wait(ctx, 0.3)
	b.stop = max(0, b.system.LastStart(e.Name).Sub(before).Seconds())

	e.Out = false
	change.DataCentre[0] = e
	return b.system.Configure(ctx, change)
}

// kill ends two engines and a plain endpoint, with their agents.
func (b *bench) kill() {
	n := 0
	plain := false
	for _, a := range b.system.Agents() {
		if a.Engine != nil && n < 2 && a.DataCentre == b.system.Settings().Configuration.DataCentre[n].Name {
			n++
			a.Kill()
		}
		if a.Plain != nil && !plain && a.Service == b.system.PlainService() {
			plain = true
			a.Kill()
		}
	}
}

// freeze makes two engines' agents silent for a while.
func (b *bench) freeze(ctx context.Context) {
	n := 0
	for _, a := range b.system.Agents() {
		if a.Engine != nil && n < 2 {
			n++
			b.system.Isolate(a)
		}
	}
	b.wait(ctx, 0.3)
	b.system.Fabric().Heal()
}

// chill makes three engines cold.
func (b *bench) chill() {
	n := 0
	for _, a := range b.system.Agents() {
		if a.Engine != nil && n < 3 {
			n++
			a.Engine.Chill()
		}
	}
}
