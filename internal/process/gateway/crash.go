package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"fulmardeal/internal/traffic/dispatch"
	"fulmardeal/internal/traffic/forward"
)

// crashCheckTTL is how long the result of a check applies to further requests that were
// lost at the same endpoint. A crash ends all of them within moments.
const crashCheckTTL = 2 * time.Second

// crashChecks finds out whether endpoints have crashed. All requests that an endpoint
// loses at the same time share one check. The zero value is ready to use.
type crashChecks struct {
	mu     sync.Mutex
	checks map[string]*crashCheck // by id of the endpoint
}

type crashCheck struct {
	started time.Time
	done    chan struct{}
	crashed bool // valid once done is closed
}

// crashed reports whether the process of an endpoint that broke off a response is gone. A
// connection that was reset, a cut, an instance without power and an endpoint that
// announced its end don't count.
//
// A check that began before the given time doesn't apply.
func (s *crashChecks) crashed(ctx context.Context, pool *forward.Pool, log *slog.Logger, r *dispatch.Reservation, since time.Time) bool {
	e := r.Endpoint()
	c, first := s.check(e.ID(), since)
	if !first {
		<-c.done
		return c.crashed
	}
	defer close(c.done)
	reach := pool.Reach(context.WithoutCancel(ctx), e.Address())
	leaving, cold := r.EndpointState()
	c.crashed = reach == forward.ReachRefused && !leaving
	log.Warn("endpoint checked", "endpoint", e.ID(), "address", e.Address(), "reach", reach, "leaving", leaving, "cold", cold, "crashed", c.crashed)
	return c.crashed
}

// check returns the current check of an endpoint. If it has just been created, first is
// true and the caller makes it.
func (s *crashChecks) check(id string, since time.Time) (c *crashCheck, first bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, c := range s.checks {
		if now.Sub(c.started) > crashCheckTTL {
			delete(s.checks, id)
		}
	}
	if c := s.checks[id]; c != nil && !c.started.Before(since) {
		return c, false
	}
	if s.checks == nil {
		s.checks = make(map[string]*crashCheck)
	}
	c = &crashCheck{started: now, done: make(chan struct{})}
	s.checks[id] = c
	return c, true
}
