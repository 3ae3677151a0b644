package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ServiceState says how a service's endpoints are shared, in a state dump. Uses are numbers of
// endpoints, averaged over time.
type ServiceState struct {
	Service   string  `json:"service"`
	Short     bool    `json:"short"`          // room is short, so customers have parts
	Part      float64 `json:"part,omitempty"` // use up to which a customer is within its part
	Served    float64 `json:"served"`         // use of all customers through all entries that are heard
	Refused   float64 `json:"refused"`        // use that requests without a slot would have made
	Customers int     `json:"customers"`      // with an account at this entry
	Entries   int     `json:"entries"`        // other entries whose reports on use count
	Unheard   bool    `json:"unheard"`        // other entries have queues, and their reports on use don't arrive
}

// States returns how the endpoints of each service are shared.
func (t *Table) States(now time.Time) []ServiceState {
	out := make([]ServiceState, 0, len(t.services))
	for _, s := range t.services {
		t.updateLevel(now, s)
		peers := t.peerUse(s.hash)
		total, _, _ := s.sum(now, peers)
		state := ServiceState{
			Service: s.name, Served: total.Served, Refused: total.Refused,
			Customers: len(s.accounts), Entries: peers.reports, Unheard: t.unheard(now, s),
		}
		if !math.IsInf(s.level, 1) {
			state.Short, state.Part = true, s.level
		}
		out = append(out, state)
	}
	slices.SortFunc(out, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
