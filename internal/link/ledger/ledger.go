// Package ledger accounts for what the connections that others open make a process hold:
// requests, answers, bytes in sockets, and the connections themselves. It closes the
// costliest connections while all together exceed the process's share.
package ledger

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Reason tells why a connection was closed.
type Reason string

// Reasons for closing a connection.
const (
	ReasonMemory      Reason = "memory"      // all connections together held too much
	ReasonConnections Reason = "connections" // the listener had too many connections
	ReasonRoom        Reason = "room"        // others had no room for a request or an answer
	ReasonStalled     Reason = "stalled"     // the other side took nothing of what was written to it
)

// Times and sizes of the decisions.
const (
	// suspectAfter is how long a connection may keep the process waiting, in the middle of
	// a request or of an answer, before it is closed ahead of others.
	suspectAfter = time.Second

	// minSuspectBytes is what a connection must hold to be closed for want of memory ahead
	// of others. Closing an idle one gains nothing.
	minSuspectBytes = 4 * connBytes

	// measureInterval is the shortest time between two looks into all sockets.
	measureInterval = 50 * time.Millisecond

	// Reads wait while connections that are being closed still take more than this part of
	// what all may take, beyond that.
	throttleFraction = 4
	throttleTries    = 100
	throttlePause    = 2 * time.Millisecond

	farFactor          = 2 // of what all may take, beyond which sound connections are closed too
	unreservedFraction = 4 // the part of what all may take that can't be reserved

	reserveTries = 20 // while others are closed
	reservePause = 5 * time.Millisecond

	maxLogLines = 20 // per second
)

// Limits are what connections may make a process hold.
type Limits struct {
	Bytes int64         // of all together
	Stall time.Duration // that a write may make no progress

	Log   *slog.Logger        // of connections that are closed; nil for none
	Count func(reason Reason) // is called for each of them; nil for none
}

// Ledger holds the accounts of a process's connections. It is safe for concurrent use.
type Ledger struct {
	limits  Limits
	total   atomic.Int64 // bytes of all accounts
	closing atomic.Int64 // of these, bytes of accounts that are being closed
	kernel  atomic.Int64 // of these, bytes in sockets
	open    atomic.Int64 // accounts that are not being closed

	mu        sync.Mutex
	accounts  map[*Account]struct{} // those that are not being closed
	measured  time.Time
	logSecond time.Time // the second to which logLines belongs
	logLines  int
}

// New returns a ledger without accounts.
func New(l Limits) *Ledger {
	if l.Log == nil {
		l.Log = slog.New(slog.DiscardHandler)
	}
	if l.Count == nil {
		l.Count = func(Reason) {}
	}
	return &Ledger{limits: l, accounts: make(map[*Account]struct{})}
}

// State is what a ledger holds, for a state dump.
type State struct {
	Connections int   `json:"connections"`
	Bytes       int64 `json:"bytes"`
	Sockets     int64 `json:"sockets"` // of these, in sockets
	Limit       int64 `json:"limit"`
}

// State returns what the ledger holds.
func (l *Ledger) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Connections: len(l.accounts), Bytes: l.total.Load(), Sockets: l.kernel.Load(), Limit: l.limits.Bytes}
}

// fits reports whether so many bytes more may be reserved. Some are left for what can't be
// refused: heads, and what is being written. The connections themselves don't count, since each
// listener has a limit on their number: idle ones must not take the room of bodies.
func (l *Ledger) fits(more int64) bool {
	held := l.total.Load() - l.closing.Load() - l.open.Load()*connBytes
	return held+more <= l.limits.Bytes-l.limits.Bytes/unreservedFraction
}

// over reports whether the accounts hold too much, apart from those being closed.
func (l *Ledger) over() bool { return l.total.Load()-l.closing.Load() > l.limits.Bytes }

// farOver reports whether they hold so much that also those are closed that don't keep the
// process waiting. Much of what these hold is about to be read or to be taken.
func (l *Ledger) farOver() bool { return l.total.Load()-l.closing.Load() > farFactor*l.limits.Bytes }

// throttle waits while closed connections still take too much.
func (a *Account) throttle() {
	if a == nil {
		return
	}
	for range throttleTries {
		if l := a.ledger; l.total.Load() <= l.limits.Bytes+l.limits.Bytes/throttleFraction || a.Ended() {
			return
		}
		time.Sleep(throttlePause)
	}
}

// relieve closes the costliest connections until the others hold no more than they may.
func (l *Ledger) relieve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.over() {
		if now := time.Now(); now.Sub(l.measured) >= measureInterval {
			l.measure()
			continue
		}
		far := l.farOver()
		v := costliest(l.accounts, (*Account).held, func(a *Account) bool { return far || a.suspect() && a.held() >= minSuspectBytes })
		if v == nil {
			return
		}
		l.evict(v, ReasonMemory)
	}
}

// relieveSuspects closes connections that keep the process waiting, until so many bytes more
// fit. It reports whether they do.
func (l *Ledger) relieveSuspects(more int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.fits(more) {
		if now := time.Now(); now.Sub(l.measured) >= measureInterval {
			l.measure()
			continue
		}
		v := costliest(l.accounts, (*Account).held, func(a *Account) bool { return a.suspect() && a.held() >= minSuspectBytes })
		if v == nil {
			return false
		}
		l.evict(v, ReasonMemory)
	}
	return true
}

// measure looks into all sockets. l.mu must be held.
func (l *Ledger) measure() {
	for a := range l.accounts {
		a.measure()
	}
	l.measured = time.Now() // the look may take longer than the interval
}

// MakeRoom closes the connection that holds most of a part among those that keep the process
// waiting, so that others have room for theirs. It reports whether there will be room.
func (l *Ledger) MakeRoom(p Part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing.Load() > 0 {
		return true
	}
	v := costliest(l.accounts, func(a *Account) int64 { return a.Size(p) }, (*Account).suspect)
	if v == nil {
		return false
	}
	l.evict(v, ReasonRoom)
	return true
}

// evict closes an account's connection. l.mu must be held.
func (l *Ledger) evict(a *Account, reason Reason) {
	delete(l.accounts, a)
	l.open.Add(-1)
	a.listing.remove()
	held := a.beginClosing()
	go a.abort() // waits for the calls on the connection, which may wait for l.mu
	l.report(a, reason, held)
}

// report counts and logs a connection that has been closed. l.mu must be held.
func (l *Ledger) report(a *Account, reason Reason, held int64) {
	l.limits.Count(reason)
	if now := time.Now().Truncate(time.Second); now != l.logSecond {
		l.logSecond, l.logLines = now, 0
	}
	if l.logLines++; l.logLines <= maxLogLines {
		l.limits.Log.Warn("connection closed for what it held", "reason", reason, "listener", a.listing.name, "remote", a.conn.RemoteAddr().String(), "bytes", held,
			"early", a.early.Load(), "connections", len(l.accounts), "total", l.total.Load(), "limit", l.limits.Bytes)
	}
}

// costliest returns the account to close first: one that keeps the process waiting if there is
// one, of the address whose accounts have most, and of these the one that has most and has
// kept the process waiting for longest. It returns nil if no account that may be closed has
// anything.
func costliest(accounts map[*Account]struct{}, cost func(*Account) int64, may func(*Account) bool) *Account {
	sums := make(map[string]int64)
	for a := range accounts {
		sums[a.address] += cost(a)
	}
	var best *Account
	var bestRank rank
	for a := range accounts {
		if !may(a) || cost(a) <= 0 {
			continue
		}
		r := rank{suspect: a.suspect() && a.held() >= minSuspectBytes, address: sums[a.address], own: cost(a), waiting: a.waited()}
		if best == nil || bestRank.before(r) {
			best, bestRank = a, r
		}
	}
	return best
}

// rank orders accounts by which is to be closed first.
type rank struct {
	suspect bool
	address int64 // cost of all accounts of the address
	own     int64
	waiting time.Duration
}

func (r rank) before(o rank) bool {
	switch {
	case r.suspect != o.suspect:
		return o.suspect
	case r.address != o.address:
		return r.address < o.address
	case r.own != o.own:
		return r.own < o.own
	}
	return r.waiting < o.waiting
}
