package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times and numbers of the case.
const (
	streamEvents  = 20
	streamPause   = 150 * time.Millisecond // between two events
	streamCallers = 48
	streamRunners = 8               // of which spotRounds leave, one after the other: at most a sixth of those there at a time
	spotNotice    = 2 * time.Second // from the notice until the runner is gone, as the kind of disruption says
	spotRounds    = 3
)

// unframedCase streams answers without a length or chunks, as the pages allow, while runners
// that have given notice are gone two seconds later. A stream must not end as complete before
// its last event.
func unframedCase(d *deployment) bool {
	d.configure()
	entries := []string{}
	var engines []*runner
	for i := range streamRunners {
		r := d.startRunner(fmt.Sprintf("i-%d", i+1), serviceModel, true, "--unframed", "--events", fmt.Sprint(streamEvents), "--pause", streamPause.String())
		d.startLoader(r)
		engines = append(engines, r)
	}
	for i := range 2 {
		entries = append(entries, d.startGateway(fmt.Sprintf("front-%d", i+1)))
	}
	time.Sleep(3 * time.Second)
	var broken, whole, cut, refused atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	fewest, most := streamEvents, 0 // events of streams that ended too early
	var callers sync.WaitGroup
	for i := range streamCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				attempt := fmt.Sprintf("a-%d-%d", i, n)
				status, body, err := d.stream(entries[(i+n)%len(entries)], attempt)
				events := strings.Count(body, "\ndata: ")
				switch {
				case status == http.StatusOK && err == nil && events < streamEvents:
					broken.Add(1)
					mu.Lock()
					fewest, most = min(fewest, events), max(most, events)
					mu.Unlock()
					d.note("%s: answered 200, ended as complete after %d of %d events", attempt, events, streamEvents)
				case status == http.StatusOK && err == nil:
					whole.Add(1)
				case status == http.StatusOK:
					cut.Add(1)
					d.note("%s: answered 200, broken off after %d of %d events: %v", attempt, events, streamEvents, err)
				default:
					refused.Add(1)
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	for i := range spotRounds {
		if d.trouble {
			d.drain(engines[i])
		}
		time.Sleep(spotNotice)
		if d.trouble {
			d.kill(engines[i])
		}
		time.Sleep(3 * time.Second)
	}
	stop()
	callers.Wait()
	d.note("streams: %d whole, %d broken off, %d refused or failed, %d ended as complete before their last event", whole.Load(), cut.Load(), refused.Load(), broken.Load())
	if broken.Load() > 0 {
		d.note("these had %d to %d of %d events", fewest, most, streamEvents)
	}
	if whole.Load() == 0 {
		fail("no stream was served")
	}
	return broken.Load() > 0
}

// stream sends one request for a stream and reads the answer.
func (d *deployment) stream(entry, attempt string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	r := newRequest(ctx, http.MethodPost, entry, "/verse/2f", attempt, 6*time.Second, strings.NewReader("verse "+attempt))
	r.Header.Set("X-Fulmardeal-Model", modelName)
	r.Header.Set("X-Fulmardeal-Token-Counts", "100,100")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
