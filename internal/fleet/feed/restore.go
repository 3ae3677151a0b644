package feed

import (
	"time"

	"fulmardeal"
)

// A store that was restored from a backup lacks its last seconds: it lists again what
// was deleted in them, in their old state what was changed, and not at all what was
// added. Operators and endpoints write all of it again. Until they have, what was
// read before the restoration stays valid. Otherwise a data centre out of service
// would get requests again, and so would an endpoint that drains or has gone.

// removalRetention is how long a deleted key is remembered. A backup is some seconds
// old.
const removalRetention = time.Minute

// removal is the last change of a key before it was deleted.
type removal struct {
	change    fulmardeal.Change
	removedAt time.Time
}

// reconcile compares the changes of a full read with what is known. It returns the
// changes to apply, and whether they contain state that a restored store lacks. A
// full read that doesn't follow a restoration confirms what the store has, except
// that it can't bring back an endpoint that has gone.
func (f *cachedFeed) reconcile(now time.Time, b Batch) (changes []fulmardeal.Change, held bool) {
	listed := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		listed[c.Key] = true
		if r, removed := f.removed[c.Key]; removed && now.Sub(r.removedAt) < removalRetention && repeats(c, r.change, b.Restored) {
			held = held || b.Restored
			continue
		}
		known, is := f.current[c.Key]
		if !b.Restored && f.isLate(now, c) {
			if is {
				changes = append(changes, known.Change)
			}
			continue
		}
		switch {
		case is && c.Fault != nil && outlivesFault(known.Change):
			c = known.Change
		case is && b.Restored && (c.Fault != nil || outdated(c, known.Change)):
			c, held = known.Change, true
		}
		changes = append(changes, c)
	}
	if !b.Restored {
		return changes, false
	}
	for key, known := range f.current {
		if !listed[key] {
			changes, held = append(changes, known.Change), true
		}
	}
	return changes, held
}

// outlivesFault reports whether a change stays in force if a later record of its key can't
// be decoded. What operators have decided does. A registration says that an endpoint is
// there, and the later record doesn't say so.
func outlivesFault(c fulmardeal.Change) bool { return c.Registration == nil }

// recordRemovals remembers the last change of each key that a batch deletes.
func (f *cachedFeed) recordRemovals(now time.Time, b Batch) {
	kept := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		kept[c.Key] = !c.Gone
		if known, is := f.current[c.Key]; is && c.Gone {
			f.removed[c.Key] = removal{change: known.Change, removedAt: now}
		} else if !c.Gone {
			delete(f.removed, c.Key)
		}
	}
	if !b.Full {
		return
	}
	for key, known := range f.current {
		if !kept[key] {
			f.removed[key] = removal{change: known.Change, removedAt: now}
		}
	}
}

// outdated reports whether a listed change is an earlier state of a key than the
// known one.
func outdated(listed, known fulmardeal.Change) bool {
	switch {
	case listed.Catalogue != nil && known.Catalogue != nil:
		return listed.Catalogue.Version < known.Catalogue.Version
	case listed.Naming != nil && known.Naming != nil:
		return listed.Naming.Version < known.Naming.Version
	case listed.Registration != nil && known.Registration != nil:
		a, b := listed.Registration, known.Registration
		if !a.Born.Equal(b.Born) {
			return a.Born.Before(b.Born)
		}
		return b.Draining && !a.Draining || a.Sequence < b.Sequence
	}
	return false
}

// repeats reports whether a listed change is one that was already deleted. An endpoint
// that is alive has written its registration again, with a higher sequence number. A
// data centre that is listed at the same offset as before is listed by the backup.
func repeats(listed, deleted fulmardeal.Change, restored bool) bool {
	switch {
	case listed.Registration != nil && deleted.Registration != nil:
		a, b := listed.Registration, deleted.Registration
		return a.Born.Equal(b.Born) && a.Sequence > 0 && (b.Draining || a.Sequence <= b.Sequence)
	case listed.Evacuation != "" && deleted.Evacuation != "":
		return restored && listed.Offset.Offset() == deleted.Offset.Offset()
	}
	return false
}
