package adapter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
)

// TestNoRetries checks that a request is sent only once when the server reads
// it and closes the connection without a response. By default fasthttp sends a PUT
// up to five times.
func TestNoRetries(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "POST", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			var runs atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer s.Close()
			e, err := NewEndpoint(s.URL)
			if err != nil {
				t.Fatal(err)
			}
			c := fulmardeal.Call{ID: "one", Method: method, Path: "/orders", Body: []byte("x"),
				Header: []fulmardeal.Field{{Name: "Idempotency-Key", Value: "k"}}}
			_, err = e.Call(context.Background(), c)
			var unsent *fulmardeal.UnsentError
			if err == nil || errors.As(err, &unsent) {
				t.Errorf("error %v; want one that is not an UnsentError", err)
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("request was executed %d times, want 1", n)
			}
		})
	}
}

// TestUnsentError checks that a refused connection is reported as an UnsentError.
func TestUnsentError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	e, err := NewEndpoint("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	_, err = e.Call(context.Background(), fulmardeal.Call{ID: "one", Method: "POST", Path: "/"})
	var unsent *fulmardeal.UnsentError
	if !errors.As(err, &unsent) {
		t.Errorf("error %v, want an UnsentError", err)
	}
}

// TestTruncatedResponses checks that truncated responses, and those whose
// truncation could not be detected, are read with an error.
func TestTruncatedResponses(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
		cut  bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole", false},
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwhole", "whole", true},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", "whole", true},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nwhole", "whole", true},
		{"ends with its connection", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole", "whole", true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e, stop := newRawServer(t, tc.text)
			defer stop()
			a, err := e.Call(context.Background(), fulmardeal.Call{ID: "one", Method: "GET", Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			data, err := io.ReadAll(a.Body)
			a.Body.Close()
			if (err != nil) != tc.cut || string(data) != tc.want {
				t.Errorf("read %q, %v; want %q, cut %t", data, err, tc.want, tc.cut)
			}
		})
	}
}

// newRawServer starts a server that writes the same response to each connection
// and closes it, and returns a client of it.
func newRawServer(t *testing.T, text string) (*Endpoint, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			if _, err := c.Read(buf); err == nil {
				fmt.Fprint(c, text)
			}
			c.Close()
		}
	}()
	e, err := NewEndpoint("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return e, func() { l.Close() }
}

// TestPartialReadClosesConnection checks that after a response is closed
// half-read, the next call to the endpoint does not read the rest of it.
func TestPartialReadClosesConnection(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cancel/long" {
			return
		}
		w.Header().Set("Content-Length", "200000")
		fmt.Fprint(w, string(make([]byte, 199990)), r.URL.Path)
		fmt.Fprint(w, string(make([]byte, 10-len(r.URL.Path))))
	}))
	defer s.Close()
	e, err := NewEndpoint(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	a, err := e.Call(context.Background(), fulmardeal.Call{ID: "long", Method: "GET", Path: "/first"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.Body.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	a.Body.Close()

	for range 3 {
		a, err := e.Call(context.Background(), fulmardeal.Call{ID: "next", Method: "GET", Path: "/next"})
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(a.Body)
		a.Body.Close()
		if err != nil || len(data) != 200000 || string(data[199990:199995]) != "/next" {
			t.Fatalf("read %d bytes, %v; want the whole response to /next", len(data), err)
		}
	}
}

// TestSilentEndpoint checks that a call outlasts a silence of its endpoint, before the
// header and in the middle of the body, until its deadline.
func TestSilentEndpoint(t *testing.T) {
	const silence = 1300 * time.Millisecond
	tests := []struct {
		name                    string
		beforeHeader, afterPart time.Duration
	}{
		{"before the header", silence, 0},
		{"in the body", 0, silence},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(tc.beforeHeader)
				_, _ = io.WriteString(w, "first ") // the test fails if this does
				w.(http.Flusher).Flush()
				time.Sleep(tc.afterPart)
				_, _ = io.WriteString(w, "second")
			}))
			defer s.Close()
			e, err := NewEndpoint(s.URL)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			a, err := e.Call(ctx, fulmardeal.Call{ID: "one", Method: "POST", Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			defer a.Body.Close()
			if data, err := io.ReadAll(a.Body); err != nil || string(data) != "first second" {
				t.Errorf("read %q, error %v; want the whole body", data, err)
			}
		})
	}
}
