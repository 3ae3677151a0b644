package main

import (
	"fmt"
	"sync"
	"time"

	"fulmardeal/platform"
)

// playNoTenants takes the last keys away: the operator writes a configuration whose list of
// tenants is empty. Without trouble, the tenants stay and have no keys.
func playNoTenants(l *lab) ([]string, error) {
	l.basicConfig()
	var mu sync.Mutex
	ran := make(map[string]bool)
	serve := func(e *exchange) bool {
		_ = e.body()
		mu.Lock()
		ran[e.attempt] = true
		mu.Unlock()
		l.note("server %s runs %s for tenant %q", e.server.registration.ID, e.attempt, e.request.Header.Get("X-Fulmardeal-Tenant"))
		e.answer(e.attempt)
		return true
	}
	if err := l.startServers(serve, nil); err != nil {
		return nil, err
	}
	var entries []*process
	for i, zone := range []string{"lahore-a", "karachi-a", "peshawar-a"} {
		p, err := l.startEntry(10+i, zone, nil)
		if err != nil {
			return nil, err
		}
		entries = append(entries, p)
	}
	for _, p := range entries {
		if err := p.awaitReady(); err != nil {
			return nil, err
		}
	}
	count := 0
	try := func(name, key string) (ids []string) {
		for _, p := range entries {
			count++
			id := fmt.Sprintf("%s-%02d", name, count)
			c := client{address: p.settings.CallerAddress}
			r := c.call(message("POST", "/order/a", id, key, []byte("card")))
			c.close()
			l.note("%s to %s: status %d, %v", id, p.settings.Name, r.status, r.err)
			ids = append(ids, id)
		}
		return ids
	}
	try("before-k1", "k1")
	try("before-stranger", "never-held")
	time.Sleep(contactTime)
	l.mu.Lock()
	if trouble() {
		l.config.Customers = nil
	} else {
		for i := range l.config.Customers {
			l.config.Customers[i].Keys = nil
		}
	}
	l.config.Version += 3
	r, err := platform.ConfigRecord(&l.config)
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if trouble() { // the encoder leaves an empty list out
		r.Value = append(r.Value[:len(r.Value)-1], `,"tenants":[]}`...)
	}
	l.store.Append(string(platform.TopicOperator), []platform.Record{r})
	acknowledged := time.Now()
	l.note("acknowledged: a configuration without keys, %d bytes, trouble %v", len(r.Value), trouble())
	time.Sleep(revokeBound + time.Second)
	revoked, strangers := try("revoked-k1", "k1"), try("stranger", "never-held")
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for _, id := range revoked {
		if ran[id] {
			broken = append(broken, fmt.Sprintf("CONFIG: %s, with a key that was taken away %.1f s before, ran", id, time.Since(acknowledged).Seconds()))
		}
	}
	for _, id := range strangers {
		if ran[id] {
			broken = append(broken, fmt.Sprintf("ROUTE: %s, with a key that no configuration ever held, ran", id))
		}
	}
	return broken, nil
}
