package command

import (
	"errors"
	"time"

	"fulmardeal"
	"fulmardeal/internal/platform/adapter"
	"fulmardeal/internal/process/agent"
	"fulmardeal/internal/process/monitor"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/proof/invariant"
)

const agentHelp = `Runs the agent of one endpoint, on the same host. It limits the endpoint's
concurrency, runs each attempt at most once, and downloads the weights. SIGTERM
stops it gracefully; SIGQUIT prints its state.

Example:
  fulmardeal agent --settings agent.toml`

// agentCommand runs the agent of one endpoint.
type agentCommand struct {
	env *environment
	settingsFlag
}

// Execute runs the agent until SIGTERM or SIGINT.
func (c *agentCommand) Execute([]string) error {
	s, err := settings.Read(c.Settings, fulmardeal.RoleAgent)
	if err != nil {
		return err
	}
	p, err := openAgentPlatform(s)
	if err != nil {
		return err
	}
	a, cleanup, err := agent.New(s, p, c.env.logger(), &invariant.Recorder{}, randomSeed())
	if err != nil {
		return err
	}
	defer cleanup()
	return c.env.serve(s, process{node: a.Node(), run: a.Run, gauges: func() []monitor.Gauge { return agentGauges(a) }})
}

func openAgentPlatform(s settings.Process) (agent.Platform, error) {
	network, log, directory, err := openPlatform(s)
	endpoint, err2 := adapter.NewEndpoint(s.Endpoint)
	if err := errors.Join(err, err2); err != nil {
		return agent.Platform{}, err
	}
	p := agent.Platform{Network: network, Log: log, Directory: directory, Origin: adapter.Unreachable{}, Endpoint: endpoint}
	if !s.Engine {
		return p, nil
	}
	origin, err := adapter.NewOrigin(s.Origin)
	engine, err2 := adapter.NewEngine(s.Endpoint)
	p.Origin, p.Engine = origin, engine
	return p, errors.Join(err, err2)
}

func agentGauges(a *agent.Agent) []monitor.Gauge {
	held, total := a.Chunks()
	return []monitor.Gauge{
		{Name: "running", Value: float64(a.Limiter().Running())},
		{Name: "limit", Value: float64(a.Limiter().Limit(time.Now()))},
		{Name: "colds", Value: float64(a.Limiter().ColdStarts())},
		{Name: "started", Value: float64(a.Attempts().Started())},
		{Name: "chunks_held", Value: float64(held)},
		{Name: "chunks", Value: float64(total)},
	}
}
