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
	"fulmardeal/internal/proof/script"
	"fulmardeal/platform"
)

// streamPanics is a codec that panics at some point after the first events of a stream.
type streamPanics struct {
	platform.Codec
	point string
}

func (c streamPanics) ForwardHeader(h http.Header, f fulmardeal.ForwardMetadata) http.Header {
	if c.point == "handler" && f.LastEventID != "" {
		panic("broken table")
	}
	return c.Codec.ForwardHeader(h, f)
}

func (c streamPanics) ReadResponseMetadata(status int, h http.Header) fulmardeal.ResponseMetadata {
	if c.point == "answer" && h.Get("X-Resumed") != "" {
		panic("broken header")
	}
	return c.Codec.ReadResponseMetadata(status, h)
}

func (c streamPanics) EventField(name []byte) bool {
	if c.point == "attempt" {
		panic("broken field")
	}
	return c.Codec.EventField(name)
}

// breakOffScene is one case of testdata/breakoffs.txt.
type breakOffScene struct {
	t     *testing.T
	cause string
	next  chan struct{} // closed when the endpoint may go on after the events
	free  chan struct{} // closed at the end
}

// serve answers a request for a stream with two events, and then as the scene has it.
func (s breakOffScene) serve(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	if strings.HasPrefix(r.RequestURI, "/read/") {
		hangUp(rw, r)
		return
	}
	if r.Header.Get("Last-Event-Id") != "" {
		rw.Header().Set("X-Resumed", "1")
		fmt.Fprint(rw, endEvent(3))
		return
	}
	fmt.Fprint(rw, endEvent(1)+endEvent(2))
	_ = http.NewResponseController(rw).Flush()
	switch s.cause {
	case "deadline", "half-close", "grace":
		select {
		case <-r.Context().Done():
		case <-s.free:
		}
	case "attempt":
		<-s.next
		fmt.Fprint(rw, "unknown: 1\n"+endEvent(3))
	default:
		<-s.next
		panic(http.ErrAbortHandler)
	}
}

func (s breakOffScene) start() *testGateway {
	return startGateway(s.t, func(w *testGateway) {
		w.codec = streamPanics{point: s.cause}
		c := catalogue(2)
		for i := range c.Routes {
			c.Routes[i].Timeout, c.Routes[i].Pause = time.Minute, time.Minute // no silence
			c.Routes[i].Resumable = s.cause != "final"
		}
		w.configure(c)
		w.bounds.Grace = 3200 * time.Millisecond // longer than a shutdown waits for the load balancer
		if s.cause == "unpaid" {
			w.bounds.RetryRatio, w.bounds.RetryExtra = 0, 0
		}
		w.endpoint("i-1", "shop", "a", s.serve)
		switch s.cause {
		case "reset", "attempt":
		default:
			w.endpoint("i-2", "shop", "a", s.serve)
		}
	})
}

// request sends a request on a new connection and returns its response with the first
// events, which have been read.
func (s breakOffScene) request(w *testGateway) (*net.TCPConn, *http.Response, string) {
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	timeout := 20000
	if s.cause == "deadline" {
		timeout = 800
	}
	fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\nAuthorization: Token k1\r\nX-Fulmardeal-Attempt-Id: 51\r\nX-Fulmardeal-Deadline-Ms: %d\r\n"+
		"Content-Length: 4\r\n\r\nbody", timeout)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	events := make([]byte, len(endEvent(1)+endEvent(2)))
	if _, err := io.ReadFull(response.Body, events); err != nil {
		s.t.Fatal(err)
	}
	return conn.(*net.TCPConn), response, string(events)
}

// act does what happens after the events.
func (s breakOffScene) act(w *testGateway, conn *net.TCPConn) {
	switch s.cause {
	case "half-close":
		if err := conn.CloseWrite(); err != nil {
			s.t.Error(err)
		}
	case "grace":
		w.stop()
	}
	close(s.next)
}

func (s breakOffScene) run() {
	s.t.Parallel()
	s.next, s.free = make(chan struct{}), make(chan struct{})
	w := s.start()
	defer close(s.free)
	if s.cause == "unpaid" {
		w.call("GET", "/read/", nil) // takes the only retry
	}
	conn, response, events := s.request(w)
	s.act(w, conn)
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		s.t.Fatal(err)
	}
	rest, err := io.ReadAll(response.Body)
	if t, timeout := err.(net.Error); err == nil || timeout && t.Timeout() {
		s.t.Errorf("the stream ends with %v, want an incomplete body", err)
	}
	if got := events + string(rest); got != endEvent(1)+endEvent(2) {
		s.t.Errorf("the caller got %q", got)
	}
}

// A stream that the entry ends itself must not look complete: one whose caller closed
// its sending side got a last chunk.
func TestStreamEndedByEntryLooksComplete(t *testing.T) {
	script.Run(t, "testdata/breakoffs.txt", func(f []string) error {
		if len(f) != 1 {
			return fmt.Errorf("%d fields, want 1", len(f))
		}
		t.Run(strings.Join(f, " "), func(t *testing.T) { breakOffScene{t: t, cause: f[0]}.run() })
		return nil
	})
}
