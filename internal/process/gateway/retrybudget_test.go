package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The retries of entries that start one after the other don't add up to more than all of them
// may make: the first has the whole budget only as long as it is alone.
func TestEntriesThatStartLaterExceedRetryBudget(t *testing.T) {
	t.Parallel()
	const entries, extra, requests = 4, 40, 40
	store := newMemStore()
	var arrived, failing atomic.Int64
	var sites []*testGateway
	for i := range entries {
		w := launchGateway(t, fmt.Sprintf("front-%d", i+1), store, func(w *testGateway) {
			w.bounds.RetryRatio, w.bounds.RetryExtra = 0, extra
			if i > 0 {
				return
			}
			w.configure(catalogue(1))
			for k := range 2 {
				w.endpoint(fmt.Sprintf("i-%d", k), "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
					if failing.Load() == 0 {
						fmt.Fprint(rw, "ok")
						return
					}
					arrived.Add(1)
					hangUp(rw, r)
				})
			}
		})
		sites = append(sites, w)
		if a := w.call("GET", "/read/", nil); a.status != http.StatusOK {
			t.Fatalf("entry %d: status %d", i+1, a.status)
		}
	}
	time.Sleep(2 * time.Second) // until all know each other
	failing.Store(1)
	var calls sync.WaitGroup
	for _, w := range sites {
		calls.Go(func() {
			for range requests {
				w.call("GET", "/read/", nil)
			}
		})
	}
	calls.Wait()
	if n := arrived.Load() - entries*requests; n > extra {
		t.Errorf("%d retries of %d requests, want at most %d", n, entries*requests, extra)
	}
}
