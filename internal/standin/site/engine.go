package site

import (
	"bytes"
	"strconv"
	"time"

	"fulmardeal"
)

// State returns the current state of the engine.
func (e *Endpoint) State() fulmardeal.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.stale.stateUntil) {
		return e.stale.state
	}
	return e.state()
}

func (e *Endpoint) state() fulmardeal.EngineState {
	return fulmardeal.EngineState{Spans: e.spans, Loading: e.loading, Running: e.running, Waiting: e.waiting, OrderCount: e.orderCount, StartedAt: e.startTime}
}

// Order makes the engine load the staged weights, once the requests in progress
// have ended. It refuses the order if the engine is already loading, or if expect
// is not the number of orders accepted since the start.
func (e *Endpoint) Order(v fulmardeal.Version, expect int64) (started, accepted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || e.loading || expect != e.orderCount {
		return false, false
	}
	version, err := strconv.ParseInt(v.Name, 10, 64)
	if err != nil {
		return false, false
	}
	e.orderCount++
	e.loading = true
	chunks, _ := e.options.Origin.Chunks(v)
	corrupt := false
	for i, c := range chunks {
		corrupt = corrupt || !bytes.Equal(c, e.staged[i])
	}
	corrupt = corrupt && time.Since(e.restaged) > restagedGrace
	go e.load(version, corrupt, e.startCount)
	return true, true
}

// load waits for the requests in progress to end and then replaces the weights. It
// has no effect if the endpoint stops or restarts in the meantime.
func (e *Endpoint) load(version int64, corrupt bool, startCount int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.running > 0 && e.startCount == startCount {
		changed := e.changed
		e.mu.Unlock()
		<-changed
		e.mu.Lock()
	}
	e.mu.Unlock()
	time.Sleep(e.options.Engine.Models[0].Warm)
	e.mu.Lock()
	if e.startCount != startCount || !e.up {
		return
	}
	e.spans = []fulmardeal.Span{{From: 0, To: e.options.Engine.Layers, Version: version}}
	e.corrupt, e.loading = corrupt, false
	e.wakeWaiters()
}

// Put stages a chunk.
func (e *Endpoint) Put(_ string, index int, data []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = data
}

// Get returns a staged chunk.
func (e *Endpoint) Get(_ string, index int) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, held := e.staged[index]
	return data, held
}

// StagedChunks returns the indexes of the staged chunks.
func (e *Endpoint) StagedChunks(string) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []int
	for i := range e.staged {
		out = append(out, i)
	}
	return out
}

// restagedGrace is how long after KeepID has staged chunks an agent may order what it had
// found there before.
const restagedGrace = 3 * time.Second

// staleReports is what an engine says about itself until the given times, although its state
// is another. The zero value is nothing.
type staleReports struct {
	registration                  fulmardeal.Registration
	registrationUntil, stateUntil time.Time
	state                         fulmardeal.EngineState
}

// Stale makes an engine register its current weights and start for a while, and report its
// current state for another, whatever they are meanwhile.
func (e *Endpoint) Stale(registration, state time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.stale = staleReports{registration: e.registration(), registrationUntil: now.Add(registration), stateUntil: now.Add(state), state: e.state()}
}

// KeepID makes the next start of an endpoint that has crashed keep its id. If preloaded is
// set, its engine then has version 1 of the weights staged and loaded, and otherwise nothing.
func (e *Endpoint) KeepID(preloaded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keepID = true
	if preloaded && e.options.Engine != nil {
		e.hold(1)
	}
}

// Revert makes an engine load the version of the weights before its own again, not from what
// is staged. It does nothing if the engine is loading or has no version before.
func (e *Endpoint) Revert() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || e.loading || e.options.Engine == nil {
		return
	}
	if version := fulmardeal.Holds(e.spans, e.options.Engine.Layers); version > 1 {
		e.orderCount++
		e.loading = true
		go e.load(version-1, false, e.startCount)
	}
}

// hold stages and loads a version. The caller holds e.mu.
func (e *Endpoint) hold(version int64) {
	chunks, _ := e.options.Origin.Chunks(fulmardeal.Version{Name: strconv.FormatInt(version, 10)})
	for i, c := range chunks {
		e.staged[i] = c
	}
	e.restaged = time.Now()
	e.spans, e.corrupt = []fulmardeal.Span{{From: 0, To: e.options.Engine.Layers, Version: version}}, false
}
