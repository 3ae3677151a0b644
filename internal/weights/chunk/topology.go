package chunk

import (
	"fmt"
	"slices"
	"time"

	"fulmardeal/internal/fleet/membership"
)

// rank computes, for each chunk, which agents of this region are candidates to
// import it, in order of preference.
func (s *Swarm) rank() {
	names := []string{s.self.Incarnation}
	for _, p := range s.peers {
		if p.Region == s.self.Region {
			names = append(names, p.Incarnation)
		}
	}
	s.imports = make([][]string, s.manifest.Chunks())
	for i := range s.imports {
		order := membership.Order(s.importJob(i), names)
		s.imports[i] = slices.Clone(order[:min(candidates, len(order))])
	}
}

// befriend selects the neighbours: some agents of this region, some of other
// regions, and those from which this agent imports chunks.
func (s *Swarm) befriend() {
	var near, far []string
	for _, p := range s.peers {
		if p.Region == s.self.Region {
			near = append(near, p.Incarnation)
		} else {
			far = append(far, p.Incarnation)
		}
	}
	job := "neighbour/" + s.self.Incarnation
	near = membership.Order(job, near)
	far = membership.Order(job, far)
	chosen := append(near[:min(nearNeighbours, len(near))], far[:min(farNeighbours, len(far))]...)
	chosen = append(chosen, s.sources()...)
	for _, p := range s.peers {
		p.near = slices.Contains(chosen, p.Incarnation)
	}
	s.askEvery = max(s.pace.AskLeast, time.Duration(len(chosen))*s.pace.AskEach)
}

// sources returns the agents that import, into the preceding region, the chunks
// for which this agent is the preferred importer of its own region. They are the
// first in that region to hold those chunks.
func (s *Swarm) sources() []string {
	var out []string
	for i, order := range s.imports {
		at := slices.Index(s.chains[i], s.self.Region)
		if order[0] != s.self.Incarnation || at < 1 {
			continue
		}
		first := s.importer(i, s.chains[i][at-1])
		if first != "" && !slices.Contains(out, first) {
			out = append(out, first)
		}
		if len(out) == mostSources {
			break
		}
	}
	return out
}

// importer returns the preferred importer of a chunk in another region.
func (s *Swarm) importer(index int, region string) string {
	job := s.importJob(index)
	best, high := "", uint64(0)
	for _, p := range s.peers {
		if p.Region != region {
			continue
		}
		if x := membership.Score(job, p.Incarnation); best == "" || x > high {
			best, high = p.Incarnation, x
		}
	}
	return best
}

// importJob returns the rendezvous key for the importers of a chunk.
func (s *Swarm) importJob(index int) string {
	return fmt.Sprintf("import/%v/%d", s.manifest.Version(), index)
}

// chain computes, for each chunk, the order in which it passes through the regions:
// the origin's region first if it is known, then the others in an order hashed per
// chunk.
func (s *Swarm) chain() {
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
