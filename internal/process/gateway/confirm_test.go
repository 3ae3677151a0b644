package gateway

import (
	"testing"

	"fulmardeal/internal/traffic/forward"
)

// An endpoint that doesn't reply when its response has ended with the connection must not
// count as one that has sent all of it, nor as one that has crashed. One that is gone hasn't
// sent all of it because it had said that it leaves.
func TestSilenceConfirmsNoEnd(t *testing.T) {
	for _, c := range []struct {
		reach              forward.Reach
		leaving            bool
		crashed, confirmed bool
	}{
		{forward.ReachOpen, false, false, true},
		{forward.ReachRefused, false, true, false},
		{forward.ReachUnknown, false, false, false},
		{forward.ReachRefused, true, false, false},
	} {
		k := &crashCheck{reach: c.reach, leaving: c.leaving}
		if k.crashed() != c.crashed || k.confirmsEnd() != c.confirmed {
			t.Errorf("%+v: crashed %t, end confirmed %t", c, k.crashed(), k.confirmsEnd())
		}
	}
}
