package feed

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/script"
)

// pagedStore is a fake feed whose responses the test sets, of a limited size each.
type pagedStore struct {
	progress fulmardeal.Progress
	respond  func() // called when a response arrives
}

func (s *pagedStore) Newest(context.Context) ([]fulmardeal.Change, fulmardeal.Position, error) {
	s.respond()
	return []fulmardeal.Change{{Key: "k", Offset: s.progress.Next - 1}}, s.progress.Next, nil
}

func (s *pagedStore) Since(context.Context, fulmardeal.Position, time.Duration) ([]fulmardeal.Change, fulmardeal.Progress, error) {
	s.respond()
	return []fulmardeal.Change{{Key: "k", Offset: s.progress.Next - 1}}, s.progress, nil
}

// An entry that the store had turned away for 9 s took its customers' keys as confirmed from the
// oldest 1,024 KB of what it had missed on, and accepted keys that had been taken away.
func TestAgeOfStateBehindBacklog(t *testing.T) {
	var now time.Duration
	var store pagedStore
	var applied Batch
	var ageWhileApplied time.Duration
	var f *Follower
	f = New(Options{Name: "test", Feed: &store, Clock: func() time.Duration { return now }, Log: slog.New(slog.DiscardHandler), Apply: func(b Batch) {
		applied = b
		ageWhileApplied, _ = f.Age()
	}})
	next, full := fulmardeal.Position(0), true
	script.Run(t, "testdata/backlog.txt", func(fields []string) error {
		start, end, old := seconds(t, fields[1]), seconds(t, fields[2]), seconds(t, fields[6])
		position := func(text string) fulmardeal.Position {
			n, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			return fulmardeal.Position(n)
		}
		store.progress = fulmardeal.Progress{Next: position(fields[3]), End: position(fields[4])}
		store.respond = func() { now = end }
		now = start
		var err error
		first := full
		if next, full, err = f.step(t.Context(), next, full); err != nil {
			return err
		}
		if got, known := f.Age(); !known || got != old {
			return fmt.Errorf("the state is %v old, want %v", got, old)
		}
		if first {
			return nil
		}
		// The response's changes aren't in force before they are applied.
		if want := seconds(t, fields[5]); applied.MaxAge != want || ageWhileApplied != want {
			return fmt.Errorf("changes %v old, state %v old while they are applied, want %v", applied.MaxAge, ageWhileApplied, want)
		}
		return nil
	})
}
