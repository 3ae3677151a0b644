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
	wholeRate = 100.0
	lendable  = 50.0
)

// entry is one entry's purse, and whether it lives.
type entry struct {
	name  string
	purse *Purse
	alive bool
}

// most plays entries that ask with changing demand, answers that are lost, and
// homes that die, and returns the largest sum of what entries held.
func most(t *rapid.T, unguarded bool) float64 {
	now := time.Unix(1000, 0)
	n := rapid.IntRange(1, 5).Draw(t, "entries")
	var entries []*entry
	for i := range n {
		e := &entry{name: fmt.Sprint("e", i), purse: NewPurse(now), alive: true}
		e.purse.Own(now, (wholeRate-lendable)/float64(n))
		entries = append(entries, e)
	}
	newLender := func() *Lender {
		l := NewLender()
		if unguarded {
			l.Unguard()
		}
		return l
	}
	lender := newLender()
	highest := 0.0
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
		e := entries[rapid.IntRange(0, n-1).Draw(t, "entry")]
		switch rapid.IntRange(0, 12).Draw(t, "event") {
		case 0:
			lender = newLender() // the home has died; another takes over
		case 1:
			e.alive = false
		default:
			if !e.alive {
				continue
			}
			demand := float64(rapid.IntRange(0, 200).Draw(t, "demand"))
			l := lender.Lend(now, Ask{Entry: e.name, Customer: "noor", Demand: demand}, lendable)
			if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				e.purse.Borrow(now, now, l)
			}
		}
		sum := 0.0
		for _, e := range entries {
			sum += e.purse.Rate(now) // a dead entry's loan counts until it lapses
		}
		highest = max(highest, sum)
	}
	return highest
}

// TestNeverOverBudget checks that entries never hold more than the customer's
// rate together, however demand moves and homes and entries die.
func TestNeverOverBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if sum := most(t, false); sum > wholeRate+1e-9 {
			t.Fatalf("entries held %v requests a second together, of %v", sum, wholeRate)
		}
	})
}

// TestWaitMatters plays the same without a new home's wait, which shows that
// the check can fail.
func TestWaitMatters(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		found = found || most(t, true) > wholeRate+1e-9
	})
	if !found {
		t.Error("the budget held without the wait")
	}
}

// TestFollowsDemand checks that the entry with the demand gets the lendable
// half.
func TestFollowsDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLender()
	busy, idle := 0.0, 0.0
	for range 20 {
		now = now.Add(Renew)
		busy = l.Lend(now, Ask{Entry: "busy", Customer: "noor", Demand: 80}, lendable).Rate
		idle = l.Lend(now, Ask{Entry: "idle", Customer: "noor", Demand: 0}, lendable).Rate
	}
	if busy < 0.9*lendable || idle > 0.1*lendable {
		t.Errorf("busy entry has %v, idle one %v, of %v", busy, idle, lendable)
	}
}
