// Package replica says which endpoints hold a model. Every agent works it out
// for itself from the configuration and its view of the members; two that
// disagree for a while hold a replica too many, never one too few for long.
package replica

import (
	"slices"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
)

// site is the candidates of one data centre, in the order of their ranks.
type site struct {
	dataCentre string
	names      []string
}

// Placed returns the names of the endpoints that are to hold the model: the
// wanted number, spread evenly over the data centres that are not out, or all
// that the model's selector matches.
func Placed(c *configuration.Configuration, m configuration.Model, members []membership.Member) []string {
	var sites []site
	for _, x := range members {
		in := x.Instance()
		if in.Role != fulmardeal.RoleAgent || in.Leaving {
			continue
		}
		if m.Replicas() > 0 && c.IsOutOfService(in.DataCentre) {
			continue // a counted replica must be of use
		}
		if !m.Placement().Matches(c.EndpointLabels(in)) {
			continue
		}
		sites = put(sites, in)
	}

	job := "replica/" + m.Version().Model
	total := 0
	for i := range sites {
		sites[i].names = membership.Order(job, slices.Compact(sites[i].names))
		total += len(sites[i].names)
	}
	want := m.Replicas()
	if want == 0 || want > total {
		want = total
	}
	return deal(job, sites, want)
}

func put(sites []site, in fulmardeal.Instance) []site {
	for i := range sites {
		if sites[i].dataCentre == in.DataCentre {
			sites[i].names = append(sites[i].names, in.Name)
			return sites
		}
	}
	return append(sites, site{dataCentre: in.DataCentre, names: []string{in.Name}})
}

// deal takes one name of each data centre in turn until there are enough.
func deal(job string, sites []site, want int) []string {
	slices.SortFunc(sites, func(a, b site) int {
		x, y := membership.Score(job, a.dataCentre), membership.Score(job, b.dataCentre)
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
		for _, s := range sites {
			if round < len(s.names) && len(out) < want {
				out = append(out, s.names[round])
			}
		}
	}
	return out
}

// Ready counts the members other than name that serve the version.
func Ready(v fulmardeal.Version, name string, members []membership.Member) int {
	n := 0
	for _, m := range members {
		if m.Serving() == v && m.Instance().Name != name && !m.Instance().Leaving {
			n++
		}
	}
	return n
}

// wavePart is the part of the endpoints in service that change over at a time.
const wavePart = 8

// Turn reports whether it is this endpoint's turn to change over to the
// version. Endpoints of a data centre that is out may change at once, and so
// may all when none of them serves the model yet. The others change over in
// waves, in an order that everybody works out alike: of those that hold the
// version, one may go when all but a wave of those before it serve it and bear
// their full load again.
func Turn(c *configuration.Configuration, v fulmardeal.Version, name string, placed []string, members []membership.Member) bool {
	var ready []string // those that hold the version, and so can change over
	old, done, all := 0, 0, 0
	for _, m := range members {
		in := m.Instance()
		if !slices.Contains(placed, in.Name) || c.IsOutOfService(in.DataCentre) {
			continue
		}
		all++
		if m.Held() == v || m.Serving() == v || in.Name == name {
			ready = append(ready, in.Name)
		}
		switch {
		case m.Serving() == v && m.Open():
			done++
		case m.Serving().Model == v.Model && m.Serving() != v:
			old++
		}
	}
	rank := slices.Index(membership.Order("turn/"+v.String(), ready), name)
	wave := max(1, all/wavePart)
	return rank < 0 || old == 0 || rank < done+wave
}

// Target returns the model that an endpoint is to serve, or false when it is
// placed for none. An endpoint holds one model: the first by name.
func Target(c *configuration.Configuration, name string, members []membership.Member) (configuration.Model, []string, bool) {
	for _, m := range c.Models() {
		placed := Placed(c, m, members)
		if slices.Contains(placed, name) {
			return m, placed, true
		}
	}
	return configuration.Model{}, nil, false
}

// Times of changing over.
const (
	// spreadTime is how long chunks take to arrive after a version is named.
	spreadTime = 3200 * time.Millisecond

	// turnMargin is left between the last engine's turn and the end of the time
	// for the change: entries stop using engines that have not changed by then.
	turnMargin = 1200 * time.Millisecond
)

// Stagger returns when an engine changes over from the version that it holds,
// when a newer one was named and must have replaced it within a time. An engine
// ends the work in progress first and takes nothing new meanwhile, some two
// seconds: so engines go one after the other, all in the same order.
func Stagger(name string, names []string, named time.Time, within time.Duration) time.Time {
	begin, end := named.Add(spreadTime), named.Add(within-turnMargin)
	rank := membership.Rank("turn", name, names)
	if rank <= 0 || len(names) < 2 || end.Before(begin) {
		return begin
	}
	return begin.Add(time.Duration(float64(end.Sub(begin)) * float64(rank) / float64(len(names)-1)))
}
