package soak

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	"fulmardeal/internal/standin/site"
)

// The requests of FaultPoison, and the limits on them.
const (
	poisonPrefix   = "dead-" // of all parts that crash engines
	poisonCallers  = 8
	poisonInterval = 100 * time.Millisecond // between two requests of one caller

	// boundContact is the time from the crash with number poisonCrashes until entries in
	// touch keep requests with that part from endpoints. maxPoisoned more are tolerated.
	boundContact  = 3 * time.Second
	poisonCrashes = 5
	maxPoisoned   = 3
)

func isPoison(part string) bool { return strings.HasPrefix(part, poisonPrefix) }

// poisonRecord is what happened with one poisoned part.
type poisonRecord struct {
	crashes  []time.Time
	arrivals int // requests that reached endpoints although they must not any more
}

// poison lets callers send requests with a poisoned part.
func (d *deployment) poison(f Fault) {
	d.mu.Lock()
	d.poisons++
	part := fmt.Sprintf("%s%d", poisonPrefix, d.poisons)
	d.mu.Unlock()
	var callers sync.WaitGroup
	defer callers.Wait()
	until := time.Now().Add(f.For)
	for i := range poisonCallers {
		c := newCaller(d, i, uint64(f.At)) // with the number of a sound caller, whose parts its prompts share
		c.poison, c.name = part, fmt.Sprintf("%s-%d", part, i)
		callers.Go(func() {
			defer c.client.CloseIdleConnections()
			for time.Now().Before(until) {
				c.sendRequest()
				time.Sleep(poisonInterval)
			}
		})
	}
}

// crashByPoison crashes an engine that begins to answer a request with a poisoned part,
// and restarts it.
func (d *deployment) crashByPoison(endpoint int, a site.ReceivedRequest) {
	d.mu.Lock()
	busy := d.busy[endpoint]
	d.busy[endpoint] = true
	d.mu.Unlock()
	end := d.checker.Disturb(a.Endpoint.Address)
	defer end()
	d.checker.crashed(a)
	d.restartEndpoint(endpoint, false)
	if !busy { // otherwise another fault of the endpoint is in progress
		d.mu.Lock()
		defer d.mu.Unlock()
		d.busy[endpoint] = false
	}
}

// crashed records that a request crashed an endpoint.
func (c *Checker) crashed(a site.ReceivedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[a.Attempt]; r != nil && r.poison != "" {
		record := c.poisonOf(r.poison)
		record.crashes = append(record.crashes, time.Now())
	}
}

// poisonOf returns the record of a poisoned part. c.mu must be held.
func (c *Checker) poisonOf(part string) *poisonRecord {
	if c.poisoned[part] == nil {
		c.poisoned[part] = &poisonRecord{}
	}
	return c.poisoned[part]
}

// checkPoison checks that requests with a poisoned part are kept from endpoints. c.mu must
// be held.
func (c *Checker) checkPoison(r *request, a site.ReceivedRequest) {
	if r.poison == "" {
		return
	}
	p := c.poisonOf(r.poison)
	if len(p.crashes) < poisonCrashes || r.sent.Sub(p.crashes[poisonCrashes-1]) < boundContact || !c.undisturbed(r.sent, entryScope(r.entry)) {
		return
	}
	if p.arrivals++; p.arrivals > maxPoisoned {
		c.record(GuaranteeQuarantined, a.Attempt, "received by %s as number %d with part %s, %v after its fifth crash", a.Endpoint.ID, p.arrivals, r.poison, r.sent.Sub(p.crashes[poisonCrashes-1]))
	}
}

// checkSound checks that a refused request is not refused for its parts, unless one of
// them is poisoned. c.mu must be held.
func (c *Checker) checkSound(r *request, body []byte) {
	if r.poison == "" && bytes.HasPrefix(body, []byte("quarantined")) {
		c.record(GuaranteeSound, r.attempt, "refused for its parts, none of which crashes endpoints")
	}
}
