// Package feed follows a change feed of the platform's store. A Follower reads
// the full state once and then polls for changes, and tracks the age of the
// last successful read. A Relay serves what its process has read to other
// processes in the same data centre.
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

// Retry delays and timeouts after a failed call.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond

	// probeTimeout bounds a call while the store is unreachable. A change must
	// be in force within 2 s of the store's return, so a call that started
	// during the outage has to be cancelled and retried well before that.
	probeTimeout = 700 * time.Millisecond
)

// Batch is the result of one successful read.
type Batch struct {
	Changes       []fulmardeal.Change
	Next          fulmardeal.Position // position at which the next read starts
	Full          bool                // the batch lists every key; keys that it doesn't list have been deleted
	Restored      bool                // the batch is the first one of an era: the store may lack what was already read
	Late          []string            // keys of registrations that were left out because later ones had been read
	SinceLastRead time.Duration       // time since the previous successful read

	// MaxAge is an upper bound on the time since the changes were written, not counting
	// what had passed when the store was last seen disturbed, or when the follower was
	// created.
	MaxAge time.Duration
}

// Options configures a Follower.
type Options struct {
	Name string
	Feed fulmardeal.Feed

	// Wait is how long a call of Feed.Since waits for a change. A dead connection can
	// go unnoticed for as long.
	Wait time.Duration

	Interval time.Duration // pause between two calls of Feed

	// Pause, if set, returns the pause to make between calls instead of Interval,
	// which it is given.
	Pause func(interval time.Duration) time.Duration

	// Lag returns the age that the state in the last response had when the response
	// was sent. A nil Lag means 0.
	Lag func() time.Duration

	// Waited returns how long the source of the last response, which had no changes, had
	// waited at least for one, of the time that it was given. A nil Waited means all of it.
	Waited func(wait time.Duration) time.Duration

	// RelayAge returns an upper bound on the time that had passed since the changes in
	// the last response were written, when a relay sent it; 0 if a relay didn't send it
	// or didn't know. A nil RelayAge means 0.
	RelayAge func() time.Duration

	// Pulse tells whether the process stood still. It beats by Clock. If it is nil, the
	// process may have stood still during any call.
	Pulse *Pulse

	// Hold is how long what a restored store lacks is still taken to be valid. A
	// full read after that time decides.
	Hold time.Duration

	// Recall fills in what other processes know from before the given era, when the first
	// read shows that the store was restored earlier. It reports whether the batch has to be
	// reconciled with that. A nil Recall means that nobody is asked.
	Recall func(ctx context.Context, era int64) bool

	// Provisional reports whether the last full read contained such state. A nil
	// Provisional means that it never does.
	Provisional func() bool

	Apply  func(Batch)
	Clock  func() time.Duration // nil means Uptime
	Log    *slog.Logger
	Faults *FaultLog // nil means one that logs to Log
}

// Follower polls one feed. It is safe for concurrent use.
type Follower struct {
	options Options

	mu        sync.Mutex
	everKnown bool
	lastKnown time.Duration // Options.Clock reading at which the state last read was still current
	lastRead  time.Duration // the same for the part of the state that the last response held; later than lastKnown if the feed goes on after that part
	down      bool          // the last call failed
	disturbed time.Duration // Options.Clock reading at which the store was last seen disturbed, or at which the follower was created

	// backlog is what the follower has yet to read. Only Run's goroutine uses it.
	backlog backlog

	// confirmAt is the clock reading at which a full read is due that confirms the
	// state after the store was restored; zero if none is. Only Run's goroutine uses
	// it.
	confirmAt time.Duration
}

// backlog is the part of a feed that a response has left out because it holds too much.
// The zero value is none.
type backlog struct {
	end  fulmardeal.Position // end of the feed as of the response
	asOf time.Duration       // Options.Clock reading at which the response was current
}

// New returns a follower that has not read anything yet.
func New(o Options) *Follower {
	if o.Clock == nil {
		o.Clock = Uptime
	}
	if o.Faults == nil {
		o.Faults = NewFaultLog(o.Log, nil)
	}
	return &Follower{options: o, disturbed: o.Clock()}
}

// Age returns how long ago the state that has been read and applied was last known to be the
// store's, and whether there is one. Time during which the instance was suspended counts.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Clock() - f.lastKnown, f.everKnown
}

// Run polls the feed until the context is cancelled.
func (f *Follower) Run(ctx context.Context) error {
	var next fulmardeal.Position
	full := true
	retry := minRetryDelay
	for ctx.Err() == nil {
		var err error
		next, full, err = f.step(ctx, next, full)
		if ctx.Err() != nil {
			break
		}
		pause := f.options.Interval
		if f.options.Pause != nil {
			pause = f.options.Pause(pause)
		}
		switch {
		case err != nil:
			pause = time.Duration(float64(retry) * (0.5 + rand.Float64()))
			retry = min(2*retry, maxRetryDelay)
		case f.backlog.end > next:
			pause, retry = 0, minRetryDelay
		default:
			retry = minRetryDelay
		}
		sleep(ctx, pause)
	}
	return nil
}

// step makes one call. It returns the offset of the next read, and whether the next
// read has to be a full one.
func (f *Follower) step(ctx context.Context, next fulmardeal.Position, full bool) (fulmardeal.Position, bool, error) {
	callStart := f.options.Clock()
	if f.confirmAt != 0 && callStart >= f.confirmAt {
		full = true
	}
	wait := f.options.Wait
	if f.isDown() && !full {
		wait = 0
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		ctx = probe
	}
	var changes []fulmardeal.Change
	var progress fulmardeal.Progress
	var err error
	if full {
		changes, progress.Next, err = f.options.Feed.Newest(ctx)
		progress.End = progress.Next
	} else {
		changes, progress, err = f.options.Feed.Since(ctx, next, wait)
	}
	after := progress.Next
	var trimmed *fulmardeal.TrimmedError
	if errors.As(err, &trimmed) {
		f.options.Log.Info("feed history trimmed; reading the full state", "feed", f.options.Name, "from", int64(next), "first", int64(trimmed.First))
		return next, true, nil
	}
	var restored *fulmardeal.EraError
	if errors.As(err, &restored) && restored.Got > restored.Have && !full {
		f.options.Log.Warn("store restored from a backup; reading the full state", "feed", f.options.Name, "from", next.Offset(), "era", restored.Got, "previous", restored.Have)
		return next, true, nil
	}
	if err != nil {
		f.recordFailure(callStart, err)
		return next, full, err
	}
	if after < next {
		// Applying an earlier state than one already read would undo changes.
		f.options.Log.Warn("feed stale", "feed", f.options.Name, "have", int64(next), "got", int64(after))
		return next, full, &StaleError{Have: next, Got: after}
	}
	asOf := callStart
	if !full && len(changes) == 0 && progress.Complete() {
		// The response is empty because the store had no change until the end of the
		// wait, so the state already known was still current then.
		if f.options.Waited != nil {
			wait = f.options.Waited(wait)
		}
		asOf = min(callStart+wait, f.options.Clock())
	}
	if f.options.Lag != nil {
		asOf -= f.options.Lag()
	}
	restoredSince := f.known() && after.Era() > next.Era()
	if !f.known() && after.Era() > 0 && f.options.Recall != nil {
		restoredSince = f.options.Recall(ctx, after.Era())
	}
	batch := Batch{Changes: changes, Next: after, Full: full, Restored: full && restoredSince, MaxAge: f.maxAge(callStart, changes, full)}
	batch.SinceLastRead = f.recordResponse(asOf)
	f.scheduleConfirmation(batch)
	f.options.Faults.Record(f.options.Name, changes)
	f.options.Apply(batch)
	// What a response says of the state's age holds once its changes are in force.
	f.recordKnown(f.currentAt(asOf, progress))
	return after, false, nil
}

// currentAt returns the clock reading at which the state that has been read was the store's,
// given that the last response was current at asOf. It returns 0 if nothing new is known of
// it: a response that stops before the end of the feed doesn't tell when the first record
// after it was written. Once a later response reaches that end, the state was current at the
// earlier response's time.
func (f *Follower) currentAt(asOf time.Duration, p fulmardeal.Progress) time.Duration {
	if p.Complete() {
		f.backlog = backlog{}
		return asOf
	}
	current := time.Duration(0)
	if f.backlog.end != 0 && p.Next >= f.backlog.end {
		current, f.backlog = f.backlog.asOf, backlog{}
	}
	if f.backlog.end == 0 {
		f.options.Log.Info("feed goes on after a response", "feed", f.options.Name, "next", p.Next.Offset(), "end", p.End.Offset())
		f.backlog = backlog{end: p.End, asOf: asOf}
	}
	return current
}

// maxAge returns an upper bound on the time since the changes of the read that has just
// ended were written.
func (f *Follower) maxAge(callStart time.Duration, changes []fulmardeal.Change, full bool) time.Duration {
	now, relayAge, runningSince := f.options.Clock(), time.Duration(0), time.Duration(0)
	if f.options.RelayAge != nil && !full {
		relayAge = f.options.RelayAge()
	}
	if f.options.Pulse != nil {
		runningSince = f.options.Pulse.RunningSince(now)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return changeAge(max(f.lastKnown, f.disturbed), callStart, runningSince, now, !full && len(changes) > 0 && changes[0].Awaited, relayAge)
}

// scheduleConfirmation schedules the full read that decides about state which a
// restored store lacks. Until then that state is taken to be valid, because operators
// and endpoints write again what the store has lost.
func (f *Follower) scheduleConfirmation(b Batch) {
	switch {
	case b.Restored, b.Full && f.options.Provisional != nil && f.options.Provisional():
		f.confirmAt = f.options.Clock() + f.options.Hold
	case b.Full:
		f.confirmAt = 0
	}
}

func (f *Follower) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everKnown
}

// StaleError reports a response with an earlier state than one already read.
type StaleError struct {
	Have fulmardeal.Position // position of the state already read
	Got  fulmardeal.Position // position of the state in the response
}

func (e *StaleError) Error() string { return "store returned an earlier state than one already read" }

// recordResponse records a response that was current at the clock reading asOf. It returns
// the time since the previous one.
func (f *Follower) recordResponse(asOf time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	elapsed := asOf - f.lastRead
	if !f.everKnown {
		elapsed = 0
	}
	if f.down || !f.everKnown {
		f.options.Log.Info("store reached", "feed", f.options.Name, "silence", elapsed)
	}
	f.lastRead, f.down = max(f.lastRead, asOf), false
	return elapsed
}

// recordKnown records that the state that has been read and applied was the store's at the
// clock reading asOf.
func (f *Follower) recordKnown(asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.everKnown, f.lastKnown = true, max(f.lastKnown, asOf)
}

func (f *Follower) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// recordFailure records that a call has failed. The first one may be due to its connection
// or to this process. A second one in a row, on another connection, shows that the store,
// or the way there, is disturbed, unless the process stood still meanwhile.
func (f *Follower) recordFailure(callStart time.Duration, err error) {
	now := f.options.Clock()
	stoodStill := f.options.Pulse != nil && f.options.Pulse.RunningSince(now) < min(now, callStart+maxBeatInterval)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.down {
		f.options.Log.Warn("store lost", "feed", f.options.Name, "err", err)
	} else if !stoodStill {
		f.disturbed = max(f.disturbed, callStart)
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
