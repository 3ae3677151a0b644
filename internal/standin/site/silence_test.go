package site_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

const (
	testService  = 40 * time.Millisecond
	testSilence  = time.Second
	testDeadline = 3 * time.Second
)

// arrivals is a site.Observer that records when requests were received.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) RequestReceived(r site.ReceivedRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, r.Time)
}
func (*arrivals) RequestStarted(site.ReceivedRequest)                  {}
func (*arrivals) RequestEnded(site.ReceivedRequest)                    {}
func (*arrivals) NoticeSent(site.ReceivedRequest, bool, time.Duration) {}
func (*arrivals) LimitSent(site.ReceivedRequest, float64)              {}

// startEndpoint starts an endpoint and returns it with its address and its arrivals.
func startEndpoint(t *testing.T, engine bool) (*site.Endpoint, string, *arrivals) {
	t.Helper()
	seen := &arrivals{}
	e, address := startObserved(t, engine, seen)
	return e, address, seen
}

// startObserved starts an endpoint with an observer and returns it with its address.
func startObserved(t *testing.T, engine bool, o site.Observer) (*site.Endpoint, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	opts := site.EndpointOptions{Service: "shop", DataCentre: "a", Address: address, ListenAddress: address, Slots: 4, ServiceTime: testService, Observer: o}
	if engine {
		opts.Origin = site.NewOrigin(2, 100)
		opts.Engine = &fulmardeal.EngineSpec{Layers: 2, Chunks: 2, ChunkSize: 100, Models: []fulmardeal.EngineModel{{Name: "rhyme"}}}
	}
	e := site.NewEndpoint(opts, true)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Crash(false) })
	return e, address
}

// answer is the answer to a request, with the longest pause between two of its bytes.
type answer struct {
	body        string
	pause       time.Duration
	beforePause string // the part of the body before the pause
}

func call(ctx context.Context, t *testing.T, e *site.Endpoint, address string) answer {
	t.Helper()
	return callUntil(ctx, t, e, address, func(string) {})
}

// callUntil is call, and calls heard with the body so far when the answer's header, and then a
// part of its body, has arrived.
func callUntil(ctx context.Context, t *testing.T, e *site.Endpoint, address string, heard func(body string)) answer {
	t.Helper()
	reg, _ := e.Registration()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/x", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header = platform.Codec{}.ForwardHeader(http.Header{"X-Fulmardeal-Attempt-Id": {"c1"}}, fulmardeal.ForwardMetadata{Instance: reg.ID, Deadline: testDeadline, Priority: -1})
	var a answer
	var body bytes.Buffer
	last := time.Now()
	hear := func() {
		if pause := time.Since(last); pause > a.pause {
			a.pause, a.beforePause = pause, body.String()
		}
		last = time.Now()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	hear()
	heard("")
	buf := make([]byte, 4096)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buf)
		hear()
		body.Write(buf[:n])
		heard(body.String())
	}
	if err != io.EOF || resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, answer ended by %v", resp.StatusCode, err)
	}
	a.body = body.String()
	return a
}

// A silent endpoint must not lose anything: whatever point its answer has reached, it is
// complete afterwards. The silences must begin at all points of a stream.
func TestSilenceLosesNothing(t *testing.T) {
	var calls sync.WaitGroup
	var mu sync.Mutex
	points := make(map[string]int) // number of silences by point of the answer
	const events = 12
	// After each number of events, 0 and all included, a silence begins at once, and another one
	// shortly before the next write, which may still get out.
	for i := range 2 * (events + 1) {
		after, delay := i/2, time.Duration(i%2)*testService/2
		for _, engine := range []bool{false, true} {
			e, address, _ := startEndpoint(t, engine)
			calls.Go(func() {
				whole := call(t.Context(), t, e, address).body
				for range 2 { // the second silence lets one more write out
					silence := sync.OnceFunc(func() { e.Silence(testSilence) })
					if delay > 0 {
						silence = sync.OnceFunc(func() { time.AfterFunc(delay, func() { e.Silence(testSilence) }) })
					}
					if i == 0 {
						silence() // before the header
					}
					a := callUntil(t.Context(), t, e, address, func(body string) {
						if !engine || strings.Count(body, "\n\n") >= after {
							silence()
						}
					})
					if a.body != whole {
						t.Errorf("silent after %d events, engine %v: got %q", after, engine, a.body)
					}
					if engine && after < events && a.pause < testSilence/2 {
						t.Errorf("silent after %d events: the longest pause was %v", after, a.pause)
					}
					mu.Lock()
					switch {
					case !engine:
					case a.pause >= testSilence/2 && a.beforePause == a.body:
						points["end"]++
					case a.beforePause == "":
						points["first"]++
					case strings.HasSuffix(a.beforePause, "\n\n"):
						points["event"]++
					default:
						points["part"]++
					}
					mu.Unlock()
				}
			})
		}
	}
	calls.Wait()
	for _, point := range []string{"first", "event", "part", "end"} {
		if points[point] == 0 {
			t.Errorf("no silence at %q: %v", point, points)
		}
	}
}

// A request that reaches a silent endpoint must count as received then, and not when it
// is read: requests on their way are not late.
func TestSilenceKeepsTimeOfArrival(t *testing.T) {
	e, address, seen := startEndpoint(t, false)
	call(t.Context(), t, e, address) // leaves a kept connection
	e.Silence(testSilence)
	sent := time.Now()
	call(t.Context(), t, e, address)
	if took := time.Since(sent); took < testSilence {
		t.Errorf("answered after %v by an endpoint that is silent for %v", took, testSilence)
	}
	if late := seen.times[1].Sub(sent); late > testSilence/2 {
		t.Errorf("received %v after it was sent", late)
	}
}

// The same on a connection that was kept after the silence had begun: the last write of
// the response before got out.
func TestSilenceKeepsTimeOfArrivalAfterLastWrite(t *testing.T) {
	e, address, seen := startEndpoint(t, true)
	for range 2 { // the second silence lets one more write out
		time.AfterFunc(12*testService+testService/2, func() { e.Silence(testSilence) })
		call(t.Context(), t, e, address)
	}
	sent := time.Now()
	call(t.Context(), t, e, address)
	if late := seen.times[2].Sub(sent); late > testSilence/2 {
		t.Errorf("received %v after it was sent", late)
	}
}
