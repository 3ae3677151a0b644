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

// smallBody is the size up to which a body is sent with its header; a larger
// one is sent while the answer is awaited, since it may come early.
const smallBody = 16 << 10 // bytes

// Message is a request as an endpoint gets it.
type Message struct {
	Method string
	Target string // path and query, as the caller wrote them
	Host   string
	Header http.Header
	Body   []byte
}

// LostError says that a request was sent and its answer is not whole; the
// endpoint may have run it.
type LostError struct {
	Address string
	Reused  bool // the connection was a kept one
	Cause   error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("answer of endpoint %s lost: %v", e.Address, e.Cause)
}

func (e *LostError) Unwrap() error { return e.Cause }

// errTimeout is the cause of a silence that was not waited for any longer.
var errTimeout = errors.New("no answer in time")

// Exchange is one request on its way. Close must be called.
type Exchange struct {
	pool    *Pool
	address string
	conn    *conn
	stop    func() bool // ends the watch on the context
	sent    chan error  // the body has been written
	answer  *http.Response
	whole   bool
}

// Send sends a message and waits for the head of the answer, until the context
// ends or, if silence isn't 0, until nothing has come for so long. mostIdleFor
// bounds the age of a kept connection. The error is a *fulmardeal.UnsentError
// or a *LostError.
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
		c := x.conn // the exchange may be over before the body is sent
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

// limit bounds the wait for the next bytes; 0 lifts the bound.
func (x *Exchange) limit(silence time.Duration) error {
	var deadline time.Time
	if silence > 0 {
		deadline = time.Now().Add(silence)
	}
	return x.conn.SetReadDeadline(deadline)
}

// mostInterim bounds the informational answers before the real one.
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
	return textproto.ProtocolError("too many informational answers")
}

// writeHead writes the request line and the header. The target is the caller's,
// byte for byte.
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

// Status returns the status of the answer.
func (x *Exchange) Status() int { return x.answer.StatusCode }

// Header returns the header of the answer.
func (x *Exchange) Header() http.Header { return x.answer.Header }

// Length returns the length of the body, or -1 when its header doesn't tell.
func (x *Exchange) Length() int64 { return x.answer.ContentLength }

// Reused reports whether the connection was a kept one.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Read reads the body. io.EOF says that it is whole: it ended with its length,
// its end mark, or the orderly end of its connection when it has neither. Any
// other end is a *LostError.
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

// ReadAll reads the whole body, at most so many bytes.
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

// Close ends the exchange. The connection is kept when the answer was read to
// its end, nothing is left on it, and keep isn't negative; else it is closed,
// which makes the endpoint drop the request.
func (x *Exchange) Close() { x.Release(-1) }

// Release ends the exchange like Close, with how long the endpoint keeps an
// idle connection; 0 when it didn't say.
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
		return false // its end was the end of the connection
	}
	select {
	case err := <-x.sent:
		return err == nil
	default:
		return false // the body is still being sent
	}
}
