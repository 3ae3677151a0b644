package site

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"fulmardeal"
	"fulmardeal/platform"
)

// Origin serves versions of weights whose content is generated from the version
// number.
type Origin struct {
	chunkCount, chunkSize int

	mu       sync.Mutex
	versions map[string][][]byte
}

// NewOrigin returns an origin whose versions have the given number of chunks of
// size bytes each.
func NewOrigin(chunks, size int) *Origin {
	return &Origin{chunkCount: chunks, chunkSize: size, versions: make(map[string][][]byte)}
}

// Chunks returns the chunks of a version and their digests.
func (o *Origin) Chunks(v fulmardeal.Version) (chunks [][]byte, digests []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, err := strconv.ParseUint(v.Name, 10, 64)
	if err != nil {
		return nil, nil
	}
	chunks = o.versions[v.Name]
	if chunks == nil {
		rng := rand.NewChaCha8([32]byte{byte(n)})
		for range o.chunkCount {
			c := make([]byte, o.chunkSize)
			_, _ = rng.Read(c) // ChaCha8.Read never fails
			chunks = append(chunks, c)
		}
		o.versions[v.Name] = chunks
	}
	for _, c := range chunks {
		sum := sha256.Sum256(c)
		digests = append(digests, hex.EncodeToString(sum[:]))
	}
	return chunks, digests
}

// Handler serves the origin over HTTP.
func (o *Origin) Handler() http.Handler { return platform.OriginHandler(o) }
