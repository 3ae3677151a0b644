package feed

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"fulmardeal"
)

// A relay answers before the time that a call of the store may wait. A client that stood
// still meanwhile must not take the relay's state for newer than it is: it would take the
// next changes for younger, and keys for confirmed.
func TestRelayedStateReadLate(t *testing.T) {
	const storeWait, stall, lag = 1500 * time.Millisecond, 2500 * time.Millisecond, 100 * time.Millisecond
	now := time.Hour
	client := &RelayClient{
		Name: "f", Relays: func() []string { return []string{"r"} }, Log: slog.New(slog.DiscardHandler),
		Call: func(_ context.Context, _, _ string, args, reply any) error {
			resp := reply.(*ReadResponse)
			resp.Next = 1
			if req := args.(ReadRequest); req.Whole {
				resp.Items = []WireChange{{Change: fulmardeal.Change{Key: "k"}}}
				return nil
			}
			resp.Age = lag
			now += stall // the response was sent after relayPollWait
			return nil
		},
	}
	f := New(Options{
		Name: "f", Feed: client, Wait: storeWait, Lag: client.Lag, Waited: client.Waited, Provisional: client.Provisional,
		Clock: func() time.Duration { return now }, Apply: func(Batch) {}, Log: client.Log,
	})
	next, full, err := f.step(t.Context(), 0, true)
	if err == nil {
		_, _, err = f.step(t.Context(), next, full)
	}
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := f.Age(); got != stall-relayPollWait+lag {
		t.Errorf("the relay sent its state %v ago, %v old; it counts as %v old", stall-relayPollWait, lag, got)
	}
}
