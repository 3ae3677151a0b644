package activation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/proof/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

func version(name string) fulmardeal.Version {
	return fulmardeal.Version{Model: "verse", Name: name}
}

// fakeEngine checks the fence of an order only if checksFence is set.
type fakeEngine struct {
	held        fulmardeal.ActiveWeights
	checksFence bool
}

func (e *fakeEngine) order(o fulmardeal.LoadOrder) {
	if e.checksFence && o.Fence < e.held.Fence {
		return
	}
	e.held.Version, e.held.Digest, e.held.Fence = o.Version, o.Digest, max(e.held.Fence, o.Fence)
}

// TestChanges checks that no order is sent while one of its preconditions fails,
// and that the engine serves the target once all faults have ended. The faults are
// changes of the target, missing chunks, an unconfirmed configuration, an engine
// that loses or corrupts its weights, and orders that are lost.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		invariants := &invariant.Recorder{}
		c := New(invariants)
		e := &fakeEngine{checksFence: rapid.Bool().Draw(t, "checks")}
		now := time.Unix(1000, 0)
		in := Inputs{Fence: 1, Confirmed: true}
		running, since := 0, now

		step := func() {
			now = now.Add(200 * time.Millisecond)
			in.Held, in.HeldKnown = e.held, true
			in.Running = running
			a := c.Tick(now, in)
			if a.Order == nil {
				return
			}
			switch {
			case !in.Target.Complete:
				t.Fatal("order sent before all chunks of the target are stored")
			case !in.Confirmed:
				t.Fatal("order sent while the configuration is not confirmed")
			case !in.Target.TurnReached:
				t.Fatal("order sent before this endpoint's turn")
			case a.Order.Fence < e.held.Fence:
				t.Fatalf("order sent with fence %d, but the engine has fence %d", a.Order.Fence, e.held.Fence)
			case running > 0 && now.Sub(since) < drainTimeout:
				t.Fatal("order sent while responses are in progress")
			case !c.Serving().Zero():
				t.Fatal("requests are admitted while an order is sent")
			}
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
				e.order(*a.Order)
			}
		}

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				name := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "target")
				in.Target = Target{Version: version(name), Digest: "digest-" + name, Chunks: 3, TurnReached: true}
				in.Fence++
			case 1:
				in.Target.Complete = !in.Target.Complete
			case 2:
				in.Confirmed = !in.Confirmed
			case 3:
				in.Target.TurnReached = !in.Target.TurnReached
			case 4:
				running, since = rapid.IntRange(0, 3).Draw(t, "running"), now
			case 5:
				e.held.Version, e.held.Digest = fulmardeal.Version{}, ""
			case 6:
				e.held.Digest = "spoiled"
			}
			step()
			if e.held.Digest == "spoiled" && e.held.Version == in.Target.Version && !in.Target.Version.Zero() && !c.Serving().Zero() {
				t.Fatal("requests are admitted for weights with the wrong digest")
			}
		}

		// All faults have ended.
		in.Target = Target{Version: version("v9"), Digest: "digest-v9", Chunks: 3, Complete: true, TurnReached: true}
		in.Fence++
		in.Confirmed = true
		running = 0
		for range 400 {
			step()
		}
		if c.Serving() != version("v9") {
			t.Fatalf("serving %v after the faults ended, want v9", c.Serving())
		}
		if invariants.Count() > 0 {
			t.Fatal(invariants.Violations())
		}
	})
}
