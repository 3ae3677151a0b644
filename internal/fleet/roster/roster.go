// Package roster holds the list of endpoints that are registered with the
// platform.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/feed"
)

// Registrations expire during an outage of the store, because endpoints can't
// renew them, and are renewed within about 2 s of the store's return. Endpoints
// whose removal is read right after an outage are therefore kept for a grace
// period. Later removals take effect at once.
const (
	gracePeriod = 2 * time.Second // counted from the end of the outage

	// graceWindow is the time after an outage in which a removal has to be read for
	// its endpoint to get the grace period. It is enough for about one read of the
	// list.
	graceWindow = 800 * time.Millisecond

	minOutage = 1500 * time.Millisecond // a longer time between two successful reads of the store counts as an outage
)

type row struct {
	registration fulmardeal.Registration
	offset       fulmardeal.Position // offset of the last change applied to this row
	graceEnd     time.Time           // end of the grace period of an expired registration; zero otherwise
}

// Roster is the list of endpoints. The zero value is an empty list. A Roster is
// safe for concurrent use.
type Roster struct {
	mu        sync.Mutex
	rows      []*row    // sorted by id
	outageEnd time.Time // end of the last outage of the store; zero when there was none
	version   uint64
}

func (r *Roster) find(id string) (int, bool) {
	return slices.BinarySearchFunc(r.rows, id, func(x *row, id string) int { return cmp.Compare(x.registration.ID, id) })
}

// Apply applies a batch of the registrations feed and reports whether the list
// changed.
func (r *Roster) Apply(now time.Time, b feed.Batch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.SinceLastRead > minOutage {
		r.outageEnd = now
	}
	changed := r.expire(now)
	for _, c := range b.Changes {
		switch {
		case c.Registration != nil:
			changed = r.upsert(c) || changed
		case c.Gone || c.Fault != nil:
			changed = r.remove(now, c.Key, c.Offset) || changed
		}
	}
	if b.Full {
		listed := make(map[string]bool, len(b.Changes))
		for _, c := range b.Changes {
			listed[c.Key] = true
		}
		for _, x := range slices.Clone(r.rows) {
			if !listed[x.registration.ID] {
				changed = r.remove(now, x.registration.ID, x.offset+1) || changed
			}
		}
	}
	if changed {
		r.version++
	}
	return changed
}

func (r *Roster) upsert(c fulmardeal.Change) bool {
	i, known := r.find(c.Key)
	if !known {
		r.rows = slices.Insert(r.rows, i, &row{registration: *c.Registration, offset: c.Offset})
		return true
	}
	x := r.rows[i]
	if c.Offset <= x.offset {
		return false
	}
	drains := x.registration.Draining && sameIncarnation(&x.registration, c.Registration)
	x.registration, x.offset, x.graceEnd = *c.Registration, c.Offset, time.Time{}
	x.registration.Draining = x.registration.Draining || drains
	return true
}

// sameIncarnation reports whether two registrations with the same id, the second of
// them newer, are of the same start of an endpoint. An endpoint that drains doesn't
// return before its next start, so a registration that says otherwise is out of date.
func sameIncarnation(earlier, later *fulmardeal.Registration) bool {
	return later.Born.Equal(earlier.Born) && (!later.Born.IsZero() || later.Sequence > earlier.Sequence)
}

// remove removes an endpoint. If its registration may have expired because of an
// outage of the store, the endpoint is kept for the grace period instead, unless
// it was draining.
func (r *Roster) remove(now time.Time, id string, offset fulmardeal.Position) bool {
	i, known := r.find(id)
	if !known || offset <= r.rows[i].offset {
		return false
	}
	x := r.rows[i]
	x.offset = offset
	if !r.outageEnd.IsZero() && now.Sub(r.outageEnd) < graceWindow && !x.registration.Draining {
		if x.graceEnd.IsZero() {
			x.graceEnd = r.outageEnd.Add(gracePeriod)
		}
		return false
	}
	r.rows = slices.Delete(r.rows, i, i+1)
	return true
}

// Expire removes the endpoints whose grace period has ended, and reports whether
// there were any.
func (r *Roster) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.expire(now)
	if changed {
		r.version++
	}
	return changed
}

func (r *Roster) expire(now time.Time) bool {
	before := len(r.rows)
	r.rows = slices.DeleteFunc(r.rows, func(x *row) bool { return !x.graceEnd.IsZero() && !now.Before(x.graceEnd) })
	return len(r.rows) != before
}

// List returns the endpoints, sorted by id.
func (r *Roster) List() []fulmardeal.Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]fulmardeal.Registration, 0, len(r.rows))
	for _, x := range r.rows {
		out = append(out, x.registration)
	}
	return out
}

// Version returns a number that changes whenever the list does.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}
