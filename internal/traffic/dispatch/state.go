package dispatch

import (
	"cmp"
	"slices"
	"time"

	"fulmardeal/internal/traffic/ratelimit"
)

// EndpointState is the state of one endpoint in a state dump.
type EndpointState struct {
	ID          string  `json:"id"`
	Service     string  `json:"service"`
	Address     string  `json:"address"`
	Running     int     `json:"running"` // requests of this entry in progress
	PeerRunning int     `json:"others"`  // requests of other entries in progress
	Weights     int64   `json:"weights"`
	FailureRate float64 `json:"failing"`
	Suspect     bool    `json:"suspect"`
	WorkTime    float64 `json:"work,omitempty"` // mean of what the endpoint reported, 1 as usual; 0 if endpoints aren't ranked by it

	Limit *ratelimit.State `json:"limit,omitempty"` // nil if the endpoint has no limit on the rate of requests
}

// EndpointStates returns the state of all endpoints for a state dump.
func (t *Table) EndpointStates(now time.Time) []EndpointState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []EndpointState
	for name, g := range t.services {
		f := t.fleetState(now, g)
		for _, e := range g.endpoints {
			work := 0.0
			if f.byWorkTime {
				work = e.work.now(now)
			}
			out = append(out, EndpointState{
				ID: e.ID(), Service: name, Address: e.Address(), Running: e.inProgress, PeerRunning: f.peerLoads[e.hash].inProgress,
				Weights: e.weights, FailureRate: e.failureRate, Suspect: e.isSuspect(now), WorkTime: work,
				Limit: t.limits.State(now, e.limitKey),
			})
		}
	}
	return out
}

// ClassState is the state of a class of requests in a state dump.
type ClassState struct {
	Service   string  `json:"service"`
	Rank      int     `json:"rank"`
	RouteRank int     `json:"routeRank"`
	Asked     float64 `json:"asked"`  // requests per second that arrive at this entry
	Given     float64 `json:"given"`  // requests per second that get a slot
	Queued    int     `json:"queued"` // at this entry, that can still be served on time
	Elsewhere int     `json:"others"` // at other entries of this region
}

// ClassStates returns the state of the classes of the services whose requests have different
// ranks, the most urgent first, and by which factor the prediction for each of these services is
// corrected.
func (t *Table) ClassStates(now time.Time) (classes []ClassState, factors map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	factors = make(map[string]float64)
	for name, g := range t.services {
		o := g.queue.order
		if o == nil {
			continue
		}
		factors[name] = g.promise.factor(now)
		queued, _ := o.queued(now, g.queue.waiters)
		for i := range o.classes {
			c := &o.classes[i]
			classes = append(classes, ClassState{
				Service: name, Rank: c.rank, RouteRank: c.routeRank, Asked: c.asked.current(now), Given: c.given.current(now),
				Queued: queued[i], Elsewhere: t.regionLoads[c.hash].inProgress,
			})
		}
	}
	slices.SortStableFunc(classes, func(a, b ClassState) int { return cmp.Compare(a.Service, b.Service) })
	return classes, factors
}

// Counts returns the number of known endpoints and of queued requests.
func (t *Table) Counts() (endpoints, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.services {
		endpoints += len(g.endpoints)
		waiting += len(g.queue.waiters)
	}
	return endpoints, waiting
}
