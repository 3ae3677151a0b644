package configuration

import (
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
)

// Sizes of what a store keeps for peers that are a little behind.
const (
	mostTail     = 256
	mostVerdicts = 1024
)

// Update brings a process forward: either the records after a version, or a
// whole snapshot when the sender no longer has those records.
type Update struct {
	Records  []fulmardeal.Record
	Snapshot []byte
}

// Empty reports whether the update brings nothing.
func (u Update) Empty() bool { return len(u.Records) == 0 && len(u.Snapshot) == 0 }

// Store holds the configuration in force in one process. The version in force
// never falls. The zero value is ready to use and has nothing in force. It is
// safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	book     *invariant.Book
	state    State
	current  *Configuration
	tail     []fulmardeal.Record // the last folded records, in order
	verdicts []Verdict           // of the last folded records, in order
	watchers []func(*Configuration)

	// The oldest record that no snapshot in the stream covers.
	uncovered      fulmardeal.Offset
	uncoveredSince time.Time
}

// NewStore returns a store that reports broken invariants to book.
func NewStore(book *invariant.Book) *Store { return &Store{book: book} }

// Current returns the configuration in force, or nil when there is none yet.
func (s *Store) Current() *Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Version returns the version in force, 0 when there is none.
func (s *Store) Version() fulmardeal.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.version
}

// State returns the folded state.
func (s *Store) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Watch calls f with each configuration that comes into force from now on.
func (s *Store) Watch(f func(*Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

// Verdict returns what became of the record with the id, if it was folded here
// lately. Of several with the same id the first counts: the others are repeats
// of an append whose answer was lost.
func (s *Store) Verdict(id string) (Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.verdicts {
		if v.id == id {
			return v, true
		}
	}
	return Verdict{}, false
}

// Absorb takes what a peer or the log has sent. Records that are folded
// already are passed over; records after a gap are left for later, and false
// says so.
func (s *Store) Absorb(u Update) bool {
	s.mu.Lock()
	before := s.state.version
	if len(u.Snapshot) > 0 {
		s.restore(u.Snapshot)
	}
	whole := s.foldAll(u.Records)
	s.book.Check(s.state.version >= before, "version",
		"version in force fell from %d to %d", before, s.state.version)
	changed := s.state.version > before
	if changed {
		s.current = s.state.Evaluate()
	}
	current, watchers := s.current, s.watchers
	s.mu.Unlock()

	if changed {
		for _, f := range watchers {
			f(current)
		}
	}
	return whole
}

// restore takes a snapshot over only when it is ahead: one that covers less
// than what is in force would undo the records between.
func (s *Store) restore(body []byte) {
	st, err := Restore(body)
	if err != nil || st.version <= s.state.version {
		return
	}
	s.state = st
	s.tail = nil
	s.uncovered = 0
}

func (s *Store) foldAll(records []fulmardeal.Record) bool {
	for _, r := range records {
		if r.Offset <= s.state.version {
			continue
		}
		if r.Offset != s.state.version+1 {
			return false
		}
		s.fold(r)
	}
	return true
}

func (s *Store) fold(r fulmardeal.Record) {
	next, v := s.state.Fold(r)
	s.state = next
	s.tail = appendBounded(s.tail, r)
	s.cover(r, v.snapshot)
	s.verdicts = append(s.verdicts, v)
	if len(s.verdicts) > mostVerdicts {
		s.verdicts = s.verdicts[len(s.verdicts)-mostVerdicts:]
	}
}

// cover notes which records a reader would need besides the last snapshot.
func (s *Store) cover(r fulmardeal.Record, snapshot bool) {
	if snapshot {
		s.uncovered = 0
		return
	}
	if s.uncovered == 0 {
		s.uncovered, s.uncoveredSince = r.Offset, r.Time
	}
}

// SnapshotDue reports whether the stream needs a new snapshot: many records, or
// an old one, have come since the last.
func (s *Store) SnapshotDue(now time.Time, records int, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.uncovered == 0 {
		return false
	}
	return int(s.state.version-s.uncovered) >= records || now.Sub(s.uncoveredSince) > age
}

func appendBounded(tail []fulmardeal.Record, r fulmardeal.Record) []fulmardeal.Record {
	tail = append(tail, r)
	if len(tail) > mostTail {
		tail = append([]fulmardeal.Record(nil), tail[len(tail)-mostTail:]...)
	}
	return tail
}

// Since returns what a process at version lacks.
func (s *Store) Since(version fulmardeal.Offset) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.state.version {
		return Update{}
	}
	if len(s.tail) > 0 && s.tail[0].Offset <= version+1 {
		first := int(version + 1 - s.tail[0].Offset)
		return Update{Records: append([]fulmardeal.Record(nil), s.tail[first:]...)}
	}
	return Update{Snapshot: s.state.Canonical()}
}

// Start returns the update that the records of a whole retained log give to a
// process that has nothing: the best snapshot among them and what follows it.
// The log may have trimmed the records before first.
func Start(records []fulmardeal.Record) Update {
	var u Update
	if len(records) == 0 {
		return u
	}
	covers := fulmardeal.Offset(0)
	for _, r := range records {
		e, err := decodeEnvelope(r.Body)
		if err != nil || e.Snapshot == nil {
			continue
		}
		c := fulmardeal.Offset(e.Snapshot.Covers)
		if c > covers && c+1 >= records[0].Offset {
			covers, u.Snapshot = c, r.Body
		}
	}
	for _, r := range records {
		if r.Offset > covers {
			u.Records = append(u.Records, r)
		}
	}
	return u
}
