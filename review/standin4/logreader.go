package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Times of the case.
const (
	calmTime   = 5 * time.Second // before the disruption, longer than contactMs
	afterTime  = 6 * time.Second // after it
	restartLag = 300 * time.Millisecond
)

// playLogReader ends the process that reads the log of one entry, which the entry writes to its
// standard output. The platform starts an entry that has ended again, with another reader.
func playLogReader(l *lab) ([]string, error) {
	l.basicConfig()
	var mu sync.Mutex
	passedOn := make(map[string]bool)
	plain := func(e *exchange) bool {
		body := e.body()
		mu.Lock()
		passedOn[e.attempt] = true
		mu.Unlock()
		time.Sleep(150 * time.Millisecond)
		e.answer(fmt.Sprintf("%s %d", e.attempt, len(body)))
		return true
	}
	if err := l.startServers(plain, func(e *exchange) bool {
		_ = e.body()
		mu.Lock()
		passedOn[e.attempt] = true
		mu.Unlock()
		return e.stream(12, 30*time.Millisecond)
	}); err != nil {
		return nil, err
	}
	zones := []string{"lahore-a", "karachi-a", "peshawar-a"}
	readers := make([]*os.File, len(zones))
	entries := make([]*process, len(zones))
	start := func(i int) error {
		read, write, err := os.Pipe()
		if err != nil {
			return err
		}
		defer write.Close()
		p, err := l.startEntry(10+i, zones[i], write)
		if err != nil {
			return err
		}
		go func() { _, _ = io.Copy(io.Discard, read) }() // ends with the entry, or when the reader is closed
		mu.Lock()
		readers[i], entries[i] = read, p
		mu.Unlock()
		return nil
	}
	over := make(chan struct{})
	var platform sync.WaitGroup
	for i := range zones {
		if err := start(i); err != nil {
			return nil, err
		}
		if err := entries[i].awaitReady(); err != nil {
			return nil, err
		}
		platform.Go(func() {
			for {
				mu.Lock()
				p := entries[i]
				mu.Unlock()
				select {
				case <-p.done:
					l.note("%s ended by itself: %v", p.settings.Name, p.err)
				case <-over:
					return
				}
				time.Sleep(restartLag)
				if err := start(i); err != nil {
					l.note("%s not started again: %v", p.settings.Name, err)
					return
				}
			}
		})
	}
	unanswered := make([][]string, len(zones))
	var clients sync.WaitGroup
	for n := range 36 {
		clients.Go(func() {
			i := n % len(zones)
			c := client{address: l.address(10+i, portCallers)}
			defer c.close()
			for k := 0; ; k++ {
				select {
				case <-over:
					return
				default:
				}
				id := fmt.Sprintf("c%02d-%04d", n, k)
				target := []string{"/order/a", "/verse/a", "/read/a"}[k%3]
				sent := time.Since(l.start)
				r := c.call(message("POST", target, id, "k1", []byte("card")))
				mu.Lock()
				reached := passedOn[id]
				if r.err != nil && r.kept && reached {
					unanswered[i] = append(unanswered[i], id)
				}
				mu.Unlock()
				l.note("%s POST %s to %s, sent at %.3f s, kept connection %v, passed on %v: status %d, %v", id, target, zones[i], sent.Seconds(), r.kept, reached, r.status, r.err)
				if r.status == 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(calmTime)
	if trouble() {
		l.note("the reader of the log of %s ends", entries[0].settings.Name)
		mu.Lock()
		_ = readers[0].Close()
		mu.Unlock()
	}
	time.Sleep(afterTime)
	close(over)
	clients.Wait()
	platform.Wait()
	var broken []string
	for i, ids := range unanswered {
		if len(ids) > 3 {
			broken = append(broken, fmt.Sprintf("LOST: the entry of %s passed %d requests from kept connections on to sound servers and closed the connections without a whole answer: %v", zones[i], len(ids), ids))
		}
	}
	return broken, nil
}
