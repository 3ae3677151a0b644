package forward

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

// endlessLimit is what an endpoint may have written when its connection is closed:
// the limits of the pool, and what the sockets' buffers hold.
const endlessLimit = 24 << 20 // bytes

// writeEndlessly writes the beginning of a response, then its end again and again
// until the connection is closed. It returns the number of bytes written.
func writeEndlessly(c net.Conn, head, repeated string) int64 {
	block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
	written, err := c.Write([]byte(head))
	total := int64(written)
	for err == nil && total < 8*endlessLimit {
		written, err = c.Write(block)
		total += int64(written)
	}
	return total
}

// Bytes without end, in a head or a body, are cut at a limit, and nothing stays
// buffered.
func TestEndlessResponses(t *testing.T) {
	a, err := txtar.ParseFile("testdata/endless.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range a.Files {
		t.Run(f.Name, func(t *testing.T) {
			head, repeated, _ := strings.Cut(strings.TrimSuffix(string(f.Data), "\n"), "repeat: ")
			head = strings.ReplaceAll(head, "\n", "\r\n")
			repeated, err := strconv.Unquote(`"` + repeated + `"`)
			if err != nil {
				t.Fatal(err)
			}
			written := make(chan int64, 1)
			address := startEndpoint(t, func(c net.Conn, _ *http.Request) bool {
				written <- writeEndlessly(c, head, repeated)
				return false
			})
			p, cleanup := NewPool(1 << 20)
			defer cleanup()
			x, err := p.Send(t.Context(), address, newRequest("b"), time.Hour, time.Now().Add(20*time.Second))
			if err == nil {
				_, err = x.ReadAll(8<<20, time.Now().Add(20*time.Second))
				x.Close()
			}
			var lost *LostError
			if !errors.As(err, &lost) {
				t.Errorf("error %v, want a *LostError", err)
			}
			if n := <-written; n > endlessLimit {
				t.Errorf("endpoint could write %d bytes, want at most %d", n, endlessLimit)
			}
			if n := p.buffered.Used(); n != 0 {
				t.Errorf("%d bytes still count as buffered", n)
			}
		})
	}
}

// Many endless bodies at once stay within the pool's limit together, and leave room
// for others afterwards.
func TestEndlessBodiesShareTheBuffer(t *testing.T) {
	address := startEndpoint(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-A") == "1" {
			writeEndlessly(c, "HTTP/1.1 200 OK\r\n\r\n", "a")
			return false
		}
		return play(c, "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello")
	})
	const maxBuffered = 1 << 20
	p, cleanup := NewPool(maxBuffered)
	defer cleanup()
	stop := make(chan struct{})
	var most atomic.Int64
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				most.Store(max(most.Load(), p.buffered.Used()))
			}
		}
	}()
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			x, err := p.Send(t.Context(), address, newRequest("b"), time.Hour, time.Time{})
			if err != nil {
				t.Error(err)
				return
			}
			defer x.Close()
			if _, err := x.ReadAll(8<<20, time.Time{}); err == nil {
				t.Error("endless body was read to its end")
			}
		})
	}
	callers.Wait()
	close(stop)
	// Reservations that don't fit count until they are taken back.
	if n := most.Load(); n > 2*maxBuffered {
		t.Errorf("%d bytes were buffered, want at most about %d", n, maxBuffered)
	}
	r := newRequest("b")
	r.Header = http.Header{}
	x, err := p.Send(t.Context(), address, r, time.Hour, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	body, err := x.ReadAll(8<<20, time.Time{})
	if err != nil || string(body) != "hello" {
		t.Errorf("got %q, %v", body, err)
	}
	p.Free(body)
	if n := p.buffered.Used(); n != 0 {
		t.Errorf("%d bytes still count as buffered", n)
	}
}
