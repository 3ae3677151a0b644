package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"fulmardeal/internal/proof/script"
)

// ending is one case of testdata/ends.txt.
type ending struct {
	path, framing, end, how string
	two                     bool
	want                    string
}

const (
	endEvents = 6
	endAfter  = 3 // complete events before a stream breaks off
)

func endEvent(i int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i) }

// whole returns the complete body, without the first events of a stream.
func (e ending) whole(after int) string {
	if e.path != "/stream/" {
		return plainAnswer
	}
	var b strings.Builder
	for i := after + 1; i <= endEvents; i++ {
		b.WriteString(endEvent(i))
	}
	return b.String()
}

// body returns what the first endpoint sends.
func (e ending) body() string {
	var events strings.Builder
	for i := 1; i <= endAfter; i++ {
		events.WriteString(endEvent(i))
	}
	next := endEvent(endAfter + 1)
	switch e.end {
	case "body":
		return plainAnswer[:len(plainAnswer)/2]
	case "boundary":
		return events.String()
	case "event":
		return events.String() + next[:len(next)/2]
	case "line":
		return events.String() + strings.TrimSuffix(next, "\n")
	}
	return e.whole(0)
}

// answer sends the response of the first endpoint on the raw connection and ends it.
func (e ending) answer(t *testing.T, rw http.ResponseWriter, r *http.Request) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	body := e.body()
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Fulmardeal-Attempt-Id: %s\r\nX-Fulmardeal-Response-Stamp: by-1\r\n", r.Header.Get("X-Fulmardeal-Attempt-Id"))
	if e.path == "/stream/" {
		header += "Content-Type: text/event-stream\r\n"
	}
	switch e.framing {
	case "chunks":
		header += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case "length":
		header += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, header+"\r\n"+body); err != nil {
		t.Error(err)
	}
	if e.how == "reset" {
		time.Sleep(50 * time.Millisecond) // a reset discards what has not been read
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
	}
}

func (e ending) run(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		ids := []string{"i-1", "i-2"}
		if !e.two {
			ids = ids[:1]
		}
		for _, id := range ids {
			w.endpoint(id, "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				if w.runs(r.Header.Get("X-Fulmardeal-Attempt-Id")) > 1 {
					after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
					_, _ = io.WriteString(rw, e.whole(after))
					return
				}
				e.answer(t, rw, r)
			})
		}
	})
	for range 3 {
		a := w.call("POST", e.path, nil)
		switch e.want {
		case "whole":
			if a.status != http.StatusOK || a.err != nil || a.body != e.whole(0) {
				t.Errorf("status %d, %v: %q", a.status, a.err, a.body)
			}
		case "broken":
			if a.status != http.StatusOK || a.err == nil {
				t.Errorf("status %d, the stream looks complete: %q", a.status, a.body)
			}
		default:
			if strconv.Itoa(a.status) != e.want {
				t.Errorf("status %d, want %s: %q", a.status, e.want, a.body)
			}
		}
	}
}

// A response that ends with its connection is complete unless the connection is reset, and
// a stream that ends inside an event never is.
func TestResponseEndsWithConnection(t *testing.T) {
	script.Run(t, "testdata/ends.txt", func(f []string) error {
		if len(f) != 6 {
			return fmt.Errorf("%d fields, want 6", len(f))
		}
		t.Run(strings.Join(f, " "), func(t *testing.T) {
			t.Parallel()
			ending{path: f[0], framing: f[1], end: f[2], how: f[3], two: f[4] == "two", want: f[5]}.run(t)
		})
		return nil
	})
}
