package chunk

import (
	"context"
	"time"
)

// leaveCheckInterval is the interval between two looks at what only leaving agents hold.
const leaveCheckInterval = 20 * time.Millisecond

// Leave tells the neighbours that this agent is about to stop, and returns once other agents
// that stay hold each of its chunks, or when the context ends. Chunks are served meanwhile.
func (x *Exchange) Leave(ctx context.Context) {
	x.mu.Lock()
	swarms := append([]*Swarm(nil), x.swarms...)
	x.mu.Unlock()
	for _, s := range swarms {
		for _, p := range s.leave() {
			go x.notify(ctx, s, p)
		}
	}
	t := time.NewTicker(leaveCheckInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		sole := 0
		for _, s := range swarms {
			sole += s.soleChunks()
		}
		if sole == 0 {
			return
		}
		select {
		case <-ctx.Done():
			x.log.Warn("stopped with chunks that no agent that stays is known to hold", "chunks", sole)
		case <-t.C:
		}
	}
}

// leave marks this agent as leaving and returns its neighbours, if they lack any chunk that it
// holds.
func (s *Swarm) leave() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	var out []Peer
	for _, p := range s.peers {
		if p.neighbour && !p.absent && p.held.Count() < s.held.Count() {
			out = append(out, p.Peer)
		}
	}
	return out
}

// soleChunks returns the number of chunks that this agent holds and no peer that stays.
func (s *Swarm) soleChunks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i := range s.known {
		if len(s.peers) > 0 && s.isSole(i) {
			n++
		}
	}
	return n
}

// isSole reports whether this agent holds a chunk and no peer that stays does.
func (s *Swarm) isSole(index int) bool {
	return s.held.Has(index) && s.known[index]-s.leavers(index, true) == 0
}

// leavers returns how many peers that are about to stop hold a chunk, of all regions or of
// this one.
func (s *Swarm) leavers(index int, everywhere bool) int {
	n := 0
	for _, p := range s.peers {
		if p.leaving && p.held.Has(index) && (everywhere || p.Region == s.self.Region) {
			n++
		}
	}
	return n
}

// isLastChance reports whether a chunk is to be sent before others, because this agent is
// about to stop and no agent that stays holds it.
func (s *Swarm) isLastChance(index int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving && s.known != nil && s.isSole(index)
}
