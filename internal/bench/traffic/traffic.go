// Package traffic benchmarks request handling under steady load and under
// faults. It compares policies for choosing an endpoint, on a local system of
// the size of today's deployment. The system is production code over loopback;
// only the platform and the endpoints are stand-ins.
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

// Scenario is a load and the event that happens during it.
type Scenario string

// Scenarios.
const (
	Steady            Scenario = "steady" // load of 80% of capacity, no event
	Burst             Scenario = "burst"  // load of twice the capacity, no event
	DataCentreOut     Scenario = "leave"  // a data centre is out of service for a while during a rollout of weights
	EndpointCrash     Scenario = "kill"   // endpoints crash together with their agents
	AgentIsolation    Scenario = "freeze" // agents are isolated from the network for a while
	SilentConnections Scenario = "cut"    // open connections drop all further bytes without being closed
	ColdEngines       Scenario = "cold"   // engines become cold and report it only by a new boot id
)

// Scenarios returns all scenarios in the order of a full run.
func Scenarios() []Scenario {
	return []Scenario{Steady, Burst, DataCentreOut, EndpointCrash, AgentIsolation, SilentConnections, ColdEngines}
}

// Properties of the engines, and of the load.
const (
	engineLimit         = 8                      // concurrent requests when warm
	engineColdLimit     = 2                      // concurrent requests just after a start
	engineWarmUp        = 2 * time.Second        // time in which the limit grows from engineColdLimit to engineLimit
	engineFirstToken    = 100 * time.Millisecond // time to the first token
	engineTokenInterval = 20 * time.Millisecond  // time between tokens
	tokensPerCompletion = 20

	// loadDelay is the wait between the deployment of the model and the load. The
	// agents' slow start takes 1.25 times engineWarmUp. A shorter wait would measure
	// it too.
	loadDelay = 3 * time.Second

	modelSize = 4 << 20 // bytes

	// orderFraction is the rate of orders and catalogue reads as a fraction of
	// the engines' capacity for completions.
	orderFraction = 0.2
)

// Settings configures a run.
type Settings struct {
	Seed      uint64
	Policies  []choice.Policy
	Scenarios []Scenario
	Duration  time.Duration // duration of the load in each scenario
	Output    io.Writer     // receives each row as a line
}

// Row holds the results of one scenario with one policy.
type Row struct {
	Policy   choice.Policy `json:"policy"`
	Scenario Scenario      `json:"scenario"`
	load.Summary
	OverLimit      int     `json:"over"`     // runs started above an endpoint's concurrency limit, and loads of incomplete weights
	LastStartDelay float64 `json:"stop"`     // seconds until the last start of a request in a data centre taken out of service
	Goodput        float64 `json:"goodput"`  // rate of correct completions within the deadline, as a fraction of capacity
	SuccessRate    float64 `json:"good"`     // fraction of the requests with a correct response within the deadline
	Breaches       int     `json:"breaches"` // violated invariants
}

// Run runs every scenario with every policy.
func Run(ctx context.Context, s Settings) ([]Row, error) {
	var rows []Row
	for _, sc := range s.Scenarios {
		for _, p := range s.Policies {
			r, err := runScenario(ctx, s, sc, p)
			if err != nil {
				return rows, fmt.Errorf("scenario %s with policy %s: %w", sc, p, err)
			}
			fmt.Fprintln(s.Output, r)
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// String formats the row as one line.
func (r Row) String() string {
	return fmt.Sprintf("%-7s %-7s sent %5d good %6.2f%% goodput %4.0f%% late %d refused %d unknown %d broken %d gone %d | "+
		"false %d doubled %d cut %d mixed %d wrong %d over %d breaches %d | first %.0f/%.0f/%.0f between %.0f/%.0f/%.0f refusal p95 %.0f ms stop %.2f s %v",
		r.Scenario, r.Policy, r.Sent, 100*r.SuccessRate, 100*r.Goodput, r.Late, r.Refused, r.Unknown, r.StreamErrors, r.NoResponse,
		r.FalseRefusals, r.Duplicates, r.Truncated, r.Inconsistent, r.Mismatched, r.OverLimit, r.Breaches,
		r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.TokenInterval.P50, r.TokenInterval.P95, r.TokenInterval.P99, r.RefusalTime.P95, r.LastStartDelay, r.Causes)
}

// localSettings returns the settings of the local system for the benchmark.
func localSettings(seed uint64) (local.Settings, error) {
	s, err := local.Read("")
	if err != nil {
		return s, err
	}
	s.Seed = seed
	s.Weights.Size = modelSize
	for i := range s.Configuration.Service {
		e := &s.Configuration.Service[i]
		if e.Kind == configuration.ServiceModel {
			e.Limit, e.Cold, e.Warm = engineLimit, engineColdLimit, configuration.Duration(engineWarmUp)
		}
	}
	for i := range s.Endpoint {
		g := &s.Endpoint[i]
		if g.FirstToken > 0 {
			g.FirstToken, g.TokenInterval = configuration.Duration(engineFirstToken), configuration.Duration(engineTokenInterval)
		}
	}
	s.Configuration.Budget = nil // customers have no rate limits in this benchmark
	return s, nil
}

// bench is one run of a scenario with one policy.
type bench struct {
	system         *local.System
	scenario       Scenario
	duration       time.Duration
	capacity       float64 // capacity of all engines together, in completions per second
	lastStartDelay float64 // see Row.LastStartDelay
	model          configuration.ModelEntry
}

// runScenario runs one scenario with one policy on a new local system.
func runScenario(ctx context.Context, s Settings, sc Scenario, p choice.Policy) (Row, error) {
	ls, err := localSettings(s.Seed)
	if err != nil {
		return Row{}, err
	}
	system, stop, err := local.Start(ctx, ls, local.Options{Logger: slog.New(slog.DiscardHandler), Policy: p})
	if err != nil {
		return Row{}, err
	}
	b := &bench{system: system, scenario: sc, duration: s.Duration}
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
	callTime := engineFirstToken + tokensPerCompletion*engineTokenInterval
	b.capacity = float64(engines) * engineLimit / callTime.Seconds()
	time.Sleep(loadDelay)

	g, err := load.New(b.loadSettings(seed))
	if err != nil {
		return Row{}, err
	}
	var eg errgroup.Group
	eg.Go(func() error { g.Run(ctx, b.duration); return nil })
	if err := b.triggerEvent(ctx); err != nil {
		return Row{}, err
	}
	if err := eg.Wait(); err != nil {
		return Row{}, err
	}
	return b.report(g, p), nil
}

func (b *bench) report(g *load.Generator, p choice.Policy) Row {
	row := Row{Policy: p, Scenario: b.scenario, Summary: g.Results().Summarize(b.system.Ledger())}
	row.OverLimit = b.system.OverLimit()
	row.Breaches = b.system.Invariants().Count()
	row.LastStartDelay = b.lastStartDelay
	row.SuccessRate = float64(row.Correct) / float64(max(1, row.Sent))
	row.Goodput = float64(g.Results().CountCorrect(load.KindStream, load.KindCompletion)) / b.duration.Seconds() / b.capacity
	return row
}

// loadFraction returns the rate of completions as a fraction of capacity.
func (b *bench) loadFraction() float64 {
	switch b.scenario {
	case Steady:
		return 0.8
	case Burst:
		return 2
	}
	return 0.55 // two of the three data centres can serve this load without the third
}

func (b *bench) loadSettings(seed uint64) load.Settings {
	rate := b.capacity * b.loadFraction()
	orders := b.capacity * orderFraction
	service := b.system.PlainService()
	return load.Settings{
		Seed:          seed,
		Entries:       b.system.Addresses(),
		Customers:     b.system.Customers(),
		Digests:       b.system.Digests,
		ClientLatency: time.Duration(b.system.Settings().Link.Client),
		PromptCount:   100,
		Classes: []load.RequestClass{
			{Kind: load.KindStream, Model: b.model.Name, Rate: rate * 3 / 4, Tokens: tokensPerCompletion, Timeout: 10 * time.Second},
			{Kind: load.KindCompletion, Model: b.model.Name, Rate: rate / 4, Tokens: tokensPerCompletion, Timeout: 10 * time.Second},
			{Kind: load.KindOrder, Service: service, Rate: orders / 2, Timeout: 10 * time.Second},
			{Kind: load.KindOrder, Service: service, Rate: orders / 4, Keyed: true, Timeout: 10 * time.Second},
			{Kind: load.KindCatalogueRead, Service: service, Rate: orders / 4, Timeout: 10 * time.Second},
		},
	}
}

// sleepFraction sleeps for a fraction of the duration of the load.
func (b *bench) sleepFraction(ctx context.Context, fraction float64) {
	t := time.NewTimer(time.Duration(fraction * float64(b.duration)))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// triggerEvent triggers the event of the scenario after a quarter of the load.
func (b *bench) triggerEvent(ctx context.Context) error {
	b.sleepFraction(ctx, 0.25)
	switch b.scenario {
	case DataCentreOut:
		return b.takeOutOfService(ctx)
	case EndpointCrash:
		b.crashEndpoints()
	case AgentIsolation:
		b.isolateAgents(ctx)
	case SilentConnections:
		b.system.BlackholeConnections()
	case ColdEngines:
		b.resetWarmUp()
	}
	return nil
}

// takeOutOfService takes the last data centre out of service while a new version
// of the weights is rolled out, and puts it back.
func (b *bench) takeOutOfService(ctx context.Context) error {
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
	b.sleepFraction(ctx, 0.3)
	b.lastStartDelay = max(0, b.system.LastStart(e.Name).Sub(before).Seconds())

	e.Out = false
	change.DataCentre[0] = e
	return b.system.Configure(ctx, change)
}

// crashEndpoints crashes two engines, in different data centres, and an endpoint
// of the plain service, together with their agents.
func (b *bench) crashEndpoints() {
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

// isolateAgents isolates the agents of two engines from the network for a while.
func (b *bench) isolateAgents(ctx context.Context) {
	n := 0
	for _, a := range b.system.Agents() {
		if a.Engine != nil && n < 2 {
			n++
			b.system.Isolate(a)
		}
	}
	b.sleepFraction(ctx, 0.3)
	b.system.Fabric().Heal()
}

// resetWarmUp makes three engines cold. They report it only by a new boot id.
func (b *bench) resetWarmUp() {
	n := 0
	for _, a := range b.system.Agents() {
		if a.Engine != nil && n < 3 {
			n++
			a.Engine.ResetWarmUp()
		}
	}
}
