package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// slowEndpoint is an endpoint that doesn't read yet, behind a small receive buffer.
type slowEndpoint struct {
	net.Listener
	t *testing.T
}

func startSlowEndpoint(t *testing.T) slowEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return slowEndpoint{l, t}
}

// accept returns the next connection, on which nothing has been read.
func (l slowEndpoint) accept() *net.TCPConn {
	l.t.Helper()
	c, err := l.Accept()
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { c.Close() })
	tcp := c.(*net.TCPConn)
	if err := tcp.SetReadBuffer(4 << 10); err != nil {
		l.t.Fatal(err)
	}
	return tcp
}

// withdraw sends a request with a body of the given size and withdraws it after a while.
// Meanwhile it calls meet with the endpoint's connection.
func withdraw(t *testing.T, size int, meet func(c *net.TCPConn)) *net.TCPConn {
	t.Helper()
	l := startSlowEndpoint(t)
	p, cleanup := NewPool(1 << 20)
	t.Cleanup(cleanup)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := p.Send(ctx, l.Addr().String(), newRequest(string(make([]byte, size))), time.Hour, time.Time{})
		ended <- err
	}()
	c := l.accept()
	meet(c)
	cancel()
	var lost *LostError
	if err := <-ended; !errors.As(err, &lost) || !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	time.Sleep(50 * time.Millisecond)
	return c
}

// What an endpoint has not received of a withdrawn request never reaches it, whether all of
// the request has been written to the socket or not.
func TestWithdrawnRequestIsCut(t *testing.T) {
	for _, size := range []int{1 << 20, 32 << 20} {
		c := withdraw(t, size, func(*net.TCPConn) { time.Sleep(100 * time.Millisecond) })
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			continue
		}
		if n, err := io.Copy(io.Discard, r.Body); err == nil {
			t.Errorf("all %d bytes of a body have arrived", n)
		}
	}
}

// An endpoint that looks at its connection only when it writes learns of the withdrawal at
// its first write, and one that reads by an error, whether or not it has read the request.
func TestWithdrawalIsSeen(t *testing.T) {
	for name, read := range map[string]bool{"read": true, "unread": false} {
		for _, first := range []string{"write", "read"} {
			c := withdraw(t, 100, func(c *net.TCPConn) {
				if !read {
					time.Sleep(50 * time.Millisecond)
					return
				}
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = io.Copy(io.Discard, r.Body)
				}
				if err != nil {
					t.Error(err)
				}
			})
			if first == "write" {
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"); err == nil {
					t.Errorf("request %s: the first write succeeds", name)
				}
				continue
			}
			if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			var timeout net.Error
			if _, err := io.Copy(io.Discard, c); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
				t.Errorf("request %s: reading ends with %v", name, err)
			}
		}
	}
}

// A connection that is closed after a complete or refused exchange is closed in order, so
// that the endpoint doesn't lose what it hasn't read.
func TestOrdinaryCloseIsInOrder(t *testing.T) {
	for _, body := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"} {
		l := startSlowEndpoint(t)
		p, cleanup := NewPool(1 << 20)
		ended := make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			x, err := p.Send(ctx, l.Addr().String(), newRequest("b"), time.Hour, time.Time{})
			if err == nil {
				_, err = x.ReadAll(10, time.Time{})
				x.Close()
			}
			cancel()
			ended <- err
		}()
		c := l.accept()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, body); err != nil {
			t.Fatal(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Errorf("the connection ended with %v", err)
		}
		cleanup()
	}
}
