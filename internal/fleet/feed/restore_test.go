package feed

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/script"
)

// TestRestore runs testdata/restore.txt: what remains valid when the store was
// restored from a backup.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s restoreScript
		s.reset()
		script.Run(t, "testdata/restore.txt", s.step)
	})
}

// TestLateRegistration runs testdata/late.txt: a registration that the store writes late must
// not bring an endpoint back that has left.
func TestLateRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s restoreScript
		s.reset()
		script.Run(t, "testdata/late.txt", s.step)
	})
}

// restoreScript is the state of a script of restorations.
type restoreScript struct {
	relay *Relay
	era   int64
}

func (s *restoreScript) reset() {
	s.relay, s.era = &Relay{}, 1
	s.relay.Add("feed", func() (time.Duration, bool) { return 0, true })
}

// step runs one line of the script.
func (s *restoreScript) step(words []string) error {
	switch words[0] {
	case "new":
		s.reset()
	case "wait": // SECONDS
		n, err := strconv.Atoi(words[1])
		time.Sleep(time.Duration(n) * time.Second)
		return err
	case "full", "restored", "changes":
		b := Batch{Full: words[0] != "changes", Restored: words[0] == "restored"}
		if b.Restored {
			s.era++
		}
		for _, w := range words[1:] {
			c, err := s.change(w)
			if err != nil {
				return err
			}
			b.Changes, b.Next = append(b.Changes, c), max(b.Next, c.Offset+1)
		}
		s.relay.Put("feed", b)
	case "removed?": // number of removals that are remembered
		if got := strconv.Itoa(len(s.relay.feeds["feed"].removed)); got != words[1] {
			return fmt.Errorf("got %s", got)
		}
	case "state?":
		var resp ReadResponse
		if _, err := s.relay.read(ReadRequest{Feed: "feed", Whole: true}, &resp); err != nil {
			return err
		}
		var got []string
		for _, w := range resp.Items {
			got = append(got, format(w.Change))
		}
		slices.Sort(got)
		if resp.Held {
			got = append(got, "held")
		}
		if g, w := strings.Join(got, " "), strings.Join(words[1:], " "); g != w {
			return fmt.Errorf("got %s", g)
		}
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

// change parses KEY=VALUE@OFFSET.
func (s *restoreScript) change(word string) (fulmardeal.Change, error) {
	key, rest, _ := strings.Cut(word, "=")
	value, offset, _ := strings.Cut(rest, "@")
	number, err := strconv.ParseInt(offset, 10, 64)
	if err != nil {
		return fulmardeal.Change{}, err
	}
	position, _ := fulmardeal.NewPosition(s.era, number)
	c := fulmardeal.Change{Key: key, Offset: position}
	kind, name, _ := strings.Cut(key, "/")
	numbers := strings.Split(value, ".")
	first, _ := strconv.ParseInt(numbers[0], 10, 64)
	switch {
	case value == "gone":
		c.Gone = true
	case kind == "config":
		c.Catalogue = &fulmardeal.Catalogue{Version: first}
	case kind == "version":
		c.Naming = &fulmardeal.Publication{Model: name, Version: first}
	case kind == "evacuate":
		c.Evacuation = name
	default:
		sequence, _ := strconv.ParseInt(numbers[1], 10, 64)
		c.Registration = &fulmardeal.Registration{ID: name, Born: time.Unix(first, 0), Sequence: sequence, Draining: len(numbers) > 2}
	}
	return c, nil
}

func format(c fulmardeal.Change) string {
	switch {
	case c.Catalogue != nil:
		return fmt.Sprintf("%s=%d", c.Key, c.Catalogue.Version)
	case c.Naming != nil:
		return fmt.Sprintf("%s=%d", c.Key, c.Naming.Version)
	case c.Evacuation != "":
		return c.Key + "=yes"
	}
	text := fmt.Sprintf("%s=%d.%d", c.Key, c.Registration.Born.Unix(), c.Registration.Sequence)
	if c.Registration.Draining {
		text += ".draining"
	}
	return text
}

// eraStore is a store with one key that can go back to an earlier state.
type eraStore struct {
	mu       sync.Mutex
	versions []int64
	era      int64
	full     int // number of full reads
}

func (s *eraStore) restore(versions ...int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.versions = versions
}

func (s *eraStore) write(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version)
}

func (s *eraStore) fullReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

func (s *eraStore) at(offset int) fulmardeal.Position {
	p, _ := fulmardeal.NewPosition(s.era, int64(offset))
	return p
}

func (s *eraStore) changes(from int) []fulmardeal.Change {
	var out []fulmardeal.Change
	for i := from; i < len(s.versions); i++ {
		out = append(out, fulmardeal.Change{Key: "config", Offset: s.at(i), Catalogue: &fulmardeal.Catalogue{Version: s.versions[i]}})
	}
	return out
}

func (s *eraStore) Newest(context.Context) ([]fulmardeal.Change, fulmardeal.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full++
	return s.changes(max(0, len(s.versions)-1)), s.at(len(s.versions)), nil
}

func (s *eraStore) Since(_ context.Context, from fulmardeal.Position, wait time.Duration) ([]fulmardeal.Change, fulmardeal.Progress, error) {
	until := time.Now().Add(wait)
	for {
		s.mu.Lock()
		era, changes, end := s.era, s.changes(min(int(from.Offset()), len(s.versions))), s.at(len(s.versions))
		s.mu.Unlock()
		switch {
		case era != from.Era():
			return nil, fulmardeal.Progress{}, &fulmardeal.EraError{Have: from.Era(), Got: era}
		case len(changes) > 0:
			return changes, fulmardeal.Progress{Next: end, End: end}, nil
		case !time.Now().Before(until):
			return nil, fulmardeal.Progress{Next: from, End: from}, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A follower that had read up to offset 10 when the store went back to 5 and on past 10
// misses nothing: it reads the full state of each new era, once more after the hold,
// and never goes back.
func TestFollowerAcrossEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &eraStore{versions: []int64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}}
		var relay Relay
		relay.Add("feed", func() (time.Duration, bool) { return 0, true })
		var mu sync.Mutex
		var seen []int64
		f := New(Options{
			Name: "feed", Feed: s, Wait: time.Second, Hold: 2 * time.Second, Log: slog.New(slog.DiscardHandler),
			Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
			Apply: func(b Batch) {
				mu.Lock()
				defer mu.Unlock()
				for _, c := range relay.Put("feed", b).Changes {
					seen = append(seen, c.Catalogue.Version)
				}
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		last := func() int64 {
			mu.Lock()
			defer mu.Unlock()
			return seen[len(seen)-1]
		}
		time.Sleep(100 * time.Millisecond)
		s.restore(1, 2, 3, 4, 5)
		time.Sleep(100 * time.Millisecond)
		if v := last(); v != 10 {
			t.Errorf("version %d after the store went back to version 5, want 10", v)
		}
		s.write(10)
		s.restore(1, 2) // the era rises again before the first one was confirmed
		time.Sleep(100 * time.Millisecond)
		for v := int64(11); v < 20; v++ {
			s.write(v)
		}
		time.Sleep(100 * time.Millisecond)
		if v := last(); v != 19 {
			t.Errorf("version %d, want 19", v)
		}
		before := s.fullReads()
		time.Sleep(5 * time.Second)
		if n := s.fullReads() - before; n != 1 {
			t.Errorf("%d full reads after the hold, want 1", n)
		}
		cancel()
		<-done
		if !slices.IsSorted(seen) {
			t.Errorf("versions went back: %v", seen)
		}
	})
}
