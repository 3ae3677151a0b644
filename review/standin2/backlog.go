package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// Times and numbers of the case.
const (
	regionLinkBytes = 22e6 / 8        // bytes per second between two regions
	idleRoutes      = 350             // routes that a big configuration has more
	stormTime       = 4 * time.Second // two storms of 2 s, one after the other
	stormGap        = 80 * time.Millisecond
	denyTime        = 9 * time.Second        // that the store turns the entry away
	stormDelay      = 500 * time.Millisecond // from then until the configurations come
	revokeAfter     = 25                     // configurations of the storm, before a key is taken away
	revokeBound     = 5 * time.Second        // revokeMs
	revokedKey      = "bvk9m68k7b2ex5wa5xwy"
	keyPause        = 20 * time.Millisecond // between two requests with the key
	keyCallers      = 4
)

// backlogCase takes a key away while the store turns one entry away, among configurations in
// quick succession. No request with the key may run that is sent later than revokeMs after that.
func backlogCase(d *deployment) bool {
	d.configure()
	for i := range 2 {
		d.startRunner(fmt.Sprintf("p-%d", i+1), servicePlain, false, "--pause", "60ms")
	}
	view := d.store.View()
	n := d.newHost()
	l, err := net.Listen("tcp", d.address(n, portStore))
	must(err)
	go http.Serve(l, limitRate(view, regionLinkBytes))
	d.storeAddress = d.address(n, portStore)
	entry := d.startGateway("front-karachi-a-1")
	d.config.Customers = append(d.config.Customers, fulmardeal.Customer{Name: "yexa97", Keys: []string{revokedKey}})
	for i := range idleRoutes {
		d.config.Routes = append(d.config.Routes, fulmardeal.Route{
			Name: fmt.Sprintf("r-idle%04d", i), Host: fmt.Sprintf("idle%d.example", i%7), Prefix: fmt.Sprintf("/idle%04d/pulo%d/", i, i%13), Kind: fulmardeal.KindIdempotent,
			Timeout: 1500 * time.Millisecond, Objective: 300 * time.Millisecond, Priority: 2, Shares: []fulmardeal.Share{{Service: servicePlain, Weight: 1}}, Attempts: 2, Homes: []string{},
		})
	}
	d.nextConfig()
	d.await("the key", func() bool { return d.readWithKey(entry, "first", revokedKey) == http.StatusOK })
	time.Sleep(time.Second)
	var revokedAt atomic.Int64 // acknowledgement, in ns since the start of the case; 0 before
	var late, refused, unconfirmed, before atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range keyCallers {
		callers.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				sent := time.Since(d.began)
				attempt := fmt.Sprintf("k-%d-%d", i, k)
				status := d.readWithKey(entry, attempt, revokedKey)
				at := time.Duration(revokedAt.Load())
				switch {
				case status == http.StatusUnauthorized:
					refused.Add(1)
				case status == http.StatusServiceUnavailable:
					unconfirmed.Add(1)
				case status == http.StatusOK && at > 0 && sent > at+revokeBound:
					late.Add(1)
					d.note("%s: sent %.3f s after its key had been taken away, ran and was answered 200", attempt, (sent - at).Seconds())
				case status == http.StatusOK:
					before.Add(1)
				}
				time.Sleep(keyPause)
			}
		})
	}
	if d.trouble {
		view.SetMode(site.ModeDown)
		d.note("the store turns the entry away with 503")
	}
	time.AfterFunc(denyTime, func() {
		view.SetMode(site.ModeHealthy)
		d.note("the store serves the entry again")
	})
	time.Sleep(stormDelay)
	for i := range int(stormTime / stormGap) {
		if i == revokeAfter {
			d.config.Customers = d.config.Customers[:1]
		}
		d.nextConfig()
		if i == revokeAfter {
			revokedAt.Store(int64(time.Since(d.began)))
			d.note("configuration %d acknowledged: the key is taken away", d.config.Version)
		}
		time.Sleep(stormGap)
	}
	d.note("the last configuration of the storm is %d", d.config.Version)
	time.Sleep(denyTime)
	stop()
	callers.Wait()
	d.note("requests with the key: %d served before the bound, %d refused with 401, %d with 503, %d ran later than the bound", before.Load(), refused.Load(), unconfirmed.Load(), late.Load())
	if before.Load() == 0 || refused.Load() == 0 {
		fail("the key was never accepted or never refused")
	}
	return late.Load() > 0
}

// nextConfig writes the configuration with the next version.
func (d *deployment) nextConfig() {
	d.config.Version += 2
	d.writeOperator(platform.ConfigRecord(&d.config))
}

// readWithKey sends an ordinary request with a key and returns the status, or 0 for none.
func (d *deployment) readWithKey(entry, attempt, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	r := newRequest(ctx, http.MethodGet, entry, "/read/2f", attempt, 1500*time.Millisecond, nil)
	r.Header.Set("Authorization", "Token "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// limitRate limits the bytes per second of all answers together.
func limitRate(h http.Handler, rate float64) http.Handler {
	link := &link{rate: rate}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(&slowWriter{w, link}, r) })
}

// link is what answers share.
type link struct {
	rate float64

	mu   sync.Mutex
	free time.Time // when the bytes so far have passed
}

// slowWriter writes an answer over a link.
type slowWriter struct {
	http.ResponseWriter
	link *link
}

// Write returns when the bytes have passed the link.
func (w *slowWriter) Write(p []byte) (int, error) {
	const piece = 16 << 10
	written := 0
	for written < len(p) {
		n := min(piece, len(p)-written)
		w.link.mu.Lock()
		if now := time.Now(); w.link.free.Before(now) {
			w.link.free = now
		}
		w.link.free = w.link.free.Add(time.Duration(float64(n) / w.link.rate * float64(time.Second)))
		until := w.link.free
		w.link.mu.Unlock()
		time.Sleep(time.Until(until))
		k, err := w.ResponseWriter.Write(p[written : written+n])
		written += k
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
