package gateway_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
)

const (
	deafSlots    = 4
	deafWork     = 1500 * time.Millisecond
	deafLoad     = 4 * time.Second
	leaveAfter   = 50 * time.Millisecond
	deafInterval = 40 * time.Millisecond // between two callers of either kind
)

// An endpoint may work on to the end of a request that was withdrawn. The entry counts its
// slot as free at once, and callers that stay are served all the same: by another endpoint
// if this one refuses what it has no slot for, or keeps it waiting. Only an order that it
// keeps waiting can't be sent to another one.
func TestEndpointThatWorksOnForCallersThatLeft(t *testing.T) {
	t.Parallel()
	for _, refuses := range []bool{true, false} {
		for _, path := range []string{"/read/", "/order/"} {
			name := "waits"
			if refuses {
				name = "refuses"
			}
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				testDeafEndpoint(t, path, refuses)
			})
		}
	}
}

func testDeafEndpoint(t *testing.T, path string, refuses bool) {
	slots := make(chan struct{}, deafSlots)
	var refused, worked atomic.Int32
	w := startGateway(t, func(w *testGateway) {
		c := catalogue(2)
		for i := range c.Routes {
			c.Routes[i].Timeout = 10 * time.Second
		}
		w.configure(c)
		address := w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			if refuses {
				select {
				case slots <- struct{}{}:
				default:
					refused.Add(1)
					rw.Header().Set("X-Fulmardeal-Not-Run", "1")
					rw.WriteHeader(http.StatusServiceUnavailable)
					return
				}
			} else {
				slots <- struct{}{}
			}
			defer func() { <-slots }()
			if r.Header.Get("X-Leaves") != "" {
				time.Sleep(deafWork) // whatever becomes of the caller
				worked.Add(1)
			}
			_, _ = io.WriteString(rw, "ok")
		})
		w.register(fulmardeal.Registration{ID: "i-1", Service: "shop", Address: address, DataCentre: "a", Slots: deafSlots, Sequence: 2})
		w.endpoint("i-2", "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			if r.Header.Get("X-Leaves") != "" {
				<-r.Context().Done()
				return
			}
			_, _ = io.WriteString(rw, "ok")
		})
	})
	var calls sync.WaitGroup
	var served, late, failed atomic.Int32
	for end := time.Now().Add(deafLoad); time.Now().Before(end); time.Sleep(deafInterval) {
		calls.Go(func() {
			w.call("POST", path, func(r *http.Request) {
				ctx, cancel := context.WithTimeout(r.Context(), leaveAfter)
				t.Cleanup(cancel)
				r.Header.Set("X-Leaves", "1")
				*r = *r.WithContext(ctx)
			})
		})
		calls.Go(func() {
			start := time.Now()
			a := w.call("POST", path, func(r *http.Request) { r.Header.Set("X-Fulmardeal-Deadline-Ms", "10000") })
			switch {
			case a.status != http.StatusOK:
				failed.Add(1)
			case time.Since(start) > time.Second:
				late.Add(1)
			default:
				served.Add(1)
			}
		})
	}
	calls.Wait()
	t.Logf("%d served, %d later than 1 s, %d not; the endpoint refused %d and worked on for %d", served.Load(), late.Load(), failed.Load(), refused.Load(), worked.Load())
	if n := failed.Load(); n > 0 {
		t.Errorf("%d callers not served", n)
	}
	if n := late.Load(); n > 0 && (refuses || path != "/order/") {
		t.Errorf("%d callers served later than 1 s", n)
	}
}
