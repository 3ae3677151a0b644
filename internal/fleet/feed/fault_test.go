package feed

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"fulmardeal"
)

// faultyFeed has one record that can't be decoded, and trims its history at each read.
type faultyFeed struct{ offset fulmardeal.Position }

func (f *faultyFeed) Newest(context.Context) ([]fulmardeal.Change, fulmardeal.Position, error) {
	return []fulmardeal.Change{{Key: "odd", Offset: f.offset, Fault: errors.New("slots: missing")}, {Key: "good", Offset: 1}}, 10, nil
}

func (f *faultyFeed) Since(context.Context, fulmardeal.Position, time.Duration) ([]fulmardeal.Change, fulmardeal.Progress, error) {
	return nil, fulmardeal.Progress{}, &fulmardeal.TrimmedError{First: 10}
}

// A record that can't be decoded is returned by each full read, but is logged and counted
// once. A newer record of its key is another one.
func TestFaultyRecordIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	counted, applied := 0, 0
	faulty := &faultyFeed{offset: 3}
	log := slog.New(slog.NewTextHandler(&lines, nil))
	f := New(Options{
		Name: "registrations", Feed: faulty, Log: log, Apply: func(b Batch) { applied += len(b.Changes) },
		Faults: NewFaultLog(log, func(string) { counted++ }),
	})
	read := func(times int) {
		next, full := fulmardeal.Position(0), true
		for range times {
			var err error
			if next, full, err = f.step(t.Context(), next, full); err != nil {
				t.Fatal(err)
			}
		}
	}
	read(9) // five full reads
	check := func(want int) {
		t.Helper()
		if n := strings.Count(lines.String(), "record can't be decoded"); n != want || counted != want {
			t.Errorf("logged %d times, counted %d times, want %d", n, counted, want)
		}
	}
	check(1)
	if applied != 10 {
		t.Errorf("%d changes applied, want 10", applied)
	}
	faulty.offset = 7
	read(5)
	check(2)
	if !strings.Contains(lines.String(), "key=odd offset=7 err=\"slots: missing\"") {
		t.Errorf("lines without key, offset and cause: %s", lines.String())
	}
}

// The memory for faulty records is limited, whatever their keys are.
func TestFaultLogIsBounded(t *testing.T) {
	l := NewFaultLog(slog.New(slog.DiscardHandler), nil)
	for i := range 3 * maxKnownFaults {
		l.Record("registrations", []fulmardeal.Change{{Key: strings.Repeat("k", i), Offset: 1, Fault: errors.New("odd")}})
	}
	if len(l.known) > maxKnownFaults {
		t.Errorf("%d faults remembered", len(l.known))
	}
}

// A configuration that can't be decoded leaves the one in force, also at the entries that
// read it from a relay. A registration that can't be decoded names no endpoint.
func TestUnreadableConfigurationLeavesTheOneInForce(t *testing.T) {
	for _, full := range []bool{false, true} {
		var r Relay
		r.Add("operator", func() (time.Duration, bool) { return 0, true })
		r.Put("operator", Batch{Full: true, Next: 3, Changes: []fulmardeal.Change{
			{Key: "config", Offset: 0, Catalogue: &fulmardeal.Catalogue{Version: 1}},
			{Key: "version/m", Offset: 1, Naming: &fulmardeal.Publication{Model: "m", Version: 2}},
			{Key: "i-1", Offset: 2, Registration: &fulmardeal.Registration{ID: "i-1"}},
		}})
		odd := errors.New("odd")
		r.Put("operator", Batch{Full: full, Next: 6, Changes: []fulmardeal.Change{
			{Key: "config", Offset: 3, Fault: odd}, {Key: "version/m", Offset: 4, Fault: odd}, {Key: "i-1", Offset: 5, Fault: odd},
		}})
		var resp ReadResponse
		if _, err := r.read(ReadRequest{Feed: "operator", Whole: true}, &resp); err != nil {
			t.Fatal(err)
		}
		inForce := make(map[string]bool)
		for _, w := range resp.Items {
			inForce[w.Change.Key] = w.Fault == ""
		}
		if !inForce["config"] || !inForce["version/m"] || inForce["i-1"] {
			t.Errorf("full read %v: a relay serves %v", full, inForce)
		}
	}
}

// An age of a relay's state that is out of range would make old state count as current, or
// as current for ever.
func TestOddAgeFromRelayIsRefused(t *testing.T) {
	for _, age := range []time.Duration{-1, math.MinInt64, math.MaxInt64, time.Hour} {
		store := &faultyFeed{offset: 3}
		c := RelayClient{
			Name: "registrations", Store: store, Relays: func() []string { return []string{"a", "b"} }, Log: slog.New(slog.DiscardHandler),
			Call: func(_ context.Context, _, _ string, _, reply any) error {
				*reply.(*ReadResponse) = ReadResponse{Next: 99, Age: age}
				return nil
			},
		}
		c.everRelayed = true
		_, next, err := c.Newest(t.Context())
		if err != nil || next != 10 || c.Lag() != 0 {
			t.Errorf("age %v: next %d, lag %v, error %v; want the store's state", age, next, c.Lag(), err)
		}
	}
}
