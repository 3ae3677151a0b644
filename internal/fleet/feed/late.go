package feed

import (
	"time"

	"fulmardeal"
)

// A write whose response is lost may be done seconds later. A registration that an endpoint
// wrote before its last one, or before it left, says nothing new.

// otherStart is a start of an endpoint whose registrations carry an earlier time than those
// of the start that is known: an earlier start, or a later one whose clock was set back.
type otherStart struct {
	born     time.Time
	sequence int64 // highest of its registrations
	renewals int   // registrations that it has written since the known start
	readAt   time.Time
}

// minRenewals is the number of registrations that show that the other start is the live one.
const minRenewals = 2

// isLate reports whether a change is a registration that was written before what is known of
// its endpoint.
func (f *cachedFeed) isLate(now time.Time, c fulmardeal.Change) bool {
	if c.Registration == nil || c.Registration.Born.IsZero() {
		return false
	}
	listed := c.Registration
	if known, is := f.current[c.Key]; is && known.Change.Registration != nil {
		last := known.Change.Registration
		if !listed.Born.Equal(last.Born) {
			return f.isOtherStart(now, c.Key, listed, last)
		}
		return outdated(c, known.Change)
	}
	r, removed := f.removed[c.Key]
	if !removed || r.change.Registration == nil || now.Sub(r.removedAt) >= removalRetention {
		return false
	}
	if last := r.change.Registration; !listed.Born.Equal(last.Born) {
		return f.isOtherStart(now, c.Key, listed, last)
	}
	return repeats(c, r.change, false)
}

// isOtherStart reports whether a registration is taken to be of an earlier start than the
// last one of its key.
func (f *cachedFeed) isOtherStart(now time.Time, key string, listed, last *fulmardeal.Registration) bool {
	if !listed.Born.Before(last.Born) {
		f.others[key] = otherStart{born: last.Born, sequence: last.Sequence, readAt: now}
		return false
	}
	o, is := f.others[key]
	switch {
	case !is || !o.born.Equal(listed.Born):
		o = otherStart{born: listed.Born, sequence: listed.Sequence, renewals: 1}
	case listed.Sequence > o.sequence:
		o.sequence = listed.Sequence
		o.renewals++
	}
	o.readAt = now
	f.others[key] = o
	return o.renewals < minRenewals
}

// expireRemovals forgets what no late write can refer to any more.
func (f *cachedFeed) expireRemovals(now time.Time) {
	for key, r := range f.removed {
		if now.Sub(r.removedAt) >= removalRetention {
			delete(f.removed, key)
		}
	}
	for key, o := range f.others {
		if now.Sub(o.readAt) >= removalRetention {
			delete(f.others, key)
		}
	}
}
