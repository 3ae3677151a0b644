package dispatch

import (
	"math/rand/v2"
	"time"
)

// Limits of the retry delay given to callers.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second

	// acceptedShare is the part of the time left that callers are willing to wait
	// before a retry. After a longer delay they don't retry.
	acceptedShare = 1.0 / 3
)

// retryAfter returns the delay after which a refused caller with the given time left
// should retry. While on-time requests are queued, a retry would be late in any case
// and is best made after the burst, so the delay is nearly the longest that callers
// accept. The same holds while no endpoint is eligible, such as between two versions of
// the weights, which takes seconds: most callers retry once, and an early retry is
// refused again. With neither of them the shortage was momentary, and the delay is
// short. Delays are spread at random, so that callers refused together do not retry
// together.
func retryAfter(reason RefusalReason, onTime int, timeLeft time.Duration, rng *rand.Rand) time.Duration {
	longest := min(time.Duration(acceptedShare*float64(timeLeft)), maxRetryAfter)
	after := minRetryAfter
	if reason == RefusedNoEndpoint || onTime > 0 {
		after = longest * 2 / 3
	}
	after = time.Duration(float64(after) * (0.5 + rng.Float64()))
	return max(min(after, longest), minRetryAfter)
}

// retryAfterPause returns the delay after which a caller should retry when all
// endpoints that may serve it have asked for a pause, the first of which ends after
// the given time. Designed for a service that sheds load as a whole: callers return
// once it accepts requests again, spread so that they do not all return at once.
func retryAfterPause(pause time.Duration, rng *rand.Rand) time.Duration {
	return max(minRetryAfter, time.Duration(float64(pause)*(1+pauseSpread*rng.Float64())))
}

// reserveReturn returns the delay after which a caller should retry when all endpoints that
// may serve it are at their limits. Designed for a service whose endpoints are all in need:
// callers return one after the other, at the rate that the endpoints take. A caller whose
// time doesn't allow it to wait as long takes no turn.
func (g *group) reserveReturn(now time.Time, f *limitForecast, timeLeft time.Duration) time.Duration {
	turn := maxTime(g.nextReturn, f.next)
	after := max(minRetryAfter, turn.Sub(now))
	if after <= time.Duration(acceptedShare*float64(timeLeft)) {
		g.nextReturn = turn.Add(f.interval())
	}
	return after
}

// pauseSpread is how far the returns after a pause are spread, as a share of the
// pause.
const pauseSpread = 0.25

// RefusedRequest is a refused request, identified by a fingerprint of its
// content.
type RefusedRequest struct {
	Fingerprint uint64
	Age         time.Duration // time since the caller first sent the request
}

// Retention times of refusals.
const (
	refusalRetention    = 8 * time.Second        // longer than callers wait for a response
	refusalReportPeriod = 150 * time.Millisecond // several report intervals, because reports may be lost
)

// refusalHistory records when refused requests were first sent. A retry arrives
// at another entry with a new id and does not mention the first attempt.
// Entries therefore exchange their refusals, so that none of them treats a late
// retry as a new request.
type refusalHistory struct {
	firstSent map[uint64]time.Time // by fingerprint of the request
	recent    []recentRefusal
	lastSweep time.Time
}

// recentRefusal is a refusal that is still included in load reports.
type recentRefusal struct {
	fingerprint uint64
	refusedAt   time.Time
}

// recordLocal records a refusal by this entry, which is to be included in the next
// load reports.
func (h *refusalHistory) recordLocal(now time.Time, fingerprint uint64, firstSent time.Time) {
	h.record(now, fingerprint, firstSent)
	h.recent = append(h.recent, recentRefusal{fingerprint: fingerprint, refusedAt: now})
}

// record records a refusal by any entry and removes expired ones.
func (h *refusalHistory) record(now time.Time, fingerprint uint64, firstSent time.Time) {
	if h.firstSent == nil {
		h.firstSent = make(map[uint64]time.Time)
	}
	if at, known := h.firstSent[fingerprint]; !known || firstSent.Before(at) || now.Sub(at) > refusalRetention {
		h.firstSent[fingerprint] = firstSent
	}
	if now.Sub(h.lastSweep) < refusalRetention/4 {
		return
	}
	h.lastSweep = now
	for f, at := range h.firstSent {
		if now.Sub(at) > refusalRetention {
			delete(h.firstSent, f)
		}
	}
}

// firstSentAt returns when the caller first sent the request with the given
// fingerprint. It returns the given time if no refusal of that request is
// recorded, or if the recorded first send is more than refusalRetention earlier.
func (h *refusalHistory) firstSentAt(sent time.Time, fingerprint uint64) time.Time {
	if at, known := h.firstSent[fingerprint]; known && sent.Sub(at) <= refusalRetention {
		return at
	}
	return sent
}

// recentRefusals returns the refusals to include in the next load report.
func (h *refusalHistory) recentRefusals(now time.Time) []RefusedRequest {
	for len(h.recent) > 0 && now.Sub(h.recent[0].refusedAt) > refusalReportPeriod {
		h.recent = h.recent[1:]
	}
	var out []RefusedRequest
	for _, r := range h.recent {
		if at, known := h.firstSent[r.fingerprint]; known {
			out = append(out, RefusedRequest{Fingerprint: r.fingerprint, Age: now.Sub(at)})
		}
	}
	return out
}
