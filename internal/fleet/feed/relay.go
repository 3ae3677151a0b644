package feed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"fulmardeal"
)

// RelayName is the name of the RPC service of a relay.
const RelayName = "Relay"

// Timeouts and limits of relays and their clients.
const (
	// relayMaxAge is the maximum age of a relay's last successful read of the
	// store. Above it, the relay refuses requests, so that its clients try to read
	// the store themselves. The age counts from the start of the call that read the
	// state. Even with a healthy store it can reach two long-poll waits of 1.5 s.
	relayMaxAge = 3400 * time.Millisecond

	// relayPollWait is the maximum time that a relay holds a request until there is
	// a change. It adds to the time between two successful reads by the client.
	// Package roster takes more than 1.5 s between reads for an outage of the store.
	relayPollWait = 600 * time.Millisecond

	// relayCallTimeout is the timeout of a read of changes, on top of relayPollWait.
	// It can be short because the relay is in the same data centre.
	relayCallTimeout = 400 * time.Millisecond

	// relayFullReadTimeout is the timeout of a full read, which sends a few MB over
	// the network link of the relay's instance.
	relayFullReadTimeout = 3 * time.Second

	// relayStartupWait is how long a process that has just started waits for the
	// relays to finish their own first read of the store. The relays share a link
	// between regions with all other readers: 4 relays take 2 s to read 3,000
	// registrations.
	relayStartupWait = 4 * time.Second

	maxRelayAttempts = 2    // relays tried per request before falling back to the store
	maxRecentChanges = 8000 // changes that a relay keeps for clients that lag: a few seconds' worth in a large fleet
)

// WireChange is the wire form of one change.
type WireChange struct {
	// Change has no Fault, because an error value cannot be sent. The field Fault below
	// holds its text.
	Change fulmardeal.Change

	Fault string // text of the change's Fault, empty when there is none

	// Age is an upper bound on the time since the change was written, as of the
	// response; 0 if unknown.
	Age time.Duration
}

// cachedChange is a change in a relay's copy of a feed.
type cachedChange struct {
	WireChange
	writtenAfter time.Duration // Uptime after which the change was written
}

// ReadRequest is a read request to a relay: for the full state of a feed, or for
// the changes from an offset on.
type ReadRequest struct {
	Feed  string
	Whole bool
	From  fulmardeal.Position
}

// ReadResponse is a relay's response to a read request.
type ReadResponse struct {
	Items   []WireChange
	Next    fulmardeal.Position
	Trimmed bool          // the relay no longer keeps the changes from the requested position on
	Held    bool          // the items contain state that a restored store lacks
	Age     time.Duration // time since the relay's last successful read of the store
}

// NotReadyError reports that a relay doesn't know the store's current state.
type NotReadyError struct {
	Age time.Duration // time since the relay's last successful read of the store; negative when there was none
}

func (e *NotReadyError) Error() string {
	if e.Age < 0 {
		return "relay: no read of the store has succeeded yet"
	}
	return fmt.Sprintf("relay: last successful read of the store was %v ago", e.Age)
}

// Relay serves the feeds that this process has read from the store to other
// processes in its data centre, because in large fleets the links between regions
// can't carry the reads of every process. It is safe for concurrent use.
type Relay struct {
	mu    sync.Mutex
	feeds map[string]*cachedFeed
}

// cachedFeed is a relay's copy of one feed.
type cachedFeed struct {
	age     func() (time.Duration, bool)
	current map[string]cachedChange // the newest change of each key that is not deleted, by key
	recent  []cachedChange          // the most recent changes, in order of offset
	first   fulmardeal.Position     // offset from which recent is complete
	next    fulmardeal.Position     // offset after that of the last change
	removed map[string]removal      // the last change of each key that was deleted recently, by key
	others  map[string]otherStart   // starts of endpoints that are not the known ones, by key
	held    bool                    // current contains state that a restored store lacks

	filled     bool      // by a batch or a recall
	since      int64     // era from which on the feed is known; valid if filled
	restoredAt time.Time // when the first batch of the store's era was added; zero if this process has read no restored store

	changed chan struct{} // closed and replaced when changes are added, which wakes the readers that wait
}

// Add registers a feed, which is empty until the first Put. The function age returns
// the time since the last successful read of the store, and whether there was one.
func (r *Relay) Add(name string, age func() (time.Duration, bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.feeds == nil {
		r.feeds = make(map[string]*cachedFeed)
	}
	r.feeds[name] = &cachedFeed{age: age, current: make(map[string]cachedChange), removed: make(map[string]removal), others: make(map[string]otherStart), changed: make(chan struct{})}
}

// Put applies a batch that was read from the store to the copy of a feed. It returns
// the batch as it is to be applied elsewhere: without what is out of date, and with
// what a restored store lacks.
func (r *Relay) Put(name string, b Batch) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.feeds[name]
	now, writtenAfter := time.Now(), Uptime()-b.MaxAge
	f.expireRemovals(now)
	if !f.filled {
		f.filled, f.since = true, b.Next.Era()
	}
	if b.Restored {
		f.restoredAt = now
	}
	if b.Full {
		b.Changes, f.held = f.reconcile(now, b)
		f.recordRemovals(now, b)
		f.current, f.recent, f.first = make(map[string]cachedChange), nil, b.Next
	}
	var applied []fulmardeal.Change
	for _, c := range b.Changes {
		if !b.Full {
			if f.isLate(now, c) {
				b.Late = append(b.Late, c.Key)
				continue
			}
			f.recordRemovals(now, Batch{Changes: []fulmardeal.Change{c}})
		}
		applied = append(applied, c)
		w := cachedChange{WireChange: toWire(c), writtenAfter: writtenAfter}
		switch known, is := f.current[c.Key]; {
		case c.Gone, c.Fault != nil && !(is && outlivesFault(known.Change)):
			delete(f.current, c.Key)
		case c.Fault == nil:
			f.current[c.Key] = w
		}
		if !b.Full {
			f.recent = append(f.recent, w)
		}
	}
	if over := len(f.recent) - maxRecentChanges; over > 0 {
		f.first = f.recent[over-1].Change.Offset + 1
		f.recent = append([]cachedChange(nil), f.recent[over:]...)
	}
	b.Changes, f.next = applied, b.Next
	if len(b.Changes) > 0 || b.Full {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	return b
}

func toWire(c fulmardeal.Change) WireChange {
	w := WireChange{Change: c}
	w.Change.Awaited = false // by this process, not by the reader of the relay
	if c.Fault != nil {
		w.Change.Fault, w.Fault = nil, c.Fault.Error()
	}
	return w
}

// Service returns the receiver to register with package net/rpc.
func (r *Relay) Service() any { return &service{r} }

// service holds the RPC methods of a relay.
type service struct{ relay *Relay }

// Read answers a read request. When there are no changes yet, it waits up to
// relayPollWait for some.
func (s *service) Read(req ReadRequest, resp *ReadResponse) error {
	timeout := time.After(relayPollWait)
	for {
		changed, err := s.relay.read(req, resp)
		if err != nil || req.Whole || resp.Trimmed || len(resp.Items) > 0 {
			return err
		}
		select {
		case <-changed:
		case <-timeout:
			_, err := s.relay.read(req, resp) // updates the age
			return err
		}
	}
}

// read fills in a response without waiting. The channel that it returns is
// closed at the next change.
func (r *Relay) read(req ReadRequest, resp *ReadResponse) (<-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.feeds[req.Feed]
	if f == nil {
		return nil, &NotReadyError{Age: -1}
	}
	age, known := f.age()
	if !known {
		return nil, &NotReadyError{Age: -1}
	}
	if age > relayMaxAge {
		return nil, &NotReadyError{Age: age}
	}
	resp.Items, resp.Next, resp.Age, resp.Trimmed, resp.Held = nil, f.next, age, !req.Whole && req.From < f.first, f.held
	switch {
	case req.Whole:
		for _, w := range f.current {
			resp.Items = append(resp.Items, w.WireChange)
		}
	case !resp.Trimmed:
		uptime := Uptime()
		for _, w := range f.recent {
			if w.Change.Offset >= req.From {
				w.Age = max(1, uptime-w.writtenAfter)
				resp.Items = append(resp.Items, w.WireChange)
			}
		}
	}
	return f.changed, nil
}

// Caller calls an RPC method of another process.
type Caller func(ctx context.Context, address, method string, args, reply any) error

// RelayClient is a feed that is read through relays. It falls back to the store
// when no relay is configured for this process or none answers.
type RelayClient struct {
	Name   string
	Store  fulmardeal.Feed
	Relays func() []string // addresses of the relays; empty when this process reads the store itself
	Call   Caller
	Log    *slog.Logger

	mu           sync.Mutex
	firstFailure time.Time     // when all relays tried for a request first failed; zero if they never have
	everRelayed  bool          // a relay has answered at least once
	turn         int           // number of requests so far; selects the relay in the round-robin
	relayed      bool          // the last response came from a relay
	lag          time.Duration // age of the state in the last response; see Lag
	held         bool          // see Provisional
	age          time.Duration // see Age
}

// Newest returns the full state of the feed.
func (f *RelayClient) Newest(ctx context.Context) ([]fulmardeal.Change, fulmardeal.Position, error) {
	changes, next, err, done := f.request(ctx, ReadRequest{Feed: f.Name, Whole: true}, relayFullReadTimeout)
	if !done {
		return f.Store.Newest(ctx)
	}
	return changes, next, err
}

// Since returns the changes from an offset on.
func (f *RelayClient) Since(ctx context.Context, from fulmardeal.Position, wait time.Duration) ([]fulmardeal.Change, fulmardeal.Progress, error) {
	changes, next, err, done := f.request(ctx, ReadRequest{Feed: f.Name, From: from}, relayPollWait+relayCallTimeout)
	if !done {
		return f.Store.Since(ctx, from, wait)
	}
	// A relay sends all that it has. What it hasn't read itself counts in its age.
	return changes, fulmardeal.Progress{Next: next, End: next}, err
}

// Pause returns the time until the next call, given the pause that is usual between
// calls of the store. After a response from a relay it returns 0, because the relay
// itself waits for changes.
func (f *RelayClient) Pause(store time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relayed {
		return 0
	}
	return store
}

// request sends a request to the relays, round-robin. The last result is false
// when the caller has to read the store instead, because there are no relays or
// none answered. It is true, with an error, when the caller has to retry.
func (f *RelayClient) request(ctx context.Context, req ReadRequest, timeout time.Duration) ([]fulmardeal.Change, fulmardeal.Position, error, bool) {
	relays := f.Relays()
	start := f.nextTurn()
	var failures error
	for i := range min(len(relays), maxRelayAttempts) {
		// Each request starts with another relay. A relay may have lost contact with
		// the store without having noticed yet; the rotation makes sure that it
		// delays a client by one request only.
		address := relays[(start+i)%len(relays)]
		changes, next, err := f.readRelay(ctx, address, req, timeout)
		var trimmed *fulmardeal.TrimmedError
		if err == nil || errors.As(err, &trimmed) {
			return changes, next, err, true
		}
		failures = errors.Join(failures, err)
	}
	if ctx.Err() != nil || len(relays) > 0 && f.relaysStarting() {
		return nil, 0, failures, true
	}
	if len(relays) > 0 {
		f.Log.Warn("no relay answered; reading from the store", "asked", min(len(relays), maxRelayAttempts), "err", failures)
	}
	f.setSource(false, 0, false, 0)
	return nil, 0, nil, false
}

// nextTurn returns the number of requests so far, this one included.
func (f *RelayClient) nextTurn() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn++
	return f.turn
}

// relaysStarting reports whether the relays may still be in their own first read
// of the store, in which case the caller retries instead of reading the store.
func (f *RelayClient) relaysStarting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstFailure.IsZero() {
		f.firstFailure = time.Now()
	}
	return !f.everRelayed && time.Since(f.firstFailure) < relayStartupWait
}

// Relayed reports whether the last response came from a relay.
func (f *RelayClient) Relayed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relayed
}

// Lag returns the age that the state in the last response had when the response was
// sent. It is 0 for a response from the store. It can be above 0 for a response from
// a relay, because the relay answers from its last read of the store.
func (f *RelayClient) Lag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

// Waited returns how long the source of the last response waited for a change at least, if
// it found none in the given time.
func (f *RelayClient) Waited(wait time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relayed {
		return min(wait, relayPollWait)
	}
	return wait
}

// Provisional reports whether the last response was a full read with state that a
// restored store lacks, and that the relay still holds.
func (f *RelayClient) Provisional() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

// Age returns an upper bound on the time that had passed since the changes in the last
// response were written, when a relay sent it; 0 if a relay didn't send it or didn't know.
func (f *RelayClient) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age
}

// maxRelayedAge is the highest age of a change that a relay can state.
const maxRelayedAge = time.Hour

// maxAge returns the highest age of changes, or 0 if one is unknown.
func maxAge(items []WireChange) time.Duration {
	highest := time.Duration(0)
	for _, w := range items {
		if w.Age <= 0 {
			return 0
		}
		highest = max(highest, min(w.Age, maxRelayedAge))
	}
	return highest
}

func (f *RelayClient) setSource(relayed bool, lag time.Duration, held bool, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if relayed != f.relayed {
		f.Log.Info("feed source changed", "feed", f.Name, "relayed", relayed)
	}
	f.relayed, f.lag, f.held, f.age = relayed, lag, held, age
	f.everRelayed = f.everRelayed || relayed
}

func (f *RelayClient) readRelay(ctx context.Context, address string, req ReadRequest, timeout time.Duration) ([]fulmardeal.Change, fulmardeal.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var resp ReadResponse
	if err := f.Call(ctx, address, RelayName+".Read", req, &resp); err != nil {
		return nil, 0, err
	}
	if resp.Age < 0 || resp.Age > relayMaxAge {
		return nil, 0, &NotReadyError{Age: resp.Age} // a relay refuses the request itself
	}
	f.setSource(true, resp.Age, req.Whole && resp.Held, maxAge(resp.Items))
	if resp.Trimmed {
		return nil, 0, &fulmardeal.TrimmedError{Stream: RelayName, First: fulmardeal.Offset(resp.Next.Offset())}
	}
	if resp.Next < req.From {
		return nil, 0, &StaleError{Have: req.From, Got: resp.Next}
	}
	changes := make([]fulmardeal.Change, len(resp.Items))
	for i, w := range resp.Items {
		changes[i] = w.Change
		if w.Fault != "" {
			changes[i].Fault = errors.New(w.Fault)
		}
	}
	return changes, resp.Next, nil
}
