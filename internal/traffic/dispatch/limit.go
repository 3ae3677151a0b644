package dispatch

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmardeal"
	"fulmardeal/internal/traffic/ratelimit"
)

// This file applies the limits of endpoints that take a limited rate of requests from all
// entries together: those that name a limit, and cold ones. A request is sent there only with a
// grant, see package ratelimit, or within this entry's share of a cold endpoint's rate.

// coldBurst is the time for which grants that nobody asked for are kept, for a cold endpoint of
// whose rate each entry has a share: as long as requests wait for a grant.
const coldBurst = maxWait

// demandPeriod is the time over which the rate of requests for a service is averaged.
const demandPeriod = time.Second

// demand is the rate of requests for a service at this entry.
type demand struct {
	rate      float64 // requests per second
	updatedAt time.Time
}

// add counts a request.
func (d *demand) add(now time.Time) {
	d.rate = d.current(now) + 1/demandPeriod.Seconds()
	d.updatedAt = now
}

func (d *demand) current(now time.Time) float64 {
	return d.rate * math.Exp(-now.Sub(d.updatedAt).Seconds()/demandPeriod.Seconds())
}

// limitKey returns the key of the incarnation of an endpoint that a registration describes.
func limitKey(r *fulmardeal.Registration) ratelimit.Key {
	return ratelimit.Key(xxhash.Sum64String(r.ID + "/" + strconv.FormatInt(r.Born.UnixMilli(), 10)))
}

// limitAllows reports whether a request may be sent to an endpoint with regard to its limit.
// The caller must hold t.mu.
func (t *Table) limitAllows(now time.Time, g *group, e *Endpoint) bool {
	var cold ratelimit.Cold
	demand := g.demand.current(now)
	if e.isCold(now) {
		share, rest := t.coldShare(e)
		switch {
		case e.shareAllows(now, share):
			return true
		case rest <= 0:
			return false
		}
		cold = ratelimit.Cold{Rate: rest, Until: e.coldUntil}
		demand = max(0, demand-float64(share))
	}
	if t.limits.Allows(now, e.limitKey, cold, demand) {
		return true
	}
	t.wakeLimits()
	return false
}

// coldShare returns this entry's share of an endpoint's cold rate, and the rate of the grants.
// There are only grants if the endpoint has named a limit. The caller must hold t.mu.
func (t *Table) coldShare(e *Endpoint) (share int, rest float64) {
	if t.limits.Names(e.limitKey) {
		return 0, e.service.ColdRate
	}
	return coldShare(e.service.ColdRate, 1+len(t.peers))
}

// takePermit takes what permits a request to an endpoint: a grant, because grants expire, or else a
// request of this entry's share of its cold rate, which it reports. Without either the request is
// withheld when it is to be sent. The caller must hold t.mu.
func (t *Table) takePermit(now time.Time, e *Endpoint) (permit ratelimit.Permit, shared bool) {
	if permit, _ = t.limits.Take(now, e.limitKey); permit.Limited() {
		t.wakeLimits()
		return permit, false
	}
	if e.isCold(now) {
		share, _ := t.coldShare(e)
		shared = e.shareAllows(now, share)
	}
	e.recordSend(now)
	return permit, shared
}

// forecast returns what is expected of an endpoint that may not be sent a request now, or false if
// it may. The caller must hold t.mu.
func (t *Table) forecast(now time.Time, e *Endpoint) (ratelimit.Forecast, bool) {
	f, limited := t.limits.Forecast(now, e.limitKey)
	if !limited || !e.isCold(now) {
		return f, limited
	}
	share, _ := t.coldShare(e)
	if share == 0 {
		return f, true
	}
	free := e.shareFreeAt(now, share)
	if !free.After(now) {
		return ratelimit.Forecast{}, false
	}
	if !f.Next.IsZero() {
		f.Next = minTime(f.Next, free)
	}
	f.Rate += float64(share * f.Requesters)
	return f, true
}

// awaitGrants asks for grants for a queued request. The caller must hold t.mu.
func (t *Table) awaitGrants(now time.Time, f *fleetState, w *waiter) {
	for _, e := range w.group.endpoints {
		if !eligible(f, e, w.request) || e.isPaused(now) {
			continue
		}
		if _, lacks := t.forecast(now, e); lacks {
			t.limits.Await(now, e.limitKey, w.waitUntil)
			t.wakeLimits()
		}
	}
}

// limitForecast is what is expected of a service's endpoints if all that may serve a request
// are at their limits.
type limitForecast struct {
	next       time.Time // when this entry may send the next request
	rate       float64   // requests per second that the endpoints take from all entries
	requesters int       // entries that have requests for them
}

// interval returns the mean time between two requests that this entry may send.
func (f *limitForecast) interval() time.Duration {
	return time.Duration(float64(f.requesters) / f.rate * float64(time.Second))
}

// forecastLimits returns what is expected of the endpoints that may serve a request. It
// reports false if one of them has no limit, or this entry has a grant for it, or if there is
// none. The caller must hold t.mu.
func (t *Table) forecastLimits(f *fleetState, endpoints []*Endpoint, req *Request) (limitForecast, bool) {
	var out limitForecast
	for _, e := range endpoints {
		if !eligible(f, e, req) || e.isPaused(f.now) {
			continue
		}
		l, lacks := t.forecast(f.now, e)
		if !lacks {
			return limitForecast{}, false
		}
		if next := maxTime(l.Next, f.now); out.requesters == 0 || next.Before(out.next) {
			out.next = next
		}
		out.rate += l.Rate
		out.requesters = max(out.requesters, l.Requesters)
	}
	return out, out.requesters > 0
}

// exceedsLimits reports whether a request with others ahead of it in the queue can't be sent
// until its wait ends, because all endpoints are at their limits. The caller must hold t.mu.
func (t *Table) exceedsLimits(f *fleetState, w *waiter, ahead int) bool {
	forecast, limited := t.forecastLimits(f, w.group.endpoints, w.request)
	return limited && forecast.next.Add(time.Duration(ahead)*forecast.interval()).After(w.waitUntil)
}

// refuseLimited refuses the queued requests of a service that can't be sent in time, because
// all endpoints are at their limits. The caller must hold t.mu.
func (t *Table) refuseLimited(now time.Time, g *group) {
	g.queue.sortByUrgency(now)
	f := t.fleetState(now, g)
	ahead := 0
	for _, w := range slices.Clone(g.queue.waiters) {
		if t.exceedsLimits(f, w, ahead) {
			g.queue.remove(w)
			w.refused <- RefusedLimited
			continue
		}
		ahead++
	}
}

// RecordLimit records what the endpoint's answer says of its limit, and reports whether that
// is news. sent is when the request was sent.
func (r *Reservation) RecordLimit(sent time.Time, limit fulmardeal.RateLimit) bool {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now, news := time.Now(), false
	switch limit.Kind {
	case fulmardeal.LimitNamed:
		news = t.limits.Name(now, r.limitKey, limit.Rate)
	case fulmardeal.LimitNone:
		news = t.limits.End(now, r.limitKey, sent)
	}
	if news {
		t.wakeLimits()
	}
	return news
}

// LimitError reports that an endpoint takes no further request now.
type LimitError struct {
	Rate float64 // requests per second that it takes from all entries
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("endpoint takes no more than %g requests per second", e.Rate)
}

// PermitSend checks that the request may be sent now with regard to the endpoint's limit,
// which may have been named, or changed, since the slot was reserved. The error is a
// *LimitError.
func (r *Reservation) PermitSend() error {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if r.shared && !t.limits.Names(r.limitKey) {
		r.sent = true
		return nil
	}
	permit, ok := t.limits.Renew(now, r.limitKey, r.permit)
	r.permit = permit
	if !ok {
		t.wakeLimits()
		f, _ := t.limits.Forecast(now, r.limitKey)
		return &LimitError{Rate: f.Rate}
	}
	r.sent = true
	return nil
}

// PassedOver returns how many endpoints were not selected because of their limits, although
// they had a free slot.
func (r *Reservation) PassedOver() int { return r.passedOver }

// wakeLimits makes the other entries hear of limits and requests for grants at once.
func (t *Table) wakeLimits() {
	select {
	case t.limitsDue <- struct{}{}:
	default:
	}
}

// LimitsDue returns a channel that receives a value when messages about limits are due.
func (t *Table) LimitsDue() <-chan struct{} { return t.limitsDue }

// LimitMessages are the messages about limits that are due.
type LimitMessages struct {
	Notices  []ratelimit.Notice  // for all other entries
	Requests []ratelimit.Request // for the entries that issue the grants
	Replies  []ratelimit.Reply   // for the entries that asked this one
}

// LimitMessages returns the messages about limits that are due. fraction is the part of the
// limits that this entry issues. It reports false if none will become due by time alone.
func (t *Table) LimitMessages(now time.Time, fraction float64) (LimitMessages, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return LimitMessages{
		Notices: t.limits.News(now), Requests: t.limits.Requests(now), Replies: t.limits.Issue(now, fraction),
	}, t.limits.Active()
}

// ServeLimitRequest receives a request for grants from the entry at an address, and returns
// the replies that are due.
func (t *Table) ServeLimitRequest(now time.Time, from string, r ratelimit.Request, fraction float64) []ratelimit.Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wakeLimits()
	if e := t.endpointWith(r.Key); e != nil {
		if share, _ := t.coldShare(e); share > 0 {
			r.Burst = coldBurst
		}
	}
	return t.limits.Serve(now, from, r, fraction)
}

// ApplyGrant applies a reply to a request for grants.
func (t *Table) ApplyGrant(now time.Time, from string, grant ratelimit.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.ApplyGrant(now, from, grant)
	for _, g := range t.services {
		if g.hasLimit(grant.Key) {
			t.assignQueued(now, g)
			t.refuseLimited(now, g)
			if len(g.queue.waiters) == 0 {
				t.limits.EndWait(grant.Key)
			}
		}
	}
}

// ApplyLimitNotice applies what an endpoint has said to another entry, and reports whether it
// changes what is known.
func (t *Table) ApplyLimitNotice(now time.Time, from string, n ratelimit.Notice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Apply(now, from, n)
}

// EndpointID returns the id of the endpoint with the given key, or an empty string if it is
// unknown.
func (t *Table) EndpointID(key ratelimit.Key) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpointWith(key); e != nil {
		return e.id
	}
	return ""
}

// endpointWith returns the endpoint with the given key, or nil if it is unknown. The caller must
// hold t.mu.
func (t *Table) endpointWith(key ratelimit.Key) *Endpoint {
	for _, g := range t.services {
		for _, e := range g.endpoints {
			if e.limitKey == key {
				return e
			}
		}
	}
	return nil
}

// hasLimit reports whether the group has the endpoint with the given key.
func (g *group) hasLimit(key ratelimit.Key) bool {
	for _, e := range g.endpoints {
		if e.limitKey == key {
			return true
		}
	}
	return false
}

// retainLimits keeps the limits of the registered endpoints. The caller must hold t.mu.
func (t *Table) retainLimits(now time.Time) {
	var keys []ratelimit.Key
	for _, g := range t.services {
		for _, e := range g.endpoints {
			keys = append(keys, e.limitKey)
		}
	}
	t.limits.Retain(now, keys)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
