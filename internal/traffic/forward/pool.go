// Package forward sends one request to one endpoint over HTTP/1.1 and reads
// its answer as it arrives. It repeats nothing: every call is one request on
// one connection, and an error says whether the endpoint may have seen it.
//
// Requests are written and answers are framed with the standard library; the
// connections are the package's own, because the library's client sends a
// request again without being asked when a kept connection turns out closed.
package forward

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"fulmardeal"
)

// Times and bounds of connections.
const (
	dialTimeout = 500 * time.Millisecond // many round trips; a reachable endpoint answers in a few ms
	keepDefault = 4 * time.Second        // when the endpoint doesn't say how long it keeps a connection
	keepMargin  = 500 * time.Millisecond // a connection is given up so long before the endpoint would
	mostIdle    = 24                     // kept connections to one endpoint
	readBuffer  = 4 << 10                // bytes
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	kept   time.Time     // when it was put back
	keep   time.Duration // how long it may stay idle
	reused bool
}

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // by address, the latest last
	dialed int64
	reused int64
}

// NewPool returns an empty pool and a function that closes its connections.
func NewPool() (*Pool, func()) {
	p := &Pool{dialer: net.Dialer{Timeout: dialTimeout}, idle: make(map[string][]*conn)}
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

// Counts returns how many connections were dialled and how often one was used
// again.
func (p *Pool) Counts() (dialed, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed, p.reused
}

// get returns a connection: a kept one that was idle for at most so long, or a
// new one. The error is a *fulmardeal.UnsentError.
func (p *Pool) get(ctx context.Context, address string, mostIdleFor time.Duration) (*conn, error) {
	for {
		c := p.take(address, mostIdleFor)
		if c == nil {
			break
		}
		if c.quiet() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &fulmardeal.UnsentError{Address: address, Cause: err}
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return &conn{Conn: n, reader: bufio.NewReaderSize(n, readBuffer)}, nil
}

// take returns the latest kept connection that is not too old, or nil.
func (p *Pool) take(address string, mostIdleFor time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if age := now.Sub(c.kept); age > c.keep {
		for _, x := range list {
			x.Close()
		}
		delete(p.idle, address)
		return nil
	} else if age > mostIdleFor {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	p.reused++
	return c
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(address string, c *conn, keep time.Duration) {
	c.kept, c.keep = time.Now(), keepDefault
	if keep > 0 {
		c.keep = keep - keepMargin
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= mostIdle || c.keep <= 0 {
		c.Close()
		return
	}
	p.idle[address] = append(list, c)
}

// Forget closes the kept connections to an endpoint: those to an endpoint that
// failed may be dead too.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, is := c.Conn.(syscall.Conn)
	if !is {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true // it isn't waited for
	})
	return err == nil && quiet
}
