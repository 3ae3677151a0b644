package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
)

// A request whose context has ended isn't written to a kept connection.
func TestEndedContextSendsNothing(t *testing.T) {
	var received atomic.Int32
	address := startEndpoint(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-A") == "ended" {
			received.Add(1)
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	p, cleanup := NewPool(1 << 20)
	defer cleanup()
	sent := 0 // according to the errors
	for range 200 {
		x, err := p.Send(context.Background(), address, newRequest("b"), time.Hour, time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := x.ReadAll(10, time.Time{}); err != nil {
			t.Fatal(err)
		}
		x.Release(0)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		r := newRequest("b")
		r.Header = http.Header{"X-A": {"ended"}}
		_, err = p.Send(ctx, address, r, time.Hour, time.Time{})
		var unsent *fulmardeal.UnsentError
		if !errors.As(err, &unsent) || !errors.Is(err, context.Canceled) {
			sent++
		}
	}
	time.Sleep(100 * time.Millisecond)
	if n := received.Load(); n != 0 || sent != 0 {
		t.Errorf("of 200 requests, %d have reached the endpoint, and %d are said to be sent", n, sent)
	}
}

// A request isn't written if the last check before the write fails.
func TestFailedCheckSendsNothing(t *testing.T) {
	var received atomic.Int32
	address := startEndpoint(t, func(net.Conn, *http.Request) bool {
		received.Add(1)
		return true
	})
	p, cleanup := NewPool(1 << 20)
	defer cleanup()
	unwanted := errors.New("unwanted")
	r := newRequest("b")
	r.CheckSend = func() error { return unwanted }
	_, err := p.Send(context.Background(), address, r, time.Hour, time.Time{})
	var unsent *fulmardeal.UnsentError
	if !errors.As(err, &unsent) || !errors.Is(err, unwanted) {
		t.Errorf("%v", err)
	}
	time.Sleep(50 * time.Millisecond)
	if n := received.Load(); n != 0 {
		t.Errorf("%d requests have reached the endpoint", n)
	}
}
