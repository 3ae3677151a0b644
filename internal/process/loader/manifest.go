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
	// manifestFetchers is the number of agents of a region that fetch a manifest
	// from the origin for the others. As many more do for each manifestTimeout in
	// which the others have not received it.
	manifestFetchers = 2

	// maxManifestFetchers is the maximum number of agents that are asked for a
	// manifest.
	maxManifestFetchers = 6

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

// agreedManifest returns the manifest if two of the agents that fetch it for this
// region have received the same bytes, otherwise nil. The origin's response may be
// corrupt, and a corrupt manifest that still parses can only be detected by
// comparison. It returns nil when it is this agent's turn to ask the origin.
func (l *Loader) agreedManifest(ctx context.Context, v fulmardeal.Version) []byte {
	ahead := l.agentsAhead(v)
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout*time.Duration(len(ahead)/manifestFetchers))
	defer cancel()
	manifests := make(map[string][]byte, maxManifestFetchers) // by name of the agent that sent it
	for ctx.Err() == nil {
		fetchers := manifestFetchers * (1 + int(time.Since(started)/manifestTimeout))
		for _, p := range ahead[:min(fetchers, len(ahead), maxManifestFetchers)] {
			if len(manifests[p.Name]) > 0 {
				continue
			}
			data := l.requestManifest(ctx, v, p)
			if len(data) == 0 {
				continue
			}
			for name, other := range manifests {
				if bytes.Equal(data, other) {
					return data
				}
				l.log.Warn("manifests fetched by different agents differ", "version", v.String(), "of", p.Name, "and", name)
			}
			manifests[p.Name] = data
		}
		sleep(ctx, manifestPollInterval)
	}
	if len(ahead) >= manifestFetchers {
		l.log.Info("manifest not received from peers before the timeout", "version", v.String(), "by", ahead[0].Name, "and", ahead[1].Name, "received", len(manifests), "waited", time.Since(started))
	}
	return nil
}

// requestManifest requests a manifest from an agent. One that doesn't answer must not
// take the time of the others.
func (l *Loader) requestManifest(ctx context.Context, v fulmardeal.Version, p chunk.Peer) []byte {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	return l.exchange.RequestManifest(ctx, v, []chunk.Peer{p})
}

// agentsAhead returns the agents of this region that fetch a manifest from the origin
// before this one does, in their order.
func (l *Loader) agentsAhead(v fulmardeal.Version) []chunk.Peer {
	self := l.self()
	byName := map[string]chunk.Peer{}
	names := []string{self.Incarnation}
	for _, p := range l.Peers() {
		if p.Region == self.Region && p.Incarnation != self.Incarnation {
			byName[p.Incarnation] = p
			names = append(names, p.Incarnation)
		}
	}
	var out []chunk.Peer
	for _, name := range membership.Order("manifest/"+v.String(), names) {
		if name == self.Incarnation {
			break
		}
		out = append(out, byName[name])
	}
	return out
}
