package gateway_test

import (
	"bufio"
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

// malformed is one response whose head is malformed. ID stands for the request's id.
type malformed struct{ response string }

// serve sends the response to the first attempt of a request, and a sound one to others.
func (m malformed) serve(runs *atomic.Int32, c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	response := m.response
	if runs.Add(1) > 1 {
		response = "HTTP/1.1 200 OK\r\nX-Fulmardeal-Attempt-Id: ID\r\nX-Fulmardeal-Response-Stamp: s\r\nContent-Length: 5\r\n\r\nsound"
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", r.Header.Get("X-Fulmardeal-Attempt-Id")))
}

func (m malformed) check(t *testing.T) {
	var runs atomic.Int32
	w := startGateway(t, func(w *testGateway) {
		w.configure(catalogue(2))
		for i := range 2 {
			address := serveConns(t, func(c *net.TCPConn) { m.serve(&runs, c) })
			w.register(fulmardeal.Registration{ID: fmt.Sprintf("i-%d", i), Service: "shop", Address: address, DataCentre: "a", Slots: 8})
		}
	})
	if a := w.call("POST", "/order/", nil); a.status != http.StatusBadGateway || runs.Load() != 1 {
		t.Errorf("order: status %d, %q after %d runs; want 502 after 1", a.status, a.body, runs.Load())
	}
	runs.Store(0)
	time.Sleep(10 * time.Millisecond)
	if a := w.call("GET", "/read/", nil); a.status != http.StatusOK || a.body != "sound" || runs.Load() != 2 {
		t.Errorf("read: status %d, %q after %d runs; want the second attempt's answer", a.status, a.body, runs.Load())
	}
}

// A response whose status or fields are malformed reached callers as an answer, or counted as a
// guarantee that the request has not run.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const metadata = "X-Fulmardeal-Attempt-Id: ID\r\nX-Fulmardeal-Response-Stamp: s\r\n"
	const sound = "HTTP/1.1 200 OK\r\n" + metadata + "Content-Length: 5\r\n\r\nfirst"
	script.Run(t, "../../link/framing/testdata/malformed.txt", func(fields []string) error {
		text, err := strconv.Unquote(fields[1])
		for i, response := range map[string][]string{
			"status":  {"HTTP/1.1 " + text + " OK\r\n" + metadata + "Content-Length: 0\r\n\r\n", "HTTP/1.1 " + text + " OK\r\nContent-Length: 0\r\n\r\n" + sound},
			"line":    {"HTTP/1.1 200 OK\r\n" + text + "\r\n" + metadata + "Content-Length: 5\r\n\r\nfirst", "HTTP/1.1 200 OK\r\n" + metadata + "Content-Length: 5\r\n" + text + "\r\n\r\nfirst", "HTTP/1.1 503 No\r\n" + metadata + "X-Fulmardeal-Not-Run: 1\r\nContent-Length: 5\r\n" + text + "\r\n\r\nfirst"},
			"trailer": {"HTTP/1.1 200 OK\r\n" + metadata + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n" + text + "\r\n\r\n"},
		}[fields[0]] {
			t.Run(fmt.Sprint(fields, i), func(t *testing.T) {
				t.Parallel()
				malformed{response}.check(t)
			})
		}
		return err
	})
}
