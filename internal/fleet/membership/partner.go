package membership

import (
	"slices"

	"fulmardeal"
)

// Selection of gossip partners and probe targets.
const (
	ringPartners   = 2 // partners that are the process's successors on the hash ring of members
	hashedPartners = 6 // partners chosen by rendezvous hashing

	// nonAliveProbeInterval is the interval, in probes, at which a probe goes
	// to a member that is suspect or gone instead of to a partner.
	nonAliveProbeInterval = 3
)

// NextProbeTarget returns the member to probe next, or false when there is
// none. It goes through the partners round-robin. Every
// nonAliveProbeInterval-th probe goes to a random member that is suspect or gone, so
// that the member can refute that state if it is in fact alive.
func (t *Table) NextProbeTarget() (fulmardeal.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probes++
	if t.probes%nonAliveProbeInterval == 0 {
		if m := t.randomNonAlive(); m != nil {
			return m.latest.Instance, true
		}
	}
	partners := t.currentPartners()
	if len(partners) == 0 {
		return fulmardeal.Instance{}, false
	}
	t.partnerTurn++
	return partners[t.partnerTurn%len(partners)].latest.Instance, true
}

// randomNonAlive returns a random member that is suspect or gone, or nil.
// Members whose address another process has taken over are excluded.
func (t *Table) randomNonAlive() *Member {
	var all []*Member
	for _, m := range t.sorted() {
		if m.latest.State != Alive && !m.replaced {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[t.random.IntN(len(all))]
}

// Partners returns up to n of the gossip partners that are alive, in random
// order.
func (t *Table) Partners(n int) []fulmardeal.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fulmardeal.Instance
	for _, m := range t.currentPartners() {
		if m.latest.State == Alive {
			out = append(out, m.latest.Instance)
		}
	}
	t.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// currentPartners returns the gossip partners of this process. Some are its
// successors on a hash ring, so that every member is probed by another one. The
// others are chosen by rendezvous hashing, so that updates reach all members in a few
// exchanges. The connections to the partners can stay open, because the partners
// change only with the membership and their number doesn't grow with the fleet.
func (t *Table) currentPartners() []*Member {
	if t.partnersVersion == t.version && t.partners != nil {
		return t.partners
	}
	var others []*Member
	for _, m := range t.sorted() {
		if m.latest.State != Gone && m.latest.Instance.Incarnation != t.self.Instance.Incarnation {
			others = append(others, m)
		}
	}
	t.partnersVersion = t.version
	t.partners = t.selectPartners(others)
	return t.partners
}

func (t *Table) selectPartners(others []*Member) []*Member {
	if len(others) <= ringPartners+hashedPartners {
		return slices.Clone(others)
	}
	self := t.self.Instance.Incarnation
	at := Score("ring", self)
	ringDistance := func(m *Member) uint64 { return Score("ring", m.latest.Instance.Incarnation) - at } // modulo 2^64
	score := func(m *Member) uint64 { return ^Score(self, m.latest.Instance.Incarnation) }

	out := lowest(others, ringPartners, ringDistance)
	for _, m := range lowest(others, ringPartners+hashedPartners, score) {
		if len(out) < ringPartners+hashedPartners && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// lowest returns the n members with the lowest values of f, in ascending order.
func lowest(all []*Member, n int, f func(*Member) uint64) []*Member {
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

// RandomAlive returns up to n random live members other than this process.
func (t *Table) RandomAlive(n int) []fulmardeal.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.sorted()
	var out []fulmardeal.Instance
	for _, i := range t.random.Perm(len(all)) {
		m := all[i]
		if len(out) == n {
			break
		}
		if m.latest.State == Alive && m.latest.Instance.Incarnation != t.self.Instance.Incarnation {
			out = append(out, m.latest.Instance)
		}
	}
	return out
}
