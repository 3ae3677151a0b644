// Package connection provides RPC between the system's processes: net/rpc over
// TCP, with detection of dead connections at both ends.
//
// An open connection can stop delivering data permanently while new connections
// to the same address work. Therefore the client sends heartbeats, closes a
// connection whose heartbeat isn't answered, and dials a new one for the next
// call. The server closes a connection on which nothing arrives. A call that is
// pending on a closed connection fails with a *LostError and may or may not have
// taken effect; finding out is up to the caller. The package never retries a call.
package connection

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fulmardeal"
)

// Intervals and timeouts of connections.
const (
	// checkInterval is the time between two checks whether a ping is due.
	checkInterval = 100 * time.Millisecond

	// A client pings its connection when it has received nothing for
	// activePingAfter while a call is pending, or for idlePingAfter while none is.
	activePingAfter = 300 * time.Millisecond
	idlePingAfter   = 5 * time.Second

	// pingTimeout is how long a client waits, after it has sent a ping, for any
	// byte from the server before the ping has failed.
	pingTimeout = 500 * time.Millisecond

	// serverIOTimeout limits each read and write of the server. It must exceed
	// idlePingAfter: otherwise the server would close an idle connection before
	// the client's next ping.
	serverIOTimeout = 15 * time.Second

	dialTimeout = time.Second
)

// LostError reports that a connection failed while a call was pending. The call
// may or may not have taken effect.
type LostError struct {
	Address string
	Method  string
	Cause   error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("connection to %s lost during %s: %v", e.Address, e.Method, e.Cause)
}

func (e *LostError) Unwrap() error { return e.Cause }

// DialError reports that no connection could be opened. The call had no effect.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Cause) }

func (e *DialError) Unwrap() error { return e.Cause }

// Ping is the empty argument and reply of a heartbeat.
type Ping struct{}

// Heartbeat is the RPC service for heartbeats.
type Heartbeat struct{}

func (Heartbeat) Ping(Ping, *Ping) error { return nil }

// Client calls the services of the process at one address, over one connection
// at a time. It is safe for concurrent use.
type Client struct {
	network fulmardeal.Network
	address string

	mu      sync.Mutex
	current *session
	closed  bool
}

// session is one connection and the RPC client that uses it.
type session struct {
	rpc  *rpc.Client
	conn *monitoredConn
	stop chan struct{}
	once sync.Once

	pending atomic.Int64 // RPC calls in progress
}

// monitoredConn counts the reads that returned data and records the time of the
// last one.
type monitoredConn struct {
	net.Conn
	reads    atomic.Int64
	lastRead atomic.Int64 // time of the last read that returned data, in nanoseconds since the Unix epoch
}

func (c *monitoredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func (s *session) close() {
	s.once.Do(func() {
		close(s.stop)
		// Close the connection first: rpc.Client.Close would wait for a
		// pending write, which a dead connection never completes.
		s.conn.Close()
		s.rpc.Close()
	})
}

// NewClient returns a client of the process at address, and a function that
// closes the client. The connection is opened by the first call.
func NewClient(network fulmardeal.Network, address string) (*Client, func()) {
	c := &Client{network: network, address: address}
	return c, c.close
}

// Address returns the address of the process.
func (c *Client) Address() string { return c.address }

func (c *Client) close() {
	c.mu.Lock()
	s := c.current
	c.current = nil
	c.closed = true
	c.mu.Unlock()
	if s != nil {
		s.close()
	}
}

// Call calls a method and waits for its reply. The error is a *DialError, a
// *LostError, the error of ctx, or an rpc.ServerError. After the error of ctx, as
// after a *LostError, the call may or may not have taken effect. The reply is written
// only if there is no error: one that arrives after Call has returned is discarded.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	s, err := c.session(ctx)
	if err != nil {
		return err
	}

	s.pending.Add(1)
	defer s.pending.Add(-1)
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := s.rpc.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(received.Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return call.Error
	}
	c.closeSession(s)
	return &LostError{Address: c.address, Method: method, Cause: call.Error}
}

// Reconnect closes the current connection. The next call opens a new one.
func (c *Client) Reconnect() {
	c.mu.Lock()
	s := c.current
	c.mu.Unlock()
	if s != nil {
		c.closeSession(s)
	}
}

func (c *Client) closeSession(s *session) {
	c.mu.Lock()
	if c.current == s {
		c.current = nil
	}
	c.mu.Unlock()
	s.close()
}

func (c *Client) session(ctx context.Context) (*session, error) {
	c.mu.Lock()
	s, closed := c.current, c.closed
	c.mu.Unlock()
	if closed {
		return nil, &DialError{Address: c.address, Cause: net.ErrClosed}
	}
	if s != nil {
		return s, nil
	}

	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.network.Dial(dialCtx, c.address)
	if err != nil {
		return nil, &DialError{Address: c.address, Cause: err}
	}
	return c.install(conn)
}

// install makes conn the current connection. If a concurrent call has already set
// one, it closes conn and returns the current connection.
func (c *Client) install(conn net.Conn) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return nil, &DialError{Address: c.address, Cause: net.ErrClosed}
	}
	if c.current != nil {
		conn.Close()
		return c.current, nil
	}
	n := &monitoredConn{Conn: &limitedConn{Conn: conn}}
	n.lastRead.Store(time.Now().UnixNano())
	s := &session{rpc: rpc.NewClient(n), conn: n, stop: make(chan struct{})}
	c.current = s
	go c.heartbeat(s)
	return s, nil
}

// heartbeat pings an inactive connection until the connection is closed or a
// ping fails. Any received data shows that the connection works, so an active
// connection needs no pings.
func (c *Client) heartbeat(s *session) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-t.C:
			if !s.pingDue(now) {
				continue
			}
			if !s.ping() {
				c.closeSession(s)
				return
			}
		}
	}
}

// pingDue reports whether the connection has received nothing for long enough
// that it must be pinged.
func (s *session) pingDue(now time.Time) bool {
	inactive := now.Sub(time.Unix(0, s.conn.lastRead.Load()))
	if s.pending.Load() > 0 {
		return inactive >= activePingAfter
	}
	return inactive >= idlePingAfter
}

// ping reports whether the connection works: the server answers the ping within
// pingTimeout, or at least some data arrives in that time. Other data counts
// because a large reply in transit delays the answer to the ping.
func (s *session) ping() bool {
	readsBefore := s.conn.reads.Load()
	// Writing the ping can block on a dead connection, so it is done in a goroutine
	// of its own, which ends when the connection is closed.
	done := make(chan error, 1)
	go func() { done <- s.rpc.Call("Heartbeat.Ping", Ping{}, &Ping{}) }()

	t := time.NewTimer(pingTimeout)
	defer t.Stop()
	select {
	case err := <-done:
		return err == nil
	case <-t.C:
		return s.conn.reads.Load() > readsBefore
	case <-s.stop:
		return false
	}
}

// Pool holds a client for each address. It must be created with NewPool, and is
// safe for concurrent use.
type Pool struct {
	network    fulmardeal.Network
	mu         sync.Mutex
	clients    []*pooledClient // most recently used last
	maxClients int
	closed     bool
}

// pooledClient is a client of a pool.
type pooledClient struct {
	*Client
	calls int // calls in progress; guarded by Pool.mu
}

// NewPool returns a pool of at most maxClients clients, and a function that closes
// them all. When the pool is full, it closes the least recently used client that has
// no call in progress. While all have one, the pool holds more than maxClients.
func NewPool(network fulmardeal.Network, maxClients int) (*Pool, func()) {
	p := &Pool{network: network, maxClients: maxClients}
	return p, p.close
}

// Call calls a method of the process at address and waits for its reply; see
// Client.Call.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c := p.acquire(address)
	defer p.release(c)
	return c.Call(ctx, method, args, reply)
}

// Reconnect closes the connection to address. The next call opens a new one.
func (p *Pool) Reconnect(address string) {
	c := p.acquire(address)
	defer p.release(c)
	c.Reconnect()
}

// acquire returns the client for address, and creates it if there is none. The pool
// doesn't close the client to make room before release.
func (p *Pool) acquire(address string) *pooledClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.clients, func(c *pooledClient) bool { return c.address == address })
	if i >= 0 {
		c := p.clients[i]
		c.calls++
		p.clients = append(slices.Delete(p.clients, i, i+1), c)
		return c
	}
	client, closeClient := NewClient(p.network, address)
	c := &pooledClient{Client: client, calls: 1}
	if p.closed {
		closeClient()
		return c
	}
	p.clients = append(p.clients, c)
	p.evict()
	return c
}

func (p *Pool) release(c *pooledClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	p.evict()
}

// evict closes the least recently used clients without a call in progress until the
// pool holds at most maxClients. p.mu must be held.
func (p *Pool) evict() {
	for len(p.clients) > p.maxClients {
		i := slices.IndexFunc(p.clients, func(c *pooledClient) bool { return c.calls == 0 })
		if i < 0 {
			return
		}
		go p.clients[i].close()
		p.clients = slices.Delete(p.clients, i, i+1)
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	clients := p.clients
	p.clients, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range clients {
		c.close()
	}
}
