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

// Effect is one effect of a configuration change.
type Effect struct {
	Kind   string `json:"kind"` // replica, traffic, budget, customer, access or datacentre
	Name   string `json:"name"`
	Detail string `json:"what"`
}

// String returns the effect as a line of text.
func (e Effect) String() string { return fmt.Sprintf("%s %s: %s", e.Kind, e.Name, e.Detail) }

// Effects returns the effects that a change of the configuration would have on data
// centres, on the placement of replicas, on the number of endpoints that customers
// reach, and on budgets.
func Effects(s configuration.State, change configuration.Document, all []Status) []Effect {
	before, after := s.Evaluate(), s.WithChange(change).Evaluate()
	members := membersOf(all)
	var out []Effect
	out = append(out, dataCentreEffects(before, after)...)
	out = append(out, replicaEffects(before, after, members)...)
	out = append(out, customerEffects(before, after, members)...)
	out = append(out, keyEffects(before, after)...)
	return out
}

// membersOf converts the status of the listed processes to members.
func membersOf(all []Status) []membership.Member {
	t := membership.NewTable(fulmardeal.Instance{}, 1)
	var updates []membership.MemberUpdate
	for _, s := range all {
		updates = append(updates, membership.MemberUpdate{Instance: s.Instance, Serving: s.Word.Serving, Beat: 1})
	}
	t.Merge(time.Time{}, updates)
	return slices.DeleteFunc(t.Members(), func(m membership.Member) bool { return m.Instance().Name == "" })
}

func dataCentreEffects(before, after *configuration.Configuration) []Effect {
	var out []Effect
	for _, d := range after.DataCentres() {
		was, known := before.DataCentre(d.Name())
		switch {
		case !known:
			out = append(out, Effect{Kind: "datacentre", Name: d.Name(), Detail: "is new"})
		case d.OutOfService() && !was.OutOfService():
			out = append(out, Effect{Kind: "datacentre", Name: d.Name(), Detail: "goes out"})
		case !d.OutOfService() && was.OutOfService():
			out = append(out, Effect{Kind: "datacentre", Name: d.Name(), Detail: "comes back"})
		}
	}
	return out
}

func replicaEffects(before, after *configuration.Configuration, members []membership.Member) []Effect {
	var out []Effect
	for _, m := range after.Models() {
		var was []string
		if old, known := before.Model(m.Version().Model); known {
			was = replica.Placement(before, old, members)
		}
		now := replica.Placement(after, m, members)
		slices.Sort(now)
		for _, n := range now {
			if !slices.Contains(was, n) {
				out = append(out, Effect{Kind: "replica", Name: m.Version().String(), Detail: "comes to " + n})
			}
		}
		slices.Sort(was)
		for _, n := range was {
			if !slices.Contains(now, n) {
				out = append(out, Effect{Kind: "replica", Name: m.Version().String(), Detail: "leaves " + n})
			}
		}
	}
	return out
}

func customerEffects(before, after *configuration.Configuration, members []membership.Member) []Effect {
	var out []Effect
	for _, c := range after.Customers() {
		old, known := before.Customer(c.Name())
		if !known {
			out = append(out, Effect{Kind: "customer", Name: c.Name(), Detail: "is new"})
			continue
		}
		a, b := countReachable(before, old, members), countReachable(after, c, members)
		if a != b {
			out = append(out, Effect{Kind: "traffic", Name: c.Name(), Detail: fmt.Sprintf("reaches %d endpoints, was %d", b, a)})
		}
		if old.Rate() != c.Rate() || old.Share() != c.Share() {
			detail := fmt.Sprintf("%v requests a second and %d%%, was %v and %d%%", c.Rate(), c.Share(), old.Rate(), old.Share())
			out = append(out, Effect{Kind: "budget", Name: c.Name(), Detail: detail})
		}
	}
	return out
}

// keyEffects returns whose keys a change takes away. With the last one, nobody is served.
func keyEffects(before, after *configuration.Configuration) []Effect {
	var out []Effect
	for _, old := range before.Customers() {
		switch c, known := after.Customer(old.Name()); {
		case !known:
			out = append(out, Effect{Kind: "customer", Name: old.Name(), Detail: "is removed, its key refused"})
		case c.KeyHash() != old.KeyHash():
			out = append(out, Effect{Kind: "customer", Name: old.Name(), Detail: "has another key, the old one is refused"})
		}
	}
	if len(before.Customers()) > 0 && len(after.Customers()) == 0 {
		out = append(out, Effect{Kind: "access", Name: "callers", Detail: "nobody has a key, every request is refused"})
	}
	return out
}

// countReachable returns the number of endpoints that a customer's requests may be
// routed to.
func countReachable(c *configuration.Configuration, x configuration.Customer, members []membership.Member) int {
	n := 0
	for _, m := range members {
		in := m.Instance()
		if in.Role == fulmardeal.RoleAgent && !c.IsOutOfService(in.DataCentre) && c.Allowed(x, c.EndpointLabels(in)) {
			n++
		}
	}
	return n
}
