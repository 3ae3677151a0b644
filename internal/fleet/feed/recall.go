package feed

import (
	"context"
	"log/slog"
	"time"

	"fulmardeal"
)

// A process that reads a restored store for the first time can't tell which part of it is out of
// date. Other processes that have run since before the restoration can: what they hold is
// reconciled with the store as if this process had read it itself.

// Timeouts and limits of a recall.
const (
	// recallWait limits a recall when no process knows an earlier era. It covers the time
	// in which entries that a restored store doesn't list announce themselves again.
	recallWait = 2 * time.Second

	recallSettleTime = 150 * time.Millisecond // from the first witness's reply until the others no longer count
	recallTimeout    = time.Second            // of one call
	recallInterval   = 50 * time.Millisecond  // between two looks for other processes
	maxRecallCalls   = 4                      // in progress at the same time
)

// RecallRequest asks a process for what it knows from before an era.
type RecallRequest struct {
	Feed string
	Era  int64
}

// RecallResponse is what a process knows of a feed.
type RecallResponse struct {
	// Witness reports whether the process knows the feed from before the era. The other
	// fields are set only if it does.
	Witness bool

	Since   int64         // era from which on it knows the feed
	Settled bool          // it has confirmed the restored store's state, which needs no correction any more
	Age     time.Duration // since it last read the store
	Items   []WireChange
	Removed []RecalledRemoval
}

// RecalledRemoval is the last change of a key before it was deleted.
type RecalledRemoval struct {
	Change fulmardeal.Change
	Age    time.Duration // since the deletion
}

// Recall answers a recall request.
func (s *service) Recall(req RecallRequest, resp *RecallResponse) error {
	r := s.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.feeds[req.Feed]
	if f == nil || !f.filled || f.since >= req.Era {
		return nil
	}
	now := time.Now()
	resp.Witness, resp.Since = true, f.since
	resp.Age, _ = f.age()
	if f.next.Era() >= req.Era && now.Sub(f.restoredAt) >= removalRetention {
		resp.Settled = true
		return nil
	}
	for _, w := range f.current {
		resp.Items = append(resp.Items, w.WireChange)
	}
	for _, x := range f.removed {
		if age := now.Sub(x.removedAt); age < removalRetention {
			resp.Removed = append(resp.Removed, RecalledRemoval{Change: x.change, Age: age})
		}
	}
	return nil
}

// Recaller asks other processes what they know from before the store was restored.
type Recaller struct {
	Peers func() []string // addresses of the other processes' relays; may grow during a recall
	Call  Caller
	Log   *slog.Logger
}

// Recall returns the responses of the processes that know the feed from before the given era.
// It returns none if there is no such process or none answers in time.
func (r *Recaller) Recall(ctx context.Context, name string, era int64) []RecallResponse {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, recallWait)
	defer cancel()
	var witnesses []RecallResponse
	var settled <-chan time.Time
	responses := make(chan *RecallResponse)
	asked, pending := make(map[string]bool), 0
	look := time.NewTicker(recallInterval)
	defer look.Stop()
	for {
		for _, address := range r.Peers() {
			if pending >= maxRecallCalls {
				break
			}
			if asked[address] {
				continue
			}
			asked[address] = true
			pending++
			go func() {
				response := r.ask(ctx, address, RecallRequest{Feed: name, Era: era})
				select {
				case responses <- response:
				case <-ctx.Done():
				}
			}()
		}
		over := false
		select {
		case response := <-responses:
			pending--
			if response != nil {
				witnesses = append(witnesses, *response)
			}
			if len(witnesses) == 1 && settled == nil {
				settled = time.After(recallSettleTime)
			}
			over = len(witnesses) > 0 && pending == 0
		case <-settled:
			over = true
		case <-ctx.Done():
			over = true
		case <-look.C:
		}
		if over {
			r.Log.Warn("store was restored before the first read; other entries asked for what it lacks", "feed", name, "era", era, "asked", len(asked), "witnesses", len(witnesses), "took", time.Since(start))
			return witnesses
		}
	}
}

// ask returns the response of one process, or nil if it is no witness or doesn't answer.
func (r *Recaller) ask(ctx context.Context, address string, req RecallRequest) *RecallResponse {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var resp RecallResponse
	if err := r.Call(ctx, address, RelayName+".Recall", req, &resp); err != nil {
		r.Log.Info("entry not asked for what the store lacks", "feed", req.Feed, "address", address, "err", err)
		return nil
	}
	if !resp.Witness || resp.Since >= req.Era {
		return nil
	}
	return &resp
}

// Recall fills a feed that is still empty with what witnesses know of it. It reports whether
// the first batch has to be reconciled with that.
func (r *Relay) Recall(name string, witnesses []RecallResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.feeds[name]
	if f.filled || len(witnesses) == 0 {
		return false
	}
	f.filled, f.since = true, witnesses[0].Since
	settled, least := false, witnesses[0].Age
	for _, w := range witnesses {
		f.since = min(f.since, w.Since)
		settled = settled || w.Settled
		least = min(least, w.Age)
	}
	if settled {
		return false
	}
	now := time.Now()
	for _, w := range witnesses {
		if w.Age <= least+relayMaxAge { // a process that was cut off from the store knows nothing better
			f.merge(now, w)
		}
	}
	return true
}

// merge adds what a witness knows. Of each key, the later state counts.
func (f *cachedFeed) merge(now time.Time, w RecallResponse) {
	b := Batch{Full: true, Restored: true}
	for _, item := range w.Items {
		b.Changes = append(b.Changes, item.Change)
	}
	changes, _ := f.reconcile(now, b)
	f.current = make(map[string]cachedChange)
	for _, c := range changes {
		f.current[c.Key] = cachedChange{WireChange: toWire(c)}
		delete(f.removed, c.Key)
	}
	for _, x := range w.Removed {
		key := x.Change.Key
		if known, is := f.current[key]; is && !repeats(known.Change, x.Change, true) {
			continue
		}
		delete(f.current, key)
		f.removed[key] = removal{change: x.Change, removedAt: now.Add(-x.Age)}
	}
}
