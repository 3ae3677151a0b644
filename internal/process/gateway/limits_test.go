package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fulmardeal"
)

// connection is a kept connection of a caller.
type connection struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
	calls  int
}

// dial opens a connection to the gateway.
func (w *testGateway) dial(t *testing.T) *connection {
	t.Helper()
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &connection{Conn: conn, t: t, reader: bufio.NewReader(conn)}
}

// header returns the header of a request with additional fields.
func (c *connection) header(fields string) string { return c.headerOf("/order/", fields) }

// headerOf returns the header of a request for the given path.
func (c *connection) headerOf(path, fields string) string {
	c.calls++
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Token k1\r\nX-Fulmardeal-Attempt-Id: %p-%d\r\nX-Fulmardeal-Deadline-Ms: 10000\r\nContent-Length: 4\r\n%s\r\n", path, c, c.calls, fields)
}

// send sends the parts of a request with a pause between two of them.
func (c *connection) send(pause time.Duration, parts ...string) {
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		// A closed connection shows when the answer is read.
		_, _ = io.WriteString(c, part)
	}
}

// answer returns the status of the next answer and whether it ends the connection, or 0
// if the connection ends before it.
func (c *connection) answer() (status int, last bool) {
	c.t.Helper()
	response, _ := c.read()
	if response == nil {
		return 0, true
	}
	return response.StatusCode, response.Close
}

// answerBody returns the status and the body of the next answer, or 0 if the connection
// ends before its end.
func (c *connection) answerBody() (status int, body string) {
	c.t.Helper()
	response, body := c.read()
	if response == nil {
		return 0, body
	}
	return response.StatusCode, body
}

// read reads the next answer. It returns no answer if the connection ends before its end.
func (c *connection) read() (*http.Response, string) {
	c.t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		c.t.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, ""
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, string(body)
	}
	return response, string(body)
}

// call sends a request and returns the status of its answer.
func (c *connection) call() int {
	c.t.Helper()
	c.send(0, c.header("")+"body")
	status, _ := c.answer()
	return status
}

// startLimited starts a gateway whose configuration has the given limits.
func startLimited(t *testing.T, l fulmardeal.Limits) *testGateway {
	return startGateway(t, func(w *testGateway) {
		w.limit(2, l)
		w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "ok") })
	})
}

// limit writes a version of the configuration with the given limits.
func (w *testGateway) limit(version int64, l fulmardeal.Limits) {
	c := catalogue(version)
	c.Limits = l
	for i := range c.Routes {
		c.Routes[i].Timeout = 10 * time.Second
	}
	w.configure(c)
}

// applyTime is enough for a change of the configuration to take effect.
const applyTime = 200 * time.Millisecond

// The configuration's header limit applies, whether it is below the default or above it.
func TestHeaderLimit(t *testing.T) {
	t.Parallel()
	w := startLimited(t, fulmardeal.Limits{Header: 16 << 10})
	c := w.dial(t)
	check := func(size, want int) {
		t.Helper()
		c.send(0, c.header("X-Fill: "+strings.Repeat("x", size)+"\r\n")+"body")
		if status, last := c.answer(); status != want || last {
			t.Errorf("header with %d bytes: status %d, connection ended: %v; want %d on a kept connection", size, status, last, want)
		}
	}
	check(15<<10, 200)
	check(17<<10, 431)
	w.limit(3, fulmardeal.Limits{Header: 128 << 10})
	time.Sleep(applyTime)
	check(100<<10, 200)
	w.limit(4, fulmardeal.Limits{Header: 8 << 10})
	time.Sleep(applyTime)
	check(7<<10, 200)
	check(9<<10, 431)
}

// The configuration's limit of the time for a header applies to each request of a
// connection, from its first byte.
func TestHeaderTimeLimit(t *testing.T) {
	t.Parallel()
	const limit = 1200 * time.Millisecond
	w := startLimited(t, fulmardeal.Limits{HeaderTimeout: limit, Idle: 10 * time.Second})
	for _, kept := range []bool{false, true} {
		for _, tt := range []struct {
			pause  time.Duration // within the header
			served bool
		}{{limit / 2, true}, {limit * 3 / 2, false}} {
			c := w.dial(t)
			if kept && c.call() != 200 {
				t.Fatal("no answer")
			}
			time.Sleep(limit * 5 / 4) // idle before the first byte
			header := c.header("")
			c.send(tt.pause, header[:10], header[10:]+"body")
			if status, last := c.answer(); (status == 200) != tt.served || last == tt.served {
				t.Errorf("pause of %v in a header, connection kept: %v: status %d, connection ended: %v", tt.pause, kept, status, last)
			}
		}
	}
}

// Callers use connections that have been idle for up to four fifths of the
// configuration's limit; later they are closed.
func TestIdleLimit(t *testing.T) {
	t.Parallel()
	const limit = 4 * time.Second
	w := startLimited(t, fulmardeal.Limits{Idle: limit})
	c := w.dial(t)
	for range 2 {
		if status := c.call(); status != 200 {
			t.Fatalf("status %d after four fifths of the limit", status)
		}
		time.Sleep(limit * 4 / 5)
	}
	start := time.Now()
	if status, _ := c.answer(); status != 0 || time.Since(start) > limit {
		t.Errorf("status %d, connection open %v after its last request", status, limit*4/5+time.Since(start))
	}
}

// A change of the limits cuts no connection: an open one has the longer of both times, and
// a request that is being received or answered is not affected.
func TestChangeOfLimitsCutsNoConnection(t *testing.T) {
	t.Parallel()
	const limit = 2 * time.Second
	for _, tt := range []struct {
		name        string
		first, then time.Duration // limits
		idle        time.Duration // after the last request
	}{
		{"longer", limit, 3 * limit, 3 * limit * 4 / 5},
		{"shorter", 2 * limit, limit / 2, 2 * limit * 4 / 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := startLimited(t, fulmardeal.Limits{Idle: tt.first, HeaderTimeout: 2 * limit})
			idle, receiving, body := w.dial(t), w.dial(t), w.dial(t)
			for _, c := range []*connection{idle, receiving, body} {
				if status := c.call(); status != 200 {
					t.Fatalf("status %d", status)
				}
			}
			start := time.Now()
			header := receiving.header("")
			receiving.send(0, header[:10])
			body.send(0, body.header(""))
			w.limit(3, fulmardeal.Limits{Idle: tt.then, HeaderTimeout: limit / 2})
			time.Sleep(limit * 3 / 4)
			receiving.send(0, header[10:]+"body")
			body.send(0, "body")
			time.Sleep(time.Until(start.Add(tt.idle)))
			for name, c := range map[string]*connection{"receiving a header": receiving, "receiving a body": body} {
				if status, _ := c.answer(); status != 200 {
					t.Errorf("%s: status %d", name, status)
				}
			}
			if status := idle.call(); status != 200 {
				t.Errorf("idle for %v: status %d", tt.idle, status)
			}
		})
	}
}
