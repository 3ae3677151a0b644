package chunk

import (
	"slices"
	"time"
)

// Takeover is why an agent draws a chunk that another one was chosen to draw.
type Takeover string

// Reasons of takeovers. The zero value is for chunks that this agent was chosen to draw.
const (
	TakeoverAbsent   Takeover = "absent"   // the chosen agent doesn't answer
	TakeoverStalled  Takeover = "stalled"  // the agents chosen before this one make no progress
	TakeoverSlow     Takeover = "slow"     // the agents chosen before this one are slow with other chunks
	TakeoverFallback Takeover = "fallback" // no candidate makes progress
	TakeoverUpstream Takeover = "upstream" // the regions from which the chunk was to come make no progress
)

// refusedPolls is the number of polls in succession that must fail before a peer is
// taken to be gone. One alone can fail while an agent is restarted.
const refusedPolls = 3

// mustImport reports whether this agent must import a chunk into its region, and why if
// another one was chosen. It must if it is the preferred candidate, or if all candidates
// before it have stalled. An agent that is not a candidate takes over only if all
// candidates have stalled and it has itself received no new chunk for fallbackAfter.
func (s *Swarm) mustImport(now time.Time, index int) (bool, Takeover) {
	rank := slices.Index(s.importers[index], s.self.Incarnation)
	slow := false
	for i, key := range s.importers[index] {
		if key == s.self.Incarnation {
			switch {
			case slow:
				return true, TakeoverSlow
			case i > 0:
				return true, TakeoverStalled
			case s.chosen[index] != key:
				return true, TakeoverAbsent
			}
			return true, ""
		}
		if p := s.peer(key); p != nil && !s.passedOver(now, p, rank) {
			if rank < 0 || !s.isSlow(now, p, index, rank) {
				return false, ""
			}
			slow = true
		}
	}
	return now.Sub(s.lastGain) > s.fallbackAfter && !s.awaitsOrigin(now), TakeoverFallback
}

// takeoverDelay returns how long an agent waits before it takes over an import, given
// the number of agents ahead of it. When the importers of a chunk crash, leave the
// membership or fail to reach the origin, all other agents notice at the same time;
// without the delay they would all fetch the chunk from the origin at once.
func (s *Swarm) takeoverDelay(ahead int) time.Duration {
	return time.Duration(max(0, ahead)) * s.profile.TakeoverDelay
}

// passedOver reports whether a candidate has stalled without an excuse. It has one while
// it waits in line at an origin that serves others, or while the origin is away: then
// further requests would only make the line longer.
func (s *Swarm) passedOver(now time.Time, p *peerState, ahead int) bool {
	if !s.stalled(now, p, ahead) {
		return false
	}
	waits := !p.askedSince.IsZero() && now.Sub(p.askedSince) <= s.profile.FetchTimeout && s.origin.serves(now)
	return p.absent || p.cutOff || p.slow || !waits && !s.awaitsOrigin(now)
}

// lineShare is the inverse of the part of the stall timeout that each request in line at
// the origin may take.
const lineShare = 8

// isSlow reports whether a candidate that makes progress keeps a chunk waiting that nobody
// else has requested: its last request takes longer than the line at the origin explains, and
// this agent has nothing to request itself.
func (s *Swarm) isSlow(now time.Time, p *peerState, index, ahead int) bool {
	own := p.asked.Has(index)
	if p.asked.Count() == 0 || !own && s.isAsked(index) || s.awaitsOrigin(now) || slices.ContainsFunc(s.active, func(a activeFetch) bool { return a.from == "" || a.remote }) {
		return false
	}
	patience := s.profile.StallTimeout + s.takeoverDelay(ahead-1)
	if own {
		patience *= 2 // it costs a copy of the chunk
	}
	if now.Sub(p.askedSince) <= patience {
		return false
	}
	line := 0
	for _, q := range s.peers {
		line += q.asked.Count()
	}
	return now.Sub(p.askedSince) > patience+time.Duration(line)*s.profile.StallTimeout/lineShare
}

// awaitsOrigin reports whether this agent leaves it to others to find out when the
// origin is back. Once in a while it tries itself, because the others may be unable to
// reach an origin that is there.
func (s *Swarm) awaitsOrigin(now time.Time) bool {
	return now.Sub(s.origin.lastAway()) <= s.profile.StallTimeout && s.failedItself(now)
}

// failedItself reports whether a recent request of this agent to the origin, for any version, has failed. What
// others tell of their requests doesn't keep an agent from trying: they may be cut off.
func (s *Swarm) failedItself(now time.Time) bool {
	return now.Sub(s.origin.lastOwnFailure()) <= s.fallbackAfter
}

// lastAway returns when the origin was last away, as far as this agent has found out itself.
func (s *Swarm) lastAway(now time.Time) time.Time {
	if s.failedItself(now) {
		return s.origin.lastAway()
	}
	return time.Time{}
}

// stalled reports whether a peer is known to have received no new chunk for the stall
// timeout plus the takeover delay of the agents ahead of this one, not counting the time
// while the origin was away. If the peer's bitmap is too old to tell, the peer is marked
// to be polled, and counts as stalled only if it does not answer polls.
func (s *Swarm) stalled(now time.Time, p *peerState, ahead int) bool {
	timeout := s.profile.StallTimeout + s.takeoverDelay(ahead-1)
	if now.Sub(latest(p.lastGain, s.started, s.lastAway(now))) <= timeout || now.Sub(s.lastDisruption) <= s.takeoverDelay(ahead) {
		return false
	}
	if now.Sub(p.lastResponse) > s.profile.BitmapMaxAge {
		p.pollRequested = true
		return p.silent(now, s.profile.StallTimeout)
	}
	return true
}

// upstreamStalled reports whether all neighbours in the given regions have stalled. The
// regions are those before this agent's region in a chunk's chain; if they have
// stalled, the chunk must come from elsewhere. The rank is that of this agent among the
// candidates of its region.
func (s *Swarm) upstreamStalled(now time.Time, regions []string, rank int) bool {
	if rank == 0 && s.regionsCutOff(regions) {
		return true
	}
	ahead := len(regions) + max(0, rank)
	since := latest(s.lastGain, s.lastAway(now))
	if now.Sub(since) <= s.profile.StallTimeout+s.takeoverDelay(ahead-1) || now.Sub(s.lastDisruption) <= s.takeoverDelay(ahead) || s.awaitsOrigin(now) {
		return false
	}
	for _, p := range s.peers {
		if slices.Contains(regions, p.Region) && p.neighbour && !s.passedOver(now, p, ahead) {
			return false
		}
	}
	return true
}

// regionsCutOff reports whether all neighbours in the given regions are cut off from the origin.
func (s *Swarm) regionsCutOff(regions []string) bool {
	found := false
	for _, p := range s.peers {
		if p.neighbour && slices.Contains(regions, p.Region) {
			if !p.cutOff {
				return false
			}
			found = true
		}
	}
	return found
}

// silent reports whether the peer has not answered polls for some time.
func (p *peerState) silent(now time.Time, timeout time.Duration) bool {
	return p.absent || !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > timeout
}

// RecordPollFailure records that a poll of a peer failed.
func (s *Swarm) RecordPollFailure(now time.Time, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peer(incarnation); p != nil {
		p.refused++
		if p.refused >= refusedPolls || p.silent(now, s.profile.StallTimeout) {
			s.setAbsent(now, p)
		}
	}
}

// setAbsent removes a peer that doesn't answer from the candidates for imports and from
// the holders of chunks, until it answers.
func (s *Swarm) setAbsent(now time.Time, p *peerState) {
	if p.absent {
		return
	}
	p.absent, p.askedSince = true, time.Time{}
	s.updateBitmap(now, p, NewBitmap(s.manifest.Chunks()))
	s.rankImporters()
	s.selectNeighbours()
}

// answered records that a peer is there.
func (s *Swarm) answered(now time.Time, p *peerState) {
	p.lastResponse, p.unansweredSince, p.refused = now, time.Time{}, 0
	if p.absent {
		p.absent, p.lastGain = false, now
		s.rankImporters()
		s.selectNeighbours()
	}
}

// updateUnfit takes agents that can't reach an origin that serves others, or are slow, from the
// candidates for drawing chunks, until they reach it or for some time. An agent that finds itself to
// be one polls all peers of its region to tell them, because another one must draw its chunks.
func (s *Swarm) updateUnfit(now time.Time) {
	is := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) <= s.profile.FallbackTimeout }
	at := s.origin.lastCutOff()
	if s.receivesSlowly(now) {
		s.slowAt = now
	}
	changed := is(at) != s.cutOff || is(s.slowAt) != s.slow
	tell := is(at) && (is(at) != s.cutOff || at.After(s.cutOffAt)) || is(s.slowAt) && !s.slow
	s.cutOff, s.cutOffAt, s.slow = is(at), at, is(s.slowAt)
	for _, p := range s.peers {
		if is(p.cutOffAt) != p.cutOff || is(p.slowAt) != p.slow {
			p.cutOff, p.slow, changed = is(p.cutOffAt), is(p.slowAt), true
		}
		if tell && p.Region == s.self.Region {
			p.pollRequested = true
		}
	}
	if changed && s.chains != nil {
		s.rankImporters()
		s.selectNeighbours()
	}
}

// slowPeers is the number of peers whose chunks must all be late for this agent to be slow
// itself. One alone may be stopped.
const slowPeers = 2

// receivesSlowly reports whether this agent receives chunks so slowly, from several peers, that
// those that it draws for others would keep these waiting.
func (s *Swarm) receivesSlowly(now time.Time) bool {
	late, recent := 0, 0
	for i, a := range s.active {
		if a.from == "" {
			continue
		}
		if now.Sub(a.started) <= s.profile.StallTimeout {
			recent++
			continue
		}
		if !slices.ContainsFunc(s.active[:i], func(b activeFetch) bool { return b.from == a.from }) {
			late++
		}
	}
	return late >= slowPeers && late > recent
}

// Status returns what this agent tells others besides the chunks that it holds.
func (s *Swarm) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.origin.status(now)
	st.Slow, st.Leaving = s.slow, s.leaving
	for _, a := range s.active {
		if a.from == "" || a.remote {
			if st.Asked == nil {
				st.Asked = NewBitmap(s.manifest.Chunks())
			}
			st.Asked.Set(a.index)
		}
	}
	return st
}

// RecordOrigin records what a peer has told of the origin in its response to a request
// that was sent at a time.
func (s *Swarm) RecordOrigin(sent time.Time, st Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origin.merge(sent, st)
}

// RecordStatus records which chunks a peer has requested from the origin.
func (s *Swarm) RecordStatus(now time.Time, incarnation string, st Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peer(incarnation)
	if p == nil || len(st.Asked) > len(s.held) {
		return
	}
	p.cutOffAt = time.Time{}
	if st.CutOff > 0 && st.CutOff <= maxStatusAge {
		p.cutOffAt = now.Add(-st.CutOff)
	}
	if st.Slow {
		p.slowAt = now
	}
	if st.Leaving && !p.leaving {
		p.leaving = true
		if s.chains != nil {
			s.rankImporters()
		}
	}
	switch {
	case st.Asked.Count() == 0:
		p.askedSince = time.Time{}
	case p.askedSince.IsZero() || !slices.Equal(p.asked, st.Asked):
		p.askedSince = now
	}
	p.asked = st.Asked
}

// setOrigin makes the swarm share what is known of the origin with other versions.
func (s *Swarm) setOrigin(o *originView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origin = o
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time {
	var out time.Time
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}
