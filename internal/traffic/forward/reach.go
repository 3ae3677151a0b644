package forward

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

// Reach tells whether a process listens at an endpoint's address.
type Reach string

// Values of Reach.
const (
	ReachOpen    Reach = "open"    // a process accepts connections
	ReachRefused Reach = "refused" // the instance is there, but no process listens
	ReachUnknown Reach = "unknown" // no reply, for example because the instance is cut off or has no power
)

// reachTimeout is how long Reach waits for a reply. A round trip takes a few ms.
const reachTimeout = 150 * time.Millisecond

// maxReachTries is how often ReachSettled calls an endpoint that doesn't reply, or that
// closes the connection.
const maxReachTries = 3

// Reach opens a connection to an endpoint and closes it again, in order to tell an
// endpoint that has crashed from a connection that was reset or cut.
func (p *Pool) Reach(ctx context.Context, address string) Reach {
	reach, _ := p.reach(ctx, address, 0)
	return reach
}

// ReachSettled is like Reach, but it doesn't mistake a process that is ending for one that is
// there: the kernel may end connections some time before it closes the listener. The connection
// must stay open for the given time. If the endpoint doesn't reply, it may be busy, and is
// called again.
func (p *Pool) ReachSettled(ctx context.Context, address string, settle time.Duration) Reach {
	reach, closed := ReachUnknown, false
	for range maxReachTries {
		reach, closed = p.reach(ctx, address, settle)
		if reach == ReachRefused || reach == ReachOpen && !closed {
			break
		}
	}
	return reach
}

// reach opens a connection, and reports whether the endpoint closes it within the given time.
func (p *Pool) reach(ctx context.Context, address string, settle time.Duration) (reach Reach, closed bool) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		defer c.Close()
		if settle > 0 && c.SetReadDeadline(time.Now().Add(settle)) == nil {
			_, err := c.Read(make([]byte, 1))
			closed = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		}
		return ReachOpen, closed
	case errors.Is(err, syscall.ECONNREFUSED):
		return ReachRefused, false
	}
	return ReachUnknown, false
}
