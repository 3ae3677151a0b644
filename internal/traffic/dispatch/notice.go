package dispatch

import (
	"time"

	"fulmardeal"
)

// Limits on what endpoints say about themselves in their responses.
const (
	// maxPause is the longest pause that an endpoint can ask for. A faulty
	// response must not exclude an endpoint forever.
	maxPause = time.Minute

	// noticeRetention is how long a notice is kept after the endpoint's
	// registration has been removed. An out-of-date registration may be read
	// again after that removal.
	noticeRetention = 10 * time.Minute
)

// Notice is what an endpoint says about itself in a response.
type Notice struct {
	Leaving bool          // it is about to stop and must get no new requests
	Pause   time.Duration // how long it asks this entry to send nothing; 0 if it doesn't ask
}

// notice is what one incarnation of an endpoint has said about itself. It takes
// precedence over the registration, which arrives later and may be out of date.
type notice struct {
	born        time.Time // start of the incarnation
	leaving     bool
	pausedUntil time.Time
	registered  time.Time // when the endpoint was last known to be registered
}

// ApplyNotice records what the endpoint has said about itself in a response, and
// reports whether that is news.
func (r *Reservation) ApplyNotice(n Notice) bool {
	if !n.Leaving && n.Pause <= 0 {
		return false
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	e := r.endpoint
	known := t.notices[e.id]
	if known == nil || known.born.Before(e.registration.Born) {
		known = &notice{born: e.registration.Born}
		t.notices[e.id] = known
	}
	known.registered = now
	news := n.Leaving && !known.leaving
	known.leaving = known.leaving || n.Leaving
	if until := now.Add(min(n.Pause, maxPause)); n.Pause > 0 && until.After(known.pausedUntil) {
		known.pausedUntil, news = until, true
	}
	e.notice = known
	// The endpoint at this id may have been replaced in the table since the request
	// was sent.
	for _, g := range t.services {
		for _, other := range g.endpoints {
			if other.id == e.id {
				other.notice = known
			}
		}
	}
	return news
}

// noticeOf returns the notice of the incarnation that a registration describes, or
// nil if there is none. The caller must hold t.mu.
func (t *Table) noticeOf(now time.Time, r *fulmardeal.Registration) *notice {
	n := t.notices[r.ID]
	if n == nil {
		return nil
	}
	if r.Born.After(n.born) {
		delete(t.notices, r.ID)
		return nil
	}
	n.registered = now
	return n
}

// expireNotices removes the notices of endpoints that have long been gone. The
// caller must hold t.mu.
func (t *Table) expireNotices(now time.Time) {
	for id, n := range t.notices {
		if now.Sub(n.registered) > noticeRetention {
			delete(t.notices, id)
		}
	}
}

// isLeaving reports whether the endpoint must get no new requests because it is
// about to stop.
func (e *Endpoint) isLeaving() bool {
	return e.registration.Draining || e.notice != nil && e.notice.leaving
}

// isPaused reports whether the endpoint has asked to get no requests for now.
func (e *Endpoint) isPaused(now time.Time) bool {
	return e.notice != nil && now.Before(e.notice.pausedUntil)
}

// earliestResume returns when the first of the eligible endpoints ends its pause.
// It reports false if one of them is not paused, or if none is eligible.
func earliestResume(f *fleetState, endpoints []*Endpoint, req *Request) (time.Time, bool) {
	var earliest time.Time
	for _, e := range endpoints {
		if !eligible(f, e, req) {
			continue
		}
		if !e.isPaused(f.now) {
			return time.Time{}, false
		}
		if until := e.notice.pausedUntil; earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest, !earliest.IsZero()
}
