package chunk

import (
	"cmp"
	"slices"
	"time"
)

// mostMisses is the number of chunks with no available holder after which a tick
// stops its search, to bound the work of a tick while all holders are busy.
const mostMisses = 16

// wanted is a chunk that is neither held nor being fetched.
type wanted struct {
	index   int
	holders int // known peers in this region that hold it
}

// Tick returns the fetches to start now and counts them as active. One of Got,
// Missed and Failed must be called for each.
func (s *Swarm) Tick(now time.Time) []Fetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.resting = false }()
	var out []Fetch
	if len(s.under) >= s.pace.Fetches {
		return out
	}
	misses := 0
	for _, w := range s.rarest() {
		if len(s.under) >= s.pace.Fetches || misses >= mostMisses {
			break
		}
		f, ok := s.plan(now, w)
		if !ok {
			if w.holders > 0 {
				misses++
			}
			continue
		}
		s.begin(now, f)
		out = append(out, f)
	}
	return out
}

func (s *Swarm) begin(now time.Time, f Fetch) {
	u := fetch{index: f.Index, begun: now}
	if f.Peer != nil {
		u.from = f.Peer.Incarnation
		u.far = f.Peer.Region != s.self.Region
		if p := s.peer(u.from); p != nil {
			p.fetches++
		}
	}
	s.under = append(s.under, u)
}

// rarest returns the missing chunks, those with the fewest holders in this region
// first. Chunks with equally many are in random order, so that agents fetch
// different chunks and can exchange them.
func (s *Swarm) rarest() []wanted {
	var out []wanted
	for i := range s.manifest.Chunks() {
		if s.has.Has(i) || slices.ContainsFunc(s.under, func(u fetch) bool { return u.index == i }) {
			continue
		}
		out = append(out, wanted{index: i, holders: s.holders[i]})
	}
	s.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b wanted) int { return cmp.Compare(a.holders, b.holders) })
	return out
}

// plan selects the source of a chunk, or returns false if the chunk cannot be
// fetched now.
func (s *Swarm) plan(now time.Time, w wanted) (Fetch, bool) {
	// Peers in the same region take precedence.
	if w.holders > 0 {
		return s.from(now, w.index, func(p *peer) bool { return p.Region == s.self.Region })
	}
	if !s.responsible(now, w.index) {
		return Fetch{}, false
	}

	// This agent is the one to import the chunk into its region.
	chain := s.chains[w.index]
	at := slices.Index(chain, s.self.Region)
	if at > 0 && s.far() >= int(s.window) {
		return Fetch{}, false
	}
	if at > 0 {
		before := chain[at-1]
		if f, ok := s.from(now, w.index, func(p *peer) bool { return p.Region == before }); ok {
			return f, ok
		}
		if !s.late(now, chain[:at], slices.Index(s.imports[w.index], s.self.Incarnation)) {
			return Fetch{}, false
		}
		if f, ok := s.from(now, w.index, func(*peer) bool { return true }); ok {
			return f, ok
		}
	}
	return s.draw(w.index, at == 0)
}

// draw selects the origin, whose bandwidth suffices for only a few copies of each
// chunk: agents outside the first region of the chunk's chain use it only if no peer
// is known to hold the chunk.
func (s *Swarm) draw(index int, first bool) (Fetch, bool) {
	n := 0
	for _, u := range s.under {
		if u.from == "" {
			n++
		}
	}
	if s.resting || n >= s.pace.Imports || !first && s.held(index) {
		return Fetch{}, false
	}
	return Fetch{Index: index}, true
}

// held reports whether any peer is known to hold the chunk.
func (s *Swarm) held(index int) bool {
	return slices.ContainsFunc(s.peers, func(p *peer) bool { return p.has.Has(index) })
}

// far returns the number of active fetches from other regions.
func (s *Swarm) far() int {
	n := 0
	for _, u := range s.under {
		if u.far {
			n++
		}
	}
	return n
}

// from selects a random holder of the chunk among the matching peers with the
// fewest active fetches.
func (s *Swarm) from(now time.Time, index int, match func(*peer) bool) (Fetch, bool) {
	var best []*peer
	for _, p := range s.peers {
		if !match(p) || !p.has.Has(index) || p.fetches >= mostPeer || now.Before(p.aside) {
			continue
		}
		if len(best) > 0 && p.fetches < best[0].fetches {
			best = best[:0]
		}
		if len(best) == 0 || p.fetches == best[0].fetches {
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return Fetch{}, false
	}
	p := best[s.random.IntN(len(best))]
	return Fetch{Index: index, Peer: &p.Peer}, true
}

// responsible reports whether this agent must import a chunk into its region: it is
// the preferred candidate, or all candidates before it have stalled. An agent that
// is not a candidate takes over only if it has received no chunk for a long time.
func (s *Swarm) responsible(now time.Time, index int) bool {
	rank := slices.Index(s.imports[index], s.self.Incarnation)
	for _, key := range s.imports[index] {
		if key == s.self.Incarnation {
			return true
		}
		if p := s.peer(key); p != nil && !s.stalled(now, p, rank) {
			return false
		}
	}
	return now.Sub(s.gained) > s.patience
}

// turns returns how long an agent with so many others before it waits before it
// takes over. When the importers of a chunk crash, leave the membership or fail to
// reach the origin, all other agents notice at the same time; without the delay all
// of them would fetch the chunk from the origin at once.
func (s *Swarm) turns(before int) time.Duration {
	return time.Duration(max(0, before)) * s.pace.Turn
}

// stalled reports whether a peer is known to have received no new chunk for the
// stall timeout and the takeover delay of the agents before this one. If the peer's
// bitmap is too old to tell, the peer is marked to be polled; it counts as stalled
// only if it does not respond to a poll either.
func (s *Swarm) stalled(now time.Time, p *peer, before int) bool {
	most := s.pace.Stalled + s.turns(before-1)
	if now.Sub(p.gained) <= most || now.Sub(s.began) <= most || now.Sub(s.changed) <= s.turns(before) {
		return false
	}
	if now.Sub(p.learned) > s.pace.FreshFor {
		p.wanted = true
		return now.Sub(p.asked) > s.pace.Stalled && p.asked.After(p.learned) // polled without a response
	}
	return true
}

// late reports whether all neighbours in the regions before this one in a chunk's
// chain have stalled, so that the chunk must come from elsewhere. Rank is this
// agent's rank among the candidates of its region.
func (s *Swarm) late(now time.Time, regions []string, rank int) bool {
	before := len(regions) + max(0, rank)
	if now.Sub(s.gained) <= s.pace.Stalled+s.turns(before-1) || now.Sub(s.changed) <= s.turns(before) {
		return false
	}
	for _, p := range s.peers {
		if slices.Contains(regions, p.Region) && p.near && !s.stalled(now, p, before) {
			return false
		}
	}
	return true
}
