package gateway

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fulmardeal"
	"fulmardeal/internal/link/ledger"
)

// Limits on callers' connections. The defaults apply while the configuration sets none.
const (
	defaultHeaderBytes   = 64 << 10         // of a request's header
	maxHeaderBytes       = 256 << 10        // of a request's header, if the configuration allows more
	defaultHeaderTimeout = 10 * time.Second // for receiving a request's header
	defaultIdleTimeout   = 60 * time.Second // until an idle connection is closed
)

// net/http reads its timeouts without a lock, so they can't change while it serves. It
// gets these placeholders, which a callerConn replaces by the limits in force.
const (
	placeholderIdleTimeout   = 1000 * time.Hour
	placeholderHeaderTimeout = 2000 * time.Hour
	placeholderTolerance     = time.Hour // between the computation of a deadline and the call that sets it
)

// timeLimits are time limits on callers' connections.
type timeLimits struct {
	header time.Duration
	idle   time.Duration
}

// extend makes the limits as long as the others at least.
func (l *timeLimits) extend(other timeLimits) {
	l.header, l.idle = max(l.header, other.header), max(l.idle, other.idle)
}

// callerConns holds the connections of callers and their time limits.
type callerConns struct {
	limits atomic.Pointer[timeLimits] // nil for the defaults
	mu     sync.Mutex
	conns  map[*callerConn]struct{}
}

// timeLimits returns the limits in force.
func (s *callerConns) timeLimits() timeLimits {
	if l := s.limits.Load(); l != nil {
		return *l
	}
	return timeLimits{header: defaultHeaderTimeout, idle: defaultIdleTimeout}
}

// setLimits puts limits in force, and extends the time of idle connections if they
// may stay so for longer.
func (s *callerConns) setLimits(l fulmardeal.Limits) {
	limits := timeLimits{header: defaultHeaderTimeout, idle: defaultIdleTimeout}
	if l.HeaderTimeout > 0 {
		limits.header = l.HeaderTimeout
	}
	if l.Idle > 0 {
		limits.idle = l.Idle
	}
	s.limits.Store(&limits)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.extendLimits(limits)
	}
}

func (s *callerConns) add(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*callerConn]struct{})
	}
	s.conns[c] = struct{}{}
}

func (s *callerConns) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener // returns connections with an account
	conns        *callerConns
}

// Accept returns a connection to which the limits in force apply.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted, ok := conn.(*ledger.Conn)
	if !ok {
		counted = &ledger.Conn{Conn: conn}
	}
	tcp, ok := counted.Conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c := &callerConn{TCPConn: tcp, counted: counted, account: counted.Account(), conns: l.conns}
	l.conns.add(c)
	c.extendLimits(l.conns.timeLimits())
	return c, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	counted *ledger.Conn // the same connection, with its account
	account *ledger.Account
	conns   *callerConns
	used    atomic.Bool // whether the caller has sent anything
	head    atomic.Bool // whether the header of a request is being received
	early   atomic.Bool // whether the caller has sent anything after a request, before its answer
	watch   atomic.Bool // whether a read of one byte is net/http's wait for the caller's close

	mu        sync.Mutex
	limits    timeLimits // the longest ones that were in force since the connection was opened
	idleSince time.Time  // zero while a request is being received or handled
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.conns.remove(c)
	c.discardUnread()
	return c.counted.Close()
}

// Write writes a part of an answer.
func (c *callerConn) Write(p []byte) (int, error) { return c.counted.Write(p) }

// SetWriteDeadline sets the deadline of writes.
func (c *callerConn) SetWriteDeadline(t time.Time) error { return c.counted.SetWriteDeadline(t) }

// SetDeadline sets the deadlines of reads and writes.
func (c *callerConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// headerLineBytes is what a decoded line of a header takes in memory beside its text, in the
// request and in the one that is forwarded.
const headerLineBytes = 192

// countHead accounts for a part of a request's header. Decoded, many short lines take a
// multiple of their bytes.
func (c *callerConn) countHead(p []byte) {
	c.account.Add(ledger.Head, int64(2*len(p)+headerLineBytes*bytes.Count(p, []byte("\n"))))
}

// decodedHeadBytes returns what the header of a request takes in memory.
func decodedHeadBytes(r *http.Request) int {
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	return 2*headerBytes(r) + headerLineBytes*lines
}

// Read reads what the caller sends. The first byte starts the time for the header of
// the first request.
//
// While a request is handled, net/http removes the read deadline and reads one byte to learn
// when the caller leaves. If it got one, it would no longer notice the close.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.watch.Swap(false) && len(p) == 1 {
		return 0, c.awaitClose()
	}
	n, err := c.counted.Read(p)
	if n > 0 && c.early.Swap(false) {
		c.account.SetEarly(false)
	}
	if c.head.Load() {
		c.countHead(p[:n])
	}
	if n > 0 && c.used.CompareAndSwap(false, true) {
		if err := c.SetReadDeadline(time.Now().Add(placeholderHeaderTimeout)); err != nil {
			return n, err
		}
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads, or the one that a placeholder
// stands for. A connection is idle until the first byte.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	c.watch.Store(t.IsZero())
	left := time.Until(t)
	idle := left > placeholderIdleTimeout-placeholderTolerance && left < placeholderHeaderTimeout-placeholderTolerance
	if c.head.Store(left > placeholderIdleTimeout-placeholderTolerance); idle {
		c.account.Set(ledger.Head, 0)
	}
	if t.IsZero() || left < placeholderIdleTimeout-placeholderTolerance {
		return c.TCPConn.SetReadDeadline(t)
	}
	now := time.Now()
	if left > placeholderHeaderTimeout-placeholderTolerance && c.used.Load() {
		return c.TCPConn.SetReadDeadline(now.Add(c.limits.header))
	}
	c.idleSince = now
	return c.TCPConn.SetReadDeadline(now.Add(c.limits.idle))
}

// stopReading fails reads from the given time on, unless the function that it returns is
// called before.
func (c *callerConn) stopReading(at time.Time) func() bool {
	// A failure means that the connection has been closed.
	return time.AfterFunc(time.Until(at), func() { _ = c.TCPConn.SetReadDeadline(time.Now()) }).Stop
}

// extendLimits extends the connection's limits. Shorter ones apply only to connections
// that are opened later: a caller may use this one as the earlier ones allowed.
func (c *callerConn) extendLimits(limits timeLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.extend(limits)
	if !c.idleSince.IsZero() {
		// A failure means that the connection has been closed.
		_ = c.TCPConn.SetReadDeadline(c.idleSince.Add(c.limits.idle))
	}
}

// acceptHeader refuses a request whose header exceeds the configured limit.
func (c *call) acceptHeader(r *http.Request, l fulmardeal.Limits) bool {
	limit := defaultHeaderBytes
	if l.Header > 0 {
		limit = min(l.Header, maxHeaderBytes)
	}
	if headerBytes(r) <= limit {
		return true
	}
	c.refuse(http.StatusRequestHeaderFieldsTooLarge, "header too large", 0)
	return false
}

// headerBytes returns the size of a request's header without optional white space.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host:\r\n") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(":\r\n")
		}
	}
	return size
}
