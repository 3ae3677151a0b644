// Package feed follows a feed of the platform: it reads what is there, then
// what changes, again and again, and knows when it last heard from the store.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"fulmardeal"
)

// Waits after a call that failed.
const (
	retryFirst = 50 * time.Millisecond
	retryMost  = 300 * time.Millisecond

	// probeTimeout bounds a call while the store doesn't answer: the sooner it is
	// given up, the sooner one is made that the store answers. A change has to be
	// in force 2 s after the store is back.
	probeTimeout = 700 * time.Millisecond
)

// Batch is what one successful call brought.
type Batch struct {
	Changes []fulmardeal.Change
	Next    fulmardeal.Offset // from which to go on
	Whole   bool              // it lists every key; what it doesn't list is gone
	Silence time.Duration     // how long nothing was heard before it
}

// Options are how a feed is followed.
type Options struct {
	Name  string
	Feed  fulmardeal.Feed
	Wait  time.Duration                           // a call waits so long for a change; it also finds a silent connection
	Every time.Duration                           // pause between calls
	Pause func(every time.Duration) time.Duration // changes that pause, when set
	Lag   func() time.Duration                    // how old the state was when the last call was answered; 0 when it isn't set
	Apply func(Batch)
	Clock func() time.Duration // Uptime when it is nil
	Log   *slog.Logger
}

// Follower follows one feed. It is safe for concurrent use.
type Follower struct {
	options Options

	mu    sync.Mutex
	known bool
	heard time.Duration // by the clock that counts suspension
	down  bool
}

// New returns a follower that has heard nothing yet.
func New(o Options) *Follower {
	if o.Clock == nil {
		o.Clock = Uptime
	}
	return &Follower{options: o}
}

// Age returns how old the last word from the store is, and whether there was
// any. Time during which the instance was suspended counts.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Clock() - f.heard, f.known
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	var next fulmardeal.Offset
	whole := true
	retry := retryFirst
	for ctx.Err() == nil {
		var err error
		next, whole, err = f.step(ctx, next, whole)
		if ctx.Err() != nil {
			break
		}
		pause := f.options.Every
		if f.options.Pause != nil {
			pause = f.options.Pause(pause)
		}
		if err != nil {
			pause = time.Duration(float64(retry) * (0.5 + rand.Float64()))
			retry = min(2*retry, retryMost)
		} else {
			retry = retryFirst
		}
		sleep(ctx, pause)
	}
	return nil
}

// step makes one call. It returns where to go on, and whether all has to be
// read anew.
func (f *Follower) step(ctx context.Context, next fulmardeal.Offset, whole bool) (fulmardeal.Offset, bool, error) {
	begun := f.options.Clock()
	wait := f.options.Wait
	if f.isDown() && !whole {
		wait = 0
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		ctx = probe
	}
	var changes []fulmardeal.Change
	var after fulmardeal.Offset
	var err error
	if whole {
		changes, after, err = f.options.Feed.Newest(ctx)
	} else {
		changes, after, err = f.options.Feed.Since(ctx, next, wait)
	}
	var trimmed *fulmardeal.TrimmedError
	if errors.As(err, &trimmed) {
		f.options.Log.Info("feed trimmed", "feed", f.options.Name, "from", int64(next), "first", int64(trimmed.First))
		return next, true, nil
	}
	if err != nil {
		f.failed(err)
		return next, whole, err
	}
	if after < next {
		// A page from before what was read already; the store is behind itself.
		f.options.Log.Warn("feed stale", "feed", f.options.Name, "have", int64(next), "got", int64(after))
		return next, whole, &StaleError{Have: next, Got: after}
	}
	asOf := begun
	if !whole && len(changes) == 0 {
		// The store has waited for a change before it answered.
		asOf = min(begun+wait, f.options.Clock())
	}
	if f.options.Lag != nil {
		asOf -= f.options.Lag()
	}
	batch := Batch{Changes: changes, Next: after, Whole: whole, Silence: f.succeeded(asOf)}
	for _, c := range changes {
		if c.Fault != nil {
			f.options.Log.Warn("record unreadable", "feed", f.options.Name, "key", c.Key, "offset", int64(c.Offset), "err", c.Fault)
		}
	}
	f.options.Apply(batch)
	return after, false, nil
}

// StaleError says that the store answered with an earlier state than before.
type StaleError struct {
	Have fulmardeal.Offset
	Got  fulmardeal.Offset
}

func (e *StaleError) Error() string { return "the store answered with an earlier state than before" }

// succeeded notes that the store's state as of a moment is known. It returns for
// how long nothing had been heard.
func (f *Follower) succeeded(asOf time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	silence := asOf - f.heard
	if !f.known {
		silence = 0
	}
	if f.down || !f.known {
		f.options.Log.Info("store reached", "feed", f.options.Name, "silence", silence)
	}
	f.known, f.heard, f.down = true, max(f.heard, asOf), false
	return silence
}

func (f *Follower) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.down {
		f.options.Log.Warn("store lost", "feed", f.options.Name, "err", err)
	}
	f.down = true
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
