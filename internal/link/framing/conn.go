package framing

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UnwrittenError reports that a response that ends with its connection ended before its
// request had been written. The server has broken off both.
type UnwrittenError struct {
	Cause error // of the failed write; nil if the write was still in progress
}

func (e *UnwrittenError) Error() string {
	if e.Cause == nil {
		return "response ended while its request was being written"
	}
	return "response ended after the write of its request had failed: " + e.Cause.Error()
}

func (e *UnwrittenError) Unwrap() error { return e.Cause }

// Bounds on the write of a request at the end of its response.
const (
	// maxPiece is the size of the writes into which a longer one is split, which shows how
	// far it is.
	maxPiece = 64 << 10

	// writeEndTime is how long the end of a response waits for the write of the request's last
	// piece. A server that has read the request has left nothing to wait for but the
	// return of the call.
	writeEndTime = 100 * time.Millisecond
)

// Conn is a client's connection on which one request is in progress at a time. Its Read
// fails at the first byte that makes the response malformed, so that no parser gets to see
// the end of such a head, and at the end of a response without a length whose request has
// not been written completely.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	request  scanner
	response scanner
	writing  chan struct{} // closed when the write in progress has returned; nil if there is none
	writeErr error
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
	written := 0
	for written < len(p) {
		piece := p[written:min(len(p), written+maxPiece)]
		done := c.beginWrite(piece)
		n, err := c.Conn.Write(piece)
		c.endWrite(done, err)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// beginWrite records that bytes of a request are being written.
func (c *Conn) beginWrite(p []byte) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request.ended() {
		c.request.begin()
		c.response.begin()
	}
	_ = c.request.scan(p) // a request is this program's own
	c.response.head = c.request.head
	c.writing = make(chan struct{})
	return c.writing
}

func (c *Conn) endWrite(done chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = nil
	if c.writeErr == nil {
		c.writeErr = err
	}
	close(done)
}

func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if readErr := c.follow(p[:n]); readErr != nil {
		return 0, readErr
	}
	if err == io.EOF {
		return n, c.end()
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

// end returns the error of a read at the end of the connection.
func (c *Conn) end() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.response.state != untilClose {
		return io.EOF // the parser knows whether the response is complete
	}
	if c.writing != nil && c.request.ended() { // the last piece
		done := c.writing
		c.mu.Unlock()
		t := time.NewTimer(writeEndTime)
		select {
		case <-done:
		case <-t.C:
		}
		t.Stop()
		c.mu.Lock()
	}
	if c.writeErr != nil || c.writing != nil || !c.request.ended() {
		return &UnwrittenError{Cause: c.writeErr}
	}
	return io.EOF
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

// Failed reports whether the connection has failed: a write has, or the server has reset it.
// After the server has closed its side, no read tells of a reset.
func (c *Conn) Failed() bool {
	c.mu.Lock()
	failed := c.writeErr != nil
	c.mu.Unlock()
	raw, err := c.SyscallConn()
	if failed || err != nil {
		return failed
	}
	err = raw.Control(func(fd uintptr) {
		pending, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		failed = err != nil || pending != 0
	})
	return failed || err != nil
}
