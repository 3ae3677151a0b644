package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/tools/txtar"

	"fulmardeal"
)

// startEndpoint starts a server that calls serve for each request with its
// connection. serve reports whether to keep the connection open.
func startEndpoint(t *testing.T, serve func(c net.Conn, r *http.Request) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil || !serve(c, r) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newRequest(body string) Request {
	return Request{Method: "POST", Target: "/a//b/../c?x=%2F", Host: "h.example", Header: http.Header{"X-A": {"1"}}, Body: []byte(body)}
}

// play writes the script to c line by line; see testdata/exchanges.txtar. Header
// and chunk lines end with CRLF, and body lines are written as they are. It reports
// whether the connection stays open.
func play(c net.Conn, script string) bool {
	for line := range strings.Lines(script) {
		switch strings.TrimSpace(line) {
		case "reset":
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // the test fails if the connection isn't reset
			}
			return false
		case "end":
			return false
		case "silence":
			time.Sleep(500 * time.Millisecond)
			return false
		}
		if !strings.HasPrefix(line, "hello") && !strings.HasPrefix(line, "ok") && !strings.HasPrefix(line, "x") {
			line = strings.TrimSuffix(line, "\n") + "\r\n"
		}
		if strings.HasPrefix(line, "hello\n") && strings.Contains(script, "chunked") {
			line = "hello\r\n"
		}
		if _, err := io.WriteString(c, line); err != nil {
			return false
		}
	}
	return true
}

func TestExchanges(t *testing.T) {
	a, err := txtar.ParseFile("testdata/exchanges.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range a.Files {
		t.Run(f.Name, func(t *testing.T) {
			script, want, _ := strings.Cut(string(f.Data), "want: ")
			want = strings.TrimSpace(want)
			if strings.Contains(script, "Content-Length: 5\n") || strings.Contains(script, "Content-Length: 2\n") {
				script = strings.TrimSuffix(script, "\n") // the body has no trailing newline
			}
			address := startEndpoint(t, func(c net.Conn, _ *http.Request) bool { return play(c, script) })
			p, cleanup := NewPool(1 << 20)
			defer cleanup()
			got := outcome(p, address)
			if got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

func outcome(p *Pool, address string) string {
	const timeout = 200 * time.Millisecond
	x, err := p.Send(context.Background(), address, newRequest("b"), time.Hour, time.Now().Add(timeout))
	var lost *LostError
	if errors.As(err, &lost) {
		return "lost"
	}
	if err != nil {
		return err.Error()
	}
	defer x.Close()
	body, err := x.ReadAll(1<<20, time.Now().Add(timeout))
	if errors.As(err, &lost) {
		return "lost"
	}
	time.Sleep(20 * time.Millisecond) // let bytes that follow the response arrive
	x.Release(0)
	state := "closed"
	if c := p.take(address, time.Hour); c != nil {
		if c.usable() {
			state = "kept"
		}
		c.Close()
	}
	return "whole " + strconv.Quote(string(body)) + " " + state
}

// TestRequestIsSentUnchanged checks that the endpoint receives the request once
// and with an unmodified target.
func TestRequestIsSentUnchanged(t *testing.T) {
	var seen atomic.Pointer[http.Request]
	var n atomic.Int32
	address := startEndpoint(t, func(c net.Conn, r *http.Request) bool {
		n.Add(1)
		seen.Store(r)
		return play(c, "HTTP/1.1 200 OK\nContent-Length: 0\n\n")
	})
	p, cleanup := NewPool(1 << 20)
	defer cleanup()
	x, err := p.Send(t.Context(), address, newRequest("body"), time.Hour, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	x.Close()
	r := seen.Load()
	if r.RequestURI != "/a//b/../c?x=%2F" || r.Host != "h.example" || r.Header.Get("X-A") != "1" || r.ContentLength != 4 || n.Load() != 1 {
		t.Errorf("endpoint received target %s, host %s, header %v and %d body bytes, %d times; want the request unchanged, once", r.RequestURI, r.Host, r.Header, r.ContentLength, n.Load())
	}
}

// TestNothingIsSentTwice checks that a request isn't sent again when the endpoint
// resets a reused connection after it has received the request.
func TestNothingIsSentTwice(t *testing.T) {
	var n atomic.Int32
	address := startEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		if n.Add(1) == 2 {
			return play(c, "reset")
		}
		return play(c, "HTTP/1.1 200 OK\nContent-Length: 0\n\n")
	})
	p, cleanup := NewPool(1 << 20)
	defer cleanup()
	x, err := p.Send(t.Context(), address, newRequest(""), time.Hour, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := x.ReadAll(1, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	x.Release(0)
	_, err = p.Send(t.Context(), address, newRequest(""), time.Hour, time.Now().Add(time.Second))
	var lost *LostError
	if !errors.As(err, &lost) || !lost.Reused || n.Load() != 2 {
		t.Errorf("error %v, %d requests seen; want a *LostError on a reused connection and 2 requests", err, n.Load())
	}
}

func TestUnreachableEndpointIsUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	p, cleanup := NewPool(1 << 20)
	defer cleanup()
	_, err = p.Send(t.Context(), address, newRequest(""), time.Hour, time.Now().Add(time.Second))
	var unsent *fulmardeal.UnsentError
	if !errors.As(err, &unsent) {
		t.Errorf("error %v, want *fulmardeal.UnsentError", err)
	}
}

// What decided that a request may be sent can be out of date when its connection is
// there: the check right before it is sent keeps it from the endpoint, and the connection
// for other requests.
func TestRequestIsCheckedWhenConnected(t *testing.T) {
	var received atomic.Int32
	address := startEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		received.Add(1)
		return play(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok")
	})
	p, cleanup := NewPool(1 << 20)
	defer cleanup()
	refused := errors.New("too late")
	for range 2 {
		r := newRequest("")
		r.CheckSend = func() error { return refused }
		_, err := p.Send(t.Context(), address, r, time.Hour, time.Now().Add(time.Second))
		var withheld *WithheldError
		if !errors.As(err, &withheld) || !errors.Is(err, refused) {
			t.Errorf("error %v, want *WithheldError", err)
		}
	}
	if got := outcome(p, address); got != `whole "ok" kept` {
		t.Errorf("request after those withheld: %s", got)
	}
	if dialed, _ := p.Counts(); dialed != 1 || received.Load() != 1 {
		t.Errorf("%d requests received on %d connections, want 1 on 1", received.Load(), dialed)
	}
}

// TestCancelClosesTheConnection checks that cancelling the context closes the
// connection to the endpoint, both before and during the response.
func TestCancelClosesTheConnection(t *testing.T) {
	for _, responseStarted := range []bool{false, true} {
		closed := make(chan time.Time, 1)
		address := startEndpoint(t, func(c net.Conn, _ *http.Request) bool {
			if responseStarted {
				play(c, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n5\nhello\n")
			}
			var b [1]byte
			_, _ = c.Read(b[:]) // returns when the connection is closed
			closed <- time.Now()
			return false
		})
		p, cleanup := NewPool(1 << 20)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		x, err := p.Send(ctx, address, newRequest(""), time.Hour, time.Time{})
		if err == nil {
			_, err = x.ReadAll(1<<20, time.Time{})
			x.Close()
		}
		if err == nil {
			t.Error("request succeeded after its context was cancelled")
		}
		select {
		case <-closed:
		case <-time.After(2 * time.Second):
			t.Errorf("response started %t: connection still open 2 s after the context was cancelled", responseStarted)
		}
		cleanup()
	}
}

// TestEarlyResponse checks that a connection isn't reused if the response arrived
// before the request body was completely written.
func TestEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		play(c, "HTTP/1.1 503 No\nContent-Length: 0\n\n")
		time.Sleep(time.Second)
		c.Close()
	}()
	p, cleanup := NewPool(1 << 20)
	defer cleanup()
	r := newRequest(strings.Repeat("x", 8<<20))
	x, err := p.Send(t.Context(), l.Addr().String(), r, time.Hour, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := x.ReadAll(1, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	x.Release(0)
	if c := p.take(l.Addr().String(), time.Hour); c != nil {
		t.Error("connection was returned to the pool before its request body was written")
	}
}
