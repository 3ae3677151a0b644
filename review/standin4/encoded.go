package main

import (
	"fmt"
	"sync"
	"time"
)

// playEncodedBody lets half of the servers of a service answer one request in forty with a body
// that has an encoding.
func playEncodedBody(l *lab) ([]string, error) {
	l.basicConfig()
	var mu sync.Mutex
	count := 0
	spoils := func(e *exchange) bool {
		mu.Lock()
		defer mu.Unlock()
		if !trouble() || e.server.registration.DataCentre != "lahore-a" {
			return false
		}
		count++
		return count%40 == 0
	}
	serve := func(e *exchange) bool {
		_ = e.body()
		body := "catalogue of " + e.attempt
		if spoils(e) {
			l.note("server %s answers %s with an encoded body", e.server.registration.ID, e.attempt)
			wrong := "\x1f\x8b\x08\x00 not the catalogue"
			e.write(e.head(200, fmt.Sprintf("Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", len(wrong))) + wrong)
			return true
		}
		e.answer(body)
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
	var broken []string
	var clients sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	for n := range 6 {
		clients.Go(func() {
			c := client{address: entries[n%3].settings.CallerAddress}
			defer c.close()
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("r%d-%04d", n, k)
				r := c.call(message("GET", "/read/a", id, "k1", nil))
				if r.err != nil || r.status != 200 || string(r.body) != "catalogue of "+id {
					l.note("%s GET /read/a: status %d, encoding %q, %d bytes, %v", id, r.status, r.header.Get("Content-Encoding"), len(r.body), r.err)
				}
				if r.err == nil && r.status == 200 && r.header.Get("Content-Encoding") != "" {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("MIXED: %s got a success with Content-Encoding: %s", id, r.header.Get("Content-Encoding")))
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return broken, nil
}
