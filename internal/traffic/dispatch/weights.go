package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// WeightsState tells which weights the engines of a service hold.
type WeightsState struct {
	Service  string
	Current  int           // engines with the newest published version
	Older    int           // engines with a superseded version that may still be used
	Unusable int           // engines with other weights, or none
	Left     time.Duration // until no engine may be used if none changes; negative if that is never
}

// WeightsStates returns the state of each service whose engines have a model, in the order of
// their names.
func (t *Table) WeightsStates(now time.Time) []WeightsState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []WeightsState
	for name, g := range t.services {
		if len(g.endpoints) == 0 || g.endpoints[0].engine() == nil || len(g.endpoints[0].engine().Models) == 0 {
			continue
		}
		model := g.endpoints[0].engine().Models[0].Name
		s := WeightsState{Service: name}
		for _, e := range g.endpoints {
			end, superseded := t.weightsEnd(model, e.weights)
			left := end.Add(-supersededMargin).Sub(now)
			switch {
			case e.weights == 0 || superseded && left <= 0:
				s.Unusable++
			case superseded:
				s.Older++
				s.Left = max(s.Left, left)
			default:
				s.Current++
			}
		}
		if s.Current > 0 {
			s.Left = -1
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b WeightsState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
