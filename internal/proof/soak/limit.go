package soak

import (
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
)

// Limits of the checks of endpoints that name a limit: from settleTime after the first naming,
// an endpoint may get limitFactor times as many requests within limitWindow, and limitBurst
// more, from the entries that have been told for limitDelay.
const (
	limitWindow = 4 * time.Second
	limitDelay  = 500 * time.Millisecond
	limitFactor = 1.5
	limitBurst  = 5.0
)

// limitRates are the limits that endpoints name, in requests per second.
var limitRates = []float64{0, 0.5, 1.6, 3, 6}

// limitRate returns the limit that an endpoint names in a fault.
func (f Fault) limitRate() float64 {
	return limitRates[int(f.At.Milliseconds())%len(limitRates)]
}

// limitRecord is a limit that an endpoint names.
type limitRecord struct {
	endpoint string // id
	rate     float64
	address  string    // of the proxy in front of the endpoint
	named    time.Time // first; zero until then
	told     map[int]time.Time
	arrivals []time.Time
	ended    bool
}

// limit records that an endpoint names a limit from now on. The returned function records that
// it doesn't any longer.
func (c *Checker) limit(e *site.Endpoint, rate float64) func() {
	reg, _ := e.Registration() // the endpoint holds its lock while it calls the checker
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addLimit(reg, rate)
}

// addLimit is limit for a registration. c.mu must be held.
func (c *Checker) addLimit(reg fulmardeal.Registration, rate float64) func() {
	l := &limitRecord{endpoint: reg.ID, rate: rate, address: reg.Address, told: make(map[int]time.Time)}
	c.limits = append(c.limits, l)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		l.ended = true
	}
}

// LimitSent records that an endpoint names its limit to an entry.
func (c *Checker) LimitSent(a site.ReceivedRequest, _ float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.Attempt]
	if r == nil {
		return
	}
	for _, l := range c.limits {
		if l.ended || l.endpoint != a.Endpoint.ID {
			continue
		}
		now := time.Now()
		if l.named.IsZero() {
			l.named = now
		}
		if _, told := l.told[r.entry]; !told {
			l.told[r.entry] = now
		}
	}
}

// checkLimit counts a request at an endpoint that names a limit. An entry that was disturbed or
// restarted since it was told is excused. c.mu must be held.
func (c *Checker) checkLimit(r *request, a site.ReceivedRequest) {
	for _, l := range c.limits {
		told, known := l.told[r.entry]
		if l.ended || l.endpoint != a.Endpoint.ID || !known || a.Time.Sub(told) < limitDelay || a.Time.Sub(l.named) < settleTime ||
			!c.remembered(notice{entry: r.entry, at: told}, l.address) {
			continue
		}
		l.arrivals = append(l.arrivals, a.Time)
		for a.Time.Sub(l.arrivals[0]) > limitWindow {
			l.arrivals = l.arrivals[1:]
		}
		if allowed := limitFactor*l.rate*limitWindow.Seconds() + limitBurst; float64(len(l.arrivals)) > allowed {
			c.record(GuaranteeLimit, a.Attempt, "received by %s as number %d within %v, at a limit of %g a second", a.Endpoint.ID, len(l.arrivals), limitWindow, l.rate)
		}
	}
}
