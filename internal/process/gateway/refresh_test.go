package gateway

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/feed"
	"fulmardeal/internal/traffic/dispatch"
)

// What the two followers read at the same time is in force afterwards, whichever of them
// is the last to apply it.
func TestConcurrentChangesAreBothInForce(t *testing.T) {
	const rounds = 20000
	registration := fulmardeal.Registration{ID: "i-1", Service: "shop", Address: "127.0.0.1:1", DataCentre: "a", Slots: 4}
	configuration := fulmardeal.Catalogue{Version: 1, Services: []fulmardeal.Service{{Name: "shop", Connections: 10}}}
	lost := 0
	for range rounds {
		g := &Gateway{log: slog.New(slog.DiscardHandler), table: dispatch.New(dispatch.Options{DataCentre: "a", Region: "south", Regions: map[string]string{"a": "south"}, Seed: 1})}
		var followers sync.WaitGroup
		start := make(chan struct{})
		follow := func(apply func(now time.Time)) {
			followers.Go(func() {
				<-start
				now := time.Now()
				apply(now)
				g.refreshTable(now)
			})
		}
		follow(func(now time.Time) {
			g.catalogue.Apply(now, feed.Batch{Full: true, Next: 1, Changes: []fulmardeal.Change{{Key: "config", Catalogue: &configuration}}})
		})
		follow(func(now time.Time) {
			g.roster.Apply(now, feed.Batch{Full: true, Next: 1, Changes: []fulmardeal.Change{{Key: "i-1", Registration: &registration}}})
		})
		close(start)
		followers.Wait()
		reservation, err := g.table.Reserve(context.Background(), &dispatch.Request{Service: "shop", Deadline: time.Now().Add(time.Minute), Objective: time.Second, Sent: time.Now()})
		if err != nil {
			lost++
			continue
		}
		reservation.Release(dispatch.OutcomeServed)
	}
	if lost > 0 {
		t.Errorf("%d of %d entries know no endpoint after both changes", lost, rounds)
	}
}

// What a follower has read while the gateway takes note of a suspension is in force
// afterwards.
func TestChangeDuringSuspensionIsInForce(t *testing.T) {
	const rounds = 20000
	registration := fulmardeal.Registration{ID: "i-1", Service: "shop", Address: "127.0.0.1:1", DataCentre: "a", Slots: 4}
	configuration := fulmardeal.Catalogue{Version: 1, Services: []fulmardeal.Service{{Name: "shop", Connections: 10}}}
	lost := 0
	for range rounds {
		g := &Gateway{log: slog.New(slog.DiscardHandler), table: dispatch.New(dispatch.Options{DataCentre: "a", Region: "south", Regions: map[string]string{"a": "south"}, Seed: 1})}
		g.catalogue.Apply(time.Now(), feed.Batch{Full: true, Next: 1, Changes: []fulmardeal.Change{{Key: "config", Catalogue: &configuration}}})
		var both sync.WaitGroup
		start := make(chan struct{})
		both.Go(func() {
			<-start
			now := time.Now()
			g.roster.Apply(now, feed.Batch{Full: true, Next: 1, Changes: []fulmardeal.Change{{Key: "i-1", Registration: &registration}}})
			g.refreshTable(now)
		})
		both.Go(func() {
			<-start
			g.addSuspended(time.Now(), time.Second)
		})
		close(start)
		both.Wait()
		reservation, err := g.table.Reserve(context.Background(), &dispatch.Request{Service: "shop", Deadline: time.Now().Add(time.Minute), Objective: time.Second, Sent: time.Now()})
		if err != nil {
			lost++
			continue
		}
		reservation.Release(dispatch.OutcomeServed)
	}
	if lost > 0 {
		t.Errorf("%d of %d entries know no endpoint after both changes", lost, rounds)
	}
}
