package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"fulmardeal"
	"fulmardeal/internal/link/ledger"
)

// Limits on the bodies of requests that are buffered together. They stay in memory until
// their requests have been answered.
const (
	bodiesFraction     = 0.3       // maximum size of all, as a fraction of the memory limit
	defaultBodiesBytes = 256 << 20 // the same without a memory limit
	freeBodyBytes      = 16 << 10  // a body up to this size doesn't count

	retryAfterBodies = 500 * time.Millisecond // Retry-After of a request for whose body there is no room
)

func maxBodiesBytes(memoryLimit int64) int64 {
	if memoryLimit <= 0 {
		return defaultBodiesBytes
	}
	return int64(bodiesFraction * float64(memoryLimit))
}

// readBody reads the body, up to the configured limit. It refuses the request if the body
// isn't complete by its deadline, or if there is no room for it beside the bodies of others.
func (c *call) readBody(r *http.Request, l fulmardeal.Limits) bool {
	maxBytes := l.Body
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if r.ContentLength > int64(maxBytes) {
		c.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	if c.caller != nil {
		stop := c.caller.stopReading(c.received.Add(c.timeLimit()))
		defer stop()
	}
	var body []byte
	limited := io.LimitReader(r.Body, int64(maxBytes)+1)
	for {
		if len(body) == cap(body) {
			body = growBody(body, int(r.ContentLength))
		}
		if !c.body.Resize(cap(body)) || !c.countBody(cap(body)) {
			c.log.Warn("no room for the body of a request", "bytes", len(body), "length", r.ContentLength, "buffered", c.gateway.bodies.Used())
			c.refuse(http.StatusServiceUnavailable, "no room for the body", retryAfterBodies)
			return false
		}
		n, err := limited.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBytes:
			c.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
			return false
		case errors.Is(err, io.EOF):
			c.request.Body = body
			return true
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.writer.Header().Set("Connection", "close")
			c.refuse(http.StatusRequestTimeout, "body incomplete at the deadline", 0)
			return false
		case err != nil:
			c.writer.Header().Set("Connection", "close")
			c.refuse(http.StatusBadRequest, "body ends early", 0)
			return false
		}
	}
}

// countBody accounts for what the body takes, and reports whether there is room for it. A small
// body is not refused for want of room: it may be the only one of many connections.
func (c *call) countBody(bytes int) bool {
	if bytes <= freeBodyBytes {
		c.caller.count(ledger.Body, bytes)
		return true
	}
	return c.caller.reserve(ledger.Body, bytes)
}

// firstBodyBytes is what of a body is received before there is room for all of it.
const firstBodyBytes = 64 << 10

// growBody makes room for more of a body, whose length is negative if it isn't known.
func growBody(body []byte, length int) []byte {
	if len(body) < firstBodyBytes || len(body) > length {
		return append(body, 0)[:len(body)]
	}
	return append(make([]byte, 0, length+1), body...) // one more, to find the end
}

// Limits on reading the rest of a body whose request has been refused.
const (
	maxDiscardedBytes = 16 << 20
	discardTimeout    = time.Second
)

// discardBody reads the rest of a refused request's body. Many callers send a whole
// body before they read the answer. net/http discards 256 KB; if more is left, it resets
// the connection half a second after the answer, and waits without a limit for less.
// It sends a short answer when the handler has returned, so that the caller gets the
// refusal as soon as its body has been read.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == http.NoBody || r.Header.Get("Expect") != "" {
		return // a caller that expects 100 Continue sends no body now
	}
	// Failures need no action: the caller has disconnected or is too slow, and net/http
	// ends the connection after the answer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
}
