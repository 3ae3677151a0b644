package chunk

import (
	"context"
	"math/rand/v2"

	"fulmardeal"
)

// kept is the encoded manifest of one version.
type kept struct {
	version fulmardeal.Version
	data    []byte
}

// KeepManifest makes a checked manifest available to peers.
func (x *Exchange) KeepManifest(v fulmardeal.Version, data []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.manifests = append(x.manifests, kept{version: v, data: data})
	if len(x.manifests) > mostSwarms {
		x.manifests = append([]kept(nil), x.manifests[1:]...)
	}
}

// Manifest serves an encoded manifest to a peer, empty when there is none.
func (x *Exchange) Manifest(v fulmardeal.Version, reply *[]byte) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, k := range x.manifests {
		if k.version == v {
			*reply = k.data
		}
	}
	return nil
}

// AskManifest asks one random peer for a manifest. The answer is unchecked, and
// empty when the peer has none.
func (x *Exchange) AskManifest(ctx context.Context, v fulmardeal.Version, peers []Peer) []byte {
	if len(peers) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	p := peers[rand.IntN(len(peers))]
	var data []byte
	// A peer that doesn't answer has none: the caller asks another.
	_ = x.pool.Client(p.Address).Call(ctx, ServiceName+".Manifest", v, &data)
	return data
}
