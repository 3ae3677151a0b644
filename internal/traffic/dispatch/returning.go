package dispatch

import (
	"math/rand/v2"
	"time"
)

// Bounds of what callers are told to wait.
const (
	returnLeast = 50 * time.Millisecond
	returnMost  = 2 * time.Second // a third of six seconds: later, callers don't come back
)

// comeBack returns when a refused caller should come back. While others are
// waiting, its answer would be late in any case, and best comes after the burst:
// as late as callers accept, spread by chance so that those refused together
// don't come together. Without a line there was no room for a moment only.
func comeBack(r Refusal, pressing int, random *rand.Rand) time.Duration {
	after := returnLeast
	switch {
	case r == RefusedNone:
		after = returnMost / 4 // nothing serves it now: weights take seconds to arrive
	case pressing > 0:
		after = returnMost * 2 / 3
	}
	after = time.Duration(float64(after) * (0.5 + random.Float64()))
	return min(max(after, returnLeast), returnMost)
}

// Refused is a request that was refused, by a fingerprint of what it asks for.
type Refused struct {
	Fingerprint uint64
	Age         time.Duration // since its caller first sent it
}

// Times of what is remembered of refusals.
const (
	rememberFor = 8 * time.Second        // longer than a caller's patience
	tellFor     = 150 * time.Millisecond // several rounds of news: some are lost
)

// memory is when refused requests were first sent. Callers that come back do so
// at another entry, with another id and no word of their first try; the entries
// tell each other, so that nobody takes a late request for one in time.
type memory struct {
	first  map[uint64]time.Time
	recent []recent
	swept  time.Time
}

// recent is a refusal that the other entries are still told of.
type recent struct {
	fingerprint uint64
	at          time.Time
}

// note takes over a refusal of this entry.
func (m *memory) note(now time.Time, fingerprint uint64, first time.Time) {
	m.put(now, fingerprint, first)
	m.recent = append(m.recent, recent{fingerprint: fingerprint, at: now})
}

func (m *memory) put(now time.Time, fingerprint uint64, first time.Time) {
	if m.first == nil {
		m.first = make(map[uint64]time.Time)
	}
	if at, known := m.first[fingerprint]; !known || first.Before(at) || now.Sub(at) > rememberFor {
		m.first[fingerprint] = first
	}
	if now.Sub(m.swept) < rememberFor/4 {
		return
	}
	m.swept = now
	for p, at := range m.first {
		if now.Sub(at) > rememberFor {
			delete(m.first, p)
		}
	}
}

// since returns when a request was first sent, now if it wasn't refused before.
func (m *memory) since(now time.Time, fingerprint uint64) time.Time {
	if at, known := m.first[fingerprint]; known && now.Sub(at) <= rememberFor {
		return at
	}
	return now
}

// news returns the refusals that the other entries are to be told of.
func (m *memory) news(now time.Time) []Refused {
	for len(m.recent) > 0 && now.Sub(m.recent[0].at) > tellFor {
		m.recent = m.recent[1:]
	}
	var out []Refused
	for _, r := range m.recent {
		if at, known := m.first[r.fingerprint]; known {
			out = append(out, Refused{Fingerprint: r.fingerprint, Age: now.Sub(at)})
		}
	}
	return out
}
