package configuration

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
)

// change returns a change that sets one customer with a tier label.
func change(name, tier string) Document {
	return Document{Customer: []CustomerEntry{{
		Name:  name,
		Key:   HashKey(name),
		Label: []LabelEntry{{Name: "tier", Value: tier}},
	}}}
}

func record(t interface{ Fatal(...any) }, at fulmardeal.Offset, id string, base fulmardeal.Offset, d Document) fulmardeal.Record {
	body, err := EncodeChange(id, base, d)
	if err != nil {
		t.Fatal(err)
	}
	return fulmardeal.Record{Offset: at, Body: body}
}

func TestFoldRefuses(t *testing.T) {
	first := record(t, 1, "first", 0, change("noor", "small"))
	tests := []struct {
		name   string
		record fulmardeal.Record
		reason string
	}{
		{"stale base", record(t, 2, "x", 0, change("noor", "large")), "changed at version 1, after version 0"},
		{"not TOML", fulmardeal.Record{Offset: 2, Body: []byte("{]")}, "record is not TOML"},
		{"newer format", fulmardeal.Record{Offset: 2, Body: []byte("format = 9\nid = \"x\"\ncolour = 1\n")}, "record format 9"},
		{"unknown key", fulmardeal.Record{Offset: 2, Body: []byte("format = 1\nid = \"x\"\ncolour = 1\n")}, "unknown key"},
		{"too large", fulmardeal.Record{Offset: 2, Body: make([]byte, 10<<20)}, "the maximum is"},
		{"faulty", record(t, 2, "x", 1, Document{Customer: []CustomerEntry{{Name: "a/b", Key: HashKey("a")}}}), "is not a valid name"},
		{"over budget", record(t, 2, "x", 1, Document{Budget: []BudgetEntry{{Name: "b", Share: 60}},
			Customer: []CustomerEntry{{Name: "two", Key: HashKey("two")}}}), "over 100%"},
		{"all out", record(t, 2, "x", 1, Document{DataCentre: []DataCentreEntry{{Name: "a", Region: "r", Out: true}}}), "every data centre"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			before, v := State{}.Fold(first)
			if !v.Accepted() {
				t.Fatalf("first record refused: %s", v.Reason())
			}
			after, v := before.Fold(tc.record)
			if v.Accepted() || !strings.Contains(v.Reason(), tc.reason) {
				t.Errorf("accepted %t, reason %q; want a refusal with %q", v.Accepted(), v.Reason(), tc.reason)
			}
			if diff := cmp.Diff(before.Document(), after.Document()); diff != "" {
				t.Errorf("a refused record changed the configuration:\n%s", diff)
			}
			if after.Version() != 2 {
				t.Errorf("version %d after the refusal, want 2: a refused record still advances the version", after.Version())
			}
		})
	}
}

// drawHistory draws a stream of concurrent changes with some invalid records,
// some duplicates and some snapshots.
func drawHistory(t *rapid.T) []fulmardeal.Record {
	var out []fulmardeal.Record
	s := State{}
	n := rapid.IntRange(1, 30).Draw(t, "records")
	for i := 1; i <= n; i++ {
		at := fulmardeal.Offset(i)
		r := fulmardeal.Record{Offset: at, Body: []byte("nonsense = [")}
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0:
		case 1:
			r.Body = s.Canonical()
		case 2:
			if len(out) > 0 {
				r.Body = out[len(out)-1].Body // a retry of an append whose response was lost
			}
		default:
			base := s.Version() - fulmardeal.Offset(rapid.IntRange(0, 3).Draw(t, "behind"))
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			d := change(name, fmt.Sprint("tier", i))
			if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
				d = Document{Remove: []RemoveEntry{{Kind: "customer", Name: name}}}
			}
			r = record(t, at, fmt.Sprint("id", i), max(0, base), d)
		}
		s, _ = s.Fold(r)
		out = append(out, r)
	}
	return out
}

// TestReadersConverge checks that all readers of a stream end with the same
// canonical bytes, and that the version in force never decreases. Readers start from
// records, a peer's snapshot or a trimmed log, and may get updates twice or out of
// order.
func TestReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawHistory(t)
		want := State{}
		states := []State{want}
		for _, r := range all {
			want, _ = want.Fold(r)
			states = append(states, want)
		}

		invariants := &invariant.Recorder{}
		s := NewStore(invariants)
		for range rapid.IntRange(0, 20).Draw(t, "updates") {
			s.Apply(drawUpdate(t, all, states))
			if v := s.Version(); v > 0 && s.State().Digest() != states[v].Digest() {
				t.Fatalf("state at version %d differs from the fold of the log", v)
			}
		}
		s.Apply(Update{Records: all})
		if s.State().Digest() != want.Digest() {
			t.Fatalf("final state differs from the fold of the log:\n%s", cmp.Diff(string(want.Canonical()), string(s.State().Canonical())))
		}
		if invariants.Count() > 0 {
			t.Fatal(invariants.Violations())
		}
	})
}

func drawUpdate(t *rapid.T, all []fulmardeal.Record, states []State) Update {
	from := rapid.IntRange(0, len(all)).Draw(t, "from")
	to := rapid.IntRange(from, len(all)).Draw(t, "to")
	switch rapid.IntRange(0, 2).Draw(t, "update") {
	case 0:
		return Update{Records: all[from:to]}
	case 1:
		if from == 0 {
			return Update{}
		}
		return Update{Snapshot: states[from].Canonical()}
	}
	return InitialUpdate(all[from:to])
}

// TestOlderSnapshotIsIgnored checks that a store ignores a snapshot older than
// its state. Without the check in restore the version in force would decrease.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	old, _ := State{}.Fold(record(t, 1, "one", 0, change("a", "small")))
	s := NewStore(&invariant.Recorder{})
	s.Apply(Update{Records: []fulmardeal.Record{
		record(t, 1, "one", 0, change("a", "small")),
		record(t, 2, "two", 1, change("a", "large")),
	}})
	s.Apply(Update{Snapshot: old.Canonical()})
	if s.Version() != 2 {
		t.Errorf("version %d after an older snapshot, want 2", s.Version())
	}
}

// flakyLog is an in-memory log. When lose returns true, an append takes effect but its
// response is lost.
type flakyLog struct {
	records []fulmardeal.Record
	lose    func() bool
}

func (l *flakyLog) Append(_ context.Context, _ string, body []byte) (fulmardeal.Offset, error) {
	at := fulmardeal.Offset(len(l.records) + 1)
	l.records = append(l.records, fulmardeal.Record{Offset: at, Time: time.Unix(0, 0), Body: body})
	if l.lose() {
		return 0, errors.New("response lost")
	}
	return at, nil
}

func (l *flakyLog) Read(_ context.Context, _ string, from fulmardeal.Offset, limit int) ([]fulmardeal.Record, error) {
	i := min(int(from)-1, len(l.records))
	return l.records[i:min(i+limit, len(l.records))], nil
}

// operation is a compare-and-set of one customer's tier, or a read when tier is
// empty.
type operation struct {
	tier string // new value
	seen string // value that the writer read before
}

// register is the linearizability model of one entity that is changed by
// compare-and-set.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		w := input.(operation)
		if w.tier == "" {
			return output.(string) == state.(string), state
		}
		if output.(string) == "accepted" {
			return state.(string) == w.seen, w.tier
		}
		return state.(string) != w.seen, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestConcurrentChangesAreLinearizable checks that concurrent changes by
// operators are linearizable, also when responses are lost and appends retried. Of
// the conflicting changes that are based on the same version, the first must be
// accepted and the others must be reported as refused.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &flakyLog{lose: func() bool { return rapid.IntRange(0, 3).Draw(t, "lose") == 0 }}
		ctx := context.Background()
		var ops []porcupine.Operation
		clock := int64(0)
		tick := func() int64 { clock++; return clock }

		for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			// Every operator of a round reads before any of them writes.
			n := rapid.IntRange(1, 3).Draw(t, "operators")
			start := tick()
			s := NewStore(nil)
			if err := ReadLog(ctx, l, s); err != nil {
				t.Fatal(err)
			}
			seen, base := tierOf(s), s.Version()
			for i := range n {
				id := fmt.Sprintf("r%d-%d", round, i)
				w := operation{tier: id, seen: seen}
				body, err := EncodeChange(id, base, change("a", id))
				if err != nil {
					t.Fatal(err)
				}
				if _, err := l.Append(ctx, Stream, body); err != nil {
					l.records = append(l.records, fulmardeal.Record{Offset: fulmardeal.Offset(len(l.records) + 1), Body: body})
				}
				reader := NewStore(nil)
				if err := ReadLog(ctx, l, reader); err != nil {
					t.Fatal(err)
				}
				v, known := reader.Verdict(id)
				if !known {
					t.Fatalf("no verdict for record %s after reading the log", id)
				}
				out := "refused"
				if v.Accepted() {
					out = "accepted"
				}
				ops = append(ops, porcupine.Operation{ClientId: i, Input: w, Output: out, Call: start, Return: tick()})
			}
			reader := NewStore(nil)
			if err := ReadLog(ctx, l, reader); err != nil {
				t.Fatal(err)
			}
			ops = append(ops, porcupine.Operation{ClientId: 9, Input: operation{}, Output: tierOf(reader), Call: tick(), Return: tick()})
		}
		if !porcupine.CheckOperations(register, ops) {
			t.Fatalf("history is not linearizable: %+v", ops)
		}
	})
}

func tierOf(s *Store) string {
	c := s.Current()
	if c == nil {
		return ""
	}
	x, _ := c.Customer("a")
	v, _ := x.Labels().Get("tier")
	return v
}
