package dispatch

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fulmardeal/internal/traffic/ratelimit"
)

// This file tells what Reserve would do with a request, without doing it.

// Decision is what Reserve would do with a request.
type Decision string

// Decisions on a request.
const (
	DecisionSend   Decision = "send"
	DecisionWait   Decision = "wait"
	DecisionRefuse Decision = "refuse"
)

// TextDuration is a duration that JSON gives as text, such as 1.5ms.
type TextDuration time.Duration

// MarshalText returns the duration as text, rounded to 10 µs.
func (d TextDuration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses the text of a duration.
func (d *TextDuration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = TextDuration(parsed)
	return err
}

func (d TextDuration) String() string { return time.Duration(d).Round(10 * time.Microsecond).String() }

// Preview is what would be decided about a request now, and why.
type Preview struct {
	Decision   Decision      `json:"decision"`
	Endpoint   string        `json:"endpoint,omitempty"`   // that it would be sent to; other ones may be as good and are drawn at random
	Reason     RefusalReason `json:"reason,omitempty"`     // for a refusal
	RetryAfter TextDuration  `json:"retryAfter,omitempty"` // for a refusal, spread at random
	Wait       TextDuration  `json:"wait,omitempty"`       // after which it is refused if no slot has become free
	Before     int           `json:"before,omitempty"`     // requests that come before it in the queue of this entry
	LeavesSlot bool          `json:"leavesSlot,omitempty"` // it waits although a slot is free, for others that come before it
	Overuse    float64       `json:"overuse,omitempty"`    // how far its customer is above its part, as a fraction of the part

	Queued     int         `json:"queued"`     // requests in the queue of this entry
	Contenders int         `json:"contenders"` // entries with queued requests, among which free slots are divided
	Candidates []Candidate `json:"candidates"` // sorted by Reason, Predicted and ID
}

// Candidate is one endpoint of the request's service.
type Candidate struct {
	ID          string       `json:"id"`
	Address     string       `json:"address"`
	DataCentre  string       `json:"dataCentre"`
	Region      string       `json:"region"`
	Eligible    bool         `json:"eligible"`         // it may serve the request, now or when it has room
	Reason      string       `json:"reason,omitempty"` // why it gets no request now
	Running     int          `json:"running"`          // requests of this entry in progress
	PeerRunning int          `json:"others"`           // requests of other entries in progress
	Slots       int          `json:"slots"`            // 0 if unknown
	Free        int          `json:"free"`             // further requests like this one that it can start now; math.MaxInt32 if its slots are unknown
	Predicted   TextDuration `json:"predicted"`        // time to the first event or for the work, with the penalties
	Network     TextDuration `json:"network"`          // penalty of the way, in Predicted
	Lag         TextDuration `json:"lag"`              // mean of how much later than predicted first events came, in Predicted
	Away        bool         `json:"away"`             // in another data centre
	Share       float64      `json:"share,omitempty"`  // of the requests that leave for its data centre although there is room at home
	Barred      string       `json:"barred,omitempty"` // why there is no share
}

// Preview returns what Reserve would decide about a request now. It changes nothing: the decision
// is made in a copy of what is known of the service. Random choices are drawn anew.
func (t *Table) Preview(now time.Time, req *Request) Preview {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.copyFor(now, req).describe(now, req)
	c := t.copyFor(now, req) // looking at limits changes them
	r, w, reason := c.reserveOrQueue(now, req)
	if w != nil {
		select {
		case reason = <-w.refused:
			w = nil
		default:
		}
	}
	switch {
	case r != nil:
		p.Decision, p.Endpoint = DecisionSend, r.endpoint.id
	case w != nil:
		p.Decision, p.Wait, p.LeavesSlot, p.Overuse = DecisionWait, TextDuration(w.waitUntil.Sub(now)), w.leftSlot, w.overuse
		p.Before = max(0, slices.Index(w.group.queue.waiters, w))
	default:
		refused := c.refusal(req, reason, 0)
		p.Decision, p.Reason, p.RetryAfter = DecisionRefuse, refused.Reason, TextDuration(refused.RetryAfter)
	}
	return p
}

// describe returns what is known of a request's service, without a decision. The caller must hold
// t.mu, or be the only user of t.
func (t *Table) describe(now time.Time, req *Request) (p Preview) {
	if g := t.services[req.Service]; g != nil {
		f := t.fleetState(now, g)
		sameRegion, otherRegions := t.contenders(now, req.Service, g)
		p.Queued, p.Contenders, p.Candidates = len(g.queue.waiters), sameRegion+otherRegions, t.candidates(f, g, req)
	}
	return p
}

// copyFor returns a table of its own in which a request can be decided about. What decisions
// don't change is shared with t. The caller must hold t.mu.
func (t *Table) copyFor(now time.Time, req *Request) *Table {
	o := t.options
	o.Seed = rand.Uint64()
	c := New(o)
	c.view, c.peers, c.regionPeers, c.heard, c.peerLoads = t.view, maps.Clone(t.peers), t.regionPeers, maps.Clone(t.heard), maps.Clone(t.peerLoads)
	c.intervals, c.contention, c.withinPart = t.intervals, t.contention, maps.Clone(t.withinPart)
	if at, known := t.refusals.firstSent[req.Fingerprint]; known {
		c.refusals.record(now, req.Fingerprint, at)
	}
	g := t.services[req.Service]
	if g == nil {
		return c
	}
	copied := g.copy()
	c.services[g.name] = copied
	var keys []ratelimit.Key
	for _, e := range copied.endpoints {
		keys = append(keys, e.limitKey)
	}
	c.limits, c.fairness = t.limits.CopyOf(keys), t.fairness.CopyOf(req.Service)
	return c
}

// copy returns a group of its own, without absent endpoints: no decision depends on these.
func (g *group) copy() *group {
	c := *g
	c.absent = nil
	c.endpoints = make([]*Endpoint, len(g.endpoints))
	c.byDataCentre = make(map[string][]*Endpoint, len(g.byDataCentre))
	for i, e := range g.endpoints {
		copied := *e
		copied.recentSends, copied.released = slices.Clone(e.recentSends), slices.Clone(e.released)
		c.endpoints[i] = &copied
		c.byDataCentre[e.registration.DataCentre] = append(c.byDataCentre[e.registration.DataCentre], &copied)
	}
	c.egress.ways = make(map[string]*way, len(g.egress.ways))
	for dataCentre, w := range g.egress.ways {
		copied := *w
		c.egress.ways[dataCentre] = &copied
	}
	c.queue.waiters = make([]*waiter, len(g.queue.waiters))
	for i, w := range g.queue.waiters {
		copied := *w
		copied.group, copied.assigned, copied.refused = &c, make(chan assignment, 1), make(chan RefusalReason, 1)
		c.queue.waiters[i] = &copied
	}
	return &c
}

// candidates returns what is known of a service's endpoints with regard to a request. The caller
// must hold t.mu.
func (t *Table) candidates(f *fleetState, g *group, req *Request) []Candidate {
	out := make([]Candidate, 0, len(g.endpoints))
	atHome := mayStay(f, g.byDataCentre[t.options.DataCentre], req)
	for _, e := range g.endpoints {
		dataCentre := e.registration.DataCentre
		c := Candidate{
			ID: e.id, Address: e.address, DataCentre: dataCentre, Region: e.region, Eligible: eligible(f, e, req),
			Running: e.inProgress, PeerRunning: f.peerLoads[e.hash].inProgress, Slots: e.slots(), Predicted: TextDuration(predict(f, e, req)),
			Network: TextDuration(e.networkDelay + f.remotePenalty(e)), Lag: TextDuration(e.currentLag(f.now)), Away: dataCentre != t.options.DataCentre,
		}
		if c.Eligible {
			c.Free = max(0, freeSlots(f, e, req))
		}
		if w := g.egress.ways[dataCentre]; w != nil && c.Away {
			c.Share, c.Barred = w.share, w.barred
		}
		switch {
		case !c.Eligible:
			c.Reason = whyIneligible(f, e, req)
		case c.Free == 0:
			c.Reason = whyNotFree(f, e)
		case f.limitAllows != nil && !f.limitAllows(e):
			c.Reason = "at its limit of the rate of requests"
		case e.isSuspect(f.now):
			c.Reason = "suspect"
		case c.Away && g.egress.on && atHome && !t.mayLeave(f.now, g, dataCentre):
			c.Reason = "requests don't leave for its data centre"
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Predicted, b.Predicted), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// whyIneligible returns why an endpoint that isn't eligible for a request isn't.
func whyIneligible(f *fleetState, e *Endpoint, req *Request) string {
	switch {
	case e.isLeaving():
		return "leaving"
	case f.outOfService(e.registration.DataCentre):
		return "data centre out of service"
	case slices.Contains(req.Tried, e.id):
		return "excluded"
	case slices.ContainsFunc(req.HomeRegions, func(homes []string) bool { return len(homes) > 0 && !slices.Contains(homes, e.region) }):
		return "outside the home regions"
	case e.weights == 0:
		return "no weights"
	case e.heartbeatsDue > 0:
		return "its process has ended"
	case !f.weightsUsable(e.weights):
		return "superseded weights"
	}
	return "weights not permitted for the request"
}

// whyNotFree returns why an endpoint that is eligible for a request can't start it.
func whyNotFree(f *fleetState, e *Endpoint) string {
	switch {
	case e.isPaused(f.now):
		return "paused"
	case f.now.Before(e.fullUntil):
		return "refused one for lack of room"
	case f.now.Before(e.mismatchUntil):
		return "not what its registration says"
	case f.now.Before(e.loadingUntil):
		return "loads weights"
	case !e.coldRateAllows(f.now, f.entries):
		return "cold"
	case f.unusedSlots(e) <= 0:
		return "full"
	case e.region != f.region && f.staleness(e) > maxFreshInterval:
		return "last free slot left to its region"
	}
	return "prompts to process"
}
