package loader

import (
	"bytes"
	"context"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/weights/chunk"
)

// Limits of fetching a manifest. All agents need it at the same time, just before
// the chunks. If a hundred agents fetched it from the origin, the copies would
// occupy the origin's link for a quarter of the time that one copy of the
// weights takes.
const (
	manifestFetchers     = 2                      // agents of a region that fetch a manifest from the origin for the others
	manifestTimeout      = 400 * time.Millisecond // for receiving a manifest from the agents that fetch it for the others; a few manifests take some 10 ms each
	manifestPollInterval = 40 * time.Millisecond  // between two requests to those agents for the manifest
)

// manifest returns the manifest of a version, not validated. It comes from the
// agents that fetch it for this region, otherwise from the origin, or from any
// peer if the origin can't be reached.
func (l *Loader) manifest(ctx context.Context, v fulmardeal.Version) ([]byte, error) {
	if data := l.agreedManifest(ctx, v); data != nil {
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

// agreedManifest returns the manifest if all the agents that fetch it for this
// region have received the same bytes, otherwise nil. The origin's response may
// be corrupt, and a corrupt manifest that still parses can only be detected by
// comparison.
func (l *Loader) agreedManifest(ctx context.Context, v fulmardeal.Version) []byte {
	fetchers := l.fetchers(v)
	if len(fetchers) < manifestFetchers {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	var manifests [manifestFetchers][]byte
	for ctx.Err() == nil {
		complete := true
		for i, p := range fetchers {
			if len(manifests[i]) == 0 {
				manifests[i] = l.exchange.RequestManifest(ctx, v, []chunk.Peer{p})
			}
			complete = complete && len(manifests[i]) > 0
		}
		if complete && bytes.Equal(manifests[0], manifests[1]) {
			return manifests[0]
		}
		if complete {
			l.log.Warn("manifests fetched by different agents differ", "version", v.String(), "of", fetchers[0].Name, "and", fetchers[1].Name)
			return nil
		}
		sleep(ctx, manifestPollInterval)
	}
	l.log.Info("manifest not received from peers before the timeout", "version", v.String(), "by", fetchers[0].Name, "and", fetchers[1].Name, "waited", manifestTimeout)
	return nil
}

// fetchers returns the agents of this region that fetch a manifest from the
// origin for the others, or none if this agent is one of them.
func (l *Loader) fetchers(v fulmardeal.Version) []chunk.Peer {
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
	for _, name := range order[:min(manifestFetchers, len(order))] {
		if name == self.Incarnation {
			return nil
		}
		out = append(out, byName[name])
	}
	return out
}
