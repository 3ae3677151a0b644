package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"time"
)

// smallBody is the maximum size of a body that is written together with the
// header. A larger body is written concurrently with reading the response,
// because the endpoint may respond before it has read the whole body.
const smallBody = 16 << 10 // bytes

// Message is a request to an endpoint.
type Message struct {
	Method string
	Target string // path and query, exactly as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// LostError reports that a request was sent but its response was not received
// completely. The endpoint may have executed the request.
type LostError struct {
	Address string
	Reused  bool // the connection had been used before
	Cause   error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("response of endpoint %s lost: %v", e.Address, e.Cause)
}

func (e *LostError) Unwrap() error { return e.Cause }

// errTimeout is the cause of a LostError if the endpoint sent nothing within the
// allowed time.
var errTimeout = errors.New("endpoint sent no data within the timeout")

// Exchange is one request and its response. The caller must call Close or
// Release.
type Exchange struct {
	pool    *Pool
	address string
	conn    *conn
	stop    func() bool // stops the closing of conn at the end of the context
	sent    chan error  // result of writing the body
	answer  *http.Response
	whole   bool
}

// Send sends a request and waits for the header of the response. It fails when
// ctx is done or, if silence isn't 0, when no header has arrived within silence.
// A connection that was idle for longer than mostIdleFor isn't reused. The error
// is a *fulmardeal.UnsentError or a *LostError.
func (p *Pool) Send(ctx context.Context, address string, m Message, mostIdleFor, silence time.Duration) (*Exchange, error) {
	c, err := p.get(ctx, address, mostIdleFor)
	if err != nil {
		return nil, err
	}
	x := &Exchange{pool: p, address: address, conn: c, sent: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	if err := x.start(m, silence); err != nil {
		x.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &LostError{Address: address, Reused: c.reused, Cause: err}
	}
	return x, nil
}

func (x *Exchange) start(m Message, silence time.Duration) error {
	var head bytes.Buffer
	writeHead(&head, m)
	if len(m.Body) <= smallBody {
		head.Write(m.Body)
		if _, err := x.conn.Write(head.Bytes()); err != nil {
			return err
		}
		x.sent <- nil
	} else {
		c := x.conn // x.conn may be reset before the body is written
		go func() {
			_, err := c.Write(append(head.Bytes(), m.Body...))
			x.sent <- err
		}()
	}
	if err := x.limit(silence); err != nil {
		return err
	}
	return x.readHead(m.Method)
}

// limit sets the read timeout; 0 means no timeout.
func (x *Exchange) limit(silence time.Duration) error {
	var deadline time.Time
	if silence > 0 {
		deadline = time.Now().Add(silence)
	}
	return x.conn.SetReadDeadline(deadline)
}

// mostInterim is the maximum number of 1xx responses before the final one.
const mostInterim = 8

func (x *Exchange) readHead(method string) error {
	for range mostInterim {
		a, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if a.StatusCode >= 200 {
			x.answer = a
			return nil
		}
	}
	return textproto.ProtocolError("too many informational responses")
}

// writeHead writes the request line and the header. The target is written
// unmodified.
func writeHead(b *bytes.Buffer, m Message) {
	b.WriteString(m.Method)
	b.WriteByte(' ')
	b.WriteString(m.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.Host)
	b.WriteString("\r\n")
	for name, values := range m.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(m.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}

// Status returns the status code of the response.
func (x *Exchange) Status() int { return x.answer.StatusCode }

func (x *Exchange) Header() http.Header { return x.answer.Header }

// Length returns the length of the response body, or -1 if it is unknown.
func (x *Exchange) Length() int64 { return x.answer.ContentLength }

// Reused reports whether the connection had been used before.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Read reads the response body. io.EOF means that the body is complete: it has
// reached its Content-Length, its final chunk or, if it has neither, an orderly
// close of the connection. Any other end is a *LostError.
func (x *Exchange) Read(p []byte, silence time.Duration) (int, error) {
	if err := x.limit(silence); err != nil {
		return 0, &LostError{Address: x.address, Reused: x.conn.reused, Cause: err}
	}
	n, err := x.answer.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		x.whole = true
		return n, io.EOF
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = errTimeout
	}
	return n, &LostError{Address: x.address, Reused: x.conn.reused, Cause: err}
}

// ReadAll reads the whole response body. It fails if the body exceeds most
// bytes.
func (x *Exchange) ReadAll(most int, silence time.Duration) ([]byte, error) {
	var out []byte
	buf := make([]byte, readBuffer)
	for {
		n, err := x.Read(buf, silence)
		out = append(out, buf[:n]...)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		if len(out) > most {
			return out, &LostError{Address: x.address, Cause: bufio.ErrBufferFull}
		}
	}
}

// Close ends the exchange and closes the connection, which lets the endpoint
// abandon the request. After Release it does nothing.
func (x *Exchange) Close() { x.Release(-1) }

// Release ends the exchange and returns the connection to the pool if the
// response was read completely, no other bytes have arrived, and keep isn't
// negative; otherwise it closes the connection. keep is the endpoint's
// keep-alive timeout, or 0 if the endpoint didn't announce one.
func (x *Exchange) Release(keep time.Duration) {
	if x.conn == nil {
		return
	}
	c := x.conn
	x.conn = nil
	untouched := x.stop()
	if !untouched || keep < 0 || !x.reusable(c) || c.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	x.pool.put(x.address, c, keep)
}

func (x *Exchange) reusable(c *conn) bool {
	if x.answer == nil || !x.whole || x.answer.Close || c.reader.Buffered() > 0 {
		return false
	}
	if x.answer.ContentLength < 0 && len(x.answer.TransferEncoding) == 0 && x.answer.StatusCode != http.StatusNoContent {
		return false // the body ended with the connection
	}
	select {
	case err := <-x.sent:
		return err == nil
	default:
		return false // the request body is still being written
	}
}
