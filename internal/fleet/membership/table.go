// Package membership maintains one process's view of the processes in the fleet.
//
// It implements a SWIM-style gossip protocol. The platform's list of instances
// lags, so it is merged with updates that processes send each other. Each
// process probes a fixed number of others per tick and piggybacks updates on the
// probes, so the cost per process doesn't grow with the fleet. The package keeps
// state and chooses what to send to whom; the caller does all communication.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"fulmardeal"
)

// State is the liveness of a member as a process sees it.
type State int

// States of members. Between updates with the same beat, the state that comes
// later in this list takes precedence.
const (
	Alive State = iota
	Suspect
	Gone
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	}
	return "gone"
}

// Parameters of the failure detector and of gossip.
const (
	// suspicionTimeout is the time that a suspect member has to refute the
	// suspicion before it is declared gone.
	suspicionTimeout = 4 * time.Second

	// goneRetention is how long a gone member is kept, so that late updates or
	// the lagging platform list don't bring it back.
	goneRetention = 2 * time.Minute

	// maxUpdatesPerMessage is the maximum number of updates that one message
	// carries, not counting an update about the recipient itself.
	maxUpdatesPerMessage = 12
)

// MemberUpdate is the state of a member, as processes gossip it to each other.
type MemberUpdate struct {
	Instance fulmardeal.Instance
	Serving  fulmardeal.Version // weights that the agent's endpoint serves
	Held     fulmardeal.Version // newest weights of which the agent has all chunks
	Open     bool               // the agent's endpoint accepts its full load
	Beat     uint64             // version of the update; only the member itself increments it
	State    State
}

// Member is a process of the fleet as the process that owns the table sees it.
type Member struct {
	latest      MemberUpdate
	lastContact time.Time // time of the last direct contact, or when the member became known if there was none
	stateSince  time.Time // time of the last state change
	sendsLeft   int       // how many more times this process sends latest to others

	// replaced is set when another process answers at the member's address.
	replaced bool
}

// Instance returns the member's description.
func (m Member) Instance() fulmardeal.Instance { return m.latest.Instance }

// Serving returns the weights that the member's endpoint serves.
func (m Member) Serving() fulmardeal.Version { return m.latest.Serving }

// Held returns the newest weights that the member has completely.
func (m Member) Held() fulmardeal.Version { return m.latest.Held }

// Open reports whether the member's endpoint accepts its full load.
func (m Member) Open() bool { return m.latest.Open }

// State returns the member's liveness.
func (m Member) State() State { return m.latest.State }

// Table is one process's view of all members, including itself. It is safe for
// concurrent use.
type Table struct {
	mu          sync.Mutex
	self        MemberUpdate
	members     map[string]*Member // by incarnation
	random      *rand.Rand
	version     uint64 // incremented at each change of the view
	probes      int    // number of probes so far
	partnerTurn int    // incremented at each turn of the round-robin over partners

	// Caches, each with the table's version at which it was computed.
	byName          []*Member // sorted by name
	byNameVersion   uint64
	partners        []*Member
	partnersVersion uint64
	present         []Member // the members that are not gone, sorted by name
	presentVersion  uint64
}

// NewTable returns a table that knows only self.
func NewTable(self fulmardeal.Instance, seed uint64) *Table {
	t := &Table{
		self:    MemberUpdate{Instance: self, Beat: 1},
		members: make(map[string]*Member),
		random:  rand.New(rand.NewPCG(seed, 1)),
	}
	t.members[self.Incarnation] = &Member{latest: t.self}
	t.version = 1
	return t
}

// Version returns a number that changes whenever the view of any member does.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Self returns the update about this process itself.
func (t *Table) Self() MemberUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// UpdateSelf applies change to the update about this process itself. If the
// update is different afterwards, it gets a new beat and is gossiped.
func (t *Table) UpdateSelf(change func(u *MemberUpdate)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.self
	change(&t.self)
	if sameContent(before, t.self) {
		return
	}
	t.self.Beat++
	t.enqueue(t.self)
}

func sameContent(a, b MemberUpdate) bool {
	return a.Serving == b.Serving && a.Held == b.Held && a.Open == b.Open && a.State == b.State &&
		a.Instance.Leaving == b.Instance.Leaving && slices.Equal(a.Instance.Labels, b.Instance.Labels)
}

// enqueue stores an update about a member and queues it for gossip.
func (t *Table) enqueue(u MemberUpdate) {
	m := t.members[u.Instance.Incarnation]
	if m == nil {
		m = &Member{}
		t.members[u.Instance.Incarnation] = m
	}
	m.latest = u
	m.sendsLeft = t.retransmissions()
	t.version++
}

// retransmissions returns how many times a process sends an update. Whenever the
// process receives the same update from another one, the number of times that are
// left decreases by one. With a number a little over the logarithm of the fleet size,
// the update reaches all members with near certainty.
func (t *Table) retransmissions() int {
	return 4 + bits.Len(uint(len(t.members)))
}

// Merge merges updates from another process and queues the new ones for gossip.
func (t *Table) Merge(now time.Time, all []MemberUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range all {
		t.merge(now, u)
	}
}

// MergeSnapshot merges the full view of another process, which this process has
// requested at its start. The view isn't gossiped, because the other processes know
// it already.
func (t *Table) MergeSnapshot(now time.Time, all []MemberUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range all {
		t.merge(now, u)
		if m, known := t.members[u.Instance.Incarnation]; known && m.latest.Instance.Incarnation != t.self.Instance.Incarnation {
			m.sendsLeft = 0
		}
	}
}

func (t *Table) merge(now time.Time, u MemberUpdate) {
	if u.Instance.Incarnation == t.self.Instance.Incarnation {
		t.refute(u)
		return
	}
	m, known := t.members[u.Instance.Incarnation]
	if known && !supersedes(u, m.latest) {
		if u.Beat == m.latest.Beat && u.State == m.latest.State && m.sendsLeft > 0 {
			m.sendsLeft-- // other processes send the same update, so this one sends it once less
		}
		return
	}
	changed := !known || m.latest.State != u.State
	t.enqueue(u)
	m = t.members[u.Instance.Incarnation]
	if !known {
		m.lastContact = now
	}
	if changed {
		m.stateSince = now
	}
}

// refute overrides an update that calls this process suspect or gone. It queues an
// update with a higher beat, which says that the process is alive.
func (t *Table) refute(u MemberUpdate) {
	if u.State == Alive || u.Beat < t.self.Beat {
		return
	}
	t.self.Beat = u.Beat + 1
	t.enqueue(t.self)
}

func supersedes(a, b MemberUpdate) bool {
	if a.Beat != b.Beat {
		return a.Beat > b.Beat
	}
	return a.State > b.State
}

// RecordContact records direct contact with another process and merges that
// process's update about itself. The contact proves that the process is alive, which
// overrides what others have gossiped.
func (t *Table) RecordContact(now time.Time, u MemberUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, u)
	m, known := t.members[u.Instance.Incarnation]
	if !known {
		return
	}
	m.lastContact = now
	if m.latest.State != Alive && u.Beat >= m.latest.Beat {
		m.latest.State = Alive
		m.stateSince = now
		t.version++
	}
}

// RecordNoAnswer records that a process did not answer. If it was alive until now, it
// becomes suspect.
func (t *Table) RecordNoAnswer(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[incarnation]
	if !known || m.latest.State != Alive {
		return
	}
	u := m.latest
	u.State = Suspect
	t.enqueue(u)
	m.stateSince = now
}

// RecordReplaced records that another process answers at a member's address,
// which proves that the member is gone.
func (t *Table) RecordReplaced(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[incarnation]
	if !known {
		return
	}
	m.replaced = true
	if m.latest.State == Gone {
		return
	}
	u := m.latest
	u.State = Gone
	t.enqueue(u)
	m.stateSince = now
}

// MergePlatformList merges the platform's list of instances. Members that are not
// known yet are added, and live members that the list shows as leaving are marked as
// leaving. The list lags, so gone members that it still contains stay gone.
func (t *Table) MergePlatformList(now time.Time, list []fulmardeal.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, in := range list {
		m, known := t.members[in.Incarnation]
		if known {
			if m.latest.State == Alive && in.Leaving && !m.latest.Instance.Leaving {
				m.latest.Instance.Leaving = true
				t.version++
			}
			continue
		}
		t.enqueue(MemberUpdate{Instance: in})
		m = t.members[in.Incarnation]
		m.lastContact, m.stateSince = now, now
	}
}

// Tick declares members gone that have been suspect for suspicionTimeout, and
// deletes those that have been gone for goneRetention.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, m := range t.members {
		if key == t.self.Instance.Incarnation {
			continue
		}
		switch {
		case m.latest.State == Suspect && now.Sub(m.stateSince) > suspicionTimeout:
			u := m.latest
			u.State = Gone
			t.enqueue(u)
			m.stateSince = now
		case m.latest.State == Gone && now.Sub(m.stateSince) > goneRetention:
			delete(t.members, key)
			t.version++
		}
	}
}

// UpdatesFor returns the updates to piggyback on the next message to a member,
// those with the most transmissions left first. If the member itself is suspect
// or gone in this process's view, the update that says so comes before all others, so
// that the member can refute it.
func (t *Table) UpdatesFor(incarnation string) []MemberUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []MemberUpdate
	if m, known := t.members[incarnation]; known && m.latest.State != Alive {
		out = append(out, m.latest)
	}
	var pending []*Member
	for _, m := range t.members {
		if m.sendsLeft > 0 {
			pending = append(pending, m)
		}
	}
	slices.SortFunc(pending, func(a, b *Member) int {
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		return strings.Compare(a.latest.Instance.Incarnation, b.latest.Instance.Incarnation)
	})

	for _, m := range pending[:min(len(pending), maxUpdatesPerMessage)] {
		m.sendsLeft--
		out = append(out, m.latest)
	}
	return out
}

// PendingUpdates returns the number of members with an update still queued for
// gossip.
func (t *Table) PendingUpdates() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, m := range t.members {
		if m.sendsLeft > 0 {
			n++
		}
	}
	return n
}

// Snapshot returns the updates about all members, for a process that has just
// started.
func (t *Table) Snapshot() []MemberUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []MemberUpdate
	for _, m := range t.sorted() {
		out = append(out, m.latest)
	}
	return out
}

// Members returns the members that are not gone, sorted by name. The slice is
// shared between callers and must not be modified.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.present != nil && t.presentVersion == t.version {
		return t.present
	}
	t.present = make([]Member, 0, len(t.members))
	for _, m := range t.sorted() {
		if m.latest.State != Gone {
			t.present = append(t.present, *m)
		}
	}
	t.presentVersion = t.version
	return t.present
}

// SinceContact returns the time since the last direct contact with any other
// member, or false when no other member is known.
func (t *Table) SinceContact(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var last time.Time
	for key, m := range t.members {
		if key != t.self.Instance.Incarnation && m.lastContact.After(last) {
			last = m.lastContact
		}
	}
	return now.Sub(last), !last.IsZero()
}

// sorted returns all members, sorted by name. The result is cached until the
// version changes.
func (t *Table) sorted() []*Member {
	if t.byName != nil && t.byNameVersion == t.version {
		return t.byName
	}
	t.byName = t.byName[:0:0]
	for _, m := range t.members {
		t.byName = append(t.byName, m)
	}
	slices.SortFunc(t.byName, func(a, b *Member) int {
		if c := strings.Compare(a.latest.Instance.Name, b.latest.Instance.Name); c != 0 {
			return c
		}
		return strings.Compare(a.latest.Instance.Incarnation, b.latest.Instance.Incarnation)
	})
	t.byNameVersion = t.version
	return t.byName
}
