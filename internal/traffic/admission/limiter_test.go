package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/proof/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// endpoint models an endpoint whose capacity rises from ColdLimit to Limit requests
// during the time WarmUp after its start.
type endpoint struct {
	settings Settings
	started  time.Time
}

func (e endpoint) capacity(now time.Time) int {
	s := e.settings
	elapsed := now.Sub(e.started)
	if elapsed >= s.WarmUp {
		return s.Limit
	}
	return s.ColdLimit + int(float64(s.Limit-s.ColdLimit)*float64(elapsed)/float64(s.WarmUp))
}

// countOverloads sends random traffic to a limiter whose endpoint is restarted now
// and then, and returns how many requests were admitted above the endpoint's
// capacity.
func countOverloads(t *rapid.T, noSlowStart bool) (overloaded int, book *invariant.Recorder) {
	book = &invariant.Recorder{}
	now := time.Unix(1000, 0)
	s := Settings{Limit: rapid.IntRange(1, 40).Draw(t, "limit"), WarmUp: time.Duration(rapid.IntRange(0, 20).Draw(t, "warm")) * time.Second}
	s.ColdLimit = rapid.IntRange(1, s.Limit).Draw(t, "cold")
	e := endpoint{settings: s, started: now}
	l := NewLimiter(book, s, now)
	if noSlowStart {
		l.DisableSlowStart()
	}

	running := 0
	names := []string{"a", "b", "c"}
	var admitted []string
	for range rapid.IntRange(1, 300).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			// The endpoint restarts, which the agent notices before the next request.
			e.started = now
			l.RestartWarmUp(now)
		case 1, 2, 3:
			if len(admitted) > 0 {
				l.Release(now, admitted[0], Outcome{FirstByte: time.Millisecond, Duration: time.Second})
				admitted = admitted[1:]
				running--
			}
		case 4:
			l.Tick(now)
		default:
			name := rapid.SampledFrom(names).Draw(t, "customer")
			if r := l.Admit(now, name, 30); r != nil {
				if r.RetryAfter() <= 0 {
					t.Fatal("refused without a time to retry after")
				}
				continue
			}
			running++
			admitted = append(admitted, name)
			if running > e.capacity(now) {
				overloaded++
			}
		}
	}
	return overloaded, book
}

// TestNeverOverload checks that no request is admitted above the endpoint's
// capacity, whatever its warm-up time and however often it restarts.
func TestNeverOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		overloaded, book := countOverloads(t, false)
		if overloaded > 0 || book.Count() > 0 {
			t.Fatalf("%d requests admitted above the endpoint's capacity, breaches %v", overloaded, book.Violations())
		}
	})
}

// TestOverloadWithoutSlowStart checks that the same traffic overloads the endpoint
// when the slow start is disabled, that is, that TestNeverOverload can fail.
func TestOverloadWithoutSlowStart(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		overloaded, _ := countOverloads(t, true)
		found = found || overloaded > 0
	})
	if !found {
		t.Error("no request was admitted above the capacity with the slow start disabled")
	}
}

// TestShare checks that one customer's requests can't crowd out another
// customer's.
func TestShare(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(nil, Settings{Limit: 10, ColdLimit: 10}, now)
	if r := l.Admit(now, "small", 30); r != nil {
		t.Fatal(r.Reason())
	}
	admitted := 0
	for range 20 {
		if l.Admit(now, "large", 30) == nil {
			admitted++
		}
	}
	if admitted != 4 {
		t.Errorf("%d requests of the large customer admitted, want 4: half of the limit, less the small customer's request", admitted)
	}
	if r := l.Admit(now, "small", 30); r != nil {
		t.Errorf("small customer refused: %s", r.Reason())
	}

	// Without other active customers, the large customer may use the whole limit.
	later := now.Add(time.Minute)
	l = NewLimiter(nil, Settings{Limit: 10, ColdLimit: 10}, later)
	for i := range 10 {
		if r := l.Admit(later, "large", 30); r != nil {
			t.Errorf("request %d of the only customer refused: %s", i, r.Reason())
		}
	}
}

// TestColdDetection checks that slow responses and failures restart the warm-up.
func TestColdDetection(t *testing.T) {
	s := Settings{Limit: 10, ColdLimit: 2, WarmUp: time.Second}
	tests := []struct {
		name    string
		outcome Outcome
		cold    bool
	}{
		{"usual", Outcome{FirstByte: 20 * time.Millisecond}, false},
		{"slow", Outcome{FirstByte: 500 * time.Millisecond}, true},
		{"failed", Outcome{Failed: true}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := NewLimiter(nil, s, now)
			now = now.Add(time.Minute)
			for range 40 {
				l.Admit(now, "a", 0)
				l.Release(now, "a", Outcome{FirstByte: 20 * time.Millisecond})
			}
			for range 2 {
				l.Admit(now, "a", 0)
				l.Release(now, "a", tc.outcome)
			}
			if cold := l.Limit(now) == s.ColdLimit; cold != tc.cold {
				t.Errorf("limit %d, want cold %t", l.Limit(now), tc.cold)
			}
		})
	}
}
