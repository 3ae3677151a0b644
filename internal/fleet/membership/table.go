// Package membership holds what one process knows about the others.
//
// The platform's list of instances lags, so it is joined with what processes
// hear from each other. Each process probes a fixed number of others a tick,
// and news travels with the probes, so that the cost for a process doesn't
// grow with the fleet. The package decides; it sends nothing itself.
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

// State is what is thought of a member.
type State int

// States of members. A later one wins over an earlier one at the same beat.
const (
	Alive State = iota
	Suspect
	Gone
)

// String returns the state in one word.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	}
	return "gone"
}

// Times of the failure detector.
const (
	// suspectFor is the time that a suspected member has to speak up.
	suspectFor = 4 * time.Second

	// goneFor is how long a gone member is remembered, so that late news or
	// the lagging list doesn't bring it back.
	goneFor = 2 * time.Minute

	// mostNews bounds the news in one message.
	mostNews = 12
)

// News is what processes tell each other about a member.
type News struct {
	Instance fulmardeal.Instance
	Serving  fulmardeal.Version // the weights that an agent's endpoint serves
	Held     fulmardeal.Version // the newest weights that it holds whole
	Open     bool               // an agent's endpoint bears its full load
	Beat     uint64             // raised by the member itself at each change
	State    State
}

// Member is one process as this one sees it.
type Member struct {
	news    News
	heard   time.Time // first-hand, or since when it is known
	changed time.Time // of the state
	sends   int       // how often the latest news is still to be passed on

	// replaced is set when another process answers at the member's address.
	replaced bool
}

// Instance returns the member's description.
func (m Member) Instance() fulmardeal.Instance { return m.news.Instance }

// Serving returns the weights that the member's endpoint serves.
func (m Member) Serving() fulmardeal.Version { return m.news.Serving }

// Held returns the newest weights that the member holds whole.
func (m Member) Held() fulmardeal.Version { return m.news.Held }

// Open reports whether the member's endpoint bears its full load.
func (m Member) Open() bool { return m.news.Open }

// State returns what is thought of the member.
func (m Member) State() State { return m.news.State }

// Table is one process's view of the members. Its own entry is one of them. It
// is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	self    News
	members map[string]*Member // by incarnation
	random  *rand.Rand
	version uint64
	probes  int
	turn    int // of the partners

	order      []*Member // sorted by name, of orderAt
	orderAt    uint64
	partners   []*Member // of partnersAt
	partnersAt uint64
	listing    []Member // of listingAt
	listingAt  uint64
}

// NewTable returns a table that knows only self.
func NewTable(self fulmardeal.Instance, seed uint64) *Table {
	t := &Table{
		self:    News{Instance: self, Beat: 1},
		members: make(map[string]*Member),
		random:  rand.New(rand.NewPCG(seed, 1)),
	}
	t.members[self.Incarnation] = &Member{news: t.self}
	t.version = 1
	return t
}

// Version changes whenever the view of any member does.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Self returns this process's own news.
func (t *Table) Self() News {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update changes this process's own news, which then spreads.
func (t *Table) Update(change func(n *News)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.self
	change(&t.self)
	if equal(before, t.self) {
		return
	}
	t.self.Beat++
	t.spread(t.self)
}

func equal(a, b News) bool {
	return a.Serving == b.Serving && a.Held == b.Held && a.Open == b.Open && a.State == b.State &&
		a.Instance.Leaving == b.Instance.Leaving && slices.Equal(a.Instance.Labels, b.Instance.Labels)
}

// spread stores news about a member and marks it to be passed on.
func (t *Table) spread(n News) {
	m := t.members[n.Instance.Incarnation]
	if m == nil {
		m = &Member{}
		t.members[n.Instance.Incarnation] = m
	}
	m.news = n
	m.sends = t.retransmissions()
	t.version++
}

// retransmissions returns how often a process passes a piece of news on, unless
// it hears it back before: a little over the logarithm of the fleet reaches
// everyone with near certainty.
func (t *Table) retransmissions() int {
	return 4 + bits.Len(uint(len(t.members)))
}

// Hear takes in news from another process.
func (t *Table) Hear(now time.Time, all []News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range all {
		t.hear(now, n)
	}
}

// Learn takes in all that another process knows, after a start. It is no news
// to the others, so it isn't passed on.
func (t *Table) Learn(now time.Time, all []News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range all {
		t.hear(now, n)
		if m, known := t.members[n.Instance.Incarnation]; known && m.news.Instance.Incarnation != t.self.Instance.Incarnation {
			m.sends = 0
		}
	}
}

func (t *Table) hear(now time.Time, n News) {
	if n.Instance.Incarnation == t.self.Instance.Incarnation {
		t.refute(n)
		return
	}
	m, known := t.members[n.Instance.Incarnation]
	if known && !newer(n, m.news) {
		if n.Beat == m.news.Beat && n.State == m.news.State && m.sends > 0 {
			m.sends-- // others pass it on too
		}
		return
	}
	changed := !known || m.news.State != n.State
	t.spread(n)
	m = t.members[n.Instance.Incarnation]
	if !known {
		m.heard = now
	}
	if changed {
		m.changed = now
	}
}

// refute answers a rumour that this process is gone.
func (t *Table) refute(n News) {
	if n.State == Alive || n.Beat < t.self.Beat {
		return
	}
	t.self.Beat = n.Beat + 1
	t.spread(t.self)
}

func newer(a, b News) bool {
	if a.Beat != b.Beat {
		return a.Beat > b.Beat
	}
	return a.State > b.State
}

// Met notes that a process has spoken first-hand: whatever is rumoured, it
// lives.
func (t *Table) Met(now time.Time, n News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hear(now, n)
	m, known := t.members[n.Instance.Incarnation]
	if !known {
		return
	}
	m.heard = now
	if m.news.State != Alive && n.Beat >= m.news.Beat {
		m.news.State = Alive
		m.changed = now
		t.version++
	}
}

// Missed notes that a process didn't answer.
func (t *Table) Missed(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[incarnation]
	if !known || m.news.State != Alive {
		return
	}
	n := m.news
	n.State = Suspect
	t.spread(n)
	m.changed = now
}

// Replaced notes that another process answers at a member's address: the
// member is gone for certain.
func (t *Table) Replaced(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[incarnation]
	if !known {
		return
	}
	m.replaced = true
	if m.news.State == Gone {
		return
	}
	n := m.news
	n.State = Gone
	t.spread(n)
	m.changed = now
}

// Listed joins the platform's list. The list lags: it adds members that nobody
// has spoken of, but it brings no gone member back.
func (t *Table) Listed(now time.Time, list []fulmardeal.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, in := range list {
		m, known := t.members[in.Incarnation]
		if known {
			if m.news.State == Alive && in.Leaving && !m.news.Instance.Leaving {
				m.news.Instance.Leaving = true
				t.version++
			}
			continue
		}
		t.spread(News{Instance: in})
		m = t.members[in.Incarnation]
		m.heard, m.changed = now, now
	}
}

// Tick turns suspects into gone members and forgets those long gone.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, m := range t.members {
		if key == t.self.Instance.Incarnation {
			continue
		}
		switch {
		case m.news.State == Suspect && now.Sub(m.changed) > suspectFor:
			n := m.news
			n.State = Gone
			t.spread(n)
			m.changed = now
		case m.news.State == Gone && now.Sub(m.changed) > goneFor:
			delete(t.members, key)
			t.version++
		}
	}
}

// Tell returns the news to send with the next message to a member: what has been
// passed on least often, and what is wrongly thought of the member itself.
func (t *Table) Tell(incarnation string) []News {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []News
	if m, known := t.members[incarnation]; known && m.news.State != Alive {
		out = append(out, m.news)
	}
	var fresh []*Member
	for _, m := range t.members {
		if m.sends > 0 {
			fresh = append(fresh, m)
		}
	}
	slices.SortFunc(fresh, func(a, b *Member) int {
		if a.sends != b.sends {
			return b.sends - a.sends
		}
		return strings.Compare(a.news.Instance.Incarnation, b.news.Instance.Incarnation)
	})

	for _, m := range fresh[:min(len(fresh), mostNews)] {
		m.sends--
		out = append(out, m.news)
	}
	return out
}

// Pending returns how many members there is news of that is still to be passed
// on.
func (t *Table) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, m := range t.members {
		if m.sends > 0 {
			n++
		}
	}
	return n
}

// All returns all that is known, for a process that has just started.
func (t *Table) All() []News {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []News
	for _, m := range t.sorted() {
		out = append(out, m.news)
	}
	return out
}

// Members returns the members that are not gone, sorted by name. The slice is
// shared and must not be changed.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listing != nil && t.listingAt == t.version {
		return t.listing
	}
	t.listing = make([]Member, 0, len(t.members))
	for _, m := range t.sorted() {
		if m.news.State != Gone {
			t.listing = append(t.listing, *m)
		}
	}
	t.listingAt = t.version
	return t.listing
}

// Silent returns how long ago the last other member spoke first-hand. It
// reports false when no other member is known.
func (t *Table) Silent(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var last time.Time
	for key, m := range t.members {
		if key != t.self.Instance.Incarnation && m.heard.After(last) {
			last = m.heard
		}
	}
	return now.Sub(last), !last.IsZero()
}

// sorted returns all members sorted by name. It is worked out again only when
// something has changed.
func (t *Table) sorted() []*Member {
	if t.order != nil && t.orderAt == t.version {
		return t.order
	}
	t.order = t.order[:0:0]
	for _, m := range t.members {
		t.order = append(t.order, m)
	}
	slices.SortFunc(t.order, func(a, b *Member) int {
		if c := strings.Compare(a.news.Instance.Name, b.news.Instance.Name); c != 0 {
			return c
		}
		return strings.Compare(a.news.Instance.Incarnation, b.news.Instance.Incarnation)
	})
	t.orderAt = t.version
	return t.order
}
