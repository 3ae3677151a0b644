package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// Times of the case of a runner that leaves.
const (
	leaveRounds   = 3
	leadTime      = 300 * time.Millisecond // from the requests to the report that the runner drains
	leaveLittle   = 200 * time.Millisecond // how much longer than drainMs the runner serves
	answersEnd    = 3500 * time.Millisecond
	clientPatient = 6 * time.Second
)

// leaveRoutes are the routes of the case, with the methods of their requests.
var leaveRoutes = []struct {
	prefix, method string
	kind           fulmardeal.Kind
}{
	{"/record/", http.MethodPost, fulmardeal.KindAtMostOnce},
	{"/lookup/", http.MethodGet, fulmardeal.KindIdempotent},
	{streamPrefix, http.MethodPost, fulmardeal.KindStream},
}

func leaveCatalogue() *fulmardeal.Catalogue {
	c := &fulmardeal.Catalogue{
		Version:  1,
		Services: []fulmardeal.Service{{Name: plain, Connections: 52}},
		Limits:   fulmardeal.Limits{Header: 16 << 10, Body: 1 << 20, HeaderTimeout: 5 * time.Second, Idle: 15 * time.Second},
	}
	for _, r := range leaveRoutes {
		c.Routes = append(c.Routes, fulmardeal.Route{
			Name: strings.Trim(r.prefix, "/"), Host: hostName, Prefix: r.prefix, Kind: r.kind, Timeout: clientPatient, Objective: time.Second,
			Priority: 1, Shares: []fulmardeal.Share{{Service: plain, Weight: 1}}, Attempts: 2,
		})
	}
	return c
}

// playLeave replaces a runner by another one, several times, while it answers requests. Each
// runner reports that it drains, serves for drainMs and a little longer, and exits. With no
// trouble it exits when its answers have ended.
func playLeave(t *trial) (broken int, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store, err := t.startStore()
	if err != nil {
		return 0, err
	}
	if err := t.configure(leaveCatalogue()); err != nil {
		return 0, err
	}
	old, err := t.startRunner(ctx, "i-0")
	if err != nil {
		return 0, err
	}
	if err := t.startEntry(store); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	for round := range leaveRounds {
		var calls sync.WaitGroup
		var mu sync.Mutex
		for _, r := range leaveRoutes {
			calls.Go(func() {
				if t.call(r.method, r.prefix, fmt.Sprintf("%d%s", round, strings.Trim(r.prefix, "/"))) {
					mu.Lock()
					defer mu.Unlock()
					broken++
				}
			})
		}
		time.Sleep(leadTime)
		next, err := t.startRunner(ctx, fmt.Sprintf("i-%d", round+1))
		if err != nil {
			return 0, err
		}
		if err := old.drain(); err != nil {
			return 0, err
		}
		t.log("the store has accepted that runner %s drains", old.registration.ID)
		if t.trouble {
			time.Sleep(drainTime + leaveLittle)
		} else {
			time.Sleep(answersEnd)
		}
		if err := old.exit(); err != nil {
			return 0, err
		}
		calls.Wait()
		old = next
	}
	return broken, nil
}

// call sends a request as a client does, and reports whether the answer breaks the rule: a
// success that looks complete, with a body that isn't the runner's whole body.
func (t *trial) call(method, prefix, attempt string) bool {
	path := prefix + "1/"
	ctx, cancel := context.WithTimeout(context.Background(), clientPatient)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.callers+path, nil)
	if err != nil {
		t.log("request %s: %v", attempt, err)
		return false
	}
	req.Host = hostName
	platform.PeerCodec{}.SetRequestMetadata(req.Header, fulmardeal.RequestMetadata{AttemptID: attempt, Deadline: clientPatient})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	t.log("client sends %s %s as %s", method, path, attempt)
	resp, err := client.Do(req)
	if err != nil {
		t.log("client gets no answer to %s: %v", attempt, err)
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	whole := wholeBody(path, attempt)
	t.log("client gets %d, stamp %q, length %d, %d of %d bytes of the body for %s, end of the answer: %v", resp.StatusCode, platform.PeerCodec{}.Signature(resp.Header),
		resp.ContentLength, len(body), len(whole), attempt, err)
	if err != nil || resp.StatusCode/100 != 2 || bytes.Equal(body, whole) {
		return false
	}
	t.log("BROKEN: %s looks complete and isn't", attempt)
	return true
}
