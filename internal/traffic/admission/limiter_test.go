package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/proof/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// endpoint models an endpoint whose capacity rises from Cold to Limit requests
// during the time Warm after its start.
type endpoint struct {
	settings Settings
	booted   time.Time
}

func (e endpoint) bears(now time.Time) int {
	s := e.settings
	open := now.Sub(e.booted)
	if open >= s.Warm {
		return s.Limit
	}
	return s.Cold + int(float64(s.Limit-s.Cold)*float64(open)/float64(s.Warm))
}

// overloads sends random traffic to a limiter whose endpoint is restarted now
// and then, and returns how many requests were admitted above the endpoint's
// capacity.
func overloads(t *rapid.T, unguarded bool) (over int, book *invariant.Book) {
	book = &invariant.Book{}
	now := time.Unix(1000, 0)
	s := Settings{Limit: rapid.IntRange(1, 40).Draw(t, "limit"), Warm: time.Duration(rapid.IntRange(0, 20).Draw(t, "warm")) * time.Second}
	s.Cold = rapid.IntRange(1, s.Limit).Draw(t, "cold")
	e := endpoint{settings: s, booted: now}
	l := NewLimiter(book, s, now)
	if unguarded {
		l.Unguard()
	}

	running := 0
	names := []string{"a", "b", "c"}
	var inside []string
	for range rapid.IntRange(1, 300).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			// The endpoint restarts, which the agent notices before the next request.
			e.booted = now
			l.Shut(now)
		case 1, 2, 3:
			if len(inside) > 0 {
				l.Leave(now, inside[0], Outcome{First: time.Millisecond, Took: time.Second})
				inside = inside[1:]
				running--
			}
		case 4:
			l.Tick(now)
		default:
			name := rapid.SampledFrom(names).Draw(t, "customer")
			if r := l.Enter(now, name, 30); r != nil {
				if r.After() <= 0 {
					t.Fatal("refused without a time to retry after")
				}
				continue
			}
			running++
			inside = append(inside, name)
			if running > e.bears(now) {
				over++
			}
		}
	}
	return over, book
}

// TestNeverOver checks that no request is admitted above the endpoint's capacity,
// whatever its warm-up time and however often it restarts.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		over, book := overloads(t, false)
		if over > 0 || book.Count() > 0 {
			t.Fatalf("%d requests admitted above the endpoint's capacity, breaches %v", over, book.Breaches())
		}
	})
}

// TestSlowStartMatters checks that the same traffic overloads the endpoint when
// the slow start is disabled, that is, that TestNeverOver can fail.
func TestSlowStartMatters(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		over, _ := overloads(t, true)
		found = found || over > 0
	})
	if !found {
		t.Error("no request was admitted above the capacity with the slow start disabled")
	}
}

// TestShare checks that one customer's requests can't crowd out another
// customer's.
func TestShare(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(nil, Settings{Limit: 10, Cold: 10}, now)
	if r := l.Enter(now, "small", 30); r != nil {
		t.Fatal(r.Reason())
	}
	entered := 0
	for range 20 {
		if l.Enter(now, "large", 30) == nil {
			entered++
		}
	}
	if entered != 4 {
		t.Errorf("%d requests of the large customer admitted, want 4: half of the limit, less the small customer's request", entered)
	}
	if r := l.Enter(now, "small", 30); r != nil {
		t.Errorf("small customer refused: %s", r.Reason())
	}

	// Without other active customers, the large customer may use the whole limit.
	later := now.Add(time.Minute)
	l = NewLimiter(nil, Settings{Limit: 10, Cold: 10}, later)
	for i := range 10 {
		if r := l.Enter(later, "large", 30); r != nil {
			t.Errorf("request %d of the only customer refused: %s", i, r.Reason())
		}
	}
}

// TestTurnsCold checks that slow answers and failures restart the warm-up.
func TestTurnsCold(t *testing.T) {
	s := Settings{Limit: 10, Cold: 2, Warm: time.Second}
	tests := []struct {
		name    string
		outcome Outcome
		cold    bool
	}{
		{"usual", Outcome{First: 20 * time.Millisecond}, false},
		{"slow", Outcome{First: 500 * time.Millisecond}, true},
		{"failed", Outcome{Failed: true}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := NewLimiter(nil, s, now)
			now = now.Add(time.Minute)
			for range 40 {
				l.Enter(now, "a", 0)
				l.Leave(now, "a", Outcome{First: 20 * time.Millisecond})
			}
			for range 2 {
				l.Enter(now, "a", 0)
				l.Leave(now, "a", tc.outcome)
			}
			if cold := l.Limit(now) == s.Cold; cold != tc.cold {
				t.Errorf("limit %d, want cold %t", l.Limit(now), tc.cold)
			}
		})
	}
}
