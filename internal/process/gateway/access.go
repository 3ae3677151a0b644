package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/fleet/membership"
)

// Intervals of the record that keys are required.
const (
	keyedInterval   = 100 * time.Millisecond // between two checks whether the record has to be written
	keyedRetryDelay = time.Second            // after a failure, and up to as long again

	// keyedTurn is how long an entry waits for each entry before it in the order of those that
	// write the record. The list of entries is read again in less time.
	keyedTurn = 12 * time.Second
)

// Whether callers need keys, in log lines and state dumps.
const (
	accessKeyed   = "keys required"
	accessOpen    = "open"
	accessUnknown = "unknown"
)

// access returns whether callers need keys.
func access(view *catalogue.View) string {
	switch {
	case view.RequiresKey():
		return accessKeyed
	case view.Catalogue() != nil && view.AccessKnown():
		return accessOpen
	}
	return accessUnknown
}

// keysConfirmed reports whether the customers' keys were confirmed by the store
// recently enough to be accepted, and how long ago.
func (g *Gateway) keysConfirmed() (time.Duration, bool) {
	age, known := g.operator.Age()
	return age, known && age < g.settings.Bounds.KeyRevocation-revokeMargin
}

// applyKeyed applies whether the store says that keys are required.
func (g *Gateway) applyKeyed(stored bool) {
	g.keyedStored.Store(stored)
	if view := g.catalogue.View(); !view.AccessKnown() || stored && !view.RequiresKey() {
		g.catalogue.ApplyHistory(stored)
		g.log.Info("earlier configurations known", "access", access(g.catalogue.View()))
	}
}

// logAccess logs whether callers need keys when a configuration has come into force. One that
// leaves nobody with a key is a warning: operators may have lost the list of customers.
func (g *Gateway) logAccess(view *catalogue.View, events []catalogue.Event) {
	if !slices.ContainsFunc(events, func(e catalogue.Event) bool { return e.Kind == catalogue.EventConfiguration }) {
		return
	}
	c := view.Catalogue()
	if n := view.RefusedKeys(); n > 0 {
		g.log.Warn("keys that name no single customer are not accepted", "version", c.Version, "keys", n)
	}
	if view.RequiresKey() && view.KeyCount() == 0 {
		g.log.Warn("no customer has a key; only public routes are served", "version", c.Version, "listed", c.Keyed, "customers", len(c.Customers))
		return
	}
	g.log.Info("access in force", "access", access(view), "version", c.Version, "customers", len(c.Customers), "keys", view.KeyCount())
}

// storeKeyed writes to the store that keys are required, so that entries that start later know
// it from there. The entries take turns, since one record is enough.
func (g *Gateway) storeKeyed(ctx context.Context) {
	select {
	case <-g.mesh.Listed():
	case <-ctx.Done():
		return
	}
	var missingSince, retryAt time.Time
	t := time.NewTicker(keyedInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		if g.keyedStored.Load() || !g.catalogue.View().RequiresKey() {
			missingSince = time.Time{}
			continue
		}
		if missingSince.IsZero() {
			missingSince = now
		}
		if now.Before(retryAt) || now.Sub(missingSince) < time.Duration(g.keyedRank())*keyedTurn {
			continue
		}
		if err := g.store.PutKeyed(ctx); err != nil {
			g.log.Warn("cannot store that keys are required, will be retried", "err", err)
			retryAt = time.Now().Add(keyedRetryDelay + rand.N(keyedRetryDelay))
			continue
		}
		g.log.Info("stored that keys are required")
		g.keyedStored.Store(true)
	}
}

// keyedRank returns how many of the known entries are to write the record before this one.
func (g *Gateway) keyedRank() int {
	own := net.JoinHostPort(g.settings.IP, itoa(g.settings.PortRange[0]))
	return slices.Index(membership.Order("keyed", append(g.mesh.Peers(), own)), own)
}
