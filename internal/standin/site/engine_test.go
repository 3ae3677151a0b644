package site_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
)

// exchange writes a byte and reports whether it comes back.
func exchange(conn net.Conn) bool {
	_, err := conn.Write([]byte{'x'})
	if err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	var buf [1]byte
	_, err = io.ReadFull(conn, buf[:])
	return err == nil
}

// TestMute checks that muted connections stay open and forward nothing, and that new ones work.
func TestMute(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	proxy, closeProxy, err := site.NewProxy(address, target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeProxy()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	old := dial()
	if !exchange(old) {
		t.Fatal("no echo before the connection was muted")
	}
	proxy.Mute()
	if exchange(old) {
		t.Error("echo on a muted connection")
	}
	_ = old.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := old.Read(make([]byte, 1)); err == nil || !err.(net.Error).Timeout() {
		t.Errorf("read of a muted connection: %v, want a timeout", err)
	}
	if !exchange(dial()) {
		t.Error("no echo on a new connection")
	}
}

// TestView checks that a view's faults concern its own calls only.
func TestView(t *testing.T) {
	store := site.NewStore()
	a, b := store.View(), store.View()
	status := func(v http.Handler) int {
		w := httptest.NewRecorder()
		v.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/api/log-newest?topic=x&part=0", nil))
		return w.Code
	}
	for mode, want := range map[site.Mode]int{site.ModeHealthy: 200, site.ModeDown: 503, site.ModeLimited: 429} {
		a.SetMode(mode)
		if got := [2]int{status(a), status(b)}; got != [2]int{want, 200} {
			t.Errorf("%s: status %v, want %d and 200", mode, got, want)
		}
	}
}

// engine starts an engine with version 1.
func engine(t *testing.T) *site.Endpoint {
	t.Helper()
	spec := &fulmardeal.EngineSpec{Slots: 1, Models: []fulmardeal.EngineModel{{Name: "rhyme", Warm: time.Millisecond}}, Layers: 4, Chunks: 4, ChunkSize: 16}
	e := site.NewEndpoint(site.EndpointOptions{Service: "verse", Address: "127.0.0.1:1", ListenAddress: "127.0.0.1:0", Slots: 1, Engine: spec, Origin: site.NewOrigin(4, 16), Observer: &arrivals{}}, true)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Crash(true) })
	return e
}

// TestEngineTakesOldWeights checks the ways in which an engine comes to hold older weights.
func TestEngineTakesOldWeights(t *testing.T) {
	version := func(e *site.Endpoint) int64 { return fulmardeal.Holds(e.State().Spans, 4) }
	restart := func(e *site.Endpoint, preloaded bool) {
		e.Crash(false)
		e.KeepID(preloaded)
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
	}
	awaitVersion := func(e *site.Endpoint, want int64) {
		t.Helper()
		for until := time.Now().Add(2 * time.Second); version(e) != want; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("version %d, want %d", version(e), want)
			}
		}
	}
	e := engine(t)
	origin := site.NewOrigin(4, 16)
	chunks, _ := origin.Chunks(fulmardeal.Version{Name: "2"})
	for i, c := range chunks {
		e.Put("rhyme", i, c)
	}
	if _, accepted := e.Order(fulmardeal.Version{Name: "2"}, 0); !accepted {
		t.Fatal("order refused")
	}
	awaitVersion(e, 2)
	before, _ := e.Registration()
	e.Revert()
	awaitVersion(e, 1)
	if got, _ := e.Get("rhyme", 0); !bytes.Equal(got, chunks[0]) || e.State().OrderCount != 2 {
		t.Errorf("after a revert: staged chunks changed, or %d orders, want 2", e.State().OrderCount)
	}
	restart(e, false)
	after, _ := e.Registration()
	if version(e) != 0 || after.ID != before.ID || !after.Born.After(before.Born) || e.State().OrderCount != 0 {
		t.Errorf("restarted under its id: version %d, registrations %+v and %+v", version(e), before, after)
	}
	restart(e, true)
	if version(e) != 1 {
		t.Errorf("restarted with version 1: version %d", version(e))
	}
	e.Stale(time.Minute, time.Minute)
	restart(e, false)
	if stale, _ := e.Registration(); version(e) != 1 || fulmardeal.Holds(stale.Spans, 4) != 1 {
		t.Errorf("stale: reports version %d, registers %+v", version(e), stale)
	}
	e.Crash(false)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	if r, _ := e.Registration(); r.ID == before.ID {
		t.Errorf("restarted without KeepID: id %s as before", r.ID)
	}
}
