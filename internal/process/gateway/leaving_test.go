package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/script"
)

// leavingEndpoint is an endpoint whose responses have neither a length nor chunks. Within the
// first of them it says that it leaves.
type leavingEndpoint struct {
	t      *testing.T
	w      *testGateway
	id     string
	then   string // what it does then
	server *http.Server
	told   atomic.Bool
	held   chan struct{} // ends the requests that it holds
}

func startLeaving(t *testing.T, w *testGateway, id, then string) *leavingEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", newHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	e := &leavingEndpoint{t: t, w: w, id: id, then: then, held: make(chan struct{})}
	e.server = &http.Server{Handler: e, Addr: l.Addr().String()}
	go func() { _ = e.server.Serve(l) }() // returns when the server is closed
	t.Cleanup(func() { e.server.Close() })
	e.register(false)
	return e
}

func (e *leavingEndpoint) register(draining bool) {
	e.w.store.put("registrations", fulmardeal.Change{Key: e.id, Registration: &fulmardeal.Registration{
		ID: e.id, Service: "shop", Address: e.server.Addr, DataCentre: "a", Slots: 8, Draining: draining,
	}})
}

func (e *leavingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	if strings.HasPrefix(r.URL.Path, "/read/hold") {
		answerHead(w, r, "text/plain")
		<-e.held
		return
	}
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
		if i == crashEvents/2 && e.then != "" && !e.told.Swap(true) && !e.leave() {
			return
		}
	}
}

// leave tells that the endpoint leaves, and reports whether it goes on with its response.
func (e *leavingEndpoint) leave() bool {
	e.register(true)
	waitFor(e.t, "the entry knows that the endpoint leaves", func() bool { return e.w.store.applied("registrations") })
	time.Sleep(50 * time.Millisecond)
	switch e.then {
	case "vanishes":
		e.server.Close()
		return false
	case "closes", "alone": // its listener: the last requests are served
		go func() { _ = e.server.Shutdown(context.Background()) }()
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// An endpoint that had said that it leaves vanished within its answers, which have neither a length
// nor chunks: streams ended as complete, and plain answers got the length of a part.
func TestLeavingEndpointVanishes(t *testing.T) {
	script.Run(t, "testdata/leaving.txt", func(f []string) error {
		if len(f) != 4 {
			return fmt.Errorf("%d fields, want 4", len(f))
		}
		path, then, other, want := f[0], f[1], f[2] == "two", f[3]
		t.Run(strings.Join(f, " "), func(t *testing.T) {
			t.Parallel()
			w := startGateway(t, func(*testGateway) {})
			e := startLeaving(t, w, "i-1", then)
			waitFor(t, "the endpoint is listed", func() bool { return w.store.applied("registrations") })
			time.Sleep(100 * time.Millisecond)
			var held sync.WaitGroup
			if then == "closes" { // another of its requests is in progress
				held.Go(func() { w.call("GET", "/read/hold", nil) })
				time.Sleep(100 * time.Millisecond)
			}
			var first callResult
			done := make(chan struct{})
			go func() {
				first = w.call("POST", path, nil)
				close(done)
			}()
			if other {
				time.Sleep(20 * time.Millisecond) // the request is at the first endpoint
				startLeaving(t, w, "i-2", "")
			}
			<-done
			close(e.held)
			held.Wait()
			got := "broken"
			switch {
			case first.err == nil && first.status == http.StatusOK && strings.Count(first.body, "data: ") == crashEvents:
				got = "whole"
			case first.err == nil && first.status == http.StatusOK:
				got = "short"
			case first.err == nil:
				got = strconv.Itoa(first.status)
			}
			if got != want {
				t.Errorf("%s, want %s: status %d, %v, %q", got, want, first.status, first.err, first.body)
			}
		})
		return nil
	})
}
