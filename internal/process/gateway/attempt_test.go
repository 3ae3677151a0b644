package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// panickingResponseCodec panics when a response that asks for it arrives.
type panickingResponseCodec struct{ platform.Codec }

func (p panickingResponseCodec) ReadResponseMetadata(status int, h http.Header) fulmardeal.ResponseMetadata {
	if h.Get("X-Panic") != "" {
		panic("broken header")
	}
	return p.Codec.ReadResponseMetadata(status, h)
}

// A panic in an attempt must not end the process, which would break all callers'
// connections, nor keep its slot.
func TestAttemptPanicEndsOneRequest(t *testing.T) {
	var log syncBuffer
	w := startGateway(t, func(w *testGateway) {
		w.codec, w.log = panickingResponseCodec{}, slog.NewTextHandler(&log, nil)
		w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			if r.RequestURI == "/order/panic" {
				rw.Header().Set("X-Panic", "1")
			}
			_, _ = io.WriteString(rw, "ok")
		})
	})
	for range 5 { // more than the endpoint has slots
		if a := w.call("POST", "/order/panic", nil); a.status != http.StatusBadGateway || !strings.Contains(log.String(), `msg="attempt panicked" id=`+a.id+` endpoint=i-1 value="broken header"`) {
			t.Errorf("%+v, want 502 and a line about the panic", a)
		}
	}
	if a := w.call("POST", "/order/", nil); a.status != http.StatusOK || a.body != "ok" {
		t.Errorf("%+v", a)
	}
}

// An endpoint's answer that is not a stream must not be joined to the events that the
// caller already has, as if it were the rest of them.
func TestErrorIsNotPartOfStream(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			w := startGateway(t, func(w *testGateway) {
				for _, id := range []string{"i-1", "i-2"} {
					w.endpoint(id, "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
						if r.Header.Get("Last-Event-Id") == "" {
							events(rw, 1, 4, 9)
						}
						rw.WriteHeader(status)
						_, _ = io.WriteString(rw, "no such stream")
					})
				}
			})
			if a := w.call("POST", "/stream/", nil); a.err == nil || strings.Contains(a.body, "no such stream") {
				t.Errorf("%d runs, %v: %q", w.runs(a.id), a.err, a.body)
			}
		})
	}
}

// The time in which a caller takes no bytes is not its endpoint's silence.
func TestSlowCallerIsNoSilence(t *testing.T) {
	const n, size = 1500, 8 << 10 // more bytes than the entry's connection to a caller buffers
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err == nil {
			err = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		}
		return conn, err
	}}
	defer transport.CloseIdleConnections()
	var log syncBuffer
	w := startGateway(t, func(w *testGateway) {
		w.log = slog.NewTextHandler(&log, nil)
		c := catalogue(2)
		for i := range c.Routes {
			c.Routes[i].Timeout = 30 * time.Second // the bytes take long on a busy host
		}
		w.configure(c)
		for _, id := range []string{"i-1", "i-2"} {
			w.endpoint(id, "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
				after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				for i := after + 1; i <= n; i++ {
					fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", size))
				}
			})
		}
	})
	var calls sync.WaitGroup
	for i := range 8 {
		r, err := http.NewRequest("POST", "http://"+w.address+"/stream/", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		id := fmt.Sprintf("slow-%d", i)
		r.Host = "h"
		r.Header.Set("X-Fulmardeal-Attempt-Id", id)
		r.Header.Set("X-Fulmardeal-Deadline-Ms", "30000")
		r.Header.Set("Authorization", "Token k1")
		calls.Go(func() {
			a, err := transport.RoundTrip(r)
			if err != nil {
				t.Error(err)
				return
			}
			defer a.Body.Close()
			time.Sleep(2 * time.Second)
			body, err := io.Copy(io.Discard, a.Body)
			if err != nil || body < n*size || w.runs(id) != 1 {
				t.Errorf("%d bytes, %v, %d runs; want one run", body, err, w.runs(id))
			}
		})
	}
	calls.Wait()
	if strings.Contains(log.String(), "endpoint silent") {
		t.Error("an endpoint counts as silent though its caller was slow")
	}
}

// An attempt that has just begun must not count as silent because another one broke off.
func TestFreshAttemptIsNotSilent(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		c := catalogue(2)
		for i := range c.Routes {
			c.Routes[i].Attempts = 3
		}
		w.configure(c)
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			w.endpoint(id, "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") != "" {
					time.Sleep(600 * time.Millisecond)
					events(rw, 5, 9, 9)
					return
				}
				for i := 1; i <= 4; i++ {
					fmt.Fprintf(rw, "id: %d\ndata: e%d\n\n", i, i)
				}
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(1100 * time.Millisecond)
				panic(http.ErrAbortHandler)
			})
		}
	})
	a := w.call("POST", "/stream/", func(r *http.Request) { r.Header.Set("X-Fulmardeal-Deadline-Ms", "3000") })
	if a.err != nil || !strings.Contains(a.body, "e9") || w.runs(a.id) != 2 {
		t.Errorf("%d runs, want 2; %v: %q", w.runs(a.id), a.err, a.body)
	}
}

// A request that already waits in an engine when its weights are superseded must be
// withdrawn before the end of their permitted use, too.
func TestWithdrawnIfSupersededWhileWaiting(t *testing.T) {
	cancelled := make(chan time.Time, 1)
	w := startGateway(t, func(w *testGateway) {
		w.bounds.VersionSwitch = 2 * time.Second
		c := catalogue(2)
		c.Services = append(c.Services, fulmardeal.Service{Name: "llm", Engine: &fulmardeal.EngineSpec{Slots: 4, Layers: 1, Models: []fulmardeal.EngineModel{{Name: "m"}}}})
		c.Routes = append(c.Routes, fulmardeal.Route{
			Name: "verse", Host: "h", Prefix: "/verse/", Kind: fulmardeal.KindStream, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond,
			Shares: []fulmardeal.Share{{Service: "llm", Weight: 1}}, Attempts: 2, Resumable: true,
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
	published := make(chan time.Time, 1)
	time.AfterFunc(300*time.Millisecond, func() {
		published <- time.Now()
		w.store.put("operator", fulmardeal.Change{Key: "version/m", Naming: &fulmardeal.Publication{Model: "m", Version: 2}})
	})
	a := w.call("POST", "/verse/", func(r *http.Request) { r.Header.Set("X-Fulmardeal-Deadline-Ms", "4500") })
	select {
	case at := <-cancelled:
		if d := at.Sub(<-published); d > w.bounds.VersionSwitch-200*time.Millisecond {
			t.Errorf("withdrawn after %v with status %d, want well before %v", d, a.status, w.bounds.VersionSwitch)
		}
	case <-time.After(2 * time.Second):
		t.Errorf("request is still at the engine; status %d", a.status)
	}
}

// A stream whose events have no ids can't be resumed: the events would come twice.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		for _, id := range []string{"i-1", "i-2"} {
			w.endpoint(id, "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				for i := 1; i <= 9; i++ {
					if i == 5 && r.RequestURI == "/stream/silent" {
						time.Sleep(1300 * time.Millisecond)
					}
					if i == 5 && r.RequestURI == "/stream/broken" {
						panic(http.ErrAbortHandler)
					}
					fmt.Fprintf(rw, "data: e%d\n\n", i)
					_ = http.NewResponseController(rw).Flush()
				}
			})
		}
	})
	for _, path := range []string{"/stream/silent", "/stream/broken"} {
		a := w.call("POST", path, nil)
		if strings.Count(a.body, "data: e1\n") != 1 || w.runs(a.id) != 1 || (a.err == nil) != strings.Contains(a.body, "e9") {
			t.Errorf("%s: %d runs, %v: %q", path, w.runs(a.id), a.err, a.body)
		}
	}
}

// When a caller disconnects, both endpoints that have its request must stop.
func TestCallerDisconnectsFromTwoAttempts(t *testing.T) {
	stopped := make(chan time.Time, 2)
	w := startGateway(t, func(w *testGateway) {
		for _, id := range []string{"i-1", "i-2"} {
			w.endpoint(id, "shop", "a", func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				if d, _ := strconv.Atoi(r.Header.Get("X-Fulmardeal-Deadline-Ms")); w.runs(r.Header.Get("X-Fulmardeal-Attempt-Id")) == 2 && d > 650 {
					t.Errorf("the second attempt was given %d ms", d)
				}
				<-r.Context().Done()
				stopped <- time.Now()
			})
		}
	})
	var left time.Time
	a := w.call("GET", "/read/", func(r *http.Request) { // its timeout is 1 s, its second attempt begins after 0.4 s
		r.Header.Set("X-Fulmardeal-Deadline-Ms", "1200")
		left = time.Now().Add(600 * time.Millisecond)
		ctx, cancel := context.WithDeadline(r.Context(), left)
		t.Cleanup(cancel)
		*r = *r.WithContext(ctx)
	})
	for range 2 {
		select {
		case at := <-stopped:
			if d := at.Sub(left); d < 0 || d > 300*time.Millisecond {
				t.Errorf("an endpoint stopped %v after the caller disconnected", d)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("still running 2 s after the caller disconnected; %d runs", w.runs(a.id))
		}
	}
}
