package dispatch

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/fleet/feed"
)

// The line in an overload: answers that have begun, then who can be in time and
// came last, then who is late.
func TestLineOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	l := line{waiters: []*waiter{
		{want: &Want{Service: "early"}, first: at(-100), start: at(100)},
		{want: &Want{Service: "late"}, first: at(-900), start: at(-500)},
		{want: &Want{Service: "last"}, first: at(-5), start: at(90)},
		{want: &Want{Service: "begun", Begun: true}, first: at(-2000), start: at(-1500)},
		{want: &Want{Service: "long"}, first: at(-50), start: at(900)},
	}}
	l.order(now)
	var got []string
	for _, x := range l.waiters {
		got = append(got, x.want.Service)
	}
	if s := strings.Join(got, " "); s != "begun last long early late" {
		t.Error(s)
	}
	if n := l.pressing(now); n != 4 {
		t.Errorf("%d can be in time, want 4", n)
	}
}

// Whoever is outrun is refused at once; an answer that has begun never is.
func TestOutrun(t *testing.T) {
	now := time.Unix(1000, 0)
	var l line
	for i := range 30 {
		l.waiters = append(l.waiters, &waiter{want: &Want{Begun: i == 29}, until: now.Add(100 * time.Millisecond)})
	}
	if n := len(l.outrun(now, 100)); n != 29-15 {
		t.Errorf("%d refused, want all beyond the 4 + 10 that may get a place", n)
	}
}

// Callers that must go are told when to come back within what they accept, not
// all at the same time.
func TestComeBack(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, r := range []Refusal{RefusedFull, RefusedNone, RefusedLate} {
		seen := make(map[time.Duration]bool)
		for range 100 {
			after := comeBack(r, 5, random)
			if after < returnLeast || after > returnMost {
				t.Errorf("%s: come back after %v", r, after)
			}
			seen[after] = true
		}
		if len(seen) < 50 {
			t.Errorf("%s: only %d different times", r, len(seen))
		}
	}
}

// Sums over several entries hold: each gives a cold endpoint only its share.
func TestColdRate(t *testing.T) {
	now := time.Unix(1000, 0)
	const entries, rate = 3, 36
	total := 0
	for range entries {
		e := &Endpoint{service: &fulmardeal.Service{ColdRate: rate}, coldUntil: now.Add(time.Minute)}
		for range 100 {
			if e.mayColdRun(now, entries) {
				e.noteSent(now)
				total++
			}
		}
	}
	if total > rate {
		t.Errorf("%d requests in a second to an endpoint that bears %d", total, rate)
	}
}

// Old weights aren't used once their time is over; until then they are.
func TestFreshWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &Endpoint{id: "i", service: &fulmardeal.Service{Engine: &fulmardeal.EngineSpec{Slots: 1}}, weights: 1, region: "r"}
	f := &field{now: now, entries: 1, out: func(string) bool { return false }, others: func(uint64) others { return others{} }}
	for _, fresh := range []bool{true, false} {
		f.fresh = func(int64) bool { return fresh }
		if got := serves(f, e, &Want{}); got != fresh {
			t.Errorf("fresh %v: serves %v", fresh, got)
		}
	}
	f.fresh = func(int64) bool { return true }
	if serves(f, e, &Want{Exact: 2}) {
		t.Error("an answer goes on with other weights")
	}
	if serves(f, e, &Want{Homes: [][]string{{}, {"elsewhere"}}}) {
		t.Error("a request leaves its home regions")
	}
}

// gulposh-cards-grown scale-1, seed 750379409095: a request that was sent to an
// engine with older weights 0.84 s before their time was over began 58 ms after it,
// behind the prompts of eleven others.
func TestOldWeightsEndEarlyEnough(t *testing.T) {
	const bound = 8 * time.Second
	for _, c := range []struct {
		left   time.Duration // until the old weights' time is over
		placed bool
	}{{2 * time.Second, true}, {1060 * time.Millisecond, false}, {840 * time.Millisecond, false}} {
		now := time.Now()
		var v catalogue.Table
		v.Apply(now, feed.Batch{Changes: []fulmardeal.Change{{Key: "config", Offset: 1, Catalogue: &fulmardeal.Catalogue{
			Version:  1,
			Services: []fulmardeal.Service{{Name: "llm", Engine: &fulmardeal.EngineSpec{Slots: 1, Layers: 1, Models: []fulmardeal.EngineModel{{Name: "m"}}}}},
		}}}})
		v.Learn(now.Add(c.left-bound), fulmardeal.Naming{Model: "m", Version: 2})
		table := New(Options{Bounds: fulmardeal.Bounds{VersionSwitch: bound}})
		table.Refresh(now, []fulmardeal.Registration{{ID: "i", Service: "llm", Address: "a:1", Engine: true, Spans: []fulmardeal.Span{{To: 1, Version: 1}}}}, v.View())
		p, err := table.Place(t.Context(), &Want{Service: "llm", Sent: now, Latest: now.Add(6 * time.Second), Objective: 400 * time.Millisecond})
		if (err == nil) != c.placed {
			t.Errorf("%v left: placed %v, want %v", c.left, err == nil, c.placed)
		}
		if p != nil {
			p.End(FateServed)
		}
	}
}
