package chunk

import (
	"context"
	"math/rand/v2"

	"fulmardeal"
)

// encodedManifest is the encoded manifest of one version.
type encodedManifest struct {
	version fulmardeal.Version
	data    []byte
}

// PublishManifest makes the encoded manifest of v available to peers. The caller must
// have validated it. Only the last MaxSwarms manifests are kept.
func (x *Exchange) PublishManifest(v fulmardeal.Version, data []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.manifests = append(x.manifests, encodedManifest{version: v, data: data})
	if len(x.manifests) > MaxSwarms {
		x.manifests = append([]encodedManifest(nil), x.manifests[1:]...)
	}
}

// Manifest is the RPC that returns an encoded manifest to a peer, or an empty reply
// if the manifest is not available here.
func (x *Exchange) Manifest(v fulmardeal.Version, reply *[]byte) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range x.manifests {
		if m.version == v {
			*reply = m.data
		}
	}
	return nil
}

// RequestManifest requests a manifest from one random peer. The result is not
// verified; it is empty if the peer has no such manifest or does not respond.
func (x *Exchange) RequestManifest(ctx context.Context, v fulmardeal.Version, peers []Peer) []byte {
	if len(peers) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	p := peers[rand.IntN(len(peers))]
	var data []byte
	// An error leaves data empty; the caller tries another peer.
	_ = x.pool.Call(ctx, p.Address, ServiceName+".Manifest", v, &data)
	return data
}
