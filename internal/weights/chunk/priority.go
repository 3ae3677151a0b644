package chunk

import (
	"slices"

	"fulmardeal"
)

// yieldingFetches is the number of concurrent fetches of a version that yields to
// another one.
const yieldingFetches = 2

// Priority tells which of several versions goes first. The zero value is for one
// version: nothing yields.
type Priority struct {
	First  fulmardeal.Version   // its chunks go first on every link
	Paused []fulmardeal.Version // nothing of them is fetched; what is held is served
}

// SetPriority sets which version goes first from now on.
func (x *Exchange) SetPriority(p Priority) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.priority = p
}

// rank is how a version's fetches rank among those of other versions.
type rank int

const (
	rankFirst  rank = iota // as if it were the only version
	rankBehind             // another version goes first, but needs nothing of the origin
	rankYields             // another version goes first, and needs the origin
	rankPaused
)

func (r rank) String() string { return [...]string{"first", "behind", "yields", "paused"}[r] }

func (r rank) maxFetches(most int) int {
	if r == rankFirst {
		return most
	}
	return min(most, yieldingFetches)
}

// rankOf returns the rank of a version's fetches.
func (x *Exchange) rankOf(s *Swarm) rank {
	v := s.manifest.Version()
	x.mu.Lock()
	p := x.priority
	x.mu.Unlock()
	if slices.Contains(p.Paused, v) {
		return rankPaused
	}
	if p.First.Zero() || p.First == v {
		return rankFirst
	}
	first := x.swarm(p.First)
	switch {
	case first == nil || first.Complete():
		return rankFirst
	case first.Unasked() > 0:
		return rankYields
	}
	return rankBehind
}

// goesFirst reports whether a version goes first on this agent's link.
func (x *Exchange) goesFirst(v fulmardeal.Version) bool { return x.priority.First == v }

// limitFetches bounds the active fetches that the next StartFetches may lead to.
func (s *Swarm) limitFetches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxFetches = n
}

// Unasked returns the number of chunks that no known agent holds or has requested from
// the origin.
func (s *Swarm) Unasked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i := range s.manifest.Chunks() {
		if !s.held.Has(i) && !s.anyPeerHolds(i) && !s.isAsked(i) {
			n++
		}
	}
	return n
}

// isAsked reports whether any known agent has requested a chunk from the origin.
func (s *Swarm) isAsked(index int) bool {
	own := slices.ContainsFunc(s.active, func(a activeFetch) bool { return a.index == index && a.from == "" })
	return own || slices.ContainsFunc(s.peers, func(p *peerState) bool { return !p.absent && !p.slow && p.asked.Has(index) })
}

// Chosen returns the agent of this region that was chosen to draw a chunk.
func (s *Swarm) Chosen(index int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < 0 || index >= len(s.chosen) {
		return ""
	}
	return s.chosen[index]
}
