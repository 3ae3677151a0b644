// Package forward sends a request to an endpoint over HTTP/1.1 and streams the
// response. It never retries: every call sends one request on one connection,
// and the type of an error tells whether the endpoint may have received it.
//
// Responses are checked by package framing and parsed by net/http, but the package
// manages its own connections, because http.Transport may silently resend a request
// if a reused connection turns out to be closed.
package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"fulmardeal"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/link/framing"
)

// Timeouts and limits of connections.
const (
	// dialTimeout allows for many round trips: a reachable endpoint connects within
	// a few ms.
	dialTimeout = 500 * time.Millisecond

	// defaultIdleTimeout is the maximum idle time of a connection if the endpoint
	// announces no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second

	// idleTimeoutMargin is how long before the endpoint's keep-alive timeout an idle
	// connection is no longer reused. Without it, a request could be sent just as
	// the endpoint closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond

	maxIdlePerEndpoint = 24
	readBufferBytes    = 4 << 10

	// SocketBytes is the size of a connection's buffers in the kernel, for each direction.
	// They would grow to several MB, which an answer fills whose caller doesn't read.
	SocketBytes = 64 << 10

	// maxHeadBytes is the maximum size of the status line and header of a response,
	// including all informational responses before it.
	maxHeadBytes = 64 << 10

	// freeHeadBytes is the size up to which a head doesn't count as buffered.
	freeHeadBytes = 8 << 10
)

// errHeadTooLong is the cause of a LostError if a response's head has more than
// maxHeadBytes.
var errHeadTooLong = errors.New("head of the response is too long")

// headLimiter limits what is read from a connection while a response's head is
// read. An endpoint in trouble may send a head that never ends.
type headLimiter struct {
	net.Conn
	inHead bool
	left   int   // bytes that may still be read while inHead is set
	share  Share // of the head in the budget of buffered bytes
}

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.Conn.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	if !l.share.Resize(maxHeadBytes - l.left) {
		return n, errBufferFull
	}
	return n, err
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	pool        *Pool
	address     string
	framed      *framing.Conn // carries the requests and responses
	limiter     *headLimiter  // reads from framed
	reader      *bufio.Reader // reads from limiter
	idleSince   time.Time
	idleTimeout time.Duration // idle time after which the connection isn't reused
	reused      bool          // has already carried another request
}

// Pool holds idle connections to endpoints for reuse. It is safe for concurrent
// use.
type Pool struct {
	dialer net.Dialer

	openMu sync.Mutex                // the last lock to be taken
	open   map[string]map[*conn]bool // connections that this process has not closed, by address of the endpoint

	mu     sync.Mutex
	idle   map[string][]*conn // by address of the endpoint; the most recently used connection is last
	dialed int64
	reused int64

	buffered *Budget // of response bodies that ReadAll has returned and Free has not released yet, of long heads and of long events
}

// NewPool returns an empty pool and a function that closes its idle connections. What is
// buffered of all responses together has at most maxBuffered bytes.
func NewPool(maxBuffered int64) (*Pool, func()) {
	p := &Pool{dialer: net.Dialer{Timeout: dialTimeout}, idle: make(map[string][]*conn), open: make(map[string]map[*conn]bool), buffered: NewBudget(maxBuffered)}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, address)
	}
}

// Buffer returns the budget of what is buffered of responses.
func (p *Pool) Buffer() *Budget { return p.buffered }

// Free releases a body that ReadAll has returned.
func (p *Pool) Free(body []byte) { p.buffered.Release(cap(body)) }

// Counts returns the number of connections dialed and the number of times that
// an idle connection was taken for reuse.
func (p *Pool) Counts() (dialed, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed, p.reused
}

// get returns an idle connection that was last used at most maxIdleTime ago and is not
// on the trail, or a new connection, and adds it to the trail. The error is a
// *fulmardeal.UnsentError.
func (p *Pool) get(ctx context.Context, address string, maxIdleTime time.Duration, trail *Trail) (*conn, error) {
	for {
		c := p.takeOff(address, maxIdleTime, trail)
		if c == nil {
			break
		}
		if c.usable() {
			c.reused = true
			trail.add(c)
			return c, nil
		}
		c.Close()
	}
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &fulmardeal.UnsentError{Address: address, Cause: err}
	}
	if c, ok := n.(*net.TCPConn); ok {
		// Failures mean that the connection has been closed.
		_ = c.SetReadBuffer(SocketBytes)
		_ = c.SetWriteBuffer(SocketBytes)
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	f := framing.NewConn(n)
	l := &headLimiter{Conn: f, share: p.buffered.Share(freeHeadBytes)}
	c := &conn{Conn: n, pool: p, address: address, framed: f, limiter: l, reader: bufio.NewReaderSize(l, readBufferBytes)}
	p.recordOpen(c)
	trail.add(c)
	return c, nil
}

func (p *Pool) recordOpen(c *conn) {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	if p.open[c.address] == nil {
		p.open[c.address] = make(map[*conn]bool)
	}
	p.open[c.address][c] = true
}

// Close closes the connection.
func (c *conn) Close() error {
	p := c.pool
	p.openMu.Lock()
	delete(p.open[c.address], c)
	if len(p.open[c.address]) == 0 {
		delete(p.open, c.address)
	}
	p.openMu.Unlock()
	return c.Conn.Close()
}

// holdsOther reports whether the endpoint keeps another connection of this process open.
func (p *Pool) holdsOther(c *conn) bool {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	for other := range p.open[c.address] {
		raw, ok := other.Conn.(syscall.Conn)
		if ok && other != c && !connection.HungUp(raw) {
			return true
		}
	}
	return false
}

// take returns the most recently used idle connection, or nil if there is none
// or it has been idle for too long.
func (p *Pool) take(address string, maxIdleTime time.Duration) *conn {
	return p.takeOff(address, maxIdleTime, nil)
}

// takeOff is take among the connections that are not on the trail.
func (p *Pool) takeOff(address string, maxIdleTime time.Duration, trail *Trail) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	i := len(list) - 1
	if c := list[i]; now.Sub(c.idleSince) > c.idleTimeout {
		// The other connections have been idle for even longer.
		for _, x := range list {
			x.Close()
		}
		delete(p.idle, address)
		return nil
	}
	for i >= 0 && trail.has(list[i]) {
		i--
	}
	if i < 0 || now.Sub(list[i].idleSince) > min(maxIdleTime, list[i].idleTimeout) {
		return nil
	}
	c := list[i]
	p.idle[address] = slices.Delete(list, i, i+1)
	p.reused++
	return c
}

// put returns a connection to the pool. Its last response must have been read
// completely.
func (p *Pool) put(address string, c *conn, idleTimeout time.Duration) {
	c.idleSince, c.idleTimeout = time.Now(), defaultIdleTimeout
	if idleTimeout > 0 {
		c.idleTimeout = idleTimeout - idleTimeoutMargin
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= maxIdlePerEndpoint || c.idleTimeout <= 0 {
		c.Close()
		return
	}
	p.idle[address] = append(list, c)
}

// CloseIdle closes the idle connections to an endpoint. Call it after a failure of
// the endpoint, when its other connections may be dead too.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// reset ends a connection whose request is withdrawn. Unlike a close, it drops what the
// endpoint has not received yet, and fails the endpoint's next write.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if the connection has been closed
	}
	c.Close()
}

// usable reports whether the endpoint has neither closed an idle connection nor
// sent unsolicited bytes on it.
func (c *conn) usable() bool {
	return c.reader.Buffered() == 0 && connection.Quiet(c.Conn)
}
