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

// fault is a fault that is injected at a time after the start.
type fault struct {
	at    time.Duration
	kind  string // silence, stall, cut, heal, kill, down or up
	agent int
}

// order is one request of a plan: an order at the shop service.
type order struct {
	at    time.Duration
	entry int
	key   string // idempotency key; orders with the same key are the same order
	body  string
	safe  bool
}

// plan is the input of a randomised run: its requests and faults.
type plan struct {
	seed        uint64
	serviceTime time.Duration // how long an endpoint takes to handle a call
	misbehaving float64       // fraction of the calls at which the endpoint misbehaves
	orders      []order
	faults      []fault
}

// planDuration is the time over which requests and faults are spread.
const planDuration = 20 * time.Second

func drawPlan(t *rapid.T) plan {
	p := plan{
		seed:        rapid.Uint64().Draw(t, "seed"),
		serviceTime: time.Duration(rapid.IntRange(1, 3000).Draw(t, "took")) * time.Millisecond,
		misbehaving: rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "bad"),
	}
	at := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(0, int(planDuration/time.Millisecond)).Draw(t, label)) * time.Millisecond
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

// result is how one order ended.
type result struct {
	order    order
	response string
	err      error
	at       time.Time
}

// run executes a plan and returns the results of its orders and the violations
// that were found.
func run(t *testing.T, p plan, withoutFence bool) (out []result, violations []string) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(p.seed, 9))
		var mu sync.Mutex
		behave := func() behaviour {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < p.misbehaving {
				return behaviour(random.IntN(4))
			}
			return behaviourGood
		}
		c, err := newCluster(3, 2, p.serviceTime, behave, withoutFence)
		if err != nil {
			t.Fatal(err)
		}
		stop := make(chan struct{})
		var background, orders sync.WaitGroup
		background.Go(func() { c.ticks(stop) })
		for _, f := range p.faults {
			background.Go(func() { c.inject(f) })
		}
		out = make([]result, len(p.orders))
		for i, o := range p.orders {
			orders.Go(func() { out[i] = c.send(o) })
		}
		orders.Wait()
		time.Sleep(2 * time.Minute) // by then every message in transit is delivered or lost
		close(stop)
		background.Wait()
		violations = c.violations(out)
		c.close()
		time.Sleep(time.Minute) // let the links deliver what is in transit
	})
	return out, violations
}

// ticks runs the agents' periodic work until stop is closed.
func (c *cluster) ticks(stop <-chan struct{}) {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			c.tick()
		}
	}
}

// inject waits until the fault is due, then injects it.
func (c *cluster) inject(f fault) {
	time.Sleep(f.at)
	a := c.agents[f.agent]
	switch f.kind {
	case "silence":
		c.fabric.Blackhole(func(_, to network.Site) bool { return to == a.site })
	case "stall":
		c.fabric.Stall(5*time.Second, func(_, to network.Site) bool { return to == a.site })
	case "cut":
		c.fabric.Partition(a.site.Instance, "a")
	case "heal":
		c.fabric.Heal()
	case "kill":
		a.cleanup()
	case "down":
		c.log.SetFaults(logDown)
	case "up":
		c.log.SetFaults(logUp)
	}
}

// send waits until the order is due, sends it and returns its result.
func (c *cluster) send(o order) result {
	time.Sleep(o.at)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	start := time.Now()
	response, err := c.routers[o.entry].Do(ctx, c.request(o.body, o.key, o.safe))
	if err != nil {
		if late := time.Since(start) - 15*time.Second; late > time.Second {
			err = errors.Join(err, fmt.Errorf("Do returned %v after the deadline", late))
		}
		return result{order: o, err: err, at: time.Now()}
	}
	defer response.Close()
	return result{order: o, response: string(response.Data())}
}

// violations compares the results with the ledger, once no attempt is in progress,
// and returns the contradictions.
func (c *cluster) violations(all []result) []string {
	var violations []string
	fail := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for _, a := range all {
		runs := c.ledger.count(a.order.body)
		if !a.order.safe && runs > 1 {
			fail("%s ran %d times", a.order.body, runs)
		}
		if a.err == nil {
			if a.response != a.order.body {
				fail("%s got the response %q, want its own body", a.order.body, a.response)
			}
			continue
		}
		var r *RefusedError
		if !errors.As(a.err, &r) {
			fail("%s ended with error %v, want a *RefusedError", a.order.body, a.err)
			continue
		}
		if r.RetryAfter <= 0 {
			fail("%s was refused without a delay before a retry", a.order.body)
		}
		// An order with a key may run for another caller after this refusal.
		ran := runs > 0 && (a.order.key == "" || c.ledger.ranBefore(a.order.body, a.at))
		if r.Ran == attempt.RanNo && ran {
			fail("%s was refused as not run, but ran %d times", a.order.body, runs)
		}
	}
	if c.book.Count() > 0 {
		fail("invariants: %v", c.book.Violations())
	}
	return violations
}

// TestRandomFaults sends orders while connections go silent or stall, agents are
// stopped or cut off, endpoints lose responses and the log is down, several of
// these at once. It checks that no order runs twice, that no order refused as not
// run has run, and that every response belongs to its order.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		if _, violations := run(t, p, false); len(violations) > 0 {
			rt.Fatal(violations)
		}
	})
}

// lossyPlan returns a plan in which connections repeatedly go silent, or delay
// what is in transit, while orders are sent. Some attempts are then queried before
// they have arrived.
func lossyPlan(seed uint64, kind string) plan {
	random := rand.New(rand.NewPCG(seed, 10))
	p := plan{seed: seed, serviceTime: 5 * time.Millisecond}
	for i := range 60 {
		at := time.Duration(random.IntN(int(planDuration/time.Millisecond))) * time.Millisecond
		p.orders = append(p.orders, order{at: at, body: fmt.Sprintf("order-%d", i)})
	}
	for range 40 {
		at := time.Duration(random.IntN(int(planDuration/time.Millisecond))) * time.Millisecond
		p.faults = append(p.faults, fault{at: at, kind: kind, agent: random.IntN(3)})
	}
	return p
}

// TestSilentConnections checks that every order gets a complete response if
// connections go silent and no other fault occurs.
func TestSilentConnections(t *testing.T) {
	for s := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", s), func(t *testing.T) {
			out, violations := run(t, lossyPlan(s, "silence"), false)
			if len(violations) > 0 {
				t.Error(violations)
			}
			for _, a := range out {
				if a.err != nil {
					t.Errorf("%s at %v: %v", a.order.body, a.order.at, a.err)
				}
			}
		})
	}
}

// TestRepeatedRunsWithoutFence shows that the check of TestRandomFaults can fail:
// without fencing, a delayed attempt still runs after its retry was sent.
func TestRepeatedRunsWithoutFence(t *testing.T) {
	for s := range uint64(50) {
		if _, violations := run(t, lossyPlan(s, "stall"), true); len(violations) > 0 {
			t.Logf("seed %d without fencing: %v", s, violations[0])
			return
		}
	}
	t.Error("no violation without fencing: the plans of 50 seeds delay no attempt beyond its retry")
}
