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

	// These fields are valid once done is closed.
	reach   forward.Reach
	leaving bool
}

// crashed reports whether the process is gone. A connection that was reset, a cut, an instance
// without power and an endpoint that announced its end don't count.
func (c *crashCheck) crashed() bool { return c.reach == forward.ReachRefused && !c.leaving }

// confirmsEnd reports whether the process is there, so that a response that ended with its
// connection may be taken for whole.
func (c *crashCheck) confirmsEnd() bool { return c.reach == forward.ReachOpen }

// mayBeLeaving reports whether the process may be there although it doesn't listen any longer,
// because it serves its last requests.
func (c *crashCheck) mayBeLeaving() bool { return c.reach == forward.ReachRefused && c.leaving }

// Times for which an endpoint must be there after the end of a response without a length, for
// the response to be taken for whole.
const (
	streamSettleTime = 100 * time.Millisecond // the caller already has all events
	plainSettleTime  = 30 * time.Millisecond
	uploadSettleTime = 100 * time.Millisecond // the request's body was large, and the endpoint may have left it unread
)

// maxSmallBody is the size up to which a request's body isn't large: an endpoint gets it
// together with the head.
const maxSmallBody = 16 << 10

// crashSettleTime is how long a process that closed a connection must be there in order not to
// count as ended. The next attempt waits for it.
const crashSettleTime = 30 * time.Millisecond

// check finds out whether the process of an endpoint that broke off a response is gone. It
// may share a check that began at the given time or later. If settle isn't zero, the process
// must be there for so long.
func (s *crashChecks) check(ctx context.Context, pool *forward.Pool, log *slog.Logger, r *dispatch.Reservation, since time.Time, settle time.Duration) *crashCheck {
	e := r.Endpoint()
	c, first := s.current(e.ID(), since)
	if !first {
		<-c.done
		return c
	}
	defer close(c.done)
	if settle > 0 {
		c.reach = pool.ReachSettled(context.WithoutCancel(ctx), e.Address(), settle)
	} else {
		c.reach = pool.Reach(context.WithoutCancel(ctx), e.Address())
	}
	leaving, cold := r.EndpointState()
	c.leaving = leaving
	if c.crashed() {
		r.RecordCrash()
	}
	log.Warn("endpoint checked", "endpoint", e.ID(), "address", e.Address(), "reach", c.reach, "leaving", leaving, "cold", cold, "crashed", c.crashed())
	return c
}

// current returns the current check of an endpoint. If it has just been created, first is
// true and the caller makes it.
func (s *crashChecks) current(id string, since time.Time) (c *crashCheck, first bool) {
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
