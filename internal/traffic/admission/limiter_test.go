package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/proof/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// endpoint bears Cold requests after its start and Limit after Warm.
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

// overloads plays random traffic from many entries, endpoints that start anew
// and are found cold, and reports how often more came in than was borne.
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
			// The endpoint starts anew, which is seen before the next request.
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
					t.Fatal("refused without a time to come back")
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

// TestNeverOver checks that an endpoint never gets more new work than it bears,
// however it warms up and starts anew.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		over, book := overloads(t, false)
		if over > 0 || book.Count() > 0 {
			t.Fatalf("%d requests came in above what the endpoint bore, breaches %v", over, book.Breaches())
		}
	})
}

// TestSlowStartMatters runs the same traffic without the slow start, which
// shows that the check can fail.
func TestSlowStartMatters(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		over, _ := overloads(t, true)
		found = found || over > 0
	})
	if !found {
		t.Error("nothing came in above what was borne without the slow start")
	}
}

// TestShare checks that a large customer leaves room to a small one.
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
		t.Errorf("large customer got %d places, want 4: half of the room, less the small one's", entered)
	}
	if r := l.Enter(now, "small", 30); r != nil {
		t.Errorf("small customer refused: %s", r.Reason())
	}

	// Alone, the large customer may use all of the room.
	later := now.Add(time.Minute)
	l = NewLimiter(nil, Settings{Limit: 10, Cold: 10}, later)
	for i := range 10 {
		if r := l.Enter(later, "large", 30); r != nil {
			t.Errorf("request %d of a lone customer refused: %s", i, r.Reason())
		}
	}
}

// TestTurnsCold checks that slow answers and failures shut the limit.
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
