package loader

import (
	"bytes"
	"context"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/weights/chunk"
)

// All agents request a manifest at the same time, just before the chunks. If a
// hundred agents fetched it from the origin, that would take as long on the
// origin's link as a quarter of a version.
const (
	drawers      = 2                      // agents of a region that fetch it from the origin for the others
	manifestWait = 400 * time.Millisecond // timeout for receiving it from those agents; a few manifests take some 10 ms each
	manifestAsk  = 40 * time.Millisecond  // interval between two requests to them
)

// manifest returns the manifest of a version, not validated. It comes from the
// agents that fetch it for this region, otherwise from the origin, or from any
// peer if the origin can't be reached.
func (l *Loader) manifest(ctx context.Context, v fulmardeal.Version) ([]byte, error) {
	if data := l.agreed(ctx, v); data != nil {
		return data, nil
	}
	data, err := l.origin.Manifest(ctx, v)
	if err == nil || ctx.Err() != nil {
		return data, err
	}
	if data := l.exchange.RequestManifest(ctx, v, l.Peers()); len(data) > 0 {
		return data, nil
	}
	return nil, err
}

// agreed returns the manifest if all the agents that fetch it for this region
// have received the same bytes, otherwise nil. The origin's response may be
// corrupt, and a corrupt manifest that still parses can only be detected by
// comparison.
func (l *Loader) agreed(ctx context.Context, v fulmardeal.Version) []byte {
	from := l.drawers(v)
	if len(from) < drawers {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, manifestWait)
	defer cancel()
	var have [drawers][]byte
	for ctx.Err() == nil {
		whole := true
		for i, p := range from {
			if len(have[i]) == 0 {
				have[i] = l.exchange.RequestManifest(ctx, v, []chunk.Peer{p})
			}
			whole = whole && len(have[i]) > 0
		}
		if whole && bytes.Equal(have[0], have[1]) {
			return have[0]
		}
		if whole {
			l.log.Warn("manifests fetched by different agents differ", "version", v.String(), "of", from[0].Name, "and", from[1].Name)
			return nil
		}
		pause(ctx, manifestAsk)
	}
	l.log.Info("manifest not received from peers in time", "version", v.String(), "by", from[0].Name, "and", from[1].Name, "waited", manifestWait)
	return nil
}

// drawers returns the agents of this region that fetch a manifest from the
// origin for the others, or none if this agent is one of them.
func (l *Loader) drawers(v fulmardeal.Version) []chunk.Peer {
	self := l.self()
	byName := map[string]chunk.Peer{self.Incarnation: self}
	names := []string{self.Incarnation}
	for _, p := range l.Peers() {
		if p.Region == self.Region && p.Incarnation != self.Incarnation {
			byName[p.Incarnation] = p
			names = append(names, p.Incarnation)
		}
	}
	order := membership.Order("manifest/"+v.String(), names)
	var out []chunk.Peer
	for _, name := range order[:min(drawers, len(order))] {
		if name == self.Incarnation {
			return nil
		}
		out = append(out, byName[name])
	}
	return out
}
