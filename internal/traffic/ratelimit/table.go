// Package ratelimit keeps the rates at which endpoints take requests from all entries
// together. For each endpoint with a limit, one of the entries issues grants, at the rate
// of the limit. The entries ask it for grants, and send the endpoint a request only with
// one. An entry that doesn't use a grant in time gives it back.
//
// The package does no I/O and has no clock of its own. Which entry issues the grants of an
// endpoint is decided by the caller.
package ratelimit

import (
	"math"
	"slices"
	"time"
)

// Key identifies one incarnation of an endpoint.
type Key uint64

// Bounds on rates.
const (
	// probeRate is the lowest rate at which requests are sent, per second. An endpoint
	// that takes none can't tell that it does again unless it is asked.
	probeRate = 0.5

	// MaxRate is the highest rate that counts as a limit, per second.
	MaxRate = 1e6
)

// noticeRetention is how long it is remembered that a limit has ended, or which limit an
// endpoint has that is no longer registered. Older notices may arrive late.
const noticeRetention = 10 * time.Minute

// Notice is what an endpoint has said about its limit.
type Notice struct {
	Key     Key
	Limited bool      // false if the limit has ended
	Rate    float64   // requests per second
	At      time.Time // when it was true
}

// newer reports whether n replaces what was known.
func (n *Notice) newer(known *Notice) bool { return n.At.After(known.At) }

// Table holds what one entry knows of the limits of endpoints, the grants that it holds, and
// the requests for grants of the endpoints for which it issues them. It is not safe for
// concurrent use. The zero value is an empty table.
type Table struct {
	limits  map[Key]*limit
	buckets map[Key]*bucket
	news    []news
}

// news is a notice that other entries are to get.
type news struct {
	key     Key
	repeats int // how often it is still to be sent
	due     time.Time
}

// News is sent newsRepeats times, because datagrams may be lost.
const (
	newsRepeats  = 3
	newsInterval = 150 * time.Millisecond
)

// limit is the state of an endpoint that has a limit, or had one.
type limit struct {
	notice     Notice
	source     string // address of the entry that told this one; empty if the endpoint did
	cold       Cold
	lastUsed   time.Time
	passedOver int64 // decisions against the endpoint because of its limit
	sent       int64 // grants used
	holder
}

// Cold is the rate of the grants for an endpoint while it is cold. The zero value is no limit.
type Cold struct {
	Rate  float64 // per second
	Until time.Time
}

// rate returns the rate of the grants for the endpoint, or false if it has no limit.
func (l *limit) rate(now time.Time) (float64, bool) {
	if now.Before(l.cold.Until) {
		return grantRate(l.notice, l.cold.Rate)
	}
	return grantRate(l.notice, 0)
}

// grantRate returns the rate of the grants for an endpoint with a notice and a cold rate, of which
// zero is no limit. It returns false if the endpoint has no limit.
func grantRate(n Notice, cold float64) (float64, bool) {
	switch {
	case n.Limited && cold > 0:
		return max(probeRate, min(n.Rate, cold)), true
	case n.Limited:
		return max(probeRate, n.Rate), true
	case cold > 0:
		return max(probeRate, cold), true
	}
	return math.Inf(1), false
}

// Names reports whether the endpoint has named a limit.
func (t *Table) Names(key Key) bool {
	l := t.limits[key]
	return l != nil && l.notice.Limited
}

// limit returns the state of an endpoint, which it creates if there is none.
func (t *Table) limit(now time.Time, key Key) *limit {
	l := t.limits[key]
	if l == nil {
		if t.limits == nil {
			t.limits = make(map[Key]*limit)
		}
		l = &limit{}
		l.notice.Key = key
		t.limits[key] = l
	}
	l.lastUsed = now
	return l
}

// Name records that an endpoint has named a limit in an answer that has just arrived, and
// reports whether that is news.
func (t *Table) Name(now time.Time, key Key, rate float64) bool {
	l := t.limit(now, key)
	rate = min(rate, MaxRate)
	isNews := !l.notice.Limited || l.notice.Rate != rate
	l.notice, l.source = Notice{Key: key, Limited: true, Rate: rate, At: now}, ""
	if isNews {
		t.announce(now, key)
	}
	return isNews
}

// End records that an endpoint has named no limit in the answer to a request that was sent at
// the given time, and reports whether that ends a limit. An answer to an earlier request
// doesn't: it may have been written before the endpoint named the limit.
func (t *Table) End(now time.Time, key Key, sent time.Time) bool {
	l := t.limits[key]
	if l == nil || !l.notice.Limited || !sent.After(l.notice.At) {
		return false
	}
	l.notice, l.source = Notice{Key: key, At: sent}, ""
	t.announce(now, key)
	return true
}

func (t *Table) announce(now time.Time, key Key) {
	t.news = slices.DeleteFunc(t.news, func(n news) bool { return n.key == key })
	t.news = append(t.news, news{key: key, repeats: newsRepeats, due: now})
}

// News returns the notices that are due to be sent to all other entries.
func (t *Table) News(now time.Time) []Notice {
	var out []Notice
	for i := range t.news {
		n := &t.news[i]
		l := t.limits[n.key]
		if l == nil || now.Before(n.due) {
			continue
		}
		out = append(out, l.notice)
		n.repeats--
		n.due = now.Add(newsInterval)
	}
	t.news = slices.DeleteFunc(t.news, func(n news) bool { return n.repeats <= 0 || t.limits[n.key] == nil })
	return out
}

// Apply applies a notice of another entry, and reports whether it changes what is known.
func (t *Table) Apply(now time.Time, from string, n Notice) bool {
	if l := t.limits[n.Key]; l == nil && !n.Limited || l != nil && !n.newer(&l.notice) {
		return false
	}
	l := t.limit(now, n.Key)
	changed := l.notice.Limited != n.Limited || l.notice.Rate != n.Rate
	l.notice = n
	if changed || l.source != "" {
		l.source = from
	}
	return changed
}

// Retain keeps the limits of the registered endpoints, and removes those of endpoints that
// have been gone for long.
func (t *Table) Retain(now time.Time, registered []Key) {
	for _, key := range registered {
		if l := t.limits[key]; l != nil {
			l.lastUsed = now
		}
	}
	for key, l := range t.limits {
		if now.Sub(l.lastUsed) > noticeRetention {
			delete(t.limits, key)
		}
	}
}

// Active reports whether Requests, News or Issue may return something without any further
// call than that of time.
func (t *Table) Active() bool {
	if len(t.news) > 0 || len(t.buckets) > 0 {
		return true
	}
	for _, l := range t.limits {
		if l.awaiting() {
			return true
		}
	}
	return false
}

// State is the state of a limit in a state dump.
type State struct {
	Rate       float64 `json:"rate"`   // of the grants, per second
	Named      bool    `json:"named"`  // the endpoint has named it; otherwise it is cold
	Source     string  `json:"source"` // address of the entry that told this one; empty if the endpoint did
	Age        string  `json:"age"`    // time since it was last named
	Grants     int     `json:"grants"` // unused grants
	Sent       int64   `json:"sent"`   // requests sent with a grant
	PassedOver int64   `json:"passed"` // decisions against the endpoint because of its limit
	Issued     int64   `json:"issued"` // grants that this entry has issued
	Tokens     float64 `json:"tokens"` // grants that this entry may issue at once
	Asking     int     `json:"asking"` // entries that ask this one for grants
}

// State returns the state of an endpoint's limit, or nil if it has none.
func (t *Table) State(now time.Time, key Key) *State {
	l := t.limits[key]
	if l == nil {
		return nil
	}
	rate, limited := l.rate(now)
	if !limited {
		return nil
	}
	s := &State{Rate: rate, Named: l.notice.Limited, Source: l.source, Grants: len(l.grants), Sent: l.sent, PassedOver: l.passedOver}
	if s.Named {
		s.Age = now.Sub(l.notice.At).String()
	}
	if b := t.buckets[key]; b != nil {
		s.Issued, s.Tokens, s.Asking = b.issued, b.tokens, len(b.requests)
	}
	return s
}
