package soak

import (
	"slices"
	"time"

	"fulmardeal/internal/standin/site"
)

// Limits of the checks of pauses: requests on their way are tolerated, and
// maxPausedArrivals more.
const (
	pauseTolerance    = 500 * time.Millisecond
	maxPausedArrivals = 2
)

// notice is what an endpoint said about itself in a response to an entry.
type notice struct {
	entry    int
	endpoint string
	at       time.Time
	pause    time.Duration // how long the entry is asked to send nothing; 0 if the endpoint leaves
	arrivals int           // requests that arrived from the entry within the pause
}

// restart is the restart of a process, which forgets what it was told.
type restart struct {
	scope string
	at    time.Time
}

// Restarted records that a process was restarted by a planned stop.
func (c *Checker) Restarted(scope string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restarts = append(c.restarts, restart{scope: scope, at: time.Now()})
}

// justRestarted reports whether a process was restarted by a planned stop in the settleTime
// before the given time. c.mu must be held.
func (c *Checker) justRestarted(at time.Time, scope string) bool {
	return slices.ContainsFunc(c.restarts, func(r restart) bool { return r.scope == scope && at.Sub(r.at) < settleTime })
}

// NoticeSent records that an endpoint says that it is leaving, or asks for a pause.
func (c *Checker) NoticeSent(a site.ReceivedRequest, leaving bool, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.Attempt]
	if r == nil {
		return
	}
	n := notice{entry: r.entry, endpoint: a.Endpoint.ID, at: time.Now()}
	if pause > 0 {
		n.pause = pause
		c.notices = append(c.notices, n)
	}
	if leaving && !slices.ContainsFunc(c.notices, func(o notice) bool { return o.entry == n.entry && o.endpoint == n.endpoint && o.pause == 0 }) {
		n.pause = 0
		c.notices = append(c.notices, n)
	}
}

// remembered reports whether an entry must know a notice: neither the entry nor its
// connections to the endpoint have been disturbed or restarted since. Disturbances of
// the store don't matter. c.mu must be held.
func (c *Checker) remembered(n notice, address string) bool {
	entry := entryScope(n.entry)
	return !slices.ContainsFunc(c.disturbances, func(d disturbance) bool {
		return (d.scope == entry || d.scope == address) && (d.to.IsZero() || d.to.Add(settleTime).After(n.at))
	}) && !slices.ContainsFunc(c.restarts, func(r restart) bool { return r.scope == entry && !r.at.Before(n.at) })
}

// checkNotices checks that an endpoint receives no request that contradicts what it
// said to the entry before.
func (c *Checker) checkNotices(r *request, a site.ReceivedRequest) {
	for i := range c.notices {
		n := &c.notices[i]
		if n.entry != r.entry || n.endpoint != a.Endpoint.ID || !c.remembered(*n, a.Endpoint.Address) {
			continue
		}
		age := a.Time.Sub(n.at)
		switch {
		case n.pause == 0 && r.sent.Sub(n.at) > boundDrain:
			c.record(GuaranteeDrained, a.Attempt, "received by %s, sent %v after it told entry %d that it leaves", a.Endpoint.ID, r.sent.Sub(n.at), n.entry)
		case n.pause > 0 && age > pauseTolerance && age < n.pause:
			if n.arrivals++; n.arrivals > maxPausedArrivals {
				c.record(GuaranteePaused, a.Attempt, "received by %s as number %d within a pause of %v that it asked entry %d for", a.Endpoint.ID, n.arrivals, n.pause, n.entry)
			}
		}
	}
}
