package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// Times and sizes of the case of a restarted entry, as of the deployment omaere-orders-grown.
const (
	versionBound = 10300 * time.Millisecond // bounds.version_ms
	contactTime  = 4 * time.Second          // bounds.contactMs
	pool         = "fulmar-pool"
	modelName    = "m0"
	engineSlots  = 12
	engineLayers = 4
	engineChunks = 8
	chunkBytes   = 4 << 10
	engines      = 6
	eventTime    = 20 * time.Millisecond
	callInterval = 3 * time.Millisecond
	callRounds   = 4
)

func poolSpec() *fulmardeal.EngineSpec {
	return &fulmardeal.EngineSpec{
		Slots: engineSlots, Memory: 317000, Stride: 5, Step: 9.27, PerSequence: 0.0232, PerContext: 0.0322, ReadRate: 20700,
		Models: []fulmardeal.EngineModel{{Name: modelName, Warm: 300 * time.Millisecond}}, Layers: engineLayers, Chunks: engineChunks, ChunkSize: chunkBytes,
	}
}

func versionCatalogue(origin string) *fulmardeal.Catalogue {
	return &fulmardeal.Catalogue{
		Version: 1,
		Routes: []fulmardeal.Route{{
			Name: "rider-chat", Host: hostName, Prefix: streamPrefix, Kind: fulmardeal.KindStream, Timeout: 6 * time.Second, Objective: 400 * time.Millisecond,
			Pause: 400 * time.Millisecond, Priority: 1, Shares: []fulmardeal.Share{{Service: pool, Weight: 1}}, Attempts: 2, Resumable: true,
		}},
		Services: []fulmardeal.Service{
			{Name: pool, Connections: 448, Engine: poolSpec()},
			{Name: "staff-tools", Connections: 48, Origin: &fulmardeal.OriginSpec{Address: origin, DataCentre: zone, LinkRate: 5.94}},
		},
		Limits: fulmardeal.Limits{Header: 16 << 10, Body: 1 << 20, HeaderTimeout: 5 * time.Second, Idle: 15 * time.Second},
	}
}

// runs collects the requests that runners begin.
type runs struct {
	trial *trial

	mu     sync.Mutex
	arrive map[string]time.Time // by attempt: when it reached the runner
	begun  []site.ReceivedRequest
}

func (r *runs) RequestReceived(a site.ReceivedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrive[a.Attempt] = a.Time
}

func (r *runs) RequestStarted(a site.ReceivedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun = append(r.begun, a)
}

func (r *runs) RequestEnded(site.ReceivedRequest)                    {}
func (r *runs) NoticeSent(site.ReceivedRequest, bool, time.Duration) {}
func (r *runs) LimitSent(site.ReceivedRequest, float64)              {}

// playVersion names new weights while the origin is away, and stops and starts the entry later
// than the older version may be used. With no trouble the origin is there.
func playVersion(t *trial) (broken int, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t.versionBound = versionBound
	store, err := t.startStore()
	if err != nil {
		return 0, err
	}
	origin, err := freeAddress()
	if err != nil {
		return 0, err
	}
	weights := site.NewOrigin(engineChunks, chunkBytes)
	if !t.trouble {
		if err := t.serve(origin, weights.Handler()); err != nil {
			return 0, err
		}
	}
	if err := t.configure(versionCatalogue(origin)); err != nil {
		return 0, err
	}
	seen := &runs{trial: t, arrive: make(map[string]time.Time)}
	for i := range engines {
		if err := t.startEngine(ctx, i, store, weights, seen); err != nil {
			return 0, err
		}
	}
	if err := t.startEntry(store); err != nil {
		return 0, err
	}
	calls := t.startCalls(ctx, seen)
	time.Sleep(2 * time.Second)
	record, err := platform.PublicationRecord(fulmardeal.Publication{Model: modelName, Version: 2})
	if err != nil {
		return 0, err
	}
	t.store.Append(string(platform.TopicOperator), []platform.Record{record})
	named := time.Now()
	t.log("version 2 named and acknowledged")
	time.Sleep(versionBound)
	var starts []time.Time
	for range callRounds {
		started, err := t.restartEntry(store)
		if err != nil {
			return 0, err
		}
		starts = append(starts, started)
		time.Sleep(contactTime + 2*time.Second)
	}
	cancel()
	calls.Wait()
	return seen.judge(named, starts), nil
}

// judge counts the requests that reached a runner, and began there on version 1, later than
// versionBound after version 2 was named, from an entry that had been running for contactTime.
func (r *runs) judge(named time.Time, starts []time.Time) (broken int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	late, newer := 0, 0
	for _, a := range r.begun {
		if a.Version > 1 {
			newer++
			continue
		}
		if a.Time.Sub(named) <= versionBound {
			continue
		}
		late++
		arrived := r.arrive[a.Attempt]
		var start time.Time
		for _, s := range starts {
			if s.Before(arrived) {
				start = s
			}
		}
		if start.IsZero() || arrived.Sub(start) < contactTime {
			continue
		}
		broken++
		r.trial.log("BROKEN: %s reached %s %.3f s after the start of the entry, and began on version 1 %.3f s after version 2 was acknowledged",
			a.Attempt, a.Endpoint.ID, arrived.Sub(start).Seconds(), a.Time.Sub(named).Seconds())
	}
	r.trial.log("%d requests began, %d on version 2, %d on version 1 later than version_ms, of these %d from an entry in touch", len(r.begun), newer, late, broken)
	return broken
}

// startEngine starts a runner of the pool with its agent, and registers it with a heartbeat.
func (t *trial) startEngine(ctx context.Context, i int, store string, weights *site.Origin, seen site.Observer) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	e := site.NewEndpoint(site.EndpointOptions{
		Service: pool, DataCentre: zone, Address: address, ListenAddress: address, Slots: engineSlots, ServiceTime: eventTime, Engine: poolSpec(), Origin: weights, Observer: seen,
	}, true)
	if err := e.Start(); err != nil {
		return err
	}
	t.cleanups = append(t.cleanups, func() { e.Crash(true) })
	beat := func() error {
		r, _ := e.Registration()
		return t.register(r, false)
	}
	if err := beat(); err != nil {
		return err
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(heartbeat)
			_ = beat()
		}
	}()
	return t.startAgent(i, store, address)
}

// restartEntry stops the entry as planned and starts it again, as the platform does. It returns
// when it was started.
func (t *trial) restartEntry(store string) (time.Time, error) {
	t.mu.Lock()
	old := t.entry
	t.mu.Unlock()
	t.log("SIGTERM to the entry")
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		return time.Time{}, err
	}
	_, _ = old.Process.Wait()
	time.Sleep(150 * time.Millisecond)
	started := time.Now()
	t.log("the entry has stopped and is started again")
	return started, t.startEntry(store)
}

// startCalls sends requests at an even rate until the context ends.
func (t *trial) startCalls(ctx context.Context, seen *runs) *sync.WaitGroup {
	var calls sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	calls.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			calls.Go(func() { t.streamCall(ctx, client, fmt.Sprintf("s-%d", n)) })
			time.Sleep(callInterval)
		}
	})
	return &calls
}

func (t *trial) streamCall(ctx context.Context, client *http.Client, attempt string) {
	t.mu.Lock()
	address := t.callers
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, clientPatient)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: streamPrefix + "1/"}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), nil)
	if err != nil {
		return
	}
	req.Host = hostName
	platform.PeerCodec{}.SetRequestMetadata(req.Header, fulmardeal.RequestMetadata{AttemptID: attempt, Deadline: clientPatient, PromptTokens: 200, MaxOutputTokens: 100})
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
