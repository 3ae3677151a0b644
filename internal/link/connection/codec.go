package connection

import (
	"bufio"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"syscall"

	"fulmardeal/internal/link/ledger"
)

// LeftSetter is implemented by arguments of RPCs that are told how to find out whether the
// peer that sent them has left.
type LeftSetter interface {
	SetLeft(left func() bool)
}

// What a call in progress takes beside its argument: its goroutine and reply.
const callBytes = 8 << 10

// serverCodec is the server's end of a connection, with the format of net/rpc. Unlike the
// codec of that package it reads no further calls while too many are in progress, and
// accounts for them: a peer that sends calls without reading the replies would fill the
// memory.
type serverCodec struct {
	conn    net.Conn
	socket  net.Conn // the same connection, as it was accepted
	counter *countingReader
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	account *ledger.Account
	calls   chan struct{} // has an element for each call in progress
	start   int64         // of the call that is being read, in bytes of the stream
	current uint64        // its number

	mu    sync.Mutex
	sizes map[uint64][]int64 // of the calls in progress, by the number that the peer gave
	close func() error
}

// countingReader counts what is read.
type countingReader struct {
	*bufio.Reader
	read int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += int64(n)
	return n, err
}

func (r *countingReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.read++
	}
	return b, err
}

func newServerCodec(conn, socket net.Conn, account *ledger.Account, maxCalls int) *serverCodec {
	c := &serverCodec{
		conn: conn, socket: socket, counter: &countingReader{Reader: bufio.NewReader(conn)}, buffer: bufio.NewWriter(conn),
		account: account, calls: make(chan struct{}, maxCalls), sizes: make(map[uint64][]int64),
	}
	c.decoder, c.encoder = gob.NewDecoder(c.counter), gob.NewEncoder(c.buffer)
	c.close = sync.OnceValue(conn.Close)
	return c
}

// ReadRequestHeader waits until another call may begin, and reads its header.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.calls <- struct{}{}
	c.start = c.counter.read
	if err := c.decoder.Decode(r); err != nil {
		<-c.calls
		return err
	}
	c.current = r.Seq
	c.begin(c.current, c.counter.read-c.start+callBytes)
	return nil
}

// ReadRequestBody reads a call's argument.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	c.grow(c.current, c.counter.read-c.start)
	if a, ok := body.(LeftSetter); ok {
		a.SetLeft(c.left)
	}
	return err
}

// left reports whether the peer has closed the connection, or the ledger does. While too many
// calls are in progress, nothing is read that would tell.
func (c *serverCodec) left() bool {
	s, ok := c.socket.(syscall.Conn)
	if !ok {
		return c.account.Ended()
	}
	if _, err := s.SyscallConn(); errors.Is(err, errors.ErrUnsupported) {
		return c.account.Ended()
	}
	return c.account.Ended() || HungUp(s)
}

// WriteResponse writes a reply, which ends its call.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.end(r.Seq)
	if err := c.encode(r, body); err != nil {
		_ = c.close() // the peer can't tell the replies apart any longer
		return err
	}
	return nil
}

func (c *serverCodec) encode(r *rpc.Response, body any) error {
	if err := c.encoder.Encode(r); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

// Close closes the connection.
func (c *serverCodec) Close() error { return c.close() }

func (c *serverCodec) begin(call uint64, bytes int64) {
	c.mu.Lock()
	c.sizes[call] = append(c.sizes[call], bytes)
	c.mu.Unlock()
	c.account.Add(ledger.Calls, bytes)
}

// grow accounts for the argument of the call that was begun last.
func (c *serverCodec) grow(call uint64, bytes int64) {
	c.mu.Lock()
	if s := c.sizes[call]; len(s) > 0 {
		s[len(s)-1] += bytes
	}
	c.mu.Unlock()
	c.account.Add(ledger.Calls, bytes)
}

func (c *serverCodec) end(call uint64) {
	c.mu.Lock()
	bytes := int64(0)
	if s := c.sizes[call]; len(s) > 1 {
		bytes, c.sizes[call] = s[0], s[1:]
	} else if len(s) == 1 {
		bytes = s[0]
		delete(c.sizes, call)
	}
	c.mu.Unlock()
	c.account.Add(ledger.Calls, -bytes)
	<-c.calls
}
