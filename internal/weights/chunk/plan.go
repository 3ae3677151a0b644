package chunk

import (
	"cmp"
	"slices"
	"time"
)

// maxBusyChunks bounds the work of StartFetches, which stops after this many chunks
// whose holders in this region are all busy.
const maxBusyChunks = 16

// missingChunk is a chunk that is neither held nor being fetched.
type missingChunk struct {
	index   int
	holders int // known peers in this region that hold the chunk
}

// StartFetches returns the fetches to start now and counts them as active.
// FetchSucceeded, FetchUnavailable or FetchFailed must be called for each of them.
func (s *Swarm) StartFetches(now time.Time) []Fetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.originPaused = false }()
	var out []Fetch
	if len(s.active) >= s.maxFetches {
		return out
	}
	busy := 0
	for _, c := range s.rarestFirst() {
		if len(s.active) >= s.maxFetches || busy >= maxBusyChunks {
			break
		}
		f, ok := s.selectSource(now, c)
		if !ok {
			if c.holders > 0 {
				busy++
			}
			continue
		}
		s.startFetch(now, f)
		out = append(out, f)
	}
	return out
}

// startFetch records f as active.
func (s *Swarm) startFetch(now time.Time, f Fetch) {
	a := activeFetch{index: f.Index, started: now}
	if f.Peer != nil {
		a.from = f.Peer.Incarnation
		a.remote = f.Peer.Region != s.self.Region
		if p := s.peer(a.from); p != nil {
			p.fetches++
		}
	}
	s.active = append(s.active, a)
}

// rarestFirst returns the missing chunks, those with the fewest holders in this
// region first. Chunks with the same number of holders are in random order, so that
// agents fetch different chunks and can exchange them.
func (s *Swarm) rarestFirst() []missingChunk {
	var out []missingChunk
	for i := range s.manifest.Chunks() {
		if s.held.Has(i) || slices.ContainsFunc(s.active, func(a activeFetch) bool { return a.index == i }) {
			continue
		}
		out = append(out, missingChunk{index: i, holders: s.holders[i]})
	}
	s.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b missingChunk) int { return cmp.Compare(a.holders, b.holders) })
	return out
}

// selectSource selects the source of a chunk, or returns false if the chunk cannot
// be fetched now.
func (s *Swarm) selectSource(now time.Time, c missingChunk) (Fetch, bool) {
	// Peers in the same region take precedence.
	if c.holders > 0 {
		return s.fromPeer(now, c.index, func(p *peerState) bool { return p.Region == s.self.Region })
	}
	must, takeover := s.mustImport(now, c.index)
	if !must {
		return Fetch{}, false
	}

	// This agent is the one to import the chunk into its region.
	chain := s.chains[c.index]
	position := slices.Index(chain, s.self.Region)
	if (position > 0 || s.cutOff) && s.remoteFetches() >= int(s.remoteWindow) {
		return Fetch{}, false
	}
	if position == 0 && s.cutOff { // others may have drawn it instead
		if f, ok := s.fromPeer(now, c.index, func(*peerState) bool { return true }); ok {
			return f, ok
		}
	}
	if position > 0 {
		upstream := chain[upstreamPosition(position, len(chain))]
		if f, ok := s.fromPeer(now, c.index, func(p *peerState) bool { return p.Region == upstream }); ok {
			return f, ok
		}
		if !s.upstreamStalled(now, chain[:position], slices.Index(s.importers[c.index], s.self.Incarnation)) {
			return Fetch{}, false
		}
		if f, ok := s.fromPeer(now, c.index, func(*peerState) bool { return true }); ok {
			return f, ok
		}
		takeover = TakeoverUpstream
	}
	return s.fromOrigin(now, Fetch{Index: c.index, Takeover: takeover}, position == 0)
}

// fromOrigin selects the origin as the source of a chunk, or returns false if it must
// not be used now. The origin's bandwidth suffices for only a few copies of each chunk.
// Agents outside the first region of the chunk's chain therefore use the origin only if
// no peer is known to hold the chunk.
func (s *Swarm) fromOrigin(now time.Time, f Fetch, firstRegion bool) (Fetch, bool) {
	n := 0
	for _, a := range s.active {
		if a.from == "" {
			n++
		}
	}
	if s.originPaused || n >= s.profile.MaxOriginFetches || !s.inLine(now, f.Index) || !firstRegion && s.anyPeerHolds(f.Index) {
		return Fetch{}, false
	}
	return f, true
}

// anyPeerHolds reports whether any peer is known to hold the chunk.
func (s *Swarm) anyPeerHolds(index int) bool {
	return s.known != nil && s.known[index] > 0
}

// remoteFetches returns the number of active fetches from other regions.
func (s *Swarm) remoteFetches() int {
	n := 0
	for _, a := range s.active {
		if a.remote {
			n++
		}
	}
	return n
}

// fromPeer selects, among the matching peers that hold the chunk, a random one of those
// from which this agent has the fewest active fetches. It returns false if all of them
// are busy or avoided, or there are none.
func (s *Swarm) fromPeer(now time.Time, index int, match func(*peerState) bool) (Fetch, bool) {
	var best []*peerState
	for _, p := range s.peers {
		if !match(p) || !p.held.Has(index) || p.fetches >= maxFetchesPerPeer || now.Before(p.avoidUntil) {
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
