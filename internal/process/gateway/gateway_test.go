package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/process/gateway"
	"fulmardeal/platform"
)

// memStore is an in-memory store that can stop responding.
type memStore struct {
	mu           sync.Mutex
	unresponsive bool
	records      map[string][]fulmardeal.Change // by topic
	followed     map[string]int                 // by topic: number of records that have been applied
	puts         int                            // calls of PutQuarantine
	silenced     int                            // how often the calls in progress went silent
	failPuts     int                            // how many of these fail
}

func newMemStore() *memStore {
	return &memStore{records: make(map[string][]fulmardeal.Change), followed: make(map[string]int)}
}

// applied reports whether all records of a topic have been applied.
func (m *memStore) applied(topic string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.followed[topic] >= len(m.records[topic])
}

func (m *memStore) put(topic string, c fulmardeal.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.Offset = fulmardeal.Position(len(m.records[topic]))
	m.records[topic] = append(m.records[topic], c)
}

// silenceCalls makes the calls in progress hang until they time out. Later calls work.
func (m *memStore) silenceCalls() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silenced++
}

// callTimeout is the timeout of a call, in addition to the time for which it waits.
const callTimeout = 900 * time.Millisecond

// timeOut waits until a call that has gone silent times out.
func timeOut(ctx context.Context, at time.Time) error {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
	return context.DeadlineExceeded
}

func (m *memStore) stopResponding() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsive = true
}

// topicFeed is one feed of the store.
type topicFeed struct {
	store *memStore
	name  string
}

func (f topicFeed) Newest(ctx context.Context) ([]fulmardeal.Change, fulmardeal.Position, error) {
	changes, progress, err := f.Since(ctx, 0, 0)
	return changes, progress.Next, err
}

func (f topicFeed) Since(ctx context.Context, from fulmardeal.Position, wait time.Duration) ([]fulmardeal.Change, fulmardeal.Progress, error) {
	start := time.Now()
	until := start.Add(wait)
	f.store.mu.Lock()
	f.store.followed[f.name] = int(from) // a reader asks for these records when it has applied those before
	silenced := f.store.silenced
	f.store.mu.Unlock()
	for {
		f.store.mu.Lock()
		unresponsive, all, silent := f.store.unresponsive, f.store.records[f.name], f.store.silenced != silenced
		f.store.mu.Unlock()
		if silent {
			return nil, fulmardeal.Progress{}, timeOut(ctx, until.Add(callTimeout))
		}
		if unresponsive {
			<-ctx.Done()
			return nil, fulmardeal.Progress{}, ctx.Err()
		}
		if ctx.Err() != nil {
			return nil, fulmardeal.Progress{}, ctx.Err()
		}
		if len(all) > int(from) || time.Now().After(until) {
			changes := slices.Clone(all[min(int(from), len(all)):])
			for i := range changes {
				changes[i].Awaited = time.Since(start) > 100*time.Millisecond
			}
			end := fulmardeal.Position(len(all))
			return changes, fulmardeal.Progress{Next: end, End: end}, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (m *memStore) Operator() fulmardeal.Feed      { return topicFeed{m, "operator"} }
func (m *memStore) Registrations() fulmardeal.Feed { return topicFeed{m, "registrations"} }
func (m *memStore) Entries() fulmardeal.Feed       { return topicFeed{m, "entries"} }
func (m *memStore) Era() int64                     { return 0 }

func (m *memStore) PutQuarantine(_ context.Context, q fulmardeal.Quarantine) error {
	m.mu.Lock()
	m.puts++
	failed := m.puts <= m.failPuts
	m.mu.Unlock()
	if failed {
		return &fulmardeal.BusyError{Service: "store"}
	}
	m.put("entries", fulmardeal.Change{Key: "quarantine/" + strings.Join(q.Parts, ","), Quarantine: &q})
	return nil
}

func (m *memStore) PutKeyed(context.Context) error {
	m.put("entries", fulmardeal.Change{Key: "keys/required", Keyed: true})
	return nil
}

func (m *memStore) Announce(_ context.Context, name, address, dataCentre string) error {
	m.put("entries", fulmardeal.Change{Key: name, Address: address, DataCentre: dataCentre})
	return nil
}

// testGateway is a gateway under test with its store and endpoints.
type testGateway struct {
	gateway     *gateway.Gateway
	memoryLimit int64 // of the gateway's settings
	limitHeap   func(bytes int64) int64
	t           *testing.T
	store       *memStore
	address     string
	stop        context.CancelFunc
	kill        func() // ends the gateway at once, without a graceful shutdown
	done        chan error
	received    sync.Map // number of requests received by endpoints, by attempt id
	bounds      fulmardeal.Bounds
	codec       gateway.Codec
	log         slog.Handler
	listener    func(net.Listener) net.Listener // wraps the listener for callers, if set
}

// endpoint starts an endpoint of a service, registers it and returns its address. The
// endpoint checks the headers of each request.
func (w *testGateway) endpoint(id, service, dataCentre string, serve func(http.ResponseWriter, *http.Request)) (address string) {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("X-Fulmardeal-Attempt-Id")
		rw.Header().Set("X-Fulmardeal-Attempt-Id", attempt)
		if r.Header.Get("X-Fulmardeal-Expect-Instance") != id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.Header.Get("Authorization") != "" {
			w.t.Error("the caller's key was forwarded to the endpoint")
		}
		n, _ := w.received.LoadOrStore(attempt, new(atomic.Int32))
		n.(*atomic.Int32).Add(1)
		rw.Header().Set("X-Fulmardeal-Response-Stamp", "by-"+id)
		if strings.HasPrefix(r.RequestURI, "/stream/") || strings.HasPrefix(r.RequestURI, "/verse/") {
			rw.Header().Set("Content-Type", "text/event-stream") // as all endpoints answer on such routes
		}
		serve(rw, r)
	}))
	w.t.Cleanup(s.Close)
	address = s.Listener.Addr().String()
	w.register(fulmardeal.Registration{ID: id, Service: service, Address: address, DataCentre: dataCentre, Slots: 4})
	return address
}

func (w *testGateway) register(r fulmardeal.Registration) {
	w.store.put("registrations", fulmardeal.Change{Key: r.ID, Registration: &r})
}

func (w *testGateway) configure(c fulmardeal.Catalogue) {
	w.store.put("operator", fulmardeal.Change{Key: "config", Catalogue: &c})
}

// catalogue returns a configuration with a route of each kind.
func catalogue(version int64) fulmardeal.Catalogue {
	share := []fulmardeal.Share{{Service: "shop", Weight: 1}}
	return fulmardeal.Catalogue{
		Version: version,
		Routes: []fulmardeal.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Kind: fulmardeal.KindIdempotent, Timeout: time.Second, Objective: 300 * time.Millisecond, Shares: share, Attempts: 2},
			{Name: "order", Host: "h", Prefix: "/order/", Kind: fulmardeal.KindAtMostOnce, Timeout: time.Second, Objective: 300 * time.Millisecond, Shares: share, Attempts: 3},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: fulmardeal.KindStream, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, Pause: 300 * time.Millisecond, Shares: share, Attempts: 2, Resumable: true},
			{Name: "native", Host: "h", Prefix: "/native/", Kind: fulmardeal.KindIdempotent, Timeout: time.Second, Shares: share, Attempts: 2, Homes: []string{"north"}},
		},
		Services:  []fulmardeal.Service{{Name: "shop", Connections: 10}},
		Customers: []fulmardeal.Customer{{Name: "bahar", Keys: []string{"k1"}}},
		Limits:    fulmardeal.Limits{Body: 1000},
	}
}

// hosts is the number of loopback addresses in use.
var hosts atomic.Int32

// newHost returns a loopback address that no other test uses. Soak runs use
// other loopback networks.
func newHost() string {
	n := int(hosts.Add(1))
	return fmt.Sprintf("127.251.%d.%d", (os.Getpid()+n/200)%250, 1+n%200)
}

func startGateway(t *testing.T, build func(w *testGateway)) *testGateway {
	t.Helper()
	return launchGateway(t, "front-1", newMemStore(), func(w *testGateway) {
		w.configure(catalogue(1))
		build(w)
	})
}

// launchGateway starts an entry with a store that other entries may share.
func launchGateway(t *testing.T, name string, store *memStore, build func(w *testGateway)) *testGateway {
	t.Helper()
	w := &testGateway{t: t, store: store, done: make(chan error, 1), codec: platform.Codec{}, log: slog.DiscardHandler}
	// On an address of its own, no outgoing connection of another test takes the port.
	l, err := net.Listen("tcp", newHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	w.address = l.Addr().String()
	l.Close()
	w.bounds = fulmardeal.Bounds{
		Drain: 300 * time.Millisecond, Grace: 5 * time.Second, KeyRevocation: 2500 * time.Millisecond, VersionSwitch: 8 * time.Second,
		RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second, ColdRateFactor: 1,
	}
	build(w)
	settings := fulmardeal.Settings{
		Name: name, IP: newHost(), DataCentre: "a", Region: "south", Regions: map[string]string{"a": "south", "b": "north"},
		CallerAddress: w.address, ReadinessAddress: "127.0.0.1:0", PortRange: [2]int{7700, 7715},
		Bounds: w.bounds, MemoryLimit: w.memoryLimit,
	}
	g, cleanup, err := gateway.New(gateway.Options{Settings: settings, Store: w.store, Codec: w.codec, Log: slog.New(w.log), Seed: 1, LimitHeap: w.limitHeap})
	if err != nil {
		t.Fatal(err)
	}
	w.gateway = g
	if w.listener != nil {
		g.WrapCallerListener(w.listener)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go func() { w.done <- g.Run(ctx) }()
	w.kill = sync.OnceFunc(func() {
		cancel()
		cleanup()
	})
	t.Cleanup(w.kill)
	for range 1000 {
		if g.Ready() && w.store.applied("operator") && w.store.applied("registrations") && w.call("GET", "/none/", nil).status == http.StatusNotFound {
			return w
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the gateway did not become ready")
	return nil
}

// callResult is the response that a caller received.
type callResult struct {
	status int
	body   string
	header http.Header
	err    error // set if the body is incomplete
	id     string
}

var attempts struct {
	sync.Mutex
	n int
}

func (w *testGateway) call(method, path string, change func(r *http.Request)) callResult {
	attempts.Lock()
	attempts.n++
	id := fmt.Sprintf("%08x", attempts.n)
	attempts.Unlock()
	r, err := http.NewRequest(method, "http://"+w.address+path, strings.NewReader("body"))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Fulmardeal-Attempt-Id", id)
	r.Header.Set("X-Fulmardeal-Deadline-Ms", "2000")
	r.Header.Set("Authorization", "Token k1")
	if change != nil {
		change(r)
	}
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return callResult{err: err, id: id}
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return callResult{status: a.StatusCode, body: string(body), header: a.Header, err: err, id: id}
}

// runs returns how many requests endpoints have received for an attempt.
func (w *testGateway) runs(id string) int {
	n, seen := w.received.Load(id)
	if !seen {
		return 0
	}
	return int(n.(*atomic.Int32).Load())
}

// hangUp closes the connection of a request without a response.
func hangUp(rw http.ResponseWriter, _ *http.Request) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err == nil {
		c.Close()
	}
}

func TestServe(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			fmt.Fprintf(rw, "%s %s %s for %s", r.Method, r.RequestURI, body, r.Header.Get("X-Fulmardeal-Tenant"))
		})
	})
	a := w.call("POST", "/order//x/?q=%2F", nil)
	if a.status != 200 || a.body != "POST /order//x/?q=%2F body for bahar" || a.header.Get("X-Fulmardeal-Response-Stamp") != "by-i-1" {
		t.Errorf("%+v", a)
	}
	for _, c := range []struct {
		path   string
		change func(r *http.Request)
		want   int
	}{
		{"/order/", func(r *http.Request) { r.Header.Set("Authorization", "Token other") }, 401},
		{"/order/", func(r *http.Request) { r.Header.Del("Authorization") }, 401},
		{"/nowhere/", nil, 404},
		{"/order/", func(r *http.Request) { r.Host = "other" }, 404},
		{"/order/", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), 1001
		}, 413},
		{"/native/", nil, 503}, // no endpoint in its home region
	} {
		if a := w.call("POST", c.path, c.change); a.status != c.want || w.runs(a.id) != 0 {
			t.Errorf("%s: status %d, want %d; run %d times", c.path, a.status, c.want, w.runs(a.id))
		}
	}
	if a := w.call("POST", "/native/", nil); a.header.Get("Retry-After") == "" {
		t.Error("refusal without Retry-After")
	}
}

// A request that may have run is not retried and not reported as not run.
func TestOrderRunsOnce(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		for _, id := range []string{"i-1", "i-2"} {
			w.endpoint(id, "shop", "a", hangUp)
		}
	})
	for range 5 {
		a := w.call("POST", "/order/", nil)
		if a.status != http.StatusBadGateway || w.runs(a.id) != 1 {
			t.Errorf("status %d, seen %d times; want 502 and once", a.status, w.runs(a.id))
		}
	}
}

// A request that has not run, or that is idempotent, is retried at another
// endpoint.
func TestRetry(t *testing.T) {
	full := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Fulmardeal-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	ok := func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "ok") }
	for name, bad := range map[string]func(http.ResponseWriter, *http.Request){"full": full, "hang up": hangUp, "failure": func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(500) }} {
		t.Run(name, func(t *testing.T) {
			w := startGateway(t, func(w *testGateway) {
				w.endpoint("i-1", "shop", "a", bad)
				w.endpoint("i-2", "shop", "a", ok)
			})
			for range 6 {
				if a := w.call("GET", "/read/", nil); a.status != 200 || a.body != "ok" {
					t.Errorf("%+v", a)
				}
			}
		})
	}
}

// A response that is incomplete, or is not the endpoint's response to this
// request, does not reach the caller as a success.
func TestInvalidResponses(t *testing.T) {
	for name, serve := range map[string]func(rw http.ResponseWriter, r *http.Request){
		"foreign id": func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("X-Fulmardeal-Attempt-Id", "another")
			_, _ = io.WriteString(rw, "secret")
		},
		"unsigned": func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Del("X-Fulmardeal-Response-Stamp")
			_, _ = io.WriteString(rw, "secret")
		},
		"cut": func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Length", "50")
			_, _ = io.WriteString(rw, "secret")
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := startGateway(t, func(w *testGateway) { w.endpoint("i-1", "shop", "a", serve) })
			if a := w.call("POST", "/order/", nil); a.status != 502 || strings.Contains(a.body, "secret") {
				t.Errorf("%+v", a)
			}
		})
	}
}

// events writes the events of a stream with ids from one to another, then
// breaks off within the next event unless that was the last one.
func events(rw http.ResponseWriter, from, to, last int) {
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: e%d\n\n", i, i)
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(time.Millisecond)
	}
	if to < last {
		fmt.Fprintf(rw, "id: %d\nda", to+1)
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
}

// A stream that breaks off is resumed at another endpoint: the caller receives
// each event once, in order, after the header of the first endpoint.
func TestStreamResumesAtAnotherEndpoint(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		for _, id := range []string{"i-1", "i-2"} {
			w.endpoint(id, "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
				after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				if after == 0 {
					events(rw, 1, 4, 9)
				}
				events(rw, after+1, 9, 9)
			})
		}
	})
	want := ""
	for i := 1; i <= 9; i++ {
		want += fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
	}
	for range 3 {
		if a := w.call("POST", "/stream/", nil); a.err != nil || a.body != want || a.header.Get("X-Fulmardeal-Response-Stamp") == "" || w.runs(a.id) != 2 {
			t.Errorf("%d runs, %v: %q", w.runs(a.id), a.err, a.body)
		}
	}
}

// A stream that can't be resumed does not reach the caller as a complete one.
func TestBrokenStreamIsVisible(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, _ *http.Request) { events(rw, 1, 4, 9) })
	})
	a := w.call("POST", "/stream/", nil)
	if a.err == nil || !strings.Contains(a.body, "e4") || strings.Contains(a.body, "id: 5") {
		t.Errorf("%v: %q", a.err, a.body)
	}
}

// When a caller disconnects, its request is cancelled at the endpoint within
// half a second.
func TestCallerDisconnects(t *testing.T) {
	stopped := make(chan time.Time, 1)
	w := startGateway(t, func(w *testGateway) {
		w.endpoint("i-1", "shop", "a", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			<-r.Context().Done()
			stopped <- time.Now()
		})
	})
	left := time.Now().Add(100 * time.Millisecond)
	w.call("POST", "/order/", func(r *http.Request) {
		ctx, cancel := context.WithDeadline(r.Context(), left)
		t.Cleanup(cancel)
		*r = *r.WithContext(ctx)
	})
	select {
	case at := <-stopped:
		if at.Sub(left) > 500*time.Millisecond {
			t.Errorf("request cancelled %v after the caller disconnected", at.Sub(left))
		}
	case <-time.After(3 * time.Second):
		t.Error("request still running at the endpoint 3 s after its caller disconnected")
	}
}

// The caller receives a final response when the route's timeout expires.
func TestTimeout(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		w.endpoint("i-1", "shop", "a", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body) // net/http notices a closed connection only after the body has been read
			<-r.Context().Done()
		})
	})
	start := time.Now()
	a := w.call("POST", "/order/", nil)
	if took := time.Since(start); a.status != http.StatusGatewayTimeout || took < 900*time.Millisecond || took > 1500*time.Millisecond {
		t.Errorf("status %d after %v, want 504 after 1 s", a.status, took)
	}
}

func TestChangesTakeEffect(t *testing.T) {
	ok := func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "ok") }
	w := startGateway(t, func(w *testGateway) { w.endpoint("i-1", "shop", "a", ok) })
	until := func(what string, holds func() bool) {
		t.Helper()
		for range 200 {
			if holds() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("%s: no effect within 2 s", what)
	}
	status := func() int { return w.call("POST", "/order/", nil).status }
	if s := status(); s != 200 {
		t.Fatalf("status %d", s)
	}
	w.store.put("operator", fulmardeal.Change{Key: "evacuate/a", Evacuation: "a"})
	until("a data centre is out", func() bool { return status() == 503 })
	w.store.put("operator", fulmardeal.Change{Key: "evacuate/a", Gone: true})
	until("a data centre is back", func() bool { return status() == 200 })
	c := catalogue(2)
	c.Customers[0].Keys = []string{"k2"}
	w.configure(c)
	until("a key is removed", func() bool { return status() == 401 })
	c = catalogue(3)
	w.configure(c)
	until("a key is added", func() bool { return status() == 200 })
	w.register(fulmardeal.Registration{ID: "i-1", Service: "shop", Address: "127.0.0.1:1", DataCentre: "a", Draining: true, Sequence: 2})
	until("an endpoint drains", func() bool { return status() == 503 })
}

// An entry that can't confirm its keys refuses requests with 503 and
// Retry-After, not 401, before a removed key could be used for longer than the
// bound.
func TestUnconfirmedKeysAreRefused(t *testing.T) {
	ok := func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "ok") }
	w := startGateway(t, func(w *testGateway) { w.endpoint("i-1", "shop", "a", ok) })
	w.store.stopResponding()
	lastRead := time.Now()
	for time.Since(lastRead) < 4*time.Second {
		a := w.call("POST", "/order/", nil)
		sent := time.Since(lastRead)
		switch a.status {
		case 200:
			if sent > 2500*time.Millisecond {
				t.Fatalf("a request ran %v after the last read of the store", sent)
			}
		case 503:
			if sent < 500*time.Millisecond {
				t.Fatalf("refused only %v after the last read of the store", sent)
			}
		default:
			t.Fatalf("status %d", a.status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// During a graceful shutdown, new requests are still served and those in
// progress end normally.
func TestGracefulShutdown(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(rw, "ok")
		})
	})
	var calls sync.WaitGroup
	start := time.Now()
	w.stop()
	for range 10 {
		calls.Go(func() {
			if a := w.call("POST", "/order/", nil); a.status != 200 || !strings.EqualFold(a.header.Get("Connection"), "close") && a.err != nil {
				t.Errorf("%+v", a)
			}
		})
		time.Sleep(150 * time.Millisecond)
	}
	calls.Wait()
	select {
	case err := <-w.done:
		if err != nil || time.Since(start) > 5*time.Second {
			t.Errorf("stopped after %v: %v", time.Since(start), err)
		}
	case <-time.After(6 * time.Second):
		t.Error("still running after the grace period")
	}
}

// An endpoint that says that it is leaving, or asks for a pause, gets no further
// requests from this entry, whatever kind of response says so.
func TestEndpointNotices(t *testing.T) {
	refuse := func(rw http.ResponseWriter, after string) {
		rw.Header().Set("X-Fulmardeal-Not-Run", "1")
		rw.Header().Set("Retry-After", after)
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	leave := func(rw http.ResponseWriter) { rw.Header().Set("Server-Leaving", "1") }
	for name, serve := range map[string]func(rw http.ResponseWriter, r *http.Request){
		"success": func(rw http.ResponseWriter, _ *http.Request) { leave(rw) },
		"stream": func(rw http.ResponseWriter, _ *http.Request) {
			leave(rw)
			_, _ = io.WriteString(rw, "id: 1\ndata: x\n\n")
		},
		"failure":        func(rw http.ResponseWriter, _ *http.Request) { leave(rw); rw.WriteHeader(500) },
		"other instance": func(rw http.ResponseWriter, _ *http.Request) { leave(rw); rw.WriteHeader(421) },
		"refusal":        func(rw http.ResponseWriter, _ *http.Request) { leave(rw); refuse(rw, "0") },
		"response crossed": func(rw http.ResponseWriter, _ *http.Request) {
			leave(rw)
			rw.Header().Set("X-Fulmardeal-Attempt-Id", "z")
		},
		"pause":            func(rw http.ResponseWriter, _ *http.Request) { refuse(rw, "30") },
		"fractional pause": func(rw http.ResponseWriter, _ *http.Request) { refuse(rw, " 20.5 ") },
	} {
		t.Run(name, func(t *testing.T) {
			var noticed, after atomic.Int32
			w := startGateway(t, func(w *testGateway) {
				w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
					noticed.Add(1)
					serve(rw, r)
				})
				w.endpoint("i-2", "shop", "a", func(rw http.ResponseWriter, _ *http.Request) {
					after.Add(1)
					_, _ = io.WriteString(rw, "id: 1\ndata: x\n\n")
				})
			})
			for range 200 { // until the first request reaches i-1
				w.call("GET", "/stream/", nil)
				if noticed.Load() > 0 {
					break
				}
			}
			before := after.Load()
			for i := range 30 {
				w.call([]string{"GET", "POST"}[i%2], []string{"/read/", "/stream/", "/order/"}[i%3], nil)
			}
			if noticed.Load() != 1 || after.Load()-before != 30 {
				t.Errorf("the endpoint got %d requests and the other one %d; want 1 and 30", noticed.Load(), after.Load()-before)
			}
		})
	}
}

// A request that waits in an engine with superseded weights is withdrawn before the
// end of their permitted use. On the large deployment (scale-1, seed 114843294) four
// requests started on such weights up to 0.1 s after that end, because they had been
// sent early enough but waited inside engines that were still busy.
func TestWithdrawnBeforeWeightsEnd(t *testing.T) {
	cancelled := make(chan time.Time, 1)
	w := startGateway(t, func(w *testGateway) {
		w.bounds.VersionSwitch = 2 * time.Second
		c := catalogue(2)
		c.Services = append(c.Services, fulmardeal.Service{Name: "llm", Engine: &fulmardeal.EngineSpec{Slots: 4, Layers: 1, Models: []fulmardeal.EngineModel{{Name: "m"}}}})
		c.Routes = append(c.Routes, fulmardeal.Route{
			Name: "verse", Host: "h", Prefix: "/verse/", Kind: fulmardeal.KindStream, Timeout: 4 * time.Second, Objective: time.Second,
			Shares: []fulmardeal.Share{{Service: "llm", Weight: 1}}, Attempts: 1, Resumable: true,
		})
		w.configure(c)
		address := w.endpoint("i-1", "llm", "a", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body) // the server notices a closed connection only afterwards
			select {
			case <-r.Context().Done():
				cancelled <- time.Now()
			case <-time.After(5 * time.Second):
			}
		})
		w.register(fulmardeal.Registration{ID: "i-1", Service: "llm", Address: address, DataCentre: "a", Slots: 4, Engine: true, Spans: []fulmardeal.Span{{To: 1, Version: 1}}})
	})
	published := time.Now()
	w.store.put("operator", fulmardeal.Change{Key: "version/m", Naming: &fulmardeal.Publication{Model: "m", Version: 2}})
	time.Sleep(300 * time.Millisecond)
	a := w.call("POST", "/verse/", func(r *http.Request) { r.Header.Set("X-Fulmardeal-Deadline-Ms", "4000") })
	select {
	case at := <-cancelled:
		if d := at.Sub(published); d > w.bounds.VersionSwitch-200*time.Millisecond || a.status != http.StatusBadGateway {
			t.Errorf("withdrawn after %v with status %d, want well before %v and status 502", d, a.status, w.bounds.VersionSwitch)
		}
	case <-time.After(2 * time.Second):
		t.Errorf("request is still at the engine; status %d", a.status)
	}
}

// panickingCodec panics when a request is about to be forwarded.
type panickingCodec struct{ platform.Codec }

func (panickingCodec) ForwardHeader(http.Header, fulmardeal.ForwardMetadata) http.Header {
	panic("broken table")
}

// A panic in a handler closes the caller's connection without an answer. Without a log
// line it can't be told from a caller that disconnected.
func TestHandlerPanicIsLogged(t *testing.T) {
	var log syncBuffer
	w := startGateway(t, func(w *testGateway) {
		w.codec, w.log = panickingCodec{}, slog.NewTextHandler(&log, nil)
		w.endpoint("i-1", "shop", "a", func(http.ResponseWriter, *http.Request) {})
	})
	a := w.call("POST", "/order/", nil)
	if a.err == nil {
		t.Errorf("%+v, want a closed connection", a)
	}
	if s := log.String(); !strings.Contains(s, `msg="handler panicked" id=`+a.id+` value="broken table"`) {
		t.Errorf("no line about the panic in:\n%s", s)
	}
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// An endpoint that never ends its response is given up: its connection is closed, and
// the request goes on at another endpoint if it may.
func TestEndlessResponse(t *testing.T) {
	for path, want := range map[string]int{"/read/": http.StatusOK, "/stream/": http.StatusOK, "/order/": http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			var endless atomic.Int64
			closed := make(chan struct{}, 10)
			w := startGateway(t, func(w *testGateway) {
				w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, _ *http.Request) {
					block := []byte("data: " + strings.Repeat("x", 8<<10) + "\n")
					for {
						n, err := rw.Write(block)
						endless.Add(int64(n))
						if err != nil {
							closed <- struct{}{}
							return
						}
					}
				})
				w.endpoint("i-2", "shop", "a", func(rw http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(rw, "id: 1\ndata: x\n\n")
				})
			})
			for range 100 {
				a := w.call("POST", path, nil)
				if endless.Load() == 0 {
					continue // sent to the other endpoint
				}
				if a.status != want || w.runs(a.id) > 2 || want != 200 && w.runs(a.id) > 1 {
					t.Errorf("status %d after %d runs, want %d", a.status, w.runs(a.id), want)
				}
				select {
				case <-closed:
				case <-time.After(time.Second):
					t.Error("connection to the endpoint still open after 1 s")
				}
				return
			}
			t.Error("no request was sent to the first endpoint")
		})
	}
}
