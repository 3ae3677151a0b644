package replica

import (
	"fmt"
	"testing"
	"time"
)

// TestStagger checks that engines change at different times, none before the
// chunks can have arrived and none later than the margin before the deadline.
func TestStagger(t *testing.T) {
	const within = 8 * time.Second
	named := time.Unix(1000, 0)
	for _, n := range []int{1, 2, 24, 88} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("10.0.0.%d", i))
		}
		seen := make(map[time.Time]bool)
		for _, name := range names {
			at := Stagger(name, names, named, within)
			if at.Before(named.Add(spreadTime)) || at.After(named.Add(within-turnMargin)) {
				t.Errorf("%d engines: turn %v after the announcement, want between spreadTime and the deadline less turnMargin", n, at.Sub(named))
			}
			if seen[at] {
				t.Errorf("%d engines: two of them have the same turn, %v after the announcement", n, at.Sub(named))
			}
			seen[at] = true
		}
	}
	if at := Stagger("unknown", []string{"a", "b"}, named, within); at != named.Add(spreadTime) {
		t.Errorf("turn of an engine that isn't listed is %v after the announcement, want spreadTime", at.Sub(named))
	}
	if at := Stagger("a", []string{"a", "b"}, named, time.Second); at.After(named.Add(spreadTime)) {
		t.Errorf("turn is %v after the announcement when the deadline is before spreadTime, want at most spreadTime", at.Sub(named))
	}
}
