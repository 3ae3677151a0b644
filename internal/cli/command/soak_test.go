package command

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// A soak must end when the reader of its output goes away, and not when the peer of one
// of its connections does.
func TestOnlyClosedOutputEndsSoak(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	ctx, out, stop := watchOutput(t.Context(), w)
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	peer.Close()
	for until := time.Now().Add(5 * time.Second); !errors.Is(err, syscall.EPIPE) && time.Now().Before(until); {
		_, err = conn.Write([]byte("x"))
	}
	if !errors.Is(err, syscall.EPIPE) {
		t.Fatalf("write to a closed connection: %v", err)
	}
	time.Sleep(50 * time.Millisecond)
	if ctx.Err() != nil {
		t.Error("ended by a connection whose peer has gone away")
	}
	r.Close()
	if _, err := out.Write([]byte("x")); err == nil || ctx.Err() == nil {
		t.Errorf("output closed: write returned %v, context %v", err, ctx.Err())
	}
}
