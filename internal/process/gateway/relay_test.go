package gateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/process/gateway"
	"fulmardeal/platform"
)

// countStore is one entry's client of a shared store, which counts the reads.
type countStore struct {
	*memStore
	reads atomic.Int32 // of the operators' feed
}

type countFeed struct {
	fulmardeal.Feed
	reads *atomic.Int32
}

func (f countFeed) Since(ctx context.Context, from fulmardeal.Position, wait time.Duration) ([]fulmardeal.Change, fulmardeal.Progress, error) {
	f.reads.Add(1)
	return f.Feed.Since(ctx, from, wait)
}

func (c *countStore) Operator() fulmardeal.Feed { return countFeed{c.memStore.Operator(), &c.reads} }

func (c *countStore) Announce(_ context.Context, name, address, dataCentre string) error {
	c.put("entries", fulmardeal.Change{Key: name, Address: address, DataCentre: dataCentre})
	return nil
}

// TestStoreReadThroughRelays checks with nine entries in one data centre that
// a new configuration takes effect at all of them in time although only four
// read the store, and that others take over when those four stop.
func TestStoreReadThroughRelays(t *testing.T) {
	const entries, readers = 9, 4
	m := newMemStore()
	c := catalogue(1)
	m.put("operator", fulmardeal.Change{Key: "config", Catalogue: &c})
	var stores []*countStore
	var gateways []*testGateway
	var stops []func()
	for i := range entries {
		host := newHost()
		store := &countStore{memStore: m}
		settings := fulmardeal.Settings{
			Name: fmt.Sprintf("front-%d", i), IP: host, DataCentre: "a", Region: "south", Regions: map[string]string{"a": "south"},
			CallerAddress: host + ":8005", ReadinessAddress: host + ":8002", PortRange: [2]int{7700, 7715},
			Bounds: fulmardeal.Bounds{Drain: 300 * time.Millisecond, Grace: 5 * time.Second, KeyRevocation: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second},
		}
		g, cleanup, err := gateway.New(gateway.Options{Settings: settings, Store: store, Codec: platform.Codec{}, Log: slog.New(slog.DiscardHandler), Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = g.Run(ctx) }() // stopped by the cleanup
		stop := func() { cancel(); cleanup() }
		t.Cleanup(stop)
		stores, stops = append(stores, store), append(stops, stop)
		gateways = append(gateways, &testGateway{t: t, address: settings.CallerAddress})
	}
	waitForRoute := func(path string, within time.Duration, which func(i int) bool) {
		t.Helper()
		end := time.Now().Add(within)
		for i, w := range gateways {
			for which(i) && w.call("GET", path, nil).status != http.StatusServiceUnavailable { // 503: routed, but there are no endpoints
				if time.Now().After(end) {
					t.Fatalf("entry %d has no route for %s after %v", i, path, within)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	configure := func(version int64, path string) {
		c := catalogue(version)
		c.Routes = append(c.Routes, fulmardeal.Route{Name: path, Host: "h", Prefix: path, Kind: fulmardeal.KindIdempotent, Timeout: time.Second, Shares: c.Routes[0].Shares, Attempts: 1})
		m.put("operator", fulmardeal.Change{Key: "config", Catalogue: &c})
	}
	allEntries := func(int) bool { return true }

	waitForRoute("/read/", 5*time.Second, allEntries)
	time.Sleep(time.Second) // until entries that knew no relay at their start have found one
	for _, store := range stores {
		store.reads.Store(0)
	}
	configure(2, "/second/")
	waitForRoute("/second/", 2*time.Second, allEntries)
	time.Sleep(2 * time.Second)
	reading := make([]bool, entries)
	n := 0
	for i, store := range stores {
		if store.reads.Load() > 0 {
			reading[i] = true
			n++
		}
	}
	if n != readers {
		t.Errorf("%d entries read the store, want %d", n, readers)
	}

	for i, readsStore := range reading {
		if readsStore {
			stops[i]()
		}
	}
	configure(3, "/third/")
	waitForRoute("/third/", 2*time.Second, func(i int) bool { return !reading[i] })
}
