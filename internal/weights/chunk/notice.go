package chunk

import (
	"slices"
	"time"
)

// Limits of the line at the origin. The origin serves requests in their order.
const (
	maxLineNotices  = 3                      // agents told at once that their turn to ask the origin has come
	originQuietTime = 150 * time.Millisecond // without a new chunk for this long, the line grows
	lineGrowthTime  = 20 * time.Millisecond  // by one chunk for each
)

// inLine reports whether a chunk may be requested from the origin now. Chunks are drawn in
// their order, a few at a time, so that a manifest or a chunk of another version doesn't wait
// behind one for each agent. The line grows while nobody receives anything new, because the
// agents whose chunks are first may be unable to draw them.
func (s *Swarm) inLine(now time.Time, index int) bool {
	most := s.profile.OriginLine
	if most == 0 {
		return true
	}
	if quiet := now.Sub(latest(s.lastKnown, s.started, s.lastAway(now))) - originQuietTime; quiet > 0 {
		most += int(quiet / lineGrowthTime)
	}
	for i := range index {
		if !s.held.Has(i) && s.known[i] == 0 {
			if most--; most <= 0 {
				return false
			}
		}
	}
	return true
}

// announce notes whom to tell at once that this agent has received a chunk: if it is the
// first of its region known to hold it, its neighbours there, and the agents that import it
// from this region; if it comes from the origin, those whose turn to ask it has come. Polls
// would tell them a tenth of a second later at each step.
func (s *Swarm) announce(index int, fromOrigin bool) {
	if s.holders == nil || s.holders[index] > 0 || s.profile.OriginLine == 0 {
		return
	}
	if fromOrigin {
		s.announceTurn()
	}
	chain := s.chains[index]
	position := slices.Index(chain, s.self.Region)
	for _, p := range s.peers {
		if p.absent || p.held.Has(index) {
			continue
		}
		if p.Region == s.self.Region {
			if p.neighbour {
				s.addNotice(p.Peer)
			}
			continue
		}
		to := slices.Index(chain, p.Region)
		if to > 0 && upstreamPosition(to, len(chain)) == position && s.preferredImporter(index, p.Region) == p.Incarnation {
			s.addNotice(p.Peer)
		}
	}
}

// announceTurn notes the agents whose turn to ask the origin has come.
func (s *Swarm) announceTurn() {
	waiting, told := 0, 0
	for i := range s.known {
		if s.held.Has(i) || s.known[i] > 0 {
			continue
		}
		if waiting++; waiting > s.profile.OriginLine || told == maxLineNotices {
			return
		}
		if p := s.peer(s.importers[i][0]); p != nil && !s.isAsked(i) && s.chains[i][0] == s.self.Region {
			s.addNotice(p.Peer)
			told++
		}
	}
}

func (s *Swarm) addNotice(p Peer) {
	if !slices.ContainsFunc(s.notices, func(q Peer) bool { return q.Incarnation == p.Incarnation }) {
		s.notices = append(s.notices, p)
	}
}

// TakeNotices returns the peers to tell now what this agent holds.
func (s *Swarm) TakeNotices() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.notices
	s.notices = nil
	return out
}
