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

const benchHelp = `Runs an experiment on this host and prints its figures, policies side by side:
traffic, overhead, weights, config or control.

Examples:
  fulmardeal bench traffic
  fulmardeal bench traffic --scenario leave --policy ours --for 20s --report leave.json
  fulmardeal bench weights --replicas 30`

// bench runs an experiment.
type bench struct {
	env      *environment
	Policy   []string      `long:"policy" description:"Only this policy; may be given again" value-name:"NAME"`
	Scenario []string      `long:"scenario" description:"Only this scenario; may be given again" value-name:"NAME"`
	Seed     uint64        `long:"seed" description:"Seed of the random choices" default:"1"`
	For      time.Duration `long:"for" description:"How long each part takes" default:"12s"`
	Members  []int         `long:"members" description:"config, control: only this size of the fleet; may be given again"`
	Replicas int           `long:"replicas" description:"weights: number of replicas" default:"15"`
	Size     int           `long:"size" description:"weights: bytes of the version" default:"8388608"`
	Chunk    int           `long:"chunk" description:"weights: bytes of a chunk" default:"65536"`
	Window   time.Duration `long:"window" description:"weights: time in which the origin's link carries four copies" default:"10s"`
	Regions  int           `long:"regions" description:"weights: number of regions" default:"3"`
	Region   float64       `long:"region" description:"weights: megabits a second between two regions; 0 is no bound" default:"20"`
	Faults   bool          `long:"faults" description:"weights: a fifth of the replicas die, one chunk in twenty arrives corrupt"`
	Report   string        `long:"report" description:"Write the report there, in JSON" value-name:"FILE"`
}

// Execute runs the experiment that the argument names.
func (c *bench) Execute(args []string) error {
	if len(args) != 1 {
		return &usageError{reason: "name one experiment: traffic, overhead, weights, config or control"}
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
	return &usageError{reason: fmt.Sprintf("no experiment is called %q", args[0])}
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
	fmt.Fprintf(c.env.out, "seed %d, scenarios %s\n", c.Seed, strings.Join(names(s.Scenarios), ", "))
	rows, err := traffic.Run(ctx, s)
	if err != nil {
		return err
	}
	return writeReport(c.Report, rows)
}

func (c *bench) config(ctx context.Context) error {
	rows, err := control.MeasurePropagation(ctx, control.Settings{Seed: c.Seed, Output: c.env.out}, c.sizes([]int{22, 100, 1000}))
	if err != nil {
		return err
	}
	return writeReport(c.Report, rows)
}

func (c *bench) control(ctx context.Context) error {
	s := control.Settings{Seed: c.Seed, Duration: c.For, Output: c.env.out}
	others := []int{100, 300, 1000, 3000}
	if len(c.Members) > 0 {
		others = nil
	}
	costs, err := control.MeasureCosts(ctx, s, c.sizes([]int{24, 48, 96, 192}), others)
	if err != nil {
		return err
	}
	return writeReport(c.Report, costs)
}

// sizes returns the fleets to measure.
func (c *bench) sizes(usual []int) []int {
	if len(c.Members) > 0 {
		return c.Members
	}
	return usual
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

func names(all []traffic.Scenario) []string {
	var out []string
	for _, s := range all {
		out = append(out, string(s))
	}
	return out
}
