package choice

import (
	"fmt"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/traffic/attempt"
)

const site = `
[[datacentre]]
name = "a"
region = "r"
[[datacentre]]
name = "b"
region = "s"
[[service]]
name = "shop"
kind = "plain"
limit = 8
cold = 8
warm = "0s"
[[customer]]
name = "noor"
key = "512638fbf5ea0358b9c1ca411c5b3e2457ea7ff1c807800fd6939a17468487e5"
[[customer]]
name = "guest"
key = "512638fbf5ea0358b9c1ca411c5b3e2457ea7ff1c807800fd6939a17468487e6"
[[traffic]]
name = "noor"
customers = "customer=noor"
endpoints = ""
`

// members returns n endpoints in each of two data centres.
func members(n int) []membership.Member {
	m := membership.NewTable(fulmardeal.Instance{Incarnation: "self", Role: fulmardeal.RoleEntry}, 1)
	var updates []membership.MemberUpdate
	for i := range 2 * n {
		in := fulmardeal.Instance{Name: fmt.Sprint("e", i), Incarnation: fmt.Sprint("e", i), Role: fulmardeal.RoleAgent,
			DataCentre: "a", Region: "r", Service: "shop"}
		if i >= n {
			in.DataCentre, in.Region = "b", "s"
		}
		updates = append(updates, membership.MemberUpdate{Instance: in, Beat: 1})
	}
	m.Merge(time.Now(), updates)
	return m.Members()
}

// newTable returns the table of an entry in data centre a, with n endpoints in
// each of the data centres a and b.
func newTable(t testing.TB, n int, change configuration.Document) (*Table, *configuration.Configuration) {
	doc, err := configuration.ParseDocument("site", []byte(site))
	if err != nil {
		t.Fatal(err)
	}
	c := configuration.State{}.WithChange(doc).WithChange(change).Evaluate()
	table := NewTable("entry", "a", "r", PolicyTwoChoices, 1)
	table.Refresh(members(n), c)
	return table, c
}

func criteria(c *configuration.Configuration, customer string) Criteria {
	x, _ := c.Customer(customer)
	return Criteria{Customer: x, Service: "shop"}
}

// TestNearestDataCentre checks that requests stay in the entry's data centre until
// its endpoints are full, and go to the other data centre after that.
func TestNearestDataCentre(t *testing.T) {
	table, c := newTable(t, 3, configuration.Document{})
	now := time.Now()
	for i := range 6 {
		table.UpdateLoad(now, fmt.Sprint("e", i), attempt.Capacity{Running: 0, Limit: 8})
	}
	count := make(map[string]int)
	for range 30 {
		p, ok := table.Pick(now, criteria(c, "noor"))
		if !ok {
			t.Fatal("no endpoint picked")
		}
		count[p.Instance.DataCentre]++
	}
	if count["a"] < 22 || count["b"] == 0 {
		t.Errorf("picked %v; want nearly all 24 slots of data centre a used before those of b", count)
	}
}

// TestEligibleEndpoints checks that no policy picks an endpoint of another service,
// of a data centre that is out of service, or one that no traffic rule allows.
func TestEligibleEndpoints(t *testing.T) {
	out := configuration.Document{DataCentre: []configuration.DataCentreEntry{{Name: "a", Region: "r", Out: true}}}
	tests := []struct {
		name     string
		change   configuration.Document
		customer string
		service  string
		want     bool
	}{
		{"all well", configuration.Document{}, "noor", "shop", true},
		{"no rule for the customer", configuration.Document{}, "guest", "shop", false},
		{"another service", configuration.Document{}, "noor", "desk", false},
		{"out", out, "noor", "shop", true},
	}
	for _, tc := range tests {
		for _, p := range []Policy{PolicyRandom, PolicyLeastRequests, PolicyTwoChoices} {
			t.Run(tc.name+" "+string(p), func(t *testing.T) {
				table, c := newTable(t, 2, tc.change)
				table.policy = p
				want := criteria(c, tc.customer)
				want.Service = tc.service
				for range 20 {
					got, ok := table.Pick(time.Now(), want)
					if ok != tc.want {
						t.Fatalf("endpoint picked: %t, want %t", ok, tc.want)
					}
					if ok && c.IsOutOfService(got.Instance.DataCentre) {
						t.Fatal("picked an endpoint of a data centre that is out of service")
					}
				}
			})
		}
	}
}

// BenchmarkPick measures Pick over fleet sizes: its time must not grow with the
// fleet.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 6000} {
		b.Run(fmt.Sprint(2*n), func(b *testing.B) {
			table, c := newTable(b, n, configuration.Document{})
			want := criteria(c, "noor")
			for b.Loop() {
				now := time.Now()
				p, _ := table.Pick(now, want)
				table.UpdateLoad(now.Add(maxReportAge), p.Instance.Incarnation, attempt.Capacity{Running: 1, Limit: 8})
				table.Release(p.Instance.Incarnation)
			}
		})
	}
}

// BenchmarkRefresh measures the cost of a change of members at an entry.
func BenchmarkRefresh(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 6000} {
		b.Run(fmt.Sprint(2*n), func(b *testing.B) {
			table, c := newTable(b, n, configuration.Document{})
			all := members(n)
			b.ReportAllocs()
			for b.Loop() {
				table.Refresh(all, c)
			}
		})
	}
}
