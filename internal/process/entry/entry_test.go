package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/standin/platform"
	"fulmardeal/internal/traffic/attempt"
	"fulmardeal/internal/traffic/choice"
)

// exhaustedListener is a listener that fails for lack of descriptors a few times.
type exhaustedListener struct {
	net.Listener
	left atomic.Int64 // how many more times it fails
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// An entry that can't accept a connection for lack of descriptors goes on to serve.
func TestEntryOutlastsLackOfDescriptors(t *testing.T) {
	e, cleanup, err := New(Options{
		Settings:   settings.Process{Name: "entry", DataCentre: "a", Region: "r", Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0"},
		Platform:   Platform{Network: connection.TCP{}, Log: platform.NewLog(0), Directory: platform.NewDirectory(0, time.Minute)},
		Logger:     slog.New(slog.DiscardHandler),
		Invariants: &invariant.Recorder{},
		Policy:     choice.PolicyTwoChoices,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	exhausted := &exhaustedListener{Listener: e.listener}
	exhausted.left.Store(3)
	e.listener = exhausted
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()

	client := http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + e.Address() + "/-/live")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	stop()
	if err := <-ended; err != nil {
		t.Errorf("entry ended with error %v", err)
	}
	if left := exhausted.left.Load(); left >= 0 {
		t.Errorf("%d failures are left, want a connection accepted after the last one", left)
	}
}

// A panic in a handler must end only its own request, which may have run.
func TestHandlerPanicEndsOneRequest(t *testing.T) {
	e := &Entry{log: slog.New(slog.DiscardHandler), stats: &Stats{}} // without the node that handlers use
	server := e.newServer()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	client := http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for range 2 {
		response, err := client.Get("http://" + listener.Addr().String() + "/shop/orders")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if ran := response.Header.Get(HeaderRan); response.StatusCode != http.StatusBadGateway || ran != string(attempt.RanUnknown) {
			t.Errorf("status %d, ran %q; want 502 and unknown", response.StatusCode, ran)
		}
	}
	if err := server.Shutdown(); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
