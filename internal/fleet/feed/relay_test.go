package feed

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/rpc"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"fulmardeal"
)

// memoryStore is an in-memory store that counts reads.
type memoryStore struct {
	calls int
	log   []fulmardeal.Change
}

func (d *memoryStore) put(key string, gone bool) {
	c := fulmardeal.Change{Key: key, Offset: fulmardeal.Position(len(d.log)), Gone: gone}
	if !gone {
		c.Registration = &fulmardeal.Registration{ID: key, Sequence: int64(len(d.log))}
	}
	d.log = append(d.log, c)
}

func (d *memoryStore) Newest(context.Context) ([]fulmardeal.Change, fulmardeal.Position, error) {
	d.calls++
	return slices.Clone(d.log), fulmardeal.Position(len(d.log)), nil
}

func (d *memoryStore) Since(_ context.Context, from fulmardeal.Position, _ time.Duration) ([]fulmardeal.Change, fulmardeal.Progress, error) {
	d.calls++
	end := fulmardeal.Position(len(d.log))
	return slices.Clone(d.log[from:]), fulmardeal.Progress{Next: end, End: end}, nil
}

// relays maps addresses to relays and stands in for the RPC client.
type relays map[string]*Relay

func (r relays) call(_ context.Context, address, _ string, args, reply any) error {
	x := r[address]
	if x == nil {
		return errors.New("refused")
	}
	if err := x.Service().(*service).Read(args.(ReadRequest), reply.(*ReadResponse)); err != nil {
		return rpc.ServerError(err.Error())
	}
	return nil
}

// newRelay returns a relay that has read the store once. It reports *age as the
// time since then; a negative age means that no read has succeeded.
func newRelay(store *memoryStore, age *time.Duration) *Relay {
	r := &Relay{}
	r.Add("list", func() (time.Duration, bool) { return *age, *age >= 0 })
	changes, next, _ := store.Newest(context.Background())
	r.Put("list", Batch{Changes: changes, Next: next, Full: true})
	return r
}

func keys(changes []fulmardeal.Change) []string {
	var out []string
	for _, c := range changes {
		key := c.Key
		if c.Gone {
			key = "-" + key
		}
		out = append(out, key)
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

// TestRelayClientFallsBackToStore checks that a feed is read through a relay
// and, once the relay refuses because its state is too old, from the store at
// the same offset.
func TestRelayClientFallsBackToStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, age := &memoryStore{}, time.Duration(0)
		store.put("a", false)
		store.put("b", false)
		relay := newRelay(store, &age)
		all := relays{"r1": relay}
		f := &RelayClient{Name: "list", Store: store, Relays: func() []string { return []string{"dead", "r1"} }, Call: all.call, Log: slog.New(slog.DiscardHandler)}
		before := store.calls

		changes, next, err := f.Newest(t.Context())
		if d := gocmp.Diff([]string{"a", "b"}, keys(changes)); d != "" || next != 2 || err != nil {
			t.Fatalf("next %d, %v: %s", next, err, d)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			store.put("c", false)
			store.put("a", true)
			relay.Put("list", Batch{Changes: store.log[2:], Next: 4})
		}()
		start := time.Now()
		changes, progress, err := f.Since(t.Context(), 2, 0)
		if d := gocmp.Diff([]string{"-a", "c"}, keys(changes)); d != "" || progress.Next != 4 || err != nil || time.Since(start) != 100*time.Millisecond {
			t.Fatalf("after %v: %+v, %v: %s", time.Since(start), progress, err, d)
		}
		if f.Pause(time.Second) != 0 || store.calls != before {
			t.Errorf("pause %v, %d calls to the store; want 0 and no calls", f.Pause(time.Second), store.calls-before)
		}

		store.put("d", false)
		age = 2 * relayMaxAge // the relay has lost contact with the store
		changes, progress, err = f.Since(t.Context(), 4, 0)
		if d := gocmp.Diff([]string{"d"}, keys(changes)); d != "" || progress.Next != 5 || err != nil || f.Pause(time.Second) != time.Second {
			t.Errorf("%+v, %v, pause %v: %s", progress, err, f.Pause(time.Second), d)
		}
	})
}

// TestStaleRelayDelaysOneRequest checks that a relay which has lost contact
// with the store, but still answers, delays a client by one request at most,
// because clients use the relays round-robin.
func TestStaleRelayDelaysOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, age := &memoryStore{}, time.Duration(0)
		store.put("a", false)
		behind, sound := newRelay(store, &age), newRelay(store, &age)
		all := relays{"behind": behind, "sound": sound}
		f := &RelayClient{Name: "list", Store: store, Relays: func() []string { return []string{"behind", "sound"} }, Call: all.call, Log: slog.New(slog.DiscardHandler)}
		store.put("b", false)
		sound.Put("list", Batch{Changes: store.log[1:], Next: 2})
		start := time.Now()
		for next := fulmardeal.Position(1); next < 2; {
			_, progress, err := f.Since(t.Context(), next, 0)
			if next = progress.Next; err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took > relayPollWait {
			t.Errorf("change read after %v, want at most relayPollWait", took)
		}
		if _, progress, err := f.Since(t.Context(), 2, 0); err != nil || progress.Next != 2 {
			t.Errorf("%+v, %v; want 2: an older state was applied", progress, err)
		}
	})
}

// TestRelayClientWaitsForStartingRelays checks that a process whose relays have
// not read the store yet waits for them, and reads the store itself after
// relayStartupWait.
func TestRelayClientWaitsForStartingRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, age := &memoryStore{}, time.Duration(-1)
		store.put("a", false)
		all := relays{"r1": newRelay(store, &age)}
		f := &RelayClient{Name: "list", Store: store, Relays: func() []string { return []string{"r1"} }, Call: all.call, Log: slog.New(slog.DiscardHandler)}
		before := store.calls
		if _, _, err := f.Newest(t.Context()); err == nil || store.calls != before {
			t.Errorf("at start: error %v, %d calls to the store; want an error and no call", err, store.calls-before)
		}
		time.Sleep(relayStartupWait)
		if _, next, err := f.Newest(t.Context()); err != nil || next != 1 || store.calls != before+1 {
			t.Errorf("after relayStartupWait: next %d, %v, %d calls to the store; want 1, no error, 1 call", next, err, store.calls-before)
		}
	})
}

// TestRelayReportsTrimmedChanges checks that a client which asks for changes
// that the relay no longer keeps is told to do a full read.
func TestRelayReportsTrimmedChanges(t *testing.T) {
	store, age := &memoryStore{}, time.Duration(0)
	r := newRelay(store, &age)
	for i := range maxRecentChanges + 10 {
		r.Put("list", Batch{Changes: []fulmardeal.Change{{Key: "k", Offset: fulmardeal.Position(i), Gone: true}}, Next: fulmardeal.Position(i + 1)})
	}
	for from, want := range map[fulmardeal.Position]bool{0: true, 9: true, 10: false, maxRecentChanges: false} {
		var resp ReadResponse
		if _, err := r.read(ReadRequest{Feed: "list", From: from}, &resp); err != nil {
			t.Fatal(err)
		}
		if resp.Trimmed != want || !want && len(resp.Items) != maxRecentChanges+10-int(from) {
			t.Errorf("from %d: trimmed %v, %d items", from, resp.Trimmed, len(resp.Items))
		}
	}
}
