package budget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmardeal/internal/proof/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

const (
	customerRate = 100.0
	leasableRate = 50.0
)

// simulatedEntry is an entry of the simulation; alive is false once it has crashed.
type simulatedEntry struct {
	name  string
	quota *Quota
	alive bool
}

// maxTotalRate simulates entries with changing demand, lost replies, and crashes of
// entries and of home entries. It returns the largest sum of the rates that
// entries held at any time.
func maxTotalRate(t *rapid.T, skipWait bool) float64 {
	now := time.Unix(1000, 0)
	n := rapid.IntRange(1, 5).Draw(t, "entries")
	var entries []*simulatedEntry
	for i := range n {
		e := &simulatedEntry{name: fmt.Sprint("e", i), quota: NewQuota(now), alive: true}
		e.quota.SetStatic(now, (customerRate-leasableRate)/float64(n))
		entries = append(entries, e)
	}
	newAllocator := func() *Allocator {
		a := NewAllocator()
		if skipWait {
			a.DisableWait()
		}
		return a
	}
	allocator := newAllocator()
	highest := 0.0
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
		e := entries[rapid.IntRange(0, n-1).Draw(t, "entry")]
		switch rapid.IntRange(0, 12).Draw(t, "event") {
		case 0:
			allocator = newAllocator() // the home entry crashed and another takes over
		case 1:
			e.alive = false
		default:
			if !e.alive {
				continue
			}
			demand := float64(rapid.IntRange(0, 200).Draw(t, "demand"))
			l := allocator.Grant(now, LeaseRequest{Entry: e.name, Customer: "noor", Demand: demand}, leasableRate)
			if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				e.quota.ApplyLease(now, now, l)
			}
		}
		sum := 0.0
		for _, e := range entries {
			sum += e.quota.Rate(now) // a crashed entry's lease counts until it expires
		}
		highest = max(highest, sum)
	}
	return highest
}

// TestNeverOverBudget checks that the entries together never hold more than the
// customer's rate, for any change of demand and any crashes of entries and home
// entries.
func TestNeverOverBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if sum := maxTotalRate(t, false); sum > customerRate+1e-9 {
			t.Fatalf("entries together held %v requests per second, want at most the customer's rate of %v", sum, customerRate)
		}
	})
}

// TestOverBudgetWithoutWait checks that the budget is exceeded when a new home
// entry doesn't wait for its predecessor's leases to expire, which shows that
// the check of TestNeverOverBudget can fail.
func TestOverBudgetWithoutWait(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		found = found || maxTotalRate(t, true) > customerRate+1e-9
	})
	if !found {
		t.Error("entries never held more than the customer's rate although new home entries didn't wait")
	}
}

// TestFollowsDemand checks that nearly all of the leasable half goes to the only
// entry with demand.
func TestFollowsDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAllocator()
	busy, idle := 0.0, 0.0
	for range 20 {
		now = now.Add(RenewInterval)
		busy = a.Grant(now, LeaseRequest{Entry: "busy", Customer: "noor", Demand: 80}, leasableRate).Rate
		idle = a.Grant(now, LeaseRequest{Entry: "idle", Customer: "noor", Demand: 0}, leasableRate).Rate
	}
	if busy < 0.9*leasableRate || idle > 0.1*leasableRate {
		t.Errorf("busy entry holds %v requests per second and idle entry %v, of %v leasable", busy, idle, leasableRate)
	}
}
