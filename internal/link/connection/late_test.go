package connection

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal/internal/standin/network"
)

// lateService is an RPC service that replies after a second.
type lateService struct{}

func (lateService) Data(_ Ping, reply *[]byte) error {
	time.Sleep(time.Second)
	*reply = []byte("late")
	return nil
}

// A reply that arrives after its call has returned must not be written to memory that the
// caller uses again.
func TestLateReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network.Memory{}
		server, closeServer, err := Listen(n, "server:0")
		if err != nil {
			t.Fatal(err)
		}
		defer closeServer()
		if err := server.Register("Late", lateService{}); err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve() }()
		client, closeClient := NewClient(n, server.Address())
		defer closeClient()

		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		data := []byte("own")
		if err := client.Call(ctx, "Late.Data", Ping{}, &data); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("error %v, want %v", err, context.DeadlineExceeded)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if string(data) != "own" {
			t.Errorf("the caller's data is %q after a late reply, want it unchanged", data)
		}
		if err := client.Call(t.Context(), "Late.Data", Ping{}, &data); err != nil || string(data) != "late" {
			t.Errorf("reply %q, error %v; want the service's reply", data, err)
		}
	})
}
