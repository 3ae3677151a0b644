package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/script"
)

// upload is one case of testdata/uploads.txt.
type upload struct {
	size          int
	response, end string
}

// serve answers the request on a connection. The first attempt of a request is answered as the
// case says, others in order.
func (u upload) serve(runs *atomic.Int32, c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	status, text := "200 OK", "first"
	second := runs.Add(1) > 1
	if second || u.response == "read" {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if u.response == "413" {
		status = "413 Too Large"
	}
	if second {
		text = "second"
	}
	head := fmt.Sprintf("HTTP/1.1 %s\r\nX-Fulmardeal-Attempt-Id: %s\r\nX-Fulmardeal-Response-Stamp: by-1\r\n", status, r.Header.Get("X-Fulmardeal-Attempt-Id"))
	switch {
	case second || u.response == "length" || u.response == "413":
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
	case u.response == "chunks":
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	default:
		head += "\r\n" + text
	}
	_, _ = io.WriteString(c, head)
	if second || u.end == "close" {
		return
	}
	if strings.HasPrefix(u.end, "half") {
		_ = c.CloseWrite()
	}
	if strings.HasSuffix(u.end, "40") {
		time.Sleep(40 * time.Millisecond)
	}
	if u.end != "unread" {
		_ = c.SetLinger(0)
	}
}

// An endpoint answered a long upload at once without a length, sent a part of its body and reset
// the connection while the upload was being written: the caller got that part as a complete
// answer.
func TestResponseWhileRequestIsWritten(t *testing.T) {
	script.Run(t, "testdata/uploads.txt", func(f []string) error {
		size, err := strconv.Atoi(f[0])
		if err != nil || len(f) != 5 {
			return errors.Join(err, fmt.Errorf("%d fields, want 5", len(f)))
		}
		u := upload{size: size, response: f[1], end: f[2]}
		for _, path := range []string{"/order/", "/read/"} {
			t.Run(strings.Join(f, " ")+path, func(t *testing.T) {
				t.Parallel()
				u.check(t, path, f[3], f[4])
			})
		}
		return nil
	})
}

func (u upload) check(t *testing.T, path, order, read string) {
	var runs atomic.Int32
	w := startGateway(t, func(w *testGateway) {
		c := catalogue(2)
		c.Limits.Body = u.size
		for i := range c.Routes {
			c.Routes[i].Timeout = 5 * time.Second // large bodies take their time beside other tests
		}
		w.configure(c)
		for i := range 2 {
			address := serveConns(t, func(c *net.TCPConn) { u.serve(&runs, c) })
			w.register(fulmardeal.Registration{ID: fmt.Sprintf("i-%d", i), Service: "shop", Address: address, DataCentre: "a", Slots: 8})
		}
	})
	for range 3 {
		runs.Store(0)
		a := w.call("POST", path, func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", u.size))), int64(u.size)
			r.Header.Set("X-Fulmardeal-Deadline-Ms", "5000")
		})
		wantStatus, wantBody, wantRuns := order, "first", int32(1)
		if path == "/read/" && read == "second" {
			wantStatus, wantBody, wantRuns = "200", "second", 2
		}
		if strconv.Itoa(a.status) != wantStatus || wantStatus != "502" && (a.body != wantBody || a.err != nil) || runs.Load() != wantRuns {
			t.Errorf("status %d, %v: %q after %d runs; want %s, %q after %d", a.status, a.err, a.body, runs.Load(), wantStatus, wantBody, wantRuns)
		}
	}
}
