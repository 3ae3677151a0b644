package chunk

import (
	"fmt"
	"slices"
	"time"

	"fulmardeal/internal/fleet/membership"
)

// rankImporters computes, for each chunk, which agents of this region are candidates
// to import it, in order of preference. Agents that don't answer are none.
func (s *Swarm) rankImporters() {
	names := []string{s.self.Incarnation}
	for _, p := range s.peers {
		if p.Region == s.self.Region {
			names = append(names, p.Incarnation)
		}
	}
	s.importers = make([][]string, s.manifest.Chunks())
	s.chosen = make([]string, s.manifest.Chunks())
	for i := range s.importers {
		order := membership.Order(s.importKey(i), names)
		s.chosen[i] = order[0]
		present := slices.DeleteFunc(order, func(name string) bool { p := s.peer(name); return p != nil && p.absent })
		home := s.chains[i][0] == s.self.Region
		able := slices.DeleteFunc(slices.Clone(present), func(name string) bool { return s.isUnfit(name, home) })
		if len(able) > 0 {
			present = able
		}
		s.importers[i] = slices.Clone(present[:min(importCandidates, len(present))])
	}
}

// isUnfit reports whether an agent shouldn't draw chunks: it is slow, about to stop or, if the chunks
// come from the origin, can't reach an origin that serves others.
func (s *Swarm) isUnfit(incarnation string, fromOrigin bool) bool {
	if incarnation == s.self.Incarnation {
		return s.slow || s.leaving || fromOrigin && s.cutOff
	}
	p := s.peer(incarnation)
	return p != nil && (p.slow || p.leaving || fromOrigin && p.cutOff)
}

// selectNeighbours selects the neighbours: some agents of this region, some of other
// regions, and those from which this agent imports chunks.
func (s *Swarm) selectNeighbours() {
	var local, remote []string
	for _, p := range s.peers {
		if p.Region == s.self.Region {
			local = append(local, p.Incarnation)
		} else {
			remote = append(remote, p.Incarnation)
		}
	}
	key := "neighbour/" + s.self.Incarnation
	local = membership.Order(key, local)
	remote = membership.Order(key, remote)
	chosen := append(local[:min(localNeighbours, len(local))], remote[:min(remoteNeighbours, len(remote))]...)
	chosen = append(chosen, s.upstreamImporters()...)
	for _, p := range s.peers {
		p.neighbour = slices.Contains(chosen, p.Incarnation)
	}
	s.pollInterval = max(s.profile.MinPollInterval, time.Duration(len(chosen))*s.profile.PollIntervalPerNeighbour)
}

// upstreamImporters returns the agents from which this agent imports chunks, at most
// maxUpstreamImporters. This agent is the preferred importer of some chunks into its
// region. It imports each of them from the preferred importer of the region before its
// own in the chunk's chain, because that importer is the first agent of its region to
// hold the chunk.
func (s *Swarm) upstreamImporters() []string {
	var out []string
	for i, order := range s.importers {
		position := slices.Index(s.chains[i], s.self.Region)
		if order[0] != s.self.Incarnation || position < 1 {
			continue
		}
		first := s.preferredImporter(i, s.chains[i][upstreamPosition(position, len(s.chains[i]))])
		if first != "" && !slices.Contains(out, first) {
			out = append(out, first)
		}
		if len(out) == maxUpstreamImporters {
			break
		}
	}
	return out
}

// maxChainRegions is the number of regions up to which a chunk goes from region to
// region. Beyond it, the regions form a binary tree.
const maxChainRegions = 3

// upstreamPosition returns the position in a chunk's chain from which the region at
// another position imports the chunk. Among few regions each one imports from the one
// before it, which spreads the chunks evenly over the links between regions. Among
// many the last region would get a chunk late, because each step takes as long as a
// poll and a queued upload. Then each region feeds two others.
func upstreamPosition(position, regions int) int {
	if regions <= maxChainRegions {
		return position - 1
	}
	return (position - 1) / 2
}

// preferredImporter returns the preferred importer of a chunk in another region, or an
// empty string if no peer of that region is known.
func (s *Swarm) preferredImporter(index int, region string) string {
	key := s.importKey(index)
	best, highest := "", uint64(0)
	for _, p := range s.peers {
		if p.Region != region || p.absent {
			continue
		}
		if x := membership.Score(key, p.Incarnation); best == "" || x > highest {
			best, highest = p.Incarnation, x
		}
	}
	return best
}

// importKey returns the rendezvous key for the importers of a chunk.
func (s *Swarm) importKey(index int) string {
	return fmt.Sprintf("import/%v/%d", s.manifest.Version(), index)
}

// buildChains computes, for each chunk, the order in which it passes through the
// regions: the origin's region first if it is known, then the others in an order
// hashed per chunk.
func (s *Swarm) buildChains() {
	regions := []string{s.self.Region}
	for _, p := range s.peers {
		regions = append(regions, p.Region)
	}
	slices.Sort(regions)
	regions = slices.Compact(regions)
	if slices.Equal(regions, s.regions) {
		return
	}

	s.regions = regions
	s.chains = make([][]string, s.manifest.Chunks())
	for i := range s.chains {
		order := membership.Order(fmt.Sprintf("chain/%v/%d", s.manifest.Version(), i), regions)
		if at := slices.Index(order, s.home); at > 0 {
			order = slices.Insert(slices.Delete(order, at, at+1), 0, s.home)
		}
		s.chains[i] = order
	}
}
