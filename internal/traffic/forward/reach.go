package forward

import (
	"context"
	"errors"
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

// Reach opens a connection to an endpoint and closes it again, in order to tell an
// endpoint that has crashed from a connection that was reset or cut.
func (p *Pool) Reach(ctx context.Context, address string) Reach {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		c.Close()
		return ReachOpen
	case errors.Is(err, syscall.ECONNREFUSED):
		return ReachRefused
	}
	return ReachUnknown
}
