package forward_test

import (
	"context"
	"net"
	"testing"
	"time"

	"fulmardeal/internal/traffic/forward"
)

// An endpoint whose process is gone must not be mistaken for one whose connections were
// reset, nor for an instance that can't be reached.
func TestReachTellsCrashFromCut(t *testing.T) {
	p, closePool := forward.NewPool(1)
	defer closePool()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if got := p.Reach(context.Background(), address); got != forward.ReachOpen {
		t.Errorf("a listening process: %s, want %s", got, forward.ReachOpen)
	}
	l.Close()
	if got := p.Reach(context.Background(), address); got != forward.ReachRefused {
		t.Errorf("no process: %s, want %s", got, forward.ReachRefused)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got := p.Reach(ctx, address); got != forward.ReachUnknown {
		t.Errorf("no reply: %s, want %s", got, forward.ReachUnknown)
	}
}

// A process that is ending may still accept a connection after it has ended others. It must
// not count as one that is there.
func TestReachOfEndingProcess(t *testing.T) {
	p, closePool := forward.NewPool(1)
	defer closePool()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if got := p.ReachSettled(t.Context(), address, 50*time.Millisecond); got != forward.ReachOpen {
		t.Errorf("a listening process: %s, want %s", got, forward.ReachOpen)
	}
	time.AfterFunc(30*time.Millisecond, func() { l.Close() })
	if got := p.ReachSettled(t.Context(), address, 200*time.Millisecond); got != forward.ReachRefused {
		t.Errorf("an ending process: %s, want %s", got, forward.ReachRefused)
	}
}
