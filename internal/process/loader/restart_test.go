package loader

import (
	"context"
	"testing"
	"time"

	"fulmardeal"
)

// An engine that crashes soon after it was ordered to load must be ordered again at once, not
// when the first order's time is over.
func TestEngineCrashesAgainAfterOrder(t *testing.T) {
	for _, known := range []bool{true, false} { // whether the engine tells when it started
		e := &fakeEngine{t: t, staged: make(map[int][]byte)}
		var engine Engine = e
		if !known {
			engine = unknownStart{e}
		}
		l := startAgent(t, &fakeOrigin{}, engine, 8*time.Second)
		sendTarget(l, 1)
		for range 4 {
			waitUntil(t, "version 1 is held", 3*time.Second, func() bool { v, _ := e.holds(); return v == 1 })
			e.crash()
		}
	}
}

// unknownStart is an engine that doesn't tell when it started.
type unknownStart struct{ *fakeEngine }

func (e unknownStart) State(ctx context.Context) (fulmardeal.EngineState, error) {
	s, err := e.fakeEngine.State(ctx)
	s.StartedAt = time.Time{}
	return s, err
}
