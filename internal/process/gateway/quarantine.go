package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fulmardeal"
)

// quarantineStoreInterval is the interval between two checks for changed quarantines.
// After a failure to store one, an entry waits for quarantineRetryDelay and up to as long
// again: all entries may fail at the same time.
const (
	quarantineStoreInterval = 100 * time.Millisecond
	quarantineRetryDelay    = time.Second
)

// storeQuarantines logs changes of the quarantines and writes those of this entry to the
// store, so that entries know them after all have been restarted. After the store was
// restored from a backup, it writes all of them again.
func (g *Gateway) storeQuarantines(ctx context.Context) {
	pending := make(map[string]fulmardeal.Quarantine) // by service and parts
	add := func(q fulmardeal.Quarantine) {
		pending[q.Service+" "+strings.Join(q.Parts, ",")] = q
	}
	var retryAt time.Time
	era := g.store.Era()
	t := time.NewTicker(quarantineStoreInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, c := range g.quarantine.Changes() {
			g.logQuarantine(c.Quarantine, c.Own)
			if c.Own {
				add(c.Quarantine)
			}
		}
		if now := g.store.Era(); now > era {
			era = now
			for _, q := range g.quarantine.Quarantines() {
				add(q)
			}
		}
		if time.Now().Before(retryAt) {
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(pending)) {
			if err := g.store.PutQuarantine(ctx, pending[key]); err != nil {
				g.log.Warn("cannot store a quarantine, will be retried", "parts", strings.Join(pending[key].Parts, ","), "err", err)
				retryAt = time.Now().Add(quarantineRetryDelay + rand.N(quarantineRetryDelay))
				break
			}
			delete(pending, key)
		}
	}
}

func (g *Gateway) logQuarantine(q fulmardeal.Quarantine, own bool) {
	message := "parts quarantined"
	if q.Released {
		message = "quarantine released"
	}
	g.log.Warn(message, "service", q.Service, "parts", strings.Join(q.Parts, ","), "crashes", q.Crashes, "weights", q.Weights, "probes", q.Probes, "serial", q.Serial, "since", q.Since, "own", own)
}
