package ledger

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Part is what a connection makes a process hold, by its place.
type Part int

// Parts of an account.
const (
	Head     Part = iota // the heads of requests, as they are received and decoded
	Body                 // the bodies of requests
	Answer               // answers that have not been written
	Calls                // RPCs in progress
	Received             // bytes that lie in the socket and have not been read
	Sent                 // bytes that have been written and not been taken
	parts
)

// connBytes is what a connection takes by itself: its buffers and goroutines.
const connBytes = 16 << 10

// Account is what one connection makes the process hold. A nil account holds nothing.
type Account struct {
	ledger  *Ledger
	conn    net.Conn
	address string // of the other side, without the port
	listing *listing
	early   atomic.Bool  // the other side has sent more before it took its answer
	ended   atomic.Bool  // the ledger closes the connection
	idle    atomic.Bool  // reads are between two messages
	reading atomic.Int64 // since when a read waits for the other side, as a time in ns; 0 if none does
	writing atomic.Int64 // the same for a write

	mu      sync.Mutex
	sizes   [parts]int64
	sum     int64 // of the sizes, and connBytes
	closing bool
	closed  bool
}

// Set sets what a part holds. If all accounts hold too much then, it closes the costliest
// connections, among which this one may be.
func (a *Account) Set(p Part, bytes int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	a.add(p, bytes-a.sizes[p])
	a.mu.Unlock()
	a.ledger.check()
}

// Reserve sets what a part holds if that fits beside what all others hold. Otherwise it
// closes connections that keep the process waiting, the costliest first, and reports
// whether it fits then.
func (a *Account) Reserve(p Part, bytes int64) bool {
	if a == nil {
		return true
	}
	l := a.ledger
	for range reserveTries {
		a.mu.Lock()
		more := bytes - a.sizes[p]
		fits := more <= 0 || l.fits(more)
		if fits {
			a.add(p, more)
		}
		a.mu.Unlock()
		if fits || !l.relieveSuspects(more) {
			return fits
		}
		time.Sleep(reservePause)
	}
	return false
}

// Add adds to what a part holds.
func (a *Account) Add(p Part, bytes int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	a.add(p, bytes)
	a.mu.Unlock()
	if bytes > 0 {
		a.ledger.check()
	}
}

func (l *Ledger) check() {
	if l.over() {
		l.relieve()
	}
}

// add adds to a part. a.mu must be held.
func (a *Account) add(p Part, bytes int64) {
	if a.closed || bytes == 0 {
		return
	}
	a.sizes[p] += bytes
	a.sum += bytes
	a.ledger.total.Add(bytes)
	if p == Received || p == Sent {
		a.ledger.kernel.Add(bytes)
	}
	if a.closing {
		a.ledger.closing.Add(bytes)
	}
}

// SetEarly records whether the other side has sent more before it took its answer.
func (a *Account) SetEarly(early bool) {
	if a == nil {
		return
	}
	a.early.Store(early)
	a.measure()
	a.ledger.check()
}

// Close ends the account, once its connection has been closed.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.ledger.mu.Lock()
	if _, listed := a.ledger.accounts[a]; listed {
		delete(a.ledger.accounts, a)
		a.ledger.open.Add(-1)
		a.listing.remove()
	}
	a.ledger.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.ledger.total.Add(-a.sum)
	a.ledger.kernel.Add(-a.sizes[Received] - a.sizes[Sent])
	if a.closing {
		a.ledger.closing.Add(-a.sum)
	}
}

// Stall records that a write made no progress for too long, and closes the connection.
func (a *Account) Stall() {
	if a == nil {
		return
	}
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, listed := l.accounts[a]; listed {
		l.evict(a, ReasonStalled)
	}
}

// beginClosing marks the account as being closed, and returns what it holds.
func (a *Account) beginClosing() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	// The sockets' bytes are freed with the connection, the others by their owners.
	a.add(Received, -a.sizes[Received])
	a.add(Sent, -a.sizes[Sent])
	a.closing = true
	a.ended.Store(true)
	a.ledger.closing.Add(a.sum)
	return a.sum
}

// Ended reports whether the ledger closes the connection. Nothing more is to be held for it.
func (a *Account) Ended() bool { return a != nil && a.ended.Load() }

// abort resets the connection, which discards what lies in its socket.
func (a *Account) abort() {
	if c, ok := a.conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0) // a failure means that the connection has been closed
	}
	_ = a.conn.Close() // as before
}

func (a *Account) held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sum
}

// Size returns what a part holds.
func (a *Account) Size(p Part) int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sizes[p]
}

// suspect reports whether the connection keeps the process waiting for too long in the middle of
// something, or has sent more before it took its answer.
func (a *Account) suspect() bool {
	return a.early.Load() || waited(&a.writing) >= suspectAfter || !a.idle.Load() && waited(&a.reading) >= suspectAfter
}

// unused reports whether the connection is suspect or idle for as long.
func (a *Account) unused() bool { return a.early.Load() || a.waited() >= suspectAfter }

// SetIdle records whether what is read next begins a message. Then a read that waits does not
// keep the process waiting.
func (a *Account) SetIdle(idle bool) {
	if a != nil {
		a.idle.Store(idle)
	}
}

// start is the time from which waits are measured.
var start = time.Now()

// waits records that a read or a write waits for the other side, or no longer.
func waits(since *atomic.Int64, does bool) {
	if !does {
		since.Store(0)
		return
	}
	since.Store(int64(time.Since(start)) + 1)
}

// waited returns for how long a read or a write has been waiting for the other side.
func waited(since *atomic.Int64) time.Duration {
	at := since.Load()
	if at == 0 {
		return 0
	}
	return time.Since(start) - time.Duration(at)
}

// waited returns for how long the process has been waiting for the other side.
func (a *Account) waited() time.Duration { return max(waited(&a.reading), waited(&a.writing)) }

// measure finds out what lies in the connection's socket.
func (a *Account) measure() {
	if a == nil {
		return
	}
	sc, ok := a.conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	received, sent := 0, 0
	// A failure means that the connection has been closed, and nothing lies in its socket.
	_ = raw.Control(func(fd uintptr) {
		received, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		sent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closing {
		return
	}
	a.add(Received, int64(received)-a.sizes[Received])
	a.add(Sent, int64(sent)-a.sizes[Sent])
}
