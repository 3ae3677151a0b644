package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// crashingPrompts is what prompts come in a case with a part that crashes servers.
type crashingPrompts struct {
	events     int           // that a server writes before the part crashes it
	clients    int           // that send sound requests
	pause      time.Duration // between two sound requests of a client
	calm       time.Duration // before the first request with the crashing part
	crashPause time.Duration // between two requests with the part
	shared     int           // parts, beside the first one, that all requests have in common
	adoption   time.Duration // from the first request with the crashing part until sound ones have its template; 0 if they had it before
}

// prefix lists the parts of a prompt: the first, the shared ones of a template, another one, and
// the request's own.
func (c crashingPrompts) prefix(template int, part, own string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "X-Fulmardeal-Prompt-Prefix: %s:40", sharedPart)
	for i := range c.shared {
		fmt.Fprintf(&b, ",%02x%04x:20", 0xa0+template, i)
	}
	fmt.Fprintf(&b, ",%s:100,%s:50", part, own)
	return b.String()
}

// Times and parts of the cases.
const (
	contactTime  = 3 * time.Second // contactMs
	crashesTime  = 25 * time.Second
	crashDown    = 3 * time.Second
	sharedPart   = "5c1e07a2"
	crashingPart = "91bd3f06"
)

// playCrashPart lets servers crash after their second event.
func playCrashPart(l *lab) ([]string, error) {
	return crashingPrompts{events: number("EVENTS", 2), clients: 12, pause: 50 * time.Millisecond, calm: 7 * time.Second, crashPause: 300 * time.Millisecond}.play(l)
}

// playLongPrompts lets servers crash before their first event, on prompts with many parts that no
// entry knows yet.
func playLongPrompts(l *lab) ([]string, error) {
	return crashingPrompts{clients: 6, pause: time.Second, calm: 7 * time.Second, crashPause: 300 * time.Millisecond, shared: number("PARTS", 60), adoption: 2 * time.Second}.play(l)
}

// number returns the value of a variable of the environment.
func number(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// play sends requests with a part that crashes each server that begins to write an answer on it.
func (c crashingPrompts) play(l *lab) ([]string, error) {
	l.basicConfig()
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	events, template := c.events, 0
	if c.adoption == 0 {
		template = 1
	}
	stream := func(e *exchange) bool {
		_ = e.body()
		if !strings.Contains(e.request.Header.Get("X-Fulmardeal-Prompt-Prefix"), crashingPart) {
			return e.stream(12, 30*time.Millisecond)
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		text := e.head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		first, _ := strconv.Atoi(e.request.Header.Get("Last-Event-Id")) // none counts as 0
		for n := first + 1; n <= first+events; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, e.attempt, n)
			text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		e.write(text)
		time.Sleep(5 * time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		l.note("server %s crashes on %s after %d events", e.server.registration.ID, e.attempt, events)
		e.server.crash(crashDown)
		return false
	}
	plain := func(e *exchange) bool {
		_ = e.body()
		e.answer(e.attempt)
		return true
	}
	zones := []string{"lahore-a", "karachi-a", "peshawar-a"}
	if err := l.startServers(plain, stream); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		if _, err := l.startServer(40+i, "verses", zone, 16, stream); err != nil {
			return nil, err
		}
	}
	var entries []*process
	for i, zone := range zones {
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
	type result struct {
		sent  time.Time
		begun bool
	}
	var sound []result
	over := make(chan struct{})
	var clients sync.WaitGroup
	for n := range c.clients {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-over:
					return
				case <-time.After(c.pause/2 + rand.N(c.pause)):
				}
				caller := client{address: entries[n%3].settings.CallerAddress}
				id := fmt.Sprintf("s%02d-%04d", n, k)
				mu.Lock()
				prefix := c.prefix(template, fmt.Sprintf("7e%02d", k%20), fmt.Sprintf("%02d%06d", n, k))
				mu.Unlock()
				sent := time.Now()
				r := caller.call(message("POST", "/verse/a", id, "k1", []byte("card"), "X-Fulmardeal-Model: daka", "X-Fulmardeal-Token-Counts: 1460,80", prefix))
				caller.close()
				begun := r.status == 200 && bytes.Contains(r.body, []byte("id: "))
				l.note("%s: status %d, begun %v, %v", id, r.status, begun, r.err)
				mu.Lock()
				sound = append(sound, result{sent, begun})
				mu.Unlock()
			}
		})
	}
	calm := time.Now()
	time.Sleep(c.calm)
	begin := time.Now()
	adopt := time.AfterFunc(c.adoption, func() {
		mu.Lock()
		template = 1
		mu.Unlock()
	})
	defer adopt.Stop()
	for k := 0; time.Since(begin) < crashesTime; k++ {
		time.Sleep(c.crashPause)
		if !trouble() {
			continue
		}
		clients.Go(func() {
			caller := client{address: entries[k%3].settings.CallerAddress}
			defer caller.close()
			id := fmt.Sprintf("p-%04d", k)
			r := caller.call(message("POST", "/verse/a", id, "k1", []byte("card"), "X-Fulmardeal-Model: daka", "X-Fulmardeal-Token-Counts: 1460,80",
				c.prefix(1, crashingPart, fmt.Sprintf("ff%06d", k))))
			l.note("%s, with the part that crashes servers: status %d, %d bytes, %v", id, r.status, len(r.body), r.err)
		})
	}
	end := time.Now()
	close(over)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	share := func(from, to time.Time) (begun, all int) {
		for _, r := range sound {
			if r.sent.After(from) && r.sent.Before(to) {
				all++
				if r.begun {
					begun++
				}
			}
		}
		return begun, all
	}
	beforeBegun, before := share(calm, begin)
	l.note("before: %d of %d sound requests began", beforeBegun, before)
	if len(crashes) == 0 {
		begun, all := share(begin, end)
		l.note("after: %d of %d sound requests began, no crash", begun, all)
		return nil, nil
	}
	fifth := crashes[min(4, len(crashes)-1)]
	var broken []string
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 5 && at.Sub(fifth) > contactTime {
			late++
		}
	}
	begun, all := share(fifth.Add(2*contactTime), end)
	l.note("%d crashes; %d requests with the part reached servers later than %v after the fifth; later than %v after it %d of %d sound requests began", len(crashes), late, contactTime, 2*contactTime, begun, all)
	if before >= 20 && all >= 20 && begun*before*2 < beforeBegun*all {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d sound requests began from %v after the fifth crash on, %d of %d before", begun, all, 2*contactTime, beforeBegun, before))
	}
	if late > 3 {
		broken = append(broken, fmt.Sprintf("BUDGET: %d requests with a part that crashes servers reached servers later than %v after the fifth of %d crashes", late, contactTime, len(crashes)))
	}
	return broken, nil
}
