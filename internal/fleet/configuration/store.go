package configuration

import (
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
)

// Limits on the recent history that a store keeps.
const (
	maxRecentRecords = 256  // records kept for peers that lag slightly; a peer that lags more gets a snapshot
	maxVerdicts      = 1024 // verdicts kept for writers that ask whether their record was accepted
)

// Update brings a process up to date. It holds the records after the process's
// version, or a snapshot when the sender no longer has those records.
type Update struct {
	Records  []fulmardeal.Record
	Snapshot []byte
}

// Empty reports whether the update has no content.
func (u Update) Empty() bool { return len(u.Records) == 0 && len(u.Snapshot) == 0 }

// Store holds the configuration in force in one process. The version in force
// never decreases. The zero value is an empty store. A Store is safe for
// concurrent use.
type Store struct {
	mu          sync.Mutex
	invariants  *invariant.Recorder
	state       State
	current     *Configuration
	recent      []fulmardeal.Record // the most recent records, in order
	verdicts    []Verdict           // verdicts on the most recent records, in order
	subscribers []func(*Configuration)

	// Offset and time of the oldest record after the last snapshot record in the
	// stream; the offset is 0 when no record follows that snapshot.
	uncovered      fulmardeal.Offset
	uncoveredSince time.Time
}

// NewStore returns an empty store. The recorder is told if the version in force
// ever decreases.
func NewStore(invariants *invariant.Recorder) *Store { return &Store{invariants: invariants} }

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

// State returns the state after all records applied so far.
func (s *Store) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Subscribe registers f to be called with each configuration that comes into
// force from now on.
func (s *Store) Subscribe(f func(*Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Verdict returns the outcome of the record with the given id, or false if this
// store has not folded the record or did so too long ago. When several records have
// the same id, the first one counts: the others are retries of an append whose
// response was lost.
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

// Apply applies an update from a peer or the log. Records that were already
// folded are skipped. At the first gap between offsets it stops, drops the
// records after the gap, and returns false.
func (s *Store) Apply(u Update) bool {
	s.mu.Lock()
	before := s.state.version
	if len(u.Snapshot) > 0 {
		s.restore(u.Snapshot)
	}
	contiguous := s.foldAll(u.Records)
	s.invariants.Check(s.state.version >= before, "version",
		"version in force decreased from %d to %d", before, s.state.version)
	changed := s.state.version > before
	if changed {
		s.current = s.state.Evaluate()
	}
	current, subscribers := s.current, s.subscribers
	s.mu.Unlock()

	if changed {
		for _, f := range subscribers {
			f(current)
		}
	}
	return contiguous
}

// restore replaces the state with a snapshot if the snapshot is newer. An older
// snapshot would undo the records folded since; it is ignored, and so is one that
// can't be decoded.
func (s *Store) restore(body []byte) {
	st, err := Restore(body)
	if err != nil || st.version <= s.state.version {
		return
	}
	s.state = st
	s.recent = nil
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
	s.recent = appendBounded(s.recent, r)
	s.trackUncovered(r, v.snapshot)
	s.verdicts = append(s.verdicts, v)
	if len(s.verdicts) > maxVerdicts {
		s.verdicts = s.verdicts[len(s.verdicts)-maxVerdicts:]
	}
}

// trackUncovered is called after r has been folded. It tracks the oldest record that
// a reader needs in addition to the last snapshot in the stream.
func (s *Store) trackUncovered(r fulmardeal.Record, snapshot bool) {
	if snapshot {
		s.uncovered = 0
		return
	}
	if s.uncovered == 0 {
		s.uncovered, s.uncoveredSince = r.Offset, r.Time
	}
}

// SnapshotDue reports whether a new snapshot should be appended to the stream.
// It is due when the oldest record after the last snapshot is older than the given
// age, or is followed by at least the given number of records.
func (s *Store) SnapshotDue(now time.Time, records int, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.uncovered == 0 {
		return false
	}
	return int(s.state.version-s.uncovered) >= records || now.Sub(s.uncoveredSince) > age
}

func appendBounded(recent []fulmardeal.Record, r fulmardeal.Record) []fulmardeal.Record {
	recent = append(recent, r)
	if len(recent) > maxRecentRecords {
		recent = append([]fulmardeal.Record(nil), recent[len(recent)-maxRecentRecords:]...)
	}
	return recent
}

// Since returns the update that brings a process from the given version up to date.
// It is empty if the process is not behind this store.
func (s *Store) Since(version fulmardeal.Offset) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.state.version {
		return Update{}
	}
	if len(s.recent) > 0 && s.recent[0].Offset <= version+1 {
		first := int(version + 1 - s.recent[0].Offset)
		return Update{Records: append([]fulmardeal.Record(nil), s.recent[first:]...)}
	}
	return Update{Snapshot: s.state.Canonical()}
}

// InitialUpdate returns the update that brings an empty store to the end of a log,
// given all records that the log retains. It consists of the newest usable snapshot
// and the records after it. A snapshot is usable only if no record between the
// snapshot and the first retained record is missing.
func InitialUpdate(records []fulmardeal.Record) Update {
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
