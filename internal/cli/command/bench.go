package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"fulmardeal/internal/bench/traffic"
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
	}
	return &usageError{reason: fmt.Sprintf("no experiment is called %q", args[0])}
}

func (c *bench) traffic(ctx context.Context) error {
	s := traffic.Settings{Seed: c.Seed, For: c.For, Out: c.env.out}
	for _, p := range c.Policy {
		s.Policies = append(s.Policies, choice.Policy(p))
	}
	if len(s.Policies) == 0 {
		s.Policies = []choice.Policy{choice.PolicyRandom, choice.PolicyLeast, choice.PolicyOurs}
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

func names(all []traffic.Scenario) []string {
	var out []string
	for _, s := range all {
		out = append(out, string(s))
	}
	return out
}
