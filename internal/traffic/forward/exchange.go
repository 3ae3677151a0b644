package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"fulmardeal"
)

// maxInlineBodyBytes is the maximum size of a body that is written together with
// the header. A larger body is written concurrently with reading the response,
// because the endpoint may respond before it has read the whole body.
const maxInlineBodyBytes = 16 << 10

// Request is a request to an endpoint.
type Request struct {
	Method string
	Target string // path and query, exactly as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	Trail  *Trail // connections that must not carry the request

	// CheckSend is called when a connection is there and before anything is sent on it.
	// If it returns an error, nothing is sent. A nil CheckSend permits all requests.
	CheckSend func() error
}

// WithheldError is the cause of a *fulmardeal.UnsentError if the request's CheckSend
// failed.
type WithheldError struct {
	Cause error
}

func (e *WithheldError) Error() string { return fmt.Sprintf("request withheld: %v", e.Cause) }

func (e *WithheldError) Unwrap() error { return e.Cause }

// LostError reports that a request was sent but its response was not received
// completely. The endpoint may have executed the request.
type LostError struct {
	Address string
	Reused  bool // the connection had already carried another request
	Cause   error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("response of endpoint %s lost: %v", e.Address, e.Cause)
}

func (e *LostError) Unwrap() error { return e.Cause }

// errTimeout is the cause of a LostError if the deadline of a read passed.
var errTimeout = errors.New("read deadline passed")

// Exchange is one request and its response. The caller must call Close or
// Release.
type Exchange struct {
	pool    *Pool
	address string
	conn    *conn
	// stopAfterFunc stops the context from resetting conn when it is done. It
	// returns false if the context was done before.
	stopAfterFunc func() bool
	// bodyWritten receives nil or the error when the write of the request body has
	// ended. It is buffered, so that the writer never blocks.
	bodyWritten chan error
	response    *http.Response
	complete    bool // the response body has been read to its end
}

// Send sends a request and waits for the header of the response. It fails when
// ctx is done or when the header has not arrived by the given time, if that isn't
// zero. A connection that was idle for longer than maxIdleTime isn't reused. The
// error is a *fulmardeal.UnsentError or a *LostError.
func (p *Pool) Send(ctx context.Context, address string, r Request, maxIdleTime time.Duration, headerBy time.Time) (*Exchange, error) {
	c, err := p.get(ctx, address, maxIdleTime, r.Trail)
	if err != nil {
		return nil, err
	}
	if r.CheckSend != nil {
		if err := r.CheckSend(); err != nil {
			p.put(address, c, c.idleTimeout)
			return nil, &fulmardeal.UnsentError{Address: address, Cause: &WithheldError{Cause: err}}
		}
	}
	x := &Exchange{pool: p, address: address, conn: c, bodyWritten: make(chan error, 1)}
	x.stopAfterFunc = context.AfterFunc(ctx, c.reset)
	if err := x.start(ctx, r, headerBy); err != nil {
		x.Close()
		var unsent *fulmardeal.UnsentError
		if errors.As(err, &unsent) {
			return nil, unsent
		}
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &LostError{Address: address, Reused: c.reused, Cause: err}
	}
	return x, nil
}

func (x *Exchange) start(ctx context.Context, r Request, headerBy time.Time) error {
	var header bytes.Buffer
	writeHeader(&header, r)
	if err := ctx.Err(); err != nil { // the connection is closed concurrently
		return &fulmardeal.UnsentError{Address: x.address, Cause: err}
	}
	if len(r.Body) <= maxInlineBodyBytes {
		header.Write(r.Body)
		if _, err := x.conn.framed.Write(header.Bytes()); err != nil {
			return err
		}
		x.bodyWritten <- nil
	} else {
		c := x.conn.framed // Release may set x.conn to nil before the request body is written
		go func() {
			_, err := c.Write(header.Bytes())
			if err == nil {
				_, err = c.Write(r.Body)
			}
			x.bodyWritten <- err
		}()
	}
	if err := x.conn.SetReadDeadline(headerBy); err != nil {
		return err
	}
	return x.readHeader(r.Method)
}

// maxInformational is the maximum number of 1xx responses before the final one.
const maxInformational = 8

func (x *Exchange) readHeader(method string) error {
	l := x.conn.limiter
	l.inHead, l.left = true, maxHeadBytes
	defer func() { l.inHead = false }()
	for range maxInformational {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if response.StatusCode >= 200 {
			x.response = response
			return nil
		}
	}
	return textproto.ProtocolError("too many informational responses before the final response")
}

// writeHeader writes the request line and the header. The target is written
// unmodified.
func writeHeader(b *bytes.Buffer, r Request) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}

// Status returns the status code of the response.
func (x *Exchange) Status() int { return x.response.StatusCode }

func (x *Exchange) Header() http.Header { return x.response.Header }

// Length returns the length of the response body, or -1 if it is unknown.
func (x *Exchange) Length() int64 { return x.response.ContentLength }

// EndsWithConnection reports whether the response body has neither length nor chunks, so
// that its end can't be told from an endpoint that breaks off.
func (x *Exchange) EndsWithConnection() bool {
	return x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0 && x.response.StatusCode != http.StatusNoContent
}

// Failed reports whether the connection has failed since the end of the response, although
// it had been closed in order.
func (x *Exchange) Failed() bool { return x.conn.framed.Failed() }

// HoldsOther reports whether the endpoint keeps another connection of this process open. The
// kernel closes all connections of a process that ends, in order, within moments.
func (x *Exchange) HoldsOther() bool { return x.pool.holdsOther(x.conn) }

// Reused reports whether the connection had carried an earlier request.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Read reads the response body. io.EOF means that the body is complete: it has
// reached its Content-Length or its final chunk, or the connection was closed in
// order, after the whole request had been sent, if the response has neither length
// nor chunks. Any other end is a *LostError. It fails if no bytes arrive by the given
// time; zero means no limit.
func (x *Exchange) Read(p []byte, by time.Time) (int, error) {
	if err := x.conn.SetReadDeadline(by); err != nil {
		return 0, &LostError{Address: x.address, Reused: x.conn.reused, Cause: err}
	}
	n, err := x.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		x.complete = true
		return n, io.EOF
	}
	var t interface{ Timeout() bool }
	if errors.As(err, &t) && t.Timeout() {
		err = errTimeout
	}
	return n, &LostError{Address: x.address, Reused: x.conn.reused, Cause: err}
}

// errBufferFull is the cause of a LostError if a response body exceeds its limit, or
// if what is buffered of all responses exceeds the pool's.
var errBufferFull = errors.New("response exceeds the buffer")

// ReadAll reads the whole response body. It fails if the body exceeds maxBytes, if
// the pool has no room for it, or if it isn't complete by the given time, unless that
// is zero. A body that it returns without an error must be released with Pool.Free.
func (x *Exchange) ReadAll(maxBytes int, by time.Time) ([]byte, error) {
	var out []byte
	reserved := 0
	fail := func(err error) ([]byte, error) {
		x.pool.buffered.Release(reserved)
		return nil, err
	}
	full := &LostError{Address: x.address, Cause: errBufferFull}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := x.Read(buf, by)
		out = append(out, buf[:n]...)
		if !x.pool.buffered.Reserve(cap(out) - reserved) {
			return fail(full)
		}
		reserved = cap(out)
		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return fail(err)
		case len(out) > maxBytes:
			return fail(full)
		}
	}
}

// Close ends the exchange and closes the connection, which lets the endpoint
// abandon the request. After Release it does nothing.
func (x *Exchange) Close() { x.Release(-1) }

// Release ends the exchange and returns the connection to the pool if the
// response was read completely, no other bytes have arrived, and idleTimeout
// isn't negative; otherwise it closes the connection, or resets it if the
// context is done. idleTimeout is the endpoint's keep-alive timeout, or 0 if the
// endpoint didn't announce one.
func (x *Exchange) Release(idleTimeout time.Duration) {
	if x.conn == nil {
		return
	}
	c := x.conn
	x.conn = nil
	c.limiter.share.Close()
	if !x.stopAfterFunc() {
		c.reset()
		return
	}
	if idleTimeout < 0 || !x.reusable(c) || c.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	x.pool.put(x.address, c, idleTimeout)
}

func (x *Exchange) reusable(c *conn) bool {
	if x.response == nil || !x.complete || x.response.Close || c.reader.Buffered() > 0 {
		return false
	}
	if x.EndsWithConnection() {
		return false
	}
	select {
	case err := <-x.bodyWritten:
		return err == nil
	default:
		return false // the request body is still being written
	}
}
