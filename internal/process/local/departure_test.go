package local

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/traffic/choice"
)

const (
	departureWork  = 3 * time.Second
	departureBound = 500 * time.Millisecond // from a caller's close until the endpoint stops
)

// running returns how many requests run at the endpoints.
func running(x *System) int {
	n := 0
	for _, m := range x.Agents() {
		switch {
		case m.Plain != nil:
			n += m.Plain.Running()
		case m.Engine != nil:
			n += m.Engine.Running()
		}
	}
	return n
}

// startWithWork starts a system with one entry and endpoints that work for the given time.
func startWithWork(t *testing.T, work time.Duration) *System {
	t.Helper()
	s, err := Read("")
	if err != nil {
		t.Fatal(err)
	}
	s.Entry = s.Entry[:1]
	for i := range s.Endpoint {
		s.Endpoint[i].Count = 1
		s.Endpoint[i].CallDuration = configuration.Duration(work)
	}
	x, stop, err := Start(t.Context(), s, Options{Logger: slog.New(slog.DiscardHandler), Policy: choice.PolicyTwoChoices})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
	if err := x.Configure(t.Context(), s.Configuration); err != nil {
		t.Fatal(err)
	}
	return x
}

// A request that may be repeated ends at its endpoint soon after its caller has closed the
// connection. Others run to their end.
func TestRequestEndsWithItsCaller(t *testing.T) {
	x := startWithWork(t, departureWork)
	address := x.Entries()[0].Entry.Address()
	for _, more := range []string{"", "x", "\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		for _, reset := range []bool{false, true} {
			c := begin(t, x, address)
			// The close tells whether the connection was open.
			_, _ = io.WriteString(c, more)
			time.Sleep(20 * time.Millisecond)
			if reset {
				if err := c.SetLinger(0); err != nil {
					t.Error(err)
				}
			}
			c.Close()
			left := time.Now()
			for running(x) > 0 && time.Since(left) < 2*departureWork {
				time.Sleep(10 * time.Millisecond)
			}
			if d := time.Since(left); d > departureBound {
				t.Errorf("%d bytes sent before the close, reset %v: still running %v after it", len(more), reset, d.Round(time.Millisecond))
			}
		}
	}
}

// begin sends a request on a connection of its own until one runs at an endpoint, and
// returns the connection. Entries refuse requests until they know the endpoints.
func begin(t *testing.T, x *System, address string) *net.TCPConn {
	t.Helper()
	for range 100 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_, _ = io.WriteString(c, catalogueRead) // a failure shows as a request that doesn't arrive
		for range 20 {
			if running(x) > 0 {
				return c.(*net.TCPConn)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	t.Fatal("no request has reached an endpoint")
	return nil
}

const catalogueRead = "GET /dukan-app/catalogue/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-bahar\r\n\r\n"

// Requests on a kept connection are answered one after the other, also if they are sent
// before the earlier ones have been answered.
func TestKeptConnectionIsReadOn(t *testing.T) {
	const requests = 4
	x := startWithWork(t, 300*time.Millisecond)
	address := x.Entries()[0].Entry.Address()
	for _, early := range []bool{false, true} {
		c := begin(t, x, address)
		if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(c)
		if early {
			_, _ = io.WriteString(c, strings.Repeat(catalogueRead, requests-1))
		}
		for i := range requests {
			if i > 0 && !early {
				_, _ = io.WriteString(c, catalogueRead)
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("answer %d, sent early %v: %v", i, early, err)
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("answer %d, sent early %v: status %d, %v", i, early, response.StatusCode, err)
			}
		}
	}
}

const completionBody = `{"model":"%s","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"a long verse"}]}`

// A stream ends at its engine soon after its caller has closed the connection in its middle.
func TestStreamEndsWithItsCaller(t *testing.T) {
	x := startWithWork(t, departureWork)
	if _, err := x.Deploy(t.Context(), "v1"); err != nil {
		t.Fatal(err)
	}
	address := x.Entries()[0].Entry.Address()
	for _, reset := range []bool{false, true} {
		c := beginStream(t, address)
		if running(x) == 0 {
			t.Fatal("the stream doesn't run")
		}
		if reset {
			if err := c.SetLinger(0); err != nil {
				t.Error(err)
			}
		}
		c.Close()
		left := time.Now()
		for running(x) > 0 && time.Since(left) < 2*departureWork {
			time.Sleep(10 * time.Millisecond)
		}
		if d := time.Since(left); d > departureBound {
			t.Errorf("reset %v: still running %v after the close", reset, d.Round(time.Millisecond))
		}
	}
}

// beginStream sends a request for a stream until its first event has come, and returns its
// connection.
func beginStream(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	body := strings.Replace(completionBody, "%s", modelName, 1)
	for range 100 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_, _ = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-bahar\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(c)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			continue
		}
		line, err := bufio.NewReader(response.Body).ReadString('\n')
		if err == nil && response.StatusCode == http.StatusOK {
			return c.(*net.TCPConn)
		}
		t.Logf("status %d: %s", response.StatusCode, line)
		c.Close()
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("no stream has begun")
	return nil
}

// A request whose caller leaves while it waits in the entry's queue never reaches an endpoint.
func TestQueuedRequestRunsWithoutItsCaller(t *testing.T) {
	x := startWithWork(t, departureWork)
	address := x.Entries()[0].Entry.Address()
	callers := []net.Conn{begin(t, x, address)}
	send := func() net.Conn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_, _ = io.WriteString(c, catalogueRead) // a failure shows as a request that doesn't arrive
		return c
	}
	for n := 0; running(x) > n && n < 100; { // until the endpoint is full
		n = running(x)
		callers = append(callers, send())
		time.Sleep(100 * time.Millisecond)
	}
	queued := []net.Conn{send(), send()}
	time.Sleep(50 * time.Millisecond)
	for _, c := range append(queued, callers...) {
		c.Close()
	}
	left := time.Now()
	for running(x) > 0 && time.Since(left) < 2*departureWork {
		time.Sleep(10 * time.Millisecond)
	}
	if d := time.Since(left); d > departureBound {
		t.Errorf("%d callers: still running %v after all have left", len(callers), d.Round(time.Millisecond))
	}
	time.Sleep(departureBound)
	if n := running(x); n > 0 {
		t.Errorf("%d requests run although all callers have left", n)
	}
	t.Logf("%d requests ran at once", len(callers)-1)
}
