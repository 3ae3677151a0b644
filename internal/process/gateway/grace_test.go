package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// At the end of the grace period, requests that are still in progress get an answer as
// at their deadline, and only a response that has begun is broken off.
func TestRequestsAtEndOfGracePeriodAreAnswered(t *testing.T) {
	t.Parallel()
	const grace = 5 * time.Second
	released := make(chan struct{})
	w := startGateway(t, func(w *testGateway) {
		w.bounds.Grace = grace
		c := catalogue(2)
		for i := range c.Routes {
			c.Routes[i].Timeout, c.Routes[i].Objective, c.Routes[i].Pause = time.Minute, time.Minute, time.Minute
		}
		w.configure(c)
		silent := func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			if strings.HasPrefix(r.RequestURI, "/stream/") {
				fmt.Fprint(rw, "id: 1\ndata: e1\n\n")
				_ = http.NewResponseController(rw).Flush()
			}
			select {
			case <-r.Context().Done():
			case <-released:
			}
		}
		w.endpoint("i-1", "shop", "a", silent)
	})
	defer close(released)
	var calls sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string][]string)
	call := func(method, path string) {
		calls.Go(func() {
			a := w.call(method, path, func(r *http.Request) { r.Header.Set("X-Fulmardeal-Deadline-Ms", "60000") })
			result := fmt.Sprintf("status %d, %d runs", a.status, w.runs(a.id))
			if a.err != nil {
				result += ", broken off"
			}
			mu.Lock()
			defer mu.Unlock()
			results[path] = append(results[path], result)
		})
	}
	call("POST", "/order/")
	call("POST", "/stream/")
	for range 2 {
		call("GET", "/read/")
	}
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	w.stop()
	calls.Wait()
	if took := time.Since(start); took < grace*5/6 || took > grace {
		t.Errorf("requests ended after %v of a grace period of %v", took, grace)
	}
	for path, want := range map[string]string{
		"/order/":  "status 504, 1 runs",
		"/stream/": "status 200, 1 runs, broken off",
		"/read/":   "status 504, 1 runs",
	} {
		for _, got := range results[path] {
			if got != want {
				t.Errorf("%s: %s, want %s", path, got, want)
			}
		}
	}
	if err := <-w.done; err != nil || time.Since(start) > grace {
		t.Errorf("stopped after %v: %v", time.Since(start), err)
	}
}

// An entry with a short grace period stops before its end.
func TestShortGracePeriodIsKept(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	w := startGateway(t, func(w *testGateway) {
		w.bounds.Grace = grace
		w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, "ok") })
	})
	start := time.Now()
	w.stop()
	if err := <-w.done; err != nil || time.Since(start) > grace {
		t.Errorf("stopped after %v: %v", time.Since(start), err)
	}
}
