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
	launchGateway(t, "front-1", store, func(w *testGateway) { w.configure(catalogue(1)) })
	launchGateway(t, "front-2", store, func(*testGateway) {})
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
