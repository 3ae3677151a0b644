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

// RelayName is the name under which a relay is served.
const RelayName = "Relay"

// Times and bounds of relays.
const (
	// relayStale is the age of the last word from the store after which a relay
	// doesn't answer any more: its callers may reach the store themselves. What
	// is known is as old as the call that brought it, so in a sound state it
	// can be two waits of 1.5 s.
	relayStale = 3400 * time.Millisecond

	// relayWait is how long a relay waits for a change. The caller counts the
	// time as silence, of which 1.5 s would mean that the store was away.
	relayWait = 600 * time.Millisecond

	relayTimeout = 400 * time.Millisecond // of a call besides that wait; a relay is in the same data centre
	wholeTimeout = 3 * time.Second        // of a call for everything: some MB over the link of an instance

	// relayPatience is how long a process that has just started waits for the
	// relays to have read the store. They share a link between regions with
	// all others that read it: 4 of them read 3,000 registrations in 2 s.
	relayPatience = 4 * time.Second

	relayTried = 2    // relays that are tried in turn before the store
	mostRecent = 8000 // changes that a relay keeps for callers that lag; some seconds of a large fleet's
)

// Item is one record as relays send it.
type Item struct {
	Change fulmardeal.Change // without its fault
	Fault  string            // why the record can't be read
}

// Question is what a relay is asked: for everything of a feed, or for the
// changes from an offset on.
type Question struct {
	Feed  string
	Whole bool
	From  fulmardeal.Offset
}

// Answer is a relay's answer.
type Answer struct {
	Items   []Item
	Next    fulmardeal.Offset
	Trimmed bool          // the changes from that offset on are no longer kept
	Age     time.Duration // of the last word from the store
}

// UnreadyError says that a relay doesn't know the store's present state.
type UnreadyError struct {
	Age time.Duration // of the last word from the store; negative when there was none
}

func (e *UnreadyError) Error() string {
	if e.Age < 0 {
		return "relay: the store has not been read yet"
	}
	return fmt.Sprintf("relay: the store was last heard %v ago", e.Age)
}

// Relay hands on what this process has read, to others in its data centre that
// would read the same from the store: in large fleets all their reads together
// are more than the links between regions carry. It is safe for concurrent use.
type Relay struct {
	mu    sync.Mutex
	feeds map[string]*feedCopy
}

// feedCopy is one feed as it was read.
type feedCopy struct {
	age     func() (time.Duration, bool)
	current map[string]Item
	recent  []Item
	first   fulmardeal.Offset // from which on recent has all changes
	next    fulmardeal.Offset
	wake    chan struct{} // closed when there are changes
}

// Add makes a feed known, of which nothing has been read. Age tells how old the
// last word from the store is, and whether there was any.
func (r *Relay) Add(name string, age func() (time.Duration, bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.feeds == nil {
		r.feeds = make(map[string]*feedCopy)
	}
	r.feeds[name] = &feedCopy{age: age, current: make(map[string]Item), wake: make(chan struct{})}
}

// Put takes over what was read of a feed.
func (r *Relay) Put(name string, b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.feeds[name]
	if b.Whole {
		f.current, f.recent, f.first = make(map[string]Item), nil, b.Next
	}
	for _, c := range b.Changes {
		i := itemOf(c)
		if c.Gone || c.Fault != nil {
			delete(f.current, c.Key)
		} else {
			f.current[c.Key] = i
		}
		if !b.Whole {
			f.recent = append(f.recent, i)
		}
	}
	if over := len(f.recent) - mostRecent; over > 0 {
		f.first = f.recent[over-1].Change.Offset + 1
		f.recent = append([]Item(nil), f.recent[over:]...)
	}
	f.next = b.Next
	if len(b.Changes) > 0 || b.Whole {
		close(f.wake)
		f.wake = make(chan struct{})
	}
}

func itemOf(c fulmardeal.Change) Item {
	i := Item{Change: c}
	if c.Fault != nil {
		i.Change.Fault, i.Fault = nil, c.Fault.Error()
	}
	return i
}

// Service returns the relay as it is registered for remote calls.
func (r *Relay) Service() any { return &service{r} }

// service is the remote side of a relay.
type service struct{ relay *Relay }

// Read answers a question.
func (s *service) Read(q Question, a *Answer) error {
	timeout := time.After(relayWait)
	for {
		wake, err := s.relay.read(q, a)
		if err != nil || q.Whole || a.Trimmed || len(a.Items) > 0 {
			return err
		}
		select {
		case <-wake:
		case <-timeout:
			_, err := s.relay.read(q, a) // for the age as it is now
			return err
		}
	}
}

// read fills in an answer, and returns what is closed with the next change.
func (r *Relay) read(q Question, a *Answer) (<-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.feeds[q.Feed]
	if f == nil {
		return nil, &UnreadyError{Age: -1}
	}
	age, known := f.age()
	if !known {
		return nil, &UnreadyError{Age: -1}
	}
	if age > relayStale {
		return nil, &UnreadyError{Age: age}
	}
	a.Items, a.Next, a.Age, a.Trimmed = nil, f.next, age, !q.Whole && q.From < f.first
	switch {
	case q.Whole:
		for _, i := range f.current {
			a.Items = append(a.Items, i)
		}
	case !a.Trimmed:
		for _, i := range f.recent {
			if i.Change.Offset >= q.From {
				a.Items = append(a.Items, i)
			}
		}
	}
	return f.wake, nil
}

// Caller calls a method of another process.
type Caller func(ctx context.Context, address, method string, args, reply any) error

// Relayed is a feed that is read from a relay, or from the store where this
// process is to read it or no relay answers.
type Relayed struct {
	Name   string
	Store  fulmardeal.Feed
	Relays func() []string // addresses in the order of trial; empty when this process reads the store itself
	Call   Caller
	Log    *slog.Logger

	mu      sync.Mutex
	begun   time.Time     // when the first relay was asked
	served  bool          // a relay has answered before
	turn    int           // counts the questions: relays are asked in turn
	relayed bool          // the last answer was a relay's
	lag     time.Duration // how old that answer was when it was given
}

// Newest returns everything.
func (f *Relayed) Newest(ctx context.Context) ([]fulmardeal.Change, fulmardeal.Offset, error) {
	changes, next, err, asked := f.ask(ctx, Question{Feed: f.Name, Whole: true}, wholeTimeout)
	if !asked {
		return f.Store.Newest(ctx)
	}
	return changes, next, err
}

// Since returns the changes from an offset on.
func (f *Relayed) Since(ctx context.Context, from fulmardeal.Offset, wait time.Duration) ([]fulmardeal.Change, fulmardeal.Offset, error) {
	changes, next, err, asked := f.ask(ctx, Question{Feed: f.Name, From: from}, relayWait+relayTimeout)
	if !asked {
		return f.Store.Since(ctx, from, wait)
	}
	return changes, next, err
}

// Pause returns the time until the next call: a relay waits for changes itself,
// the store is asked at intervals.
func (f *Relayed) Pause(store time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relayed {
		return 0
	}
	return store
}

// ask asks the relays in turn. The store is to be asked when there are none, or
// when none answers.
func (f *Relayed) ask(ctx context.Context, q Question, timeout time.Duration) ([]fulmardeal.Change, fulmardeal.Offset, error, bool) {
	relays := f.Relays()
	turn := f.next()
	var all error
	for i := range min(len(relays), relayTried) {
		// One that doesn't hear of changes, and doesn't know it yet, holds its
		// callers up for one question only.
		address := relays[(turn+i)%len(relays)]
		changes, next, err := f.read(ctx, address, q, timeout)
		var trimmed *fulmardeal.TrimmedError
		if err == nil || errors.As(err, &trimmed) {
			return changes, next, err, true
		}
		all = errors.Join(all, err)
	}
	if ctx.Err() != nil || len(relays) > 0 && f.waits() {
		return nil, 0, all, true
	}
	if len(relays) > 0 {
		f.Log.Warn("no relay answers", "asked", min(len(relays), relayTried), "err", all)
	}
	f.note(false, 0)
	return nil, 0, nil, false
}

// next counts the questions.
func (f *Relayed) next() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn++
	return f.turn
}

// waits reports whether the relays may not have read the store yet.
func (f *Relayed) waits() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begun.IsZero() {
		f.begun = time.Now()
	}
	return !f.served && time.Since(f.begun) < relayPatience
}

// Lag returns how old the state was when the last answer was given: a relay's
// last word from the store may be older than the call.
func (f *Relayed) Lag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

func (f *Relayed) note(relayed bool, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if relayed != f.relayed {
		f.Log.Info("feed read", "feed", f.Name, "relayed", relayed)
	}
	f.relayed, f.lag = relayed, lag
	f.served = f.served || relayed
}

func (f *Relayed) read(ctx context.Context, address string, q Question, timeout time.Duration) ([]fulmardeal.Change, fulmardeal.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var a Answer
	if err := f.Call(ctx, address, RelayName+".Read", q, &a); err != nil {
		return nil, 0, err
	}
	f.note(true, a.Age)
	if a.Trimmed {
		return nil, 0, &fulmardeal.TrimmedError{Stream: RelayName, First: a.Next}
	}
	if a.Next < q.From {
		return nil, 0, &StaleError{Have: q.From, Got: a.Next}
	}
	changes := make([]fulmardeal.Change, len(a.Items))
	for i, x := range a.Items {
		changes[i] = x.Change
		if x.Fault != "" {
			changes[i].Fault = errors.New(x.Fault)
		}
	}
	return changes, a.Next, nil
}
