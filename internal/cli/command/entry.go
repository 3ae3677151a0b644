package command

import (
	"fulmardeal"
	"fulmardeal/internal/process/entry"
	"fulmardeal/internal/process/monitor"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/traffic/choice"
)

const entryHelp = `Runs an entry, which receives callers' requests from the platform's load
balancer. SIGTERM stops it gracefully; SIGQUIT prints its state.

Example:
  fulmardeal entry --settings entry.toml`

// entryCommand runs an entry.
type entryCommand struct {
	env *environment
	settingsFlag
}

// Execute runs the entry until SIGTERM or SIGINT.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.Read(c.Settings, fulmardeal.RoleEntry)
	if err != nil {
		return err
	}
	network, log, directory, err := openPlatform(s)
	if err != nil {
		return err
	}
	e, cleanup, err := entry.New(entry.Options{
		Settings:   s,
		Platform:   entry.Platform{Network: network, Log: log, Directory: directory},
		Logger:     c.env.logger(),
		Invariants: &invariant.Recorder{},
		Policy:     choice.PolicyTwoChoices,
		Seed:       randomSeed(),
	})
	if err != nil {
		return err
	}
	defer cleanup()
	return c.env.serve(s, process{node: e.Node(), run: e.Run, gauges: func() []monitor.Gauge { return entryGauges(e) }})
}

func entryGauges(e *entry.Entry) []monitor.Gauge {
	n := e.Stats().Counts()
	return []monitor.Gauge{
		{Name: "whole", Value: float64(n.Completed)},
		{Name: "refused", Value: float64(n.Refused)},
		{Name: "unknown", Value: float64(n.Unknown)},
		{Name: "broken", Value: float64(n.Broken)},
		{Name: "bad", Value: float64(n.Invalid)},
		{Name: "first_p50_seconds", Value: e.Stats().FirstBytePercentile(50).Seconds()},
		{Name: "first_p95_seconds", Value: e.Stats().FirstBytePercentile(95).Seconds()},
	}
}
