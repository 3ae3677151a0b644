package ratelimit

import (
	"math"
	"slices"
	"time"
)

// Times and limits of the grants that an entry holds.
const (
	// grantLifetime is how long after its arrival a grant may be used, and maxGrantAge
	// how long after the entry asked for it. The rest of the time goes to the network, or to
	// an entry that was frozen.
	grantLifetime = 400 * time.Millisecond
	maxGrantAge   = 1200 * time.Millisecond

	// wantPeriod is how long after a request that could have used a grant the entry goes
	// on asking for one, if the next request is likely to come within grantLifetime: at a
	// demand of minPrefetchDemand, in requests per second. Otherwise it asks only for requests
	// that wait.
	wantPeriod        = 300 * time.Millisecond
	minPrefetchDemand = 2.5

	// prefetch is the time for which an entry keeps grants, at the rate of its requests.
	// It covers the exchange with the issuer.
	prefetch  = 150 * time.Millisecond
	maxGrants = 8

	replyTimeout = 100 * time.Millisecond // until an entry asks again
	askInterval  = 10 * time.Millisecond  // least time between asking twice
	minAskDelay  = 50 * time.Millisecond  // from a reply without a grant until the entry asks again
	maxAskDelay  = 500 * time.Millisecond // the same at most

	// maxReplyAge is how long the reply of the issuer counts.
	maxReplyAge = 700 * time.Millisecond
)

// holder is the part of a limit's state that belongs to the entry as one that sends requests.
type holder struct {
	grants   []time.Time // until when they may be used, earliest first
	returned int         // expired grants that the issuer doesn't know of yet
	wantedAt time.Time   // when a request last used a grant or could have used one
	awaited  time.Time   // until when a request waits for a grant
	wanted   int         // grants that the last request asked for and that have not come
	demand   float64     // requests per second of the endpoint's service at this entry
	askedAt  time.Time
	nextAsk  time.Time    // when the request is to be repeated
	sequence uint64       // of the last request for grants
	asked    [4]time.Time // when the last requests for grants were sent, by sequence

	// These are from the issuer's last reply.
	repliedAt  time.Time
	expectedAt time.Time // when it expects to issue the next grant to this entry
	requesters int       // entries that ask for grants
}

// Request asks the issuer of an endpoint for grants.
type Request struct {
	Key      Key
	Sequence uint64        // rises with each request of an entry
	Want     int           // grants in addition to those that the entry holds
	Returned int           // expired grants since the last request
	Demand   float64       // requests per second that could use a grant
	Cold     float64       // rate of the grants while the endpoint is cold; 0 if that is no limit
	Burst    time.Duration // for which the issuer keeps grants that nobody asked for; 0 for the usual time
	Notice   Notice        // what the entry knows of the limit
}

// Grant is the issuer's reply. Each grant permits one request to the endpoint.
type Grant struct {
	Key        Key
	Sequence   uint64 // of the request that it answers
	Count      int
	Wait       time.Duration // expected time until the next grant for this entry
	Requesters int           // entries that ask for grants
	Notice     Notice        // what the issuer knows of the limit
}

// Permit is a grant that is in use.
type Permit struct {
	until time.Time // zero if none was needed
}

// Limited reports whether the permit is a grant. The zero value is not.
func (p Permit) Limited() bool { return !p.until.IsZero() }

// awaiting reports whether something is to be asked, or returned, as time passes.
func (l *limit) awaiting() bool {
	return !l.wantedAt.IsZero() || l.returned > 0 || l.wanted > 0 || len(l.grants) > 0
}

// dropExpired removes the grants that may no longer be used.
func (l *limit) dropExpired(now time.Time) {
	for len(l.grants) > 0 && !now.Before(l.grants[0]) {
		l.grants = l.grants[1:]
		l.returned++
	}
}

// Allows reports whether a request may be sent to an endpoint now. If not, the entry asks for
// a grant. demand is the rate of requests that could be sent to the endpoint.
func (t *Table) Allows(now time.Time, key Key, cold Cold, demand float64) bool {
	l := t.limits[key]
	if l == nil {
		if cold.Rate <= 0 {
			return true
		}
		l = t.limit(now, key)
	}
	l.cold = cold
	if _, limited := l.rate(now); !limited {
		return true
	}
	l.dropExpired(now)
	l.demand = demand
	if len(l.grants) > 0 {
		return true
	}
	l.wantedAt = now
	l.passedOver++
	return false
}

// Await makes the entry ask for a grant as long as a request waits for one.
func (t *Table) Await(now time.Time, key Key, until time.Time) {
	l := t.limits[key]
	if l == nil {
		return
	}
	l.wantedAt = now
	if until.After(l.awaited) {
		l.awaited = until
	}
}

// EndWait records that no request waits for a grant any more.
func (t *Table) EndWait(key Key) {
	if l := t.limits[key]; l != nil {
		l.awaited = time.Time{}
	}
}

// Take uses a grant for a request to an endpoint, if its limit requires one. It reports false
// if there is none.
func (t *Table) Take(now time.Time, key Key) (Permit, bool) {
	l := t.limits[key]
	if l == nil {
		return Permit{}, true
	}
	if _, limited := l.rate(now); !limited {
		return Permit{}, true
	}
	l.dropExpired(now)
	l.wantedAt = now
	if len(l.grants) == 0 {
		return Permit{}, false
	}
	p := Permit{until: l.grants[0]}
	l.grants = l.grants[1:]
	l.sent++
	return p, true
}

// Renew returns a permit with which a request may be sent now in place of one that was taken
// before: the limit may have come, or the grant may have expired, while the request waited for
// a connection. It reports false if the request must not be sent.
func (t *Table) Renew(now time.Time, key Key, p Permit) (Permit, bool) {
	if p.Limited() && now.Before(p.until) {
		return p, true
	}
	t.PutBack(now, key, p)
	return t.Take(now, key)
}

// PutBack gives back the permit of a request that was not sent.
func (t *Table) PutBack(now time.Time, key Key, p Permit) {
	l := t.limits[key]
	if l == nil || !p.Limited() {
		return
	}
	l.sent--
	l.grants = append(l.grants, p.until)
	slices.SortFunc(l.grants, time.Time.Compare)
	l.dropExpired(now)
}

// Requests returns the requests for grants that are due.
func (t *Table) Requests(now time.Time) []Request {
	var out []Request
	for key, l := range t.limits {
		l.dropExpired(now)
		rate, limited := l.rate(now)
		if !limited {
			l.grants, l.returned, l.wanted, l.wantedAt = nil, 0, 0, time.Time{}
			continue
		}
		want := l.want(now, rate)
		isNews := (want > 0) != (l.wanted > 0)
		if want == 0 && l.returned == 0 && l.wanted == 0 || now.Before(l.nextAsk) && !(isNews && now.Sub(l.askedAt) >= askInterval) {
			continue
		}
		l.sequence++
		l.asked[l.sequence%uint64(len(l.asked))] = now
		l.askedAt, l.nextAsk = now, now.Add(replyTimeout)
		cold := 0.0
		if now.Before(l.cold.Until) {
			cold = l.cold.Rate
		}
		out = append(out, Request{
			Key: key, Sequence: l.sequence, Want: want, Returned: l.returned, Demand: l.demand, Cold: cold, Notice: l.notice,
		})
		l.returned, l.wanted = 0, want
	}
	return out
}

// want returns how many grants the entry needs in addition to those that it holds.
func (l *limit) want(now time.Time, rate float64) int {
	isAwaited := now.Before(l.awaited)
	if !isAwaited && now.Sub(l.wantedAt) > wantPeriod {
		l.wantedAt = time.Time{}
		return 0
	}
	if !isAwaited && l.demand < minPrefetchDemand {
		return 0
	}
	n := int(math.Ceil(min(l.demand, rate) * prefetch.Seconds()))
	return max(0, min(max(n, 1), maxGrants)-len(l.grants))
}

// ApplyGrant applies a reply of the issuer.
func (t *Table) ApplyGrant(now time.Time, from string, g Grant) {
	t.Apply(now, from, g.Notice)
	l := t.limits[g.Key]
	if l == nil || g.Sequence > l.sequence || l.sequence-g.Sequence >= uint64(len(l.asked)) {
		return
	}
	until := now.Add(grantLifetime)
	if by := l.asked[g.Sequence%uint64(len(l.asked))].Add(maxGrantAge); by.Before(until) {
		until = by
	}
	for range min(g.Count, maxGrants) {
		l.grants = append(l.grants, until)
	}
	slices.SortFunc(l.grants, time.Time.Compare)
	l.wanted = max(0, l.wanted-g.Count)
	l.dropExpired(now)
	l.repliedAt, l.expectedAt, l.requesters = now, now.Add(g.Wait), max(1, g.Requesters)
	if g.Count > 0 {
		l.nextAsk = now.Add(askInterval)
		return
	}
	l.nextAsk = now.Add(min(max(g.Wait/2, minAskDelay), maxAskDelay))
}

// Forecast is what an entry expects of an endpoint that it may not send a request now.
type Forecast struct {
	Next       time.Time // when it gets the next grant; zero if unknown
	Rate       float64   // of the grants for all entries, per second
	Requesters int       // entries that ask for grants; at least 1
}

// Forecast returns what the entry expects of an endpoint's limit, or false if the endpoint has
// no limit or the entry holds a grant.
func (t *Table) Forecast(now time.Time, key Key) (Forecast, bool) {
	l := t.limits[key]
	if l == nil {
		return Forecast{}, false
	}
	l.dropExpired(now)
	rate, limited := l.rate(now)
	if !limited || len(l.grants) > 0 {
		return Forecast{}, false
	}
	f := Forecast{Rate: rate, Requesters: max(1, l.requesters)}
	if !l.repliedAt.IsZero() && now.Sub(l.repliedAt) <= maxReplyAge {
		f.Next = l.expectedAt
	}
	return f, true
}
