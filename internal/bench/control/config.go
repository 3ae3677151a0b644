package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/standin/platform"
)

// Scenario is the state of the log, or the number of changes, in a measurement.
type Scenario string

// Scenarios.
const (
	LogUp       Scenario = "up"    // the log works normally
	LogDown     Scenario = "down"  // the log fails as soon as one node has the change in force
	LogSlow     Scenario = "slow"  // the log responds with an added latency of 400 ms
	ChangeBurst Scenario = "burst" // burstSize changes, one right after the other
)

const (
	measurements = 10 // measurements per scenario
	burstSize    = 50 // changes per measurement in ChangeBurst
)

// Propagation holds the results of one scenario.
type Propagation struct {
	Members       int      `json:"members"` // nodes of the fleet
	Scenario      Scenario `json:"scenario"`
	Accepted      int      `json:"accepted"` // changes that the log accepted
	Refused       int      `json:"refused"`  // always 0, as no change conflicts with another
	Breaches      int      `json:"reverted"` // violated invariants of the version in force, such as a return to an older one
	MedianSeconds float64  `json:"lag"`      // median time until a change is in force, over nodes and changes
	MaxSeconds    float64  `json:"worst"`    // maximum time until a change is in force
	Appends       int      `json:"appends"`  // number of records appended to the log
}

// String formats the results as one line.
func (p Propagation) String() string {
	return fmt.Sprintf("members %4d log %-5s accepted %d refused %d reverted %d lag %.2f s worst %.2f s appends %d",
		p.Members, p.Scenario, p.Accepted, p.Refused, p.Breaches, p.MedianSeconds, p.MaxSeconds, p.Appends)
}

// MeasurePropagation measures how long a configuration change takes to be in
// force on all nodes, for each fleet size and scenario.
func MeasurePropagation(ctx context.Context, s Settings, sizes []int) ([]Propagation, error) {
	var out []Propagation
	for _, n := range sizes {
		f, err := start(ctx, n, baseConfiguration(10, 1))
		if err != nil {
			return out, err
		}
		f.awaitGossip(ctx)
		for _, sc := range []Scenario{LogUp, LogSlow, LogDown, ChangeBurst} {
			p, err := f.measureScenario(ctx, sc)
			if err != nil {
				f.close()
				return out, fmt.Errorf("%d members, log %s: %w", n, sc, err)
			}
			fmt.Fprintln(s.Output, p)
			out = append(out, p)
		}
		f.close()
	}
	return out, nil
}

// measureScenario measures the changes of one scenario.
func (f *fleet) measureScenario(ctx context.Context, sc Scenario) (Propagation, error) {
	before := f.log.Appends()
	p := Propagation{Members: len(f.nodes), Scenario: sc}
	f.log.SetFaults(platform.Faults{})
	var all []time.Duration
	for i := range measurements {
		times, err := f.measureChange(ctx, sc, i)
		if err != nil {
			return p, err
		}
		all = append(all, times...)
	}
	f.log.SetFaults(platform.Faults{})
	slices.Sort(all)
	p.MedianSeconds = all[len(all)/2].Seconds()
	p.MaxSeconds = all[len(all)-1].Seconds()
	p.Breaches = f.invariants.Count()
	p.Appends = f.log.Appends() - before
	p.Accepted = p.Appends // each change is based on the previous one, so none conflicts
	return p, nil
}

// measureChange makes one change, or a burst of changes. It returns, for each node,
// the time from the last change until the resulting version is in force on the node.
func (f *fleet) measureChange(ctx context.Context, sc Scenario, i int) ([]time.Duration, error) {
	n := 1
	if sc == ChangeBurst {
		n = burstSize
	}
	for j := range n {
		name := fmt.Sprintf("%s%d-%d", sc, i, j)
		if _, err := f.apply(ctx, name, newChange(name)); err != nil {
			return nil, err
		}
	}
	switch sc {
	case LogDown:
		defer f.log.SetFaults(platform.Faults{})
		go f.failLogOnceRead()
	case LogSlow:
		f.log.SetFaults(platform.Faults{Delay: "400ms"})
	}
	return f.await(ctx, activationTimeout)
}

// failLogOnceRead makes the log fail as soon as any node has the last version in
// force. The other nodes must then get that version from a peer.
func (f *fleet) failLogOnceRead() {
	end := time.Now().Add(activationTimeout)
	for time.Now().Before(end) {
		for _, n := range f.nodes {
			if n.Store().Version() >= f.version {
				f.log.SetFaults(platform.Faults{Down: true})
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

// newChange returns a configuration change that adds a customer.
func newChange(name string) configuration.Document {
	return configuration.Document{Customer: []configuration.CustomerEntry{{Name: name, Key: configuration.HashKey(name)}}}
}
