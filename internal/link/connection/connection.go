// Package connection carries calls between the system's processes: net/rpc
// over TCP with heartbeats both ways.
//
// Open connections can go silent for good while new ones work. So the client
// pings, closes a connection whose ping is not answered and dials a new one;
// the server closes a connection on which nothing arrives. A call that was
// pending on a closed connection ends with a *LostError, and the caller knows
// nothing about its effect: asking is the caller's job. Nothing is repeated
// here.
package connection

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"fulmardeal"
)

// Times of the heartbeat.
const (
	lookEvery   = 100 * time.Millisecond // how often silence is looked for
	quietAfter  = 300 * time.Millisecond // silence that makes a ping due while a call waits
	idleEvery   = 5 * time.Second        // a ping on an idle connection
	pingTimeout = 500 * time.Millisecond // silence after a ping that closes the connection
	readTimeout = 15 * time.Second       // silence that makes a server close
	dialTimeout = time.Second
)

// LostError says that a connection failed while a call was pending: the call
// may or may not have had its effect.
type LostError struct {
	Address string
	Method  string
	Cause   error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("connection to %s lost during %s: %v", e.Address, e.Method, e.Cause)
}

func (e *LostError) Unwrap() error { return e.Cause }

// DialError says that no connection could be opened: the call had no effect.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Cause) }

func (e *DialError) Unwrap() error { return e.Cause }

// Ping is the empty heartbeat message.
type Ping struct{}

// Heartbeat is the service that answers pings.
type Heartbeat struct{}

// Ping answers a heartbeat.
func (Heartbeat) Ping(Ping, *Ping) error { return nil }

// Client calls the process at one address over one connection at a time. It is
// safe for concurrent use.
type Client struct {
	network fulmardeal.Network
	address string

	mu      sync.Mutex
	current *session
	closed  bool
}

// session is one connection.
type session struct {
	rpc  *rpc.Client
	conn *counted
	stop chan struct{}
	once sync.Once

	pending atomic.Int64 // calls that wait for their reply
}

// counted counts the reads that brought something, and notes the last.
type counted struct {
	net.Conn
	reads atomic.Int64
	last  atomic.Int64 // nanoseconds since the epoch
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
		c.last.Store(time.Now().UnixNano())
	}
	return n, err
}

func (s *session) close() {
	s.once.Do(func() {
		close(s.stop)
		// The connection goes first: rpc.Client.Close would wait for a write
		// that a silent connection never takes.
		s.conn.Close()
		s.rpc.Close()
	})
}

// NewClient returns a client of the process at address and a function that
// closes its connection. Nothing is dialled until the first call.
func NewClient(network fulmardeal.Network, address string) (*Client, func()) {
	c := &Client{network: network, address: address}
	return c, c.close
}

// Address returns the address that the client calls.
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
// *LostError, the context's, or an rpc.ServerError.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	s, err := c.session(ctx)
	if err != nil {
		return err
	}

	s.pending.Add(1)
	defer s.pending.Add(-1)
	call := s.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if call.Error == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return call.Error
	}
	c.drop(s)
	return &LostError{Address: c.address, Method: method, Cause: call.Error}
}

// Renew closes the current connection, so that the next call opens a new one.
func (c *Client) Renew() {
	c.mu.Lock()
	s := c.current
	c.mu.Unlock()
	if s != nil {
		c.drop(s)
	}
}

func (c *Client) drop(s *session) {
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
	return c.adopt(conn)
}

// adopt makes conn the current connection, unless another caller was faster.
func (c *Client) adopt(conn net.Conn) (*session, error) {
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
	n := &counted{Conn: conn}
	n.last.Store(time.Now().UnixNano())
	s := &session{rpc: rpc.NewClient(n), conn: n, stop: make(chan struct{})}
	c.current = s
	go c.heartbeat(s)
	return s, nil
}

// heartbeat pings when the connection is silent, until it closes or a ping is
// not answered. Bytes that arrive are as good as an answered ping, so a busy
// connection costs nothing.
func (c *Client) heartbeat(s *session) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-t.C:
			if !s.due(now) {
				continue
			}
			if !s.ping() {
				c.drop(s)
				return
			}
		}
	}
}

// due reports whether the connection has been silent for so long that a ping
// is due.
func (s *session) due(now time.Time) bool {
	silent := now.Sub(time.Unix(0, s.conn.last.Load()))
	if s.pending.Load() > 0 {
		return silent >= quietAfter
	}
	return silent >= idleEvery
}

// ping reports whether the other end is there: it answers, or bytes of a large
// answer keep arriving, behind which the ping's own has to wait.
func (s *session) ping() bool {
	before := s.conn.reads.Load()
	// The write itself can block on a silent connection, so it has its own
	// goroutine, which ends when the connection is closed.
	done := make(chan error, 1)
	go func() { done <- s.rpc.Call("Heartbeat.Ping", Ping{}, &Ping{}) }()

	t := time.NewTimer(pingTimeout)
	defer t.Stop()
	select {
	case err := <-done:
		return err == nil
	case <-t.C:
		return s.conn.reads.Load() > before
	case <-s.stop:
		return false
	}
}

// Pool keeps a client for each address. The zero value is not usable; see
// NewPool.
type Pool struct {
	network fulmardeal.Network
	mu      sync.Mutex
	clients []*Client // sorted by use: the latest last
	most    int
}

// NewPool returns a pool of at most `most` clients and a function that closes
// them all. The client that was not used for longest gives way.
func NewPool(network fulmardeal.Network, most int) (*Pool, func()) {
	p := &Pool{network: network, most: most}
	return p, p.close
}

// Client returns the client for address.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.clients {
		if c.address == address {
			p.clients = append(append(p.clients[:i], p.clients[i+1:]...), c)
			return c
		}
	}

	c, _ := NewClient(p.network, address)
	p.clients = append(p.clients, c)
	if len(p.clients) > p.most {
		go p.clients[0].close()
		p.clients = append([]*Client(nil), p.clients[1:]...)
	}
	return c
}

func (p *Pool) close() {
	p.mu.Lock()
	clients := p.clients
	p.clients = nil
	p.mu.Unlock()
	for _, c := range clients {
		c.close()
	}
}
