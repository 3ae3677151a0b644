package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"fulmardeal/internal/bench/control"
	"fulmardeal/internal/bench/traffic"
	"fulmardeal/internal/bench/weights"
	"fulmardeal/internal/traffic/choice"
)

const benchHelp = `Runs a benchmark on this host and prints its results, with a column for each
policy. The benchmarks are traffic, overhead, weights, config and control.

Examples:
  fulmardeal bench traffic
  fulmardeal bench traffic --scenario leave --policy ours --for 20s --report leave.json
  fulmardeal bench weights --replicas 30`

type bench struct {
	env      *environment
	Policy   []string      `long:"policy" description:"Run only this policy; may be repeated" value-name:"NAME"`
	Scenario []string      `long:"scenario" description:"Run only this scenario; may be repeated" value-name:"NAME"`
	Seed     uint64        `long:"seed" description:"Seed of the random number generator" default:"1"`
	For      time.Duration `long:"for" description:"Duration of each part" default:"12s"`
	Members  []int         `long:"members" description:"config, control: measure only this fleet size; may be repeated"`
	Replicas int           `long:"replicas" description:"weights: number of replicas" default:"15"`
	Size     int           `long:"size" description:"weights: size of the version in bytes" default:"8388608"`
	Chunk    int           `long:"chunk" description:"weights: size of a chunk in bytes" default:"65536"`
	Window   time.Duration `long:"window" description:"weights: time in which the origin's link can transfer four copies" default:"10s"`
	Regions  int           `long:"regions" description:"weights: number of regions" default:"3"`
	Region   float64       `long:"region" description:"weights: bandwidth between two regions in Mbit/s; 0 means unlimited" default:"20"`
	Faults   bool          `long:"faults" description:"weights: a fifth of the replicas fail, and one chunk in twenty is corrupted in transit"`
	Report   string        `long:"report" description:"Write the report to this file, in JSON" value-name:"FILE"`
}

// Execute runs the benchmark given as argument.
func (c *bench) Execute(args []string) error {
	if len(args) != 1 {
		return &usageError{reason: "expected one benchmark: traffic, overhead, weights, config or control"}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch args[0] {
	case "traffic":
		return c.traffic(ctx)
	case "overhead":
		rows, err := traffic.MeasureOverhead(ctx, c.Seed, c.env.out)
		if err != nil {
			return err
		}
		return writeReport(c.Report, rows)
	case "weights":
		return c.weights(ctx)
	case "config":
		return c.config(ctx)
	case "control":
		return c.control(ctx)
	}
	return &usageError{reason: fmt.Sprintf("unknown benchmark %q: expected traffic, overhead, weights, config or control", args[0])}
}

func (c *bench) traffic(ctx context.Context) error {
	s := traffic.Settings{Seed: c.Seed, Duration: c.For, Output: c.env.out}
	for _, p := range c.Policy {
		s.Policies = append(s.Policies, choice.Policy(p))
	}
	if len(s.Policies) == 0 {
		s.Policies = []choice.Policy{choice.PolicyRandom, choice.PolicyLeastRequests, choice.PolicyTwoChoices}
	}
	for _, n := range c.Scenario {
		s.Scenarios = append(s.Scenarios, traffic.Scenario(n))
	}
	if len(s.Scenarios) == 0 {
		s.Scenarios = traffic.Scenarios()
	}
	fmt.Fprintf(c.env.out, "seed %d, scenarios %s\n", c.Seed, strings.Join(scenarioNames(s.Scenarios), ", "))
	rows, err := traffic.Run(ctx, s)
	if err != nil {
		return err
	}
	return writeReport(c.Report, rows)
}

func (c *bench) config(ctx context.Context) error {
	rows, err := control.MeasurePropagation(ctx, control.Settings{Seed: c.Seed, Output: c.env.out}, c.fleetSizes([]int{22, 100, 1000}))
	if err != nil {
		return err
	}
	return writeReport(c.Report, rows)
}

func (c *bench) control(ctx context.Context) error {
	s := control.Settings{Seed: c.Seed, Duration: c.For, Output: c.env.out}
	otherSizes := []int{100, 300, 1000, 3000}
	if len(c.Members) > 0 {
		otherSizes = nil
	}
	costs, err := control.MeasureCosts(ctx, s, c.fleetSizes([]int{24, 48, 96, 192}), otherSizes)
	if err != nil {
		return err
	}
	return writeReport(c.Report, costs)
}

// fleetSizes returns the fleet sizes to measure: those given by flags, or the
// defaults.
func (c *bench) fleetSizes(defaults []int) []int {
	if len(c.Members) > 0 {
		return c.Members
	}
	return defaults
}

const bytesPerMegabit = 1e6 / 8

func (c *bench) weights(ctx context.Context) error {
	s := weights.Settings{
		Seed:            c.Seed,
		Replicas:        c.Replicas,
		SizeBytes:       c.Size,
		ChunkBytes:      c.Chunk,
		Window:          c.Window,
		Regions:         c.Regions,
		InterRegionRate: c.Region * bytesPerMegabit,
		Faults:          c.Faults,
		Output:          c.env.out,
	}
	for _, p := range c.Policy {
		s.Policies = append(s.Policies, weights.Policy(p))
	}
	if len(s.Policies) == 0 {
		s.Policies = []weights.Policy{weights.PolicyDirect, weights.PolicyTree, weights.PolicySwarm}
	}
	rows, err := weights.Run(ctx, s)
	if err != nil {
		return err
	}
	return writeReport(c.Report, rows)
}

func scenarioNames(scenarios []traffic.Scenario) []string {
	var out []string
	for _, s := range scenarios {
		out = append(out, string(s))
	}
	return out
}
