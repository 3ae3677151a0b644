package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/script"
)

// oldEngine is an engine that holds version 1 of its weights whatever its registration
// says. It refuses requests for another version.
type oldEngine struct {
	mu     sync.Mutex
	starts []time.Time // when it began to run requests
}

func (e *oldEngine) serve(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	rw.Header().Set("X-Fulmardeal-Weight-Versions", "1")
	if v := r.Header.Get("X-Fulmardeal-Expect-Version"); v != "" && v != "1" {
		rw.Header().Set("X-Fulmardeal-Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.starts = append(e.starts, time.Now())
	e.mu.Unlock()
	rw.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(rw, "id: 1\ndata: x\n\n")
}

// startedAfter returns how many requests the engine has begun, and how many of them later
// than at the given time.
func (e *oldEngine) startedAfter(at time.Time) (all, late int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.starts {
		if s.After(at) {
			late++
		}
	}
	return len(e.starts), late
}

// versionCatalogue returns a configuration with a route to model engines.
func versionCatalogue() fulmardeal.Catalogue {
	c := catalogue(2)
	c.Services = append(c.Services, fulmardeal.Service{Name: "llm", Engine: &fulmardeal.EngineSpec{Slots: 4, Layers: 1, Models: []fulmardeal.EngineModel{{Name: "m"}}}})
	c.Routes = append(c.Routes, fulmardeal.Route{
		Name: "verse", Host: "h", Prefix: "/verse/", Kind: fulmardeal.KindStream, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond,
		Shares: []fulmardeal.Share{{Service: "llm", Weight: 1}}, Attempts: 2, Resumable: true,
	})
	return c
}

// An entry that learns late of a version, or takes an engine for one that holds it, goes
// on with the old one.
func TestRequestBeginsOnOldWeights(t *testing.T) {
	script.Run(t, "testdata/weights.txt", func(fields []string) error {
		held, err := strconv.ParseInt(fields[2], 10, 64)
		if err != nil {
			return err
		}
		t.Run(fields[0], func(t *testing.T) {
			t.Parallel()
			beginOnOldWeights(t, fields[1] == "silent", held)
		})
		return nil
	})
}

func beginOnOldWeights(t *testing.T, silent bool, held int64) {
	const bound = 3 * time.Second
	engine := &oldEngine{}
	w := startGateway(t, func(w *testGateway) {
		w.bounds.VersionSwitch = bound
		w.configure(versionCatalogue())
		address := w.endpoint("i-1", "llm", "a", engine.serve)
		w.register(fulmardeal.Registration{ID: "i-1", Service: "llm", Address: address, DataCentre: "a", Slots: 4, Engine: true, Spans: []fulmardeal.Span{{To: 1, Version: held}}})
	})
	if silent {
		time.Sleep(100 * time.Millisecond)
		w.store.silenceCalls()
	}
	published := time.Now()
	w.store.put("operator", fulmardeal.Change{Key: "version/m", Naming: &fulmardeal.Publication{Model: "m", Version: 2}})
	for time.Since(published) < bound+2*time.Second {
		w.call("POST", "/verse/", nil)
		time.Sleep(20 * time.Millisecond)
	}
	all, late := engine.startedAfter(published.Add(bound))
	if all == 0 || late > 0 {
		t.Errorf("%d of %d requests began on the old weights later than %v after the publication, want 0 of some", late, all, bound)
	}
}

// An engine that is taken for one with the new weights lets requests wait, and begins them
// when the time of the old ones is over.
func TestRequestWaitsInEngineWithOldWeights(t *testing.T) {
	t.Parallel()
	const bound, wait = 3 * time.Second, 1600 * time.Millisecond
	engine := &oldEngine{}
	w := startGateway(t, func(w *testGateway) {
		w.bounds.VersionSwitch = bound
		w.configure(versionCatalogue())
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			address := w.endpoint(id, "llm", "a", func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				select {
				case <-time.After(wait):
					engine.serve(rw, r)
				case <-r.Context().Done():
				}
			})
			w.register(fulmardeal.Registration{ID: id, Service: "llm", Address: address, DataCentre: "a", Slots: 4, Engine: true, Spans: []fulmardeal.Span{{To: 1, Version: 2}}})
		}
	})
	published := time.Now()
	w.store.put("operator", fulmardeal.Change{Key: "version/m", Naming: &fulmardeal.Publication{Model: "m", Version: 2}})
	end := published.Add(bound)
	time.Sleep(time.Until(end.Add(50*time.Millisecond - wait)))
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { w.call("POST", "/verse/", nil) })
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	if all, late := engine.startedAfter(end); late > 0 {
		t.Errorf("%d of %d requests began on the old weights later than %v after the publication, want none", late, all, bound)
	}
}

// A stream whose first answer doesn't say which weights made it is resumed on an engine
// that must hold the ones that it is taken to hold.
func TestResumedStreamNamesWeights(t *testing.T) {
	var mu sync.Mutex
	var required []string
	w := startGateway(t, func(w *testGateway) {
		w.bounds.VersionSwitch = 3 * time.Second
		w.configure(versionCatalogue())
		w.store.put("operator", fulmardeal.Change{Key: "version/m", Naming: &fulmardeal.Publication{Model: "m", Version: 2}})
		for _, id := range []string{"i-1", "i-2"} {
			address := w.endpoint(id, "llm", "a", func(rw http.ResponseWriter, r *http.Request) {
				mu.Lock()
				required = append(required, r.Header.Get("X-Fulmardeal-Expect-Version"))
				first := len(required) == 1
				mu.Unlock()
				fmt.Fprint(rw, "id: 1\ndata: x\n\n")
				_ = http.NewResponseController(rw).Flush()
				if first {
					hangUp(rw, r)
				}
			})
			w.register(fulmardeal.Registration{ID: id, Service: "llm", Address: address, DataCentre: "a", Slots: 4, Engine: true, Spans: []fulmardeal.Span{{To: 1, Version: 2}}})
		}
	})
	w.call("POST", "/verse/", nil)
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"2", "2"}; !slices.Equal(required, want) {
		t.Errorf("versions required: %q, want %q", required, want)
	}
}
