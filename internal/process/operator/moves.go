package operator

import (
	"fmt"
	"slices"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/weights/replica"
)

// Move is one effect that a change would have.
type Move struct {
	Kind string `json:"kind"` // replica, traffic, budget or datacentre
	Name string `json:"name"`
	What string `json:"what"`
}

// String returns the move as a line.
func (m Move) String() string { return fmt.Sprintf("%s %s: %s", m.Kind, m.Name, m.What) }

// Moves works out what a change would move: replicas that come and go, endpoints
// that customers gain and lose, budgets, and data centres.
func Moves(s configuration.State, change configuration.Document, all []Status) []Move {
	before, after := s.Evaluate(), s.WithChange(change).Evaluate()
	members := membersOf(all)
	var out []Move
	out = append(out, dataCentreMoves(before, after)...)
	out = append(out, replicaMoves(before, after, members)...)
	out = append(out, customerMoves(before, after, members)...)
	return out
}

// membersOf returns the listed processes as members.
func membersOf(all []Status) []membership.Member {
	t := membership.NewTable(fulmardeal.Instance{}, 1)
	var news []membership.MemberUpdate
	for _, s := range all {
		news = append(news, membership.MemberUpdate{Instance: s.Instance, Serving: s.Word.Serving, Beat: 1})
	}
	t.Merge(time.Time{}, news)
	return slices.DeleteFunc(t.Members(), func(m membership.Member) bool { return m.Instance().Name == "" })
}

func dataCentreMoves(before, after *configuration.Configuration) []Move {
	var out []Move
	for _, d := range after.DataCentres() {
		was, known := before.DataCentre(d.Name())
		switch {
		case !known:
			out = append(out, Move{Kind: "datacentre", Name: d.Name(), What: "is new"})
		case d.OutOfService() && !was.OutOfService():
			out = append(out, Move{Kind: "datacentre", Name: d.Name(), What: "goes out"})
		case !d.OutOfService() && was.OutOfService():
			out = append(out, Move{Kind: "datacentre", Name: d.Name(), What: "comes back"})
		}
	}
	return out
}

func replicaMoves(before, after *configuration.Configuration, members []membership.Member) []Move {
	var out []Move
	for _, m := range after.Models() {
		var was []string
		if old, known := before.Model(m.Version().Model); known {
			was = replica.Placement(before, old, members)
		}
		now := replica.Placement(after, m, members)
		slices.Sort(now)
		for _, n := range now {
			if !slices.Contains(was, n) {
				out = append(out, Move{Kind: "replica", Name: m.Version().String(), What: "comes to " + n})
			}
		}
		slices.Sort(was)
		for _, n := range was {
			if !slices.Contains(now, n) {
				out = append(out, Move{Kind: "replica", Name: m.Version().String(), What: "leaves " + n})
			}
		}
	}
	return out
}

func customerMoves(before, after *configuration.Configuration, members []membership.Member) []Move {
	var out []Move
	for _, c := range after.Customers() {
		old, known := before.Customer(c.Name())
		if !known {
			out = append(out, Move{Kind: "customer", Name: c.Name(), What: "is new"})
			continue
		}
		a, b := reach(before, old, members), reach(after, c, members)
		if a != b {
			out = append(out, Move{Kind: "traffic", Name: c.Name(), What: fmt.Sprintf("reaches %d endpoints, was %d", b, a)})
		}
		if old.Rate() != c.Rate() || old.Share() != c.Share() {
			what := fmt.Sprintf("%v requests a second and %d%%, was %v and %d%%", c.Rate(), c.Share(), old.Rate(), old.Share())
			out = append(out, Move{Kind: "budget", Name: c.Name(), What: what})
		}
	}
	return out
}

// reach counts the endpoints that a customer's requests may go to.
func reach(c *configuration.Configuration, x configuration.Customer, members []membership.Member) int {
	n := 0
	for _, m := range members {
		in := m.Instance()
		if in.Role == fulmardeal.RoleAgent && !c.IsOutOfService(in.DataCentre) && c.Allowed(x, c.EndpointLabels(in)) {
			n++
		}
	}
	return n
}
