package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmardeal"
	"fulmardeal/internal/proof/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

func instance(i int) fulmardeal.Instance {
	return fulmardeal.Instance{Name: fmt.Sprint("p", i), Incarnation: fmt.Sprint("i", i)}
}

// TestViewsConverge runs processes that gossip while some crash, exchanges are
// lost and the platform's list lags. In the end every live process must list
// all live ones as alive and none that crashed.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "processes")
		now := time.Unix(1000, 0)
		var tables []*Table
		crashed := make([]bool, n)
		var list []fulmardeal.Instance
		for i := range n {
			tables = append(tables, NewTable(instance(i), uint64(i+1)))
			list = append(list, instance(i))
		}
		lossy := true
		round := func() {
			now = now.Add(time.Second)
			for i, a := range tables {
				if crashed[i] {
					continue
				}
				a.MergePlatformList(now, list) // the list still has crashed processes
				a.Tick(now)
				in, ok := a.NextProbeTarget()
				if !ok {
					continue
				}
				var j int
				if _, err := fmt.Sscanf(in.Name, "p%d", &j); err != nil {
					t.Fatal(err)
				}
				if crashed[j] || lossy && rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
					a.RecordNoAnswer(now, in.Incarnation)
					continue
				}
				b := tables[j]
				b.RecordContact(now, a.Self())
				b.Merge(now, a.UpdatesFor(in.Incarnation))
				a.RecordContact(now, b.Self())
				a.Merge(now, b.UpdatesFor(a.Self().Instance.Incarnation))
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			round()
			if rapid.IntRange(0, 9).Draw(t, "death") == 0 {
				crashed[rapid.IntRange(0, n-1).Draw(t, "victim")] = true
			}
		}
		lossy = false
		for range 60 {
			round()
		}

		for i, a := range tables {
			if crashed[i] {
				continue
			}
			known := make(map[string]State)
			for _, m := range a.Members() {
				known[m.Instance().Name] = m.State()
			}
			for j := range n {
				s, listed := known[fmt.Sprint("p", j)]
				if crashed[j] && listed && i != j {
					t.Errorf("p%d still lists p%d, which crashed, as %v", i, j, s)
				}
				if !crashed[j] && (!listed || s != Alive) {
					t.Errorf("p%d doesn't list p%d as alive (listed %t, state %v)", i, j, listed, s)
				}
			}
		}
	})
}

// TestRestartedProcessIsNewMember checks that a process which restarts under
// its old name counts as a new member, and that the lagging list doesn't revive
// its predecessor.
func TestRestartedProcessIsNewMember(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewTable(instance(0), 1)
	old := instance(1)
	a.RecordContact(now, MemberUpdate{Instance: old, Beat: 5})
	next := old
	next.Incarnation = "second"
	a.RecordReplaced(now, old.Incarnation)
	a.RecordContact(now, MemberUpdate{Instance: next, Beat: 1})
	a.MergePlatformList(now, []fulmardeal.Instance{old}) // the list still has the first incarnation

	members := a.Members()
	if len(members) != 2 || members[1].Instance().Incarnation != "second" {
		t.Errorf("members %+v, want self and the second incarnation", members)
	}
}
