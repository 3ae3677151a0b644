package gateway_test

import (
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
)

// unframedEndpoint is an endpoint whose responses have neither a length nor chunks. It crashes
// within a response if no other endpoint has.
type unframedEndpoint struct {
	crashed *atomic.Bool // shared by all endpoints of a test
	server  *http.Server
}

func startUnframed(t *testing.T, w *testGateway, id string, crashed *atomic.Bool) {
	t.Helper()
	l, err := net.Listen("tcp", newHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	e := &unframedEndpoint{crashed: crashed}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }() // returns when the server is closed
	t.Cleanup(func() { e.server.Close() })
	r := fulmardeal.Registration{ID: id, Service: "shop", Address: l.Addr().String(), DataCentre: "a", Slots: 8}
	w.store.put("registrations", fulmardeal.Change{Key: r.ID, Registration: &r})
}

// ServeHTTP answers with six events, of which a crash leaves three, or with a text.
func (e *unframedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	kind := "text/plain"
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		kind = "text/event-stream"
	}
	answerHead(w, r, kind)
	w.Header().Set("Transfer-Encoding", "identity")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= crashEvents; i++ {
		fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		if i == crashEvents/2 && e.crashed.CompareAndSwap(false, true) {
			time.Sleep(crashAfterHeader)
			e.server.Close()
			return
		}
	}
}

// A response that a crash cuts off between two events must not look complete, though its
// connection ends in order.
func TestCrashBetweenEventsIsNoEnd(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		resumable, other   bool // the route is resumable; there is another endpoint
		want               string
	}{
		{"alone", "POST", "/stream/", true, false, "cut"},
		{"resumed", "POST", "/stream/", true, true, "whole"},
		{"not resumable", "POST", "/stream/", false, true, "cut"},
		{"plain", "GET", "/read/", false, true, "whole"},
		{"order", "POST", "/order/", false, true, "refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := startGateway(t, func(w *testGateway) {
				config := catalogue(2)
				config.Routes[2].Resumable = c.resumable
				w.configure(config)
			})
			var crashed atomic.Bool
			startUnframed(t, w, "i-1", &crashed)
			if c.other {
				startUnframed(t, w, "i-2", &crashed)
			}
			waitFor(t, "the endpoints are listed", func() bool { return w.store.applied("registrations") })
			time.Sleep(100 * time.Millisecond)
			a := w.call(c.method, c.path, nil)
			got := "cut"
			switch {
			case a.err == nil && a.status == http.StatusOK && strings.Count(a.body, "data: ") == crashEvents:
				got = "whole"
			case a.err == nil && a.status == http.StatusOK:
				got = "short"
			case a.err == nil:
				got = "refused"
			}
			if got != c.want {
				t.Errorf("response is %s, want %s: status %d, error %v, %q", got, c.want, a.status, a.err, a.body)
			}
		})
	}
	t.Run("sound", func(t *testing.T) {
		w := startGateway(t, func(*testGateway) {})
		var crashed atomic.Bool
		crashed.Store(true) // none crashes
		startUnframed(t, w, "i-1", &crashed)
		waitFor(t, "a stream is served", func() bool {
			a := w.call("POST", "/stream/", nil)
			return a.err == nil && a.status == http.StatusOK && strings.Count(a.body, "data: ") == crashEvents
		})
	})
}
