package gateway

import (
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/traffic/dispatch"
	"fulmardeal/internal/traffic/fairness"
)

func (g *Gateway) updateGauges() {
	endpoints, waiting := g.table.Counts()
	dialed, reused := g.pool.Counts()
	age, known := g.operator.Age()
	if !known {
		age = -time.Second // no read of the store has succeeded yet
	}
	ready, _ := g.ready()
	s := g.stats.scope
	s.Gauge("version").Update(float64(g.catalogue.View().Version()))
	s.Gauge("store_age_seconds").Update(age.Seconds())
	s.Gauge("keys").Update(float64(g.catalogue.View().KeyCount()))
	s.Gauge("endpoints").Update(float64(endpoints))
	s.Gauge("waiting").Update(float64(waiting))
	s.Gauge("entries").Update(float64(1 + g.mesh.PeerCount()))
	s.Gauge("dialed").Update(float64(dialed))
	s.Gauge("reused").Update(float64(reused))
	s.Gauge("quarantines").Update(float64(len(g.quarantine.Quarantines())))
	g.stats.updateEgress(g.table.EgressStates())
	g.updateWeights(time.Now())
	held := g.ledger.State()
	s.Gauge("held_bytes").Update(float64(held.Bytes))
	s.Gauge("held_connections").Update(float64(held.Connections))
	s.Gauge("ready").Update(0)
	if ready {
		s.Gauge("ready").Update(1)
	}
}

// updateWeights updates the gauges of the engines' weights, and logs them while not all
// engines have the newest.
func (g *Gateway) updateWeights(now time.Time) {
	for _, w := range g.table.WeightsStates(now) {
		s := g.stats.scope.Tagged(map[string]string{"service": w.Service})
		s.Gauge("engines_current").Update(float64(w.Current))
		s.Gauge("engines_older").Update(float64(w.Older))
		s.Gauge("engines_unusable").Update(float64(w.Unusable))
		s.Gauge("weights_left_seconds").Update(w.Left.Seconds())
		if w.Older > 0 || w.Current == 0 {
			g.log.Info("weights of the engines", "service", w.Service, "current", w.Current, "older", w.Older, "unusable", w.Unusable, "left", w.Left)
		}
	}
}

// State is the state of an entry in a state dump.
type State struct {
	Name      string                   `json:"name"`
	Version   int64                    `json:"version"`
	Age       string                   `json:"age"` // time since the last successful read of the store, or "never"
	Ready     string                   `json:"ready"`
	Access    string                   `json:"access"` // whether callers need keys
	Keys      int                      `json:"keys"`   // that are accepted
	Targets   []catalogue.Target       `json:"targets"`
	Endpoints []dispatch.EndpointState `json:"endpoints"`

	Egress      []dispatch.EgressState  `json:"egress"`
	Quarantines []fulmardeal.Quarantine `json:"quarantines"`
	Ledger      ledger.State            `json:"ledger"`              // of the connections that others opened
	Parts       []fairness.ServiceState `json:"parts,omitempty"`     // how endpoints are shared among customers
	AbovePart   []fairness.Standing     `json:"abovePart,omitempty"` // customers above their part of a service's endpoints
}

func (g *Gateway) dump() any {
	age, known := g.operator.Age()
	_, reason := g.ready()
	s := State{
		Name: g.settings.Name, Version: g.catalogue.View().Version(), Age: "never", Ready: reason,
		Access: access(g.catalogue.View()), Keys: g.catalogue.View().KeyCount(),
		Targets: g.catalogue.View().Targets(), Endpoints: g.table.EndpointStates(time.Now()),
		Egress: g.table.EgressStates(), Quarantines: g.quarantine.Quarantines(), Ledger: g.ledger.State(),
	}
	s.Parts, s.AbovePart = g.table.Parts(time.Now())
	if known {
		s.Age = age.String()
	}
	return s
}

// logEgress logs the starts and ends of what leaves the data centre.
func (g *Gateway) logEgress() {
	for _, c := range g.table.EgressChanges() {
		what := "requests leave the data centre"
		if c.Share == 0 {
			what = "requests stay in the data centre"
		}
		g.log.Info(what, "service", c.Service, "to", c.To, "share", c.Share, "home", c.Home, "there", c.There, "cost", c.Cost, "reason", c.Reason)
	}
}
