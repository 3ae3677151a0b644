package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"fulmardeal"
)

// One entry stores that keys are required, for those that start after the customers are gone.
func TestKeysRequiredIsStoredOnce(t *testing.T) {
	store := newMemStore()
	stored := func() (n int) {
		store.mu.Lock()
		defer store.mu.Unlock()
		for _, c := range store.records["entries"] {
			if c.Keyed {
				n++
			}
		}
		return n
	}
	launchGateway(t, "front-1", store, func(w *testGateway) { w.configure(catalogue(1)) })
	for end := time.Now().Add(10 * time.Second); stored() == 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	launchGateway(t, "front-2", store, func(*testGateway) {})
	time.Sleep(2 * time.Second)
	if n := stored(); n != 1 {
		t.Errorf("stored %d times", n)
	}
	open := catalogue(2)
	open.Customers = nil
	store.put("operator", fulmardeal.Change{Key: "config", Catalogue: &open})
	added := launchGateway(t, "front-3", store, func(*testGateway) {})
	if status := added.call("POST", "/order/1", nil).status; status != http.StatusUnauthorized {
		t.Errorf("the added entry answers %d to a key that was taken away", status)
	}
}

// A request of a route whose services have no weight is refused at once, as one that hasn't run:
// long before the route's timeout of 1 s.
func TestRouteWithoutWeightIsRefusedAtOnce(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		c := catalogue(2)
		c.Routes[1].Shares = []fulmardeal.Share{{Service: "shop"}}
		w.configure(c)
		w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	})
	start := time.Now()
	r := w.call("POST", "/order/1", nil)
	if took := time.Since(start); r.status != http.StatusServiceUnavailable || took > 500*time.Millisecond || w.runs(r.id) != 0 {
		t.Errorf("status %d after %v, %d runs", r.status, took, w.runs(r.id))
	}
}
