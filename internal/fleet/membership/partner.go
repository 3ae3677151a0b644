package membership

import (
	"slices"

	"fulmardeal"
)

// Whom a process talks to.
const (
	// Partners are the members that a process talks to.
	ringPartners   = 2
	hashedPartners = 6

	// doubtEvery is how many probes go to partners for each one that goes to a
	// member that is thought gone.
	doubtEvery = 3
)

// Probe returns the next partner to talk to, each in turn. Now and then it is a
// member that is thought gone: if that was wrong, it can say so. It reports
// false when there is none.
func (t *Table) Probe() (fulmardeal.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probes++
	if t.probes%doubtEvery == 0 {
		if m := t.doubted(); m != nil {
			return m.news.Instance, true
		}
	}
	partners := t.chosen()
	if len(partners) == 0 {
		return fulmardeal.Instance{}, false
	}
	t.turn++
	return partners[t.turn%len(partners)].news.Instance, true
}

// doubted returns a random member that is not thought alive.
func (t *Table) doubted() *Member {
	var all []*Member
	for _, m := range t.sorted() {
		if m.news.State != Alive && !m.replaced {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[t.random.IntN(len(all))]
}

// Partners returns the members that this process talks to, at most n of them,
// in random order.
func (t *Table) Partners(n int) []fulmardeal.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fulmardeal.Instance
	for _, m := range t.chosen() {
		if m.news.State == Alive {
			out = append(out, m.news.Instance)
		}
	}
	t.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// chosen returns the partners: the next few in a ring of all members, so that
// each member has somebody who watches it, and some that are hashed for this
// process, so that news is everywhere after a few exchanges. A process talks to
// the same few over connections that stay open, however large the fleet.
func (t *Table) chosen() []*Member {
	if t.partnersAt == t.version && t.partners != nil {
		return t.partners
	}
	var others []*Member
	for _, m := range t.sorted() {
		if m.news.State != Gone && m.news.Instance.Incarnation != t.self.Instance.Incarnation {
			others = append(others, m)
		}
	}
	t.partnersAt = t.version
	t.partners = t.choose(others)
	return t.partners
}

func (t *Table) choose(others []*Member) []*Member {
	if len(others) <= ringPartners+hashedPartners {
		return slices.Clone(others)
	}
	self := t.self.Instance.Incarnation
	at := Score("ring", self)
	distance := func(m *Member) uint64 { return Score("ring", m.news.Instance.Incarnation) - at } // wraps around
	score := func(m *Member) uint64 { return ^Score(self, m.news.Instance.Incarnation) }

	out := least(others, ringPartners, distance)
	for _, m := range least(others, ringPartners+hashedPartners, score) {
		if len(out) < ringPartners+hashedPartners && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// least returns the n members with the least values of f, the least first.
func least(all []*Member, n int, f func(*Member) uint64) []*Member {
	var out []*Member
	for _, m := range all {
		v := f(m)
		i := len(out)
		for i > 0 && f(out[i-1]) > v {
			i--
		}
		if i < n {
			out = slices.Insert(out, i, m)
			out = out[:min(n, len(out))]
		}
	}
	return out
}

// Some returns up to n random members that are thought alive.
func (t *Table) Some(n int) []fulmardeal.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.sorted()
	var out []fulmardeal.Instance
	for _, i := range t.random.Perm(len(all)) {
		m := all[i]
		if len(out) == n {
			break
		}
		if m.news.State == Alive && m.news.Instance.Incarnation != t.self.Instance.Incarnation {
			out = append(out, m.news.Instance)
		}
	}
	return out
}
