// Package replica places the replicas of models on endpoints and schedules their
// change to a new version.
//
// Each agent computes the placement independently, from the configuration and its
// own view of the membership. Agents whose views differ for a while may hold one
// replica too many, but not one too few for long.
package replica

import (
	"slices"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
)

// dataCentreCandidates holds the candidate endpoints of one data centre, in
// placement order once they are ranked.
type dataCentreCandidates struct {
	dataCentre string
	names      []string
}

// Placement returns the names of the endpoints that should hold the model. A model
// with a replica count gets that many endpoints, spread evenly over the data
// centres that are in service. Without one, all endpoints that match its selector
// hold it.
func Placement(c *configuration.Configuration, m configuration.Model, members []membership.Member) []string {
	var candidates []dataCentreCandidates
	for _, x := range members {
		in := x.Instance()
		if in.Role != fulmardeal.RoleAgent || in.Leaving {
			continue
		}
		if m.Replicas() > 0 && c.IsOutOfService(in.DataCentre) {
			continue // a replica there takes no traffic, so it must not count as one of the replicas
		}
		if !m.Selector().Matches(c.EndpointLabels(in)) {
			continue
		}
		candidates = addCandidate(candidates, in)
	}

	key := "replica/" + m.Version().Model
	total := 0
	for i := range candidates {
		candidates[i].names = membership.Order(key, slices.Compact(candidates[i].names))
		total += len(candidates[i].names)
	}
	want := m.Replicas()
	if want == 0 || want > total {
		want = total
	}
	return chooseRoundRobin(key, candidates, want)
}

func addCandidate(candidates []dataCentreCandidates, in fulmardeal.Instance) []dataCentreCandidates {
	for i := range candidates {
		if candidates[i].dataCentre == in.DataCentre {
			candidates[i].names = append(candidates[i].names, in.Name)
			return candidates
		}
	}
	return append(candidates, dataCentreCandidates{dataCentre: in.DataCentre, names: []string{in.Name}})
}

// chooseRoundRobin chooses want names, one from each data centre in turn. The data
// centres are ordered by their rendezvous hash.
func chooseRoundRobin(key string, candidates []dataCentreCandidates, want int) []string {
	slices.SortFunc(candidates, func(a, b dataCentreCandidates) int {
		x, y := membership.Score(key, a.dataCentre), membership.Score(key, b.dataCentre)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})

	var out []string
	for round := 0; len(out) < want; round++ {
		for _, c := range candidates {
			if round < len(c.names) && len(out) < want {
				out = append(out, c.names[round])
			}
		}
	}
	return out
}

// CountServing returns how many members other than name serve the version and are not
// leaving.
func CountServing(v fulmardeal.Version, name string, members []membership.Member) int {
	n := 0
	for _, m := range members {
		if m.Serving() == v && m.Instance().Name != name && !m.Instance().Leaving {
			n++
		}
	}
	return n
}

// rolloutWaves is the number of waves into which a rollout divides the endpoints in
// service. At most about one wave of endpoints changes at a time.
const rolloutWaves = 8

// TurnReached reports whether the endpoint called name may change to the version now.
//
// Endpoints of a data centre that is out of service may change at once, and so may
// all endpoints while none of them serves another version of the model. Otherwise
// the endpoints that hold the version change in waves, in an order that is the same
// for every agent. An endpoint may change when fewer than a wave of the endpoints
// before it still have to change. An endpoint has changed once it serves the version
// and accepts its full load again.
func TurnReached(c *configuration.Configuration, v fulmardeal.Version, name string, placed []string, members []membership.Member) bool {
	var ready []string // endpoints that hold the version, and so can change to it
	outdated, updated, inService := 0, 0, 0
	for _, m := range members {
		in := m.Instance()
		if !slices.Contains(placed, in.Name) || c.IsOutOfService(in.DataCentre) {
			continue
		}
		inService++
		if m.Held() == v || m.Serving() == v || in.Name == name {
			ready = append(ready, in.Name)
		}
		switch {
		case m.Serving() == v && m.Open():
			updated++
		case m.Serving().Model == v.Model && m.Serving() != v:
			outdated++
		}
	}
	rank := slices.Index(membership.Order("turn/"+v.String(), ready), name)
	wave := max(1, inService/rolloutWaves)
	return rank < 0 || outdated == 0 || rank < updated+wave
}

// AssignedModel returns the model that an endpoint should serve and the names of all
// endpoints on which that model is placed. It returns false if no model is placed on
// the endpoint. If several are, the endpoint holds only the first by name.
func AssignedModel(c *configuration.Configuration, name string, members []membership.Member) (configuration.Model, []string, bool) {
	for _, m := range c.Models() {
		placed := Placement(c, m, members)
		if slices.Contains(placed, name) {
			return m, placed, true
		}
	}
	return configuration.Model{}, nil, false
}

const (
	// distributionTime is how long the chunks take to arrive after a version is
	// announced.
	distributionTime = 3200 * time.Millisecond

	// changeDuration is how long an engine accepts no requests while it changes.
	changeDuration = 2500 * time.Millisecond

	// DeadlineMargin is the time between the turn of the last engine and the deadline
	// of the rollout. After the deadline, entries stop using engines that have not
	// changed.
	DeadlineMargin = 1200 * time.Millisecond
)

// ChangeTime returns when the engine called name should change to a newer version
// that was announced at the given time and must replace the old one within the given
// duration. Before it changes, an engine finishes its work in progress and accepts no
// requests for about 2 s. The changes are therefore spread evenly over the time from
// distributionTime to DeadlineMargin before the deadline, in an order that is the
// same for every agent.
func ChangeTime(name string, names []string, announced time.Time, within time.Duration) time.Time {
	return changeTime(membership.Rank("turn", name, names), len(names), announced, within)
}

// Turn is the turn of one engine in a change.
type Turn struct {
	At   time.Time
	Late bool // the engine is in the later half, which has the odd one
}

// Change is a change of all engines from one version to the next.
type Change struct {
	To        int64         // number of the version
	Announced time.Time     // when it was published
	Within    time.Duration // time in which all engines must have changed
	Before    time.Time     // until when the version before the held one may be used; zero if there is none
}

// ChangeTurn returns when the engine should change to the next version, as ChangeTime
// does. The order is reversed from one version to the next: if they overlap, the engines
// that are the first to change to one serve it while the others, which have waited for
// the next one, change when that one arrives and the version that they hold ends.
func ChangeTurn(name string, names []string, c Change) Turn {
	rank, n := membership.Rank("turn", name, names), len(names)
	if rank >= 0 && c.To%2 != 0 {
		rank = n - 1 - rank
	}
	t := Turn{At: changeTime(rank, n, c.Announced, c.Within), Late: 2*rank >= n-1 && n > 1}
	begin, end := c.Before.Add(changeDuration-DeadlineMargin), c.Announced.Add(c.Within-DeadlineMargin)
	if t.Late && !c.Before.IsZero() && t.At.Before(end) && begin.After(c.Announced.Add(distributionTime)) && begin.Before(end) {
		position := float64(2*rank-n) / float64(n)
		t.At = maxTime(t.At, begin.Add(time.Duration(float64(end.Sub(begin))*position)))
	}
	return t
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func changeTime(rank, n int, announced time.Time, within time.Duration) time.Time {
	begin, end := announced.Add(distributionTime), announced.Add(within-DeadlineMargin)
	if rank <= 0 || n < 2 || end.Before(begin) {
		return begin
	}
	return begin.Add(time.Duration(float64(end.Sub(begin)) * float64(rank) / float64(n-1)))
}
