package framing

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
)

// Conn is a client's connection on which one request is in progress at a time. Its Read
// fails at the first byte that makes the response malformed, so that no parser gets to see
// the end of such a head.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	request  scanner
	response scanner
	readErr  error
}

// NewConn returns a connection that has carried no request yet.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, response: scanner{response: true}} }

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

func (c *Conn) Write(p []byte) (int, error) {
	c.beginWrite(p)
	return c.Conn.Write(p)
}

// beginWrite records that bytes of a request are being written.
func (c *Conn) beginWrite(p []byte) {
	if len(p) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request.ended() {
		c.request.begin()
		c.response.begin()
	}
	_ = c.request.scan(p) // a request is this program's own
	c.response.head = c.request.head
}

func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if readErr := c.follow(p[:n]); readErr != nil {
		return 0, readErr
	}
	return n, err
}

// follow checks the next bytes of the response.
func (c *Conn) follow(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		c.readErr = c.response.scan(p)
	}
	return c.readErr
}

// DialContext returns the dial function of an http.Transport whose connections are checked.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
