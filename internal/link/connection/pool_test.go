package connection

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal/internal/standin/network"
)

// slowService is an RPC service whose call takes a second.
type slowService struct{}

func (slowService) Wait(Ping, *Ping) error {
	time.Sleep(time.Second)
	return nil
}

// A full pool makes room by closing idle clients only, and returns to its size once
// calls have ended.
func TestPoolKeepsClientsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network.Memory{}
		pool, closePool := NewPool(n, 2)
		results := make(chan error)
		const servers = 5
		var last string
		for range servers {
			server, closeServer, err := Listen(n, "server:0")
			if err != nil {
				t.Fatal(err)
			}
			defer closeServer()
			if err := server.Register("Slow", slowService{}); err != nil {
				t.Fatal(err)
			}
			go func() { _ = server.Serve() }()
			last = server.Address()
			go func() { results <- pool.Call(t.Context(), server.Address(), "Slow.Wait", Ping{}, &Ping{}) }()
		}
		for range servers {
			if err := <-results; err != nil {
				t.Error(err)
			}
		}
		synctest.Wait()
		if n := len(pool.clients); n != 2 {
			t.Errorf("idle pool has %d clients, want 2", n)
		}

		closePool()
		var dial *DialError
		if err := pool.Call(context.Background(), last, "Slow.Wait", Ping{}, &Ping{}); !errors.As(err, &dial) || !errors.Is(err, net.ErrClosed) {
			t.Errorf("call of a closed pool: error %v, want a *DialError for net.ErrClosed", err)
		}
	})
}
