package replica

import (
	"fmt"
	"testing"
	"time"
)

// Engines change over one after the other, each in its own time, all within the
// time for the change less the margin.
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
				t.Errorf("%d engines: a turn %v after the naming", n, at.Sub(named))
			}
			if seen[at] {
				t.Errorf("%d engines: two turns at %v", n, at.Sub(named))
			}
			seen[at] = true
		}
	}
	if at := Stagger("unknown", []string{"a", "b"}, named, within); at != named.Add(spreadTime) {
		t.Errorf("an engine that isn't listed waits until %v", at.Sub(named))
	}
	if at := Stagger("a", []string{"a", "b"}, named, time.Second); at.After(named.Add(spreadTime)) {
		t.Errorf("a short time: a turn %v after the naming", at.Sub(named))
	}
}
