package main

import (
	"fmt"
	"sync"
	"time"

	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// Times of the case.
const (
	revokeBound = 5 * time.Second        // revokeMs
	drillAfter  = 6 * time.Second        // from the acknowledgement to the drill
	copyAge     = 8 * time.Second        // how old the copy is
	awayTime    = 300 * time.Millisecond // how long the store is away
	writtenLag  = 2 * time.Second        // from the store's return until the operator has written again
	drillRest   = 6 * time.Second
)

// playDrill takes a key away, and lets the store come back from an older copy some seconds
// later, while a machine is added.
func playDrill(l *lab) ([]string, error) {
	l.basicConfig()
	var mu sync.Mutex
	ran := make(map[string]time.Time)
	serve := func(e *exchange) bool {
		_ = e.body()
		mu.Lock()
		ran[e.attempt] = time.Now()
		mu.Unlock()
		l.note("server %s runs %s for tenant %s", e.server.registration.ID, e.attempt, e.request.Header.Get("X-Fulmardeal-Tenant"))
		time.Sleep(20 * time.Millisecond)
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
	time.Sleep(copyAge) // the copy holds the first configuration, the servers and the entries

	l.mu.Lock()
	l.config.Customers[1].Keys = nil
	l.mu.Unlock()
	l.apply()
	acknowledged := time.Now()
	l.note("the configuration without key k2 is acknowledged")

	sent := make(map[string]time.Time)
	count := 0
	try := func(p *process) {
		count++
		id := fmt.Sprintf("k2-%03d", count)
		c := client{address: p.settings.CallerAddress}
		defer c.close()
		at := time.Now()
		r := c.call(message("POST", "/order/a", id, "k2", []byte("card")))
		sent[id] = at
		l.note("%s with key k2 to %s, %.3f s after the acknowledgement: status %d, %v", id, p.settings.Name, at.Sub(acknowledged).Seconds(), r.status, r.err)
	}
	time.Sleep(drillAfter)
	for _, p := range entries {
		try(p)
	}
	if trouble() {
		l.note("the store goes away")
		l.store.SetMode(site.ModeDown)
		time.Sleep(awayTime)
		l.store.Restore(copyAge)
		l.store.SetMode(site.ModeHealthy)
		l.note("the store is back from a copy that is %v old, in era %d", copyAge, l.store.Era())
		time.AfterFunc(writtenLag, func() {
			l.mu.Lock()
			r, err := platform.ConfigRecord(&l.config)
			l.mu.Unlock()
			if err != nil {
				panic(err) // the same configuration as before
			}
			l.store.Append(string(platform.TopicOperator), []platform.Record{r})
			l.note("the operator has written the configuration again")
		})
	}
	added, err := l.startEntry(13, "lahore-a", nil)
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(drillRest)
	for time.Now().Before(end) {
		for _, p := range append(entries[:len(entries):len(entries)], added) {
			if p.ready() {
				try(p)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	var broken []string
	mu.Lock()
	defer mu.Unlock()
	for id, at := range sent {
		if _, is := ran[id]; is && at.Sub(acknowledged) > revokeBound {
			broken = append(broken, fmt.Sprintf("CONFIG: %s, sent %.3f s after the configuration that took its key away was acknowledged, ran", id, at.Sub(acknowledged).Seconds()))
		}
	}
	return broken, nil
}
