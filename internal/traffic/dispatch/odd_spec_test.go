package dispatch

import (
	"math"
	"testing"

	"fulmardeal"
)

// An engine whose specification makes a step take forever must still have a predicted time
// that can be compared: a negative one excludes the endpoint from selection.
func TestOddSpecificationKeepsEndpointsSelectable(t *testing.T) {
	for _, s := range []fulmardeal.EngineSpec{
		{Slots: 16, Step: math.MaxFloat64}, {Slots: 16, Step: 1, ReadRate: math.SmallestNonzeroFloat64}, {Slots: math.MaxInt, PerSequence: 1e300, Stride: math.MaxInt},
	} {
		for _, tokens := range []int{0, 1, 1 << 40} {
			if d := predictFirstEvent(&s, 8, tokens, tokens); d < 0 || 2*d < 0 {
				t.Errorf("%+v with %d tokens: predicted %v", s, tokens, d)
			}
		}
	}
}
