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

// engine is a small engine; it may ignore fences, lose answers and lose its
// weights.
type engine struct {
	held   fulmardeal.ActiveWeights
	checks bool
}

func (e *engine) order(o fulmardeal.LoadOrder) {
	if e.checks && o.Fence < e.held.Fence {
		return
	}
	e.held.Version, e.held.Digest, e.held.Fence = o.Version, o.Digest, max(e.held.Fence, o.Fence)
}

// TestChanges lets the target change, chunks be missing, the configuration be
// unconfirmed, the engine lose its weights and answers be lost. No order goes
// out that must not, and in the end the engine serves the target.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := &invariant.Book{}
		s := New(book)
		e := &engine{checks: rapid.Bool().Draw(t, "checks")}
		now := time.Unix(1000, 0)
		f := Facts{Fence: 1, Confirmed: true}
		running, since := 0, now

		step := func() {
			now = now.Add(200 * time.Millisecond)
			f.Held, f.HeldKnown = e.held, true
			f.Running = running
			a := s.Tick(now, f)
			if a.Order == nil {
				return
			}
			switch {
			case !f.Target.Whole:
				t.Fatal("order to load weights that are not whole")
			case !f.Confirmed:
				t.Fatal("order under a configuration that may be old")
			case !f.Target.Turn:
				t.Fatal("order out of turn")
			case a.Order.Fence < e.held.Fence:
				t.Fatalf("order with fence %d after %d", a.Order.Fence, e.held.Fence)
			case running > 0 && now.Sub(since) < drainMost:
				t.Fatal("order while answers are in progress")
			case !s.Serving().Zero():
				t.Fatal("requests are admitted during a change")
			}
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
				e.order(*a.Order)
			}
		}

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				name := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "target")
				f.Target = Target{Version: version(name), Digest: "digest-" + name, Chunks: 3, Turn: true}
				f.Fence++
			case 1:
				f.Target.Whole = !f.Target.Whole
			case 2:
				f.Confirmed = !f.Confirmed
			case 3:
				f.Target.Turn = !f.Target.Turn
			case 4:
				running, since = rapid.IntRange(0, 3).Draw(t, "running"), now
			case 5:
				e.held.Version, e.held.Digest = fulmardeal.Version{}, ""
			case 6:
				e.held.Digest = "spoiled"
			}
			step()
			if e.held.Digest == "spoiled" && e.held.Version == f.Target.Version && !f.Target.Version.Zero() && !s.Serving().Zero() {
				t.Fatal("spoiled weights are served")
			}
		}

		// All is well now.
		f.Target = Target{Version: version("v9"), Digest: "digest-v9", Chunks: 3, Whole: true, Turn: true}
		f.Fence++
		f.Confirmed = true
		running = 0
		for range 400 {
			step()
		}
		if s.Serving() != version("v9") {
			t.Fatalf("serves %v in the end, want v9", s.Serving())
		}
		if book.Count() > 0 {
			t.Fatal(book.Breaches())
		}
	})
}
