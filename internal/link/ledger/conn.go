package ledger

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes of reads and writes.
const (
	// socketBytes is the size of a connection's buffers in the kernel, for each direction.
	// Without it, they grow to several MB for a connection that was fast once.
	socketBytes = 64 << 10

	writeBytes   = 16 << 10 // per write, after each of which progress is seen
	measureBytes = 64 << 10 // written between two looks into the socket
)

// listing is a listener in a ledger.
type listing struct {
	name  string
	max   int64
	conns atomic.Int64 // that are not being closed
}

func (l *listing) remove() { l.conns.Add(-1) }

// Listener accepts connections that have an account in a ledger.
type Listener struct {
	net.Listener
	ledger  *Ledger
	listing *listing
}

// Listen returns a listener with at most so many connections, whose accounts are in the
// ledger. The name is for the log.
func (l *Ledger) Listen(inner net.Listener, name string, maxConns int) *Listener {
	return &Listener{Listener: inner, ledger: l, listing: &listing{name: name, max: int64(max(1, maxConns))}}
}

// Accept returns a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.open(conn); c != nil {
			return c, nil
		}
	}
}

// open opens an account for a connection. If the listener has too many, it closes one that
// keeps the process waiting, or this one.
func (l *Listener) open(conn net.Conn) *Conn {
	if c, ok := conn.(*net.TCPConn); ok {
		// Failures mean that the connection has been closed.
		_ = c.SetReadBuffer(socketBytes)
		_ = c.SetWriteBuffer(socketBytes)
	}
	a := &Account{ledger: l.ledger, conn: conn, listing: l.listing, sum: connBytes}
	a.address, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
	waits(&a.reading, true)
	d := l.ledger
	d.mu.Lock()
	if l.listing.conns.Load() >= l.listing.max {
		own := func(o *Account) bool { return o.listing == l.listing && o.unused() }
		v := costliest(d.accounts, func(*Account) int64 { return 1 }, own)
		if v == nil {
			d.report(a, ReasonConnections, connBytes)
			d.mu.Unlock()
			a.abort()
			return nil
		}
		d.evict(v, ReasonConnections)
	}
	d.accounts[a] = struct{}{}
	d.open.Add(1)
	l.listing.conns.Add(1)
	d.total.Add(connBytes)
	d.mu.Unlock()
	d.check()
	return &Conn{Conn: conn, account: a}
}

// Conn is a connection with an account.
type Conn struct {
	net.Conn
	account    *Account
	deadline   atomic.Int64 // of writes, in ns since start; 0 for none
	unmeasured int64
}

// AccountOf returns the account of a connection, or nil if it has none.
func AccountOf(c net.Conn) *Account {
	if a, ok := c.(*Conn); ok {
		return a.account
	}
	return nil
}

// Account returns the connection's account.
func (c *Conn) Account() *Account { return c.account }

// SyscallConn returns the socket. It fails if the connection isn't one.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Read reads what the other side sends.
func (c *Conn) Read(p []byte) (int, error) {
	if c.account == nil {
		return c.Conn.Read(p)
	}
	c.account.throttle()
	if c.account.Ended() {
		return 0, net.ErrClosed
	}
	waits(&c.account.reading, true)
	n, err := c.Conn.Read(p)
	waits(&c.account.reading, false)
	return n, err
}

// SetWriteDeadline sets the deadline of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	at := int64(0)
	if !t.IsZero() {
		at = int64(t.Sub(start))
	}
	c.deadline.Store(at)
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Write writes, and closes the connection if that makes no progress for too long.
func (c *Conn) Write(p []byte) (int, error) {
	if c.account == nil {
		return c.Conn.Write(p)
	}
	written := 0
	defer waits(&c.account.writing, false)
	for {
		if c.account.Ended() {
			return written, net.ErrClosed
		}
		piece := p[written:min(len(p), written+writeBytes)]
		if err := c.limitWrite(); err != nil {
			return written, err
		}
		waits(&c.account.writing, true)
		n, err := c.Conn.Write(piece)
		written += n
		c.count(n)
		if errors.Is(err, os.ErrDeadlineExceeded) && n > 0 && !c.expired() {
			continue // some was taken
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.expired() {
			c.account.Stall()
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// limitWrite sets the deadline of the next write: that of all writes, or the time by which
// there must be progress.
func (c *Conn) limitWrite() error {
	if c.account.ledger.limits.Stall <= 0 {
		return nil
	}
	stall := c.account.ledger.limits.Stall
	at := time.Now().Add(stall)
	if d := c.deadline.Load(); d != 0 {
		if by := start.Add(time.Duration(d)); by.Before(at) {
			at = by
		}
	}
	return c.Conn.SetWriteDeadline(at)
}

// expired reports whether the deadline of writes has passed.
func (c *Conn) expired() bool {
	d := c.deadline.Load()
	return d != 0 && !time.Now().Before(start.Add(time.Duration(d)))
}

// count accounts for bytes that have been written and may not have been taken.
func (c *Conn) count(n int) {
	c.account.Add(Sent, int64(n))
	if c.unmeasured += int64(n); c.unmeasured >= measureBytes {
		c.unmeasured = 0
		c.account.measure()
	}
}

// Close closes the connection and its account.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	return err
}
