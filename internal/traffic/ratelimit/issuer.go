package ratelimit

import "time"

// Times and limits of an entry that issues grants.
const (
	// burst is the time for which the grants that nobody asked for are kept, at the rate
	// of the limit, in addition to one, if the entries don't ask for a longer one.
	burst = 125 * time.Millisecond

	// maxBurst is the longest such time that entries can ask for.
	maxBurst = 250 * time.Millisecond

	// requestLifetime is how long a request for grants is kept. Entries repeat it.
	requestLifetime = time.Second

	// bucketRetention is how long after the last request a bucket is kept.
	bucketRetention = 10 * time.Second
)

// bucket holds the grants that may be issued for an endpoint.
type bucket struct {
	tokens   float64
	burst    time.Duration // time for which grants that nobody asked for are kept
	filledAt time.Time
	requests map[string]*pending
	lastUsed time.Time
	issued   int64
}

// pending is the latest request for grants of one entry.
type pending struct {
	request    Request
	receivedAt time.Time
	servedAt   time.Time // when the entry last got a grant, or first asked
}

// priority is higher for entries with more callers, and for those that have waited longer.
func (p *pending) priority(now time.Time) float64 {
	return max(p.request.Demand, 1) * now.Sub(p.servedAt).Seconds()
}

// Reply is a grant for the entry at an address.
type Reply struct {
	To    string
	Grant Grant
}

// Serve receives a request for grants from the entry at an address, and returns the replies
// that are due. fraction is the part of the limit that this entry issues.
func (t *Table) Serve(now time.Time, from string, r Request, fraction float64) []Reply {
	t.Apply(now, from, r.Notice)
	if t.buckets == nil {
		t.buckets = make(map[Key]*bucket)
	}
	b := t.buckets[r.Key]
	isNew := b == nil
	if isNew {
		b = &bucket{tokens: 1, filledAt: now, requests: make(map[string]*pending)}
		t.buckets[r.Key] = b
	}
	b.lastUsed = now
	p := b.requests[from]
	switch {
	case p == nil:
		p = &pending{servedAt: now}
		b.requests[from] = p
	case r.Sequence <= p.request.Sequence && now.Sub(p.receivedAt) < requestLifetime:
		return nil // a repeated or overtaken datagram
	}
	p.request, p.receivedAt = r, now
	rate, _ := t.rate(r.Key, b)
	if isNew && b.burst > burst {
		b.tokens = b.maxTokens(rate * fraction) // entries ask once they have used up their shares
	}
	b.fill(now, rate*fraction)
	b.tokens = min(b.tokens+float64(r.Returned), b.maxTokens(rate))
	replies := t.issue(now, r.Key, b, fraction)
	for _, reply := range replies {
		if reply.To == from {
			return replies
		}
	}
	return append(replies, Reply{To: from, Grant: t.grant(now, r.Key, b, p, 0, rate*fraction)})
}

// rate returns the rate at which grants are issued, or false if no limit is known. Whether the
// endpoint is cold is known from the entries that ask, the lowest rate counts.
func (t *Table) rate(key Key, b *bucket) (float64, bool) {
	var lowest float64
	b.burst = burst
	for _, p := range b.requests {
		if cold := p.request.Cold; cold > 0 && (lowest == 0 || cold < lowest) {
			lowest = cold
			b.burst = max(burst, min(p.request.Burst, maxBurst))
		}
	}
	if l := t.limits[key]; l != nil {
		return grantRate(l.notice, lowest)
	}
	return grantRate(Notice{}, lowest)
}

// maxTokens returns how many grants may be issued at once.
func (b *bucket) maxTokens(rate float64) float64 { return 1 + rate*b.burst.Seconds() }

// fill adds the grants of the time since the last call.
func (b *bucket) fill(now time.Time, rate float64) {
	if d := now.Sub(b.filledAt); d > 0 {
		b.filledAt = now
		b.tokens = min(b.tokens+rate*d.Seconds(), b.maxTokens(rate))
	}
}

// Issue returns the replies that have become due as time has passed. fraction is the part of
// the limits that this entry issues.
func (t *Table) Issue(now time.Time, fraction float64) []Reply {
	var out []Reply
	for key, b := range t.buckets {
		for from, p := range b.requests {
			if now.Sub(p.receivedAt) > requestLifetime {
				delete(b.requests, from)
			}
		}
		if now.Sub(b.lastUsed) > bucketRetention {
			delete(t.buckets, key)
			continue
		}
		out = append(out, t.issue(now, key, b, fraction)...)
	}
	return out
}

// issue issues the grants of an endpoint that may be issued now.
func (t *Table) issue(now time.Time, key Key, b *bucket, fraction float64) []Reply {
	rate, limited := t.rate(key, b)
	if !limited {
		return nil // the entries are told so when they ask
	}
	rate *= fraction
	b.fill(now, rate)
	counts := make(map[string]int)
	for b.tokens >= 1 {
		from, p := b.next(now)
		if p == nil {
			break
		}
		b.tokens--
		b.issued++
		p.request.Want--
		p.servedAt = now
		counts[from]++
	}
	var out []Reply
	for from, n := range counts {
		out = append(out, Reply{To: from, Grant: t.grant(now, key, b, b.requests[from], n, rate)})
	}
	return out
}

// next returns the entry that gets the next grant, or nil if none wants one.
func (b *bucket) next(now time.Time) (from string, best *pending) {
	for address, p := range b.requests {
		if p.request.Want <= 0 || now.Sub(p.receivedAt) > requestLifetime {
			continue
		}
		// Equal priorities are decided by the address, so that runs can be repeated.
		if best == nil || p.priority(now) > best.priority(now) || p.priority(now) == best.priority(now) && address < from {
			from, best = address, p
		}
	}
	return from, best
}

// grant returns the reply to an entry's latest request.
func (t *Table) grant(now time.Time, key Key, b *bucket, p *pending, count int, rate float64) Grant {
	g := Grant{Key: key, Sequence: p.request.Sequence, Count: count, Requesters: len(b.requests), Notice: Notice{Key: key}}
	if l := t.limits[key]; l != nil {
		g.Notice = l.notice
	}
	ahead := 1.0
	for _, other := range b.requests {
		if other != p && other.request.Want > 0 && other.priority(now) >= p.priority(now) {
			ahead += float64(other.request.Want)
		}
	}
	if missing := ahead - b.tokens; missing > 0 && rate > 0 {
		g.Wait = time.Duration(min(missing/rate, maxWait.Seconds()) * float64(time.Second))
	}
	return g
}

// maxWait is the longest expected wait that is reported.
const maxWait = time.Minute
