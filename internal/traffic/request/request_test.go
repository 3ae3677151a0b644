package request

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fulmardeal/internal/standin/network"
	"fulmardeal/internal/traffic/attempt"
)

// fault is something that goes wrong at a time.
type fault struct {
	at    time.Duration
	kind  string // silence, stall, cut, heal, kill, down or up
	agent int
}

// order is one request of a plan.
type order struct {
	at    time.Duration
	entry int
	key   string // shared by orders that are one and the same
	body  string
	safe  bool
}

// plan is what a randomised run does, drawn before it begins.
type plan struct {
	seed   uint64
	took   time.Duration
	bad    float64 // part of the calls that the endpoint treats badly
	orders []order
	faults []fault
}

const length = 20 * time.Second

func draw(t *rapid.T) plan {
	p := plan{
		seed: rapid.Uint64().Draw(t, "seed"),
		took: time.Duration(rapid.IntRange(1, 3000).Draw(t, "took")) * time.Millisecond,
		bad:  rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "bad"),
	}
	at := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(0, int(length/time.Millisecond)).Draw(t, label)) * time.Millisecond
	}
	for i := range rapid.IntRange(1, 25).Draw(t, "orders") {
		o := order{at: at("order"), entry: rapid.IntRange(0, 1).Draw(t, "entry"), body: fmt.Sprintf("order-%d", i)}
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			o.safe = true
		case 1:
			o.key = fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(t, "key"))
			o.body = o.key
		}
		p.orders = append(p.orders, o)
	}
	kinds := []string{"silence", "stall", "cut", "heal", "kill", "down", "up"}
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		p.faults = append(p.faults, fault{at: at("fault"), kind: rapid.SampledFrom(kinds).Draw(t, "kind"), agent: rapid.IntRange(0, 2).Draw(t, "agent")})
	}
	return p
}

// answered is how one order ended.
type answered struct {
	order order
	reply string
	err   error
	at    time.Time
}

// run carries out a plan and returns the answers and what was found wrong.
func run(t *testing.T, p plan, unguarded bool) (out []answered, wrong []string) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(p.seed, 9))
		var mu sync.Mutex
		manners := func() manner {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < p.bad {
				return manner(random.IntN(4))
			}
			return mannerGood
		}
		w, err := newWorld(3, 2, p.took, manners, unguarded)
		if err != nil {
			t.Fatal(err)
		}
		stop := make(chan struct{})
		var background, orders sync.WaitGroup
		background.Go(func() { w.ticks(stop) })
		for _, f := range p.faults {
			background.Go(func() { w.inflict(f) })
		}
		out = make([]answered, len(p.orders))
		for i, o := range p.orders {
			orders.Go(func() { out[i] = w.send(o) })
		}
		orders.Wait()
		time.Sleep(2 * time.Minute) // what is still under way arrives, or never will
		close(stop)
		background.Wait()
		wrong = w.judge(out)
		w.close()
		time.Sleep(time.Minute) // the links deliver what is on its way
	})
	return out, wrong
}

func (w *world) ticks(stop <-chan struct{}) {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			w.tick()
		}
	}
}

func (w *world) inflict(f fault) {
	time.Sleep(f.at)
	a := w.agents[f.agent]
	switch f.kind {
	case "silence":
		w.fabric.Silence(func(_, to network.Site) bool { return to == a.site })
	case "stall":
		w.fabric.Stall(5*time.Second, func(_, to network.Site) bool { return to == a.site })
	case "cut":
		w.fabric.Cut(a.site.Instance, "a")
	case "heal":
		w.fabric.Heal()
	case "kill":
		a.cleanup()
	case "down":
		w.log.Set(down)
	case "up":
		w.log.Set(up)
	}
}

func (w *world) send(o order) answered {
	time.Sleep(o.at)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	begun := time.Now()
	reply, err := w.routers[o.entry].Do(ctx, w.request(o.body, o.key, o.safe))
	if err != nil {
		if late := time.Since(begun) - 15*time.Second; late > time.Second {
			err = errors.Join(err, fmt.Errorf("answered %v after its deadline", late))
		}
		return answered{order: o, err: err, at: time.Now()}
	}
	defer reply.Close()
	return answered{order: o, reply: string(reply.Data())}
}

// judge checks the answers against the ledger, once nothing is under way.
func (w *world) judge(all []answered) []string {
	var wrong []string
	fail := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	for _, a := range all {
		runs := w.ledger.count(a.order.body)
		if !a.order.safe && runs > 1 {
			fail("%s ran %d times", a.order.body, runs)
		}
		if a.err == nil {
			if a.reply != a.order.body {
				fail("%s was answered with %q", a.order.body, a.reply)
			}
			continue
		}
		var r *RefusedError
		if !errors.As(a.err, &r) {
			fail("%s ended with %v", a.order.body, a.err)
			continue
		}
		if r.After <= 0 {
			fail("%s was refused without a time to come back", a.order.body)
		}
		// A key's order may run for another caller later on.
		ran := runs > 0 && (a.order.key == "" || w.ledger.ranBefore(a.order.body, a.at))
		if r.Ran == attempt.RanNo && ran {
			fail("%s is said not to have run, and ran %d times", a.order.body, runs)
		}
	}
	if w.book.Count() > 0 {
		fail("invariants: %v", w.book.Breaches())
	}
	return wrong
}

// TestRandomFaults sends orders while connections go silent, agents die and are
// cut off, endpoints lose answers and the log goes down, two at once: no order
// runs twice, every refusal is true, and every answer is its own.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := draw(rt)
		if _, wrong := run(t, p, false); len(wrong) > 0 {
			rt.Fatal(wrong)
		}
	})
}

// lostOnTheWay is a plan in which connections fall silent, or hold back what is
// on its way, again and again while orders are sent, so that some are asked
// after before they arrive.
func lostOnTheWay(seed uint64, kind string) plan {
	random := rand.New(rand.NewPCG(seed, 10))
	p := plan{seed: seed, took: 5 * time.Millisecond}
	for i := range 60 {
		at := time.Duration(random.IntN(int(length/time.Millisecond))) * time.Millisecond
		p.orders = append(p.orders, order{at: at, body: fmt.Sprintf("order-%d", i)})
	}
	for range 40 {
		at := time.Duration(random.IntN(int(length/time.Millisecond))) * time.Millisecond
		p.faults = append(p.faults, fault{at: at, kind: kind, agent: random.IntN(3)})
	}
	return p
}

// TestSilenceIsSettled lets only connections go silent: everything else works,
// so every order must be answered whole.
func TestSilenceIsSettled(t *testing.T) {
	for s := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", s), func(t *testing.T) {
			out, wrong := run(t, lostOnTheWay(s, "silence"), false)
			if len(wrong) > 0 {
				t.Error(wrong)
			}
			for _, a := range out {
				if a.err != nil {
					t.Errorf("%s at %v: %v", a.order.body, a.order.at, a.err)
				}
			}
		})
	}
}

// TestFenceMatters runs the same plans without the fence: a late copy then runs
// beside its repeat, which shows that the check can fail.
func TestFenceMatters(t *testing.T) {
	for s := range uint64(50) {
		if _, wrong := run(t, lostOnTheWay(s, "stall"), true); len(wrong) > 0 {
			t.Logf("seed %d without the fence: %v", s, wrong[0])
			return
		}
	}
	t.Error("nothing went wrong without the fence: the plans don't bring late copies about")
}
