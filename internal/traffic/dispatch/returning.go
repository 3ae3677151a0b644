package dispatch

import (
	"math/rand/v2"
	"time"
)

// Bounds of what callers are told to wait.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second // a third of six seconds: later, callers don't come back
)

// retryAfter returns when a refused caller should come back. While others are
// waiting, its answer would be late in any case, and best comes after the burst:
// as late as callers accept, spread by chance so that those refused together
// don't come together. Without a line there was no room for a moment only.
func retryAfter(r Refusal, onTime int, random *rand.Rand) time.Duration {
	after := minRetryAfter
	switch {
	case r == RefusedNone:
		after = maxRetryAfter / 4 // nothing serves it now: weights take seconds to arrive
	case onTime > 0:
		after = maxRetryAfter * 2 / 3
	}
	after = time.Duration(float64(after) * (0.5 + random.Float64()))
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// Refused is a request that was refused, by a fingerprint of what it asks for.
type Refused struct {
	Fingerprint uint64
	Age         time.Duration // since its caller first sent it
}

// Times of what is remembered of refusals.
const (
	refusalRetention    = 8 * time.Second        // longer than a caller's patience
	refusalReportPeriod = 150 * time.Millisecond // several rounds of news: some are lost
)

// refusalHistory is when refused requests were first sent. Callers that come back do so
// at another entry, with another id and no word of their first try; the entries
// tell each other, so that nobody takes a late request for one in time.
type refusalHistory struct {
	firstSent map[uint64]time.Time
	recent    []recentRefusal
	lastSweep time.Time
}

// recentRefusal is a refusal that the other entries are still told of.
type recentRefusal struct {
	fingerprint uint64
	refusedAt   time.Time
}

// recordLocal takes over a refusal of this entry.
func (m *refusalHistory) recordLocal(now time.Time, fingerprint uint64, first time.Time) {
	m.record(now, fingerprint, first)
	m.recent = append(m.recent, recentRefusal{fingerprint: fingerprint, refusedAt: now})
}

func (m *refusalHistory) record(now time.Time, fingerprint uint64, first time.Time) {
	if m.firstSent == nil {
		m.firstSent = make(map[uint64]time.Time)
	}
	if at, known := m.firstSent[fingerprint]; !known || first.Before(at) || now.Sub(at) > refusalRetention {
		m.firstSent[fingerprint] = first
	}
	if now.Sub(m.lastSweep) < refusalRetention/4 {
		return
	}
	m.lastSweep = now
	for p, at := range m.firstSent {
		if now.Sub(at) > refusalRetention {
			delete(m.firstSent, p)
		}
	}
}

// firstSentAt returns when a request was first sent, now if it wasn't refused before.
func (m *refusalHistory) firstSentAt(now time.Time, fingerprint uint64) time.Time {
	if at, known := m.firstSent[fingerprint]; known && now.Sub(at) <= refusalRetention {
		return at
	}
	return now
}

// recentRefusals returns the refusals that the other entries are to be told of.
func (m *refusalHistory) recentRefusals(now time.Time) []Refused {
	for len(m.recent) > 0 && now.Sub(m.recent[0].refusedAt) > refusalReportPeriod {
		m.recent = m.recent[1:]
	}
	var out []Refused
	for _, r := range m.recent {
		if at, known := m.firstSent[r.fingerprint]; known {
			out = append(out, Refused{Fingerprint: r.fingerprint, Age: now.Sub(at)})
		}
	}
	return out
}
