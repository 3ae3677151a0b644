package chunk

import (
	"slices"
	"sync"

	"fulmardeal"
)

// maxCachedBytes bounds the chunks kept in memory after they were received.
const maxCachedBytes = 4 << 20

// cachedChunk is a verified chunk in memory.
type cachedChunk struct {
	version fulmardeal.Version
	index   int
	data    []byte
	stored  bool // the store holds it too
}

// chunkCache holds the chunks received last, so that an agent serves them to others also
// while its own store doesn't answer. Chunks that the store doesn't hold yet are kept.
type chunkCache struct {
	mu     sync.Mutex
	chunks []cachedChunk // oldest first
	bytes  int
}

// add adds a chunk that isn't stored yet. It returns false if there is no room.
func (c *chunkCache) add(v fulmardeal.Version, index int, data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.bytes+len(data) > maxCachedBytes {
		i := slices.IndexFunc(c.chunks, func(k cachedChunk) bool { return k.stored })
		if i < 0 {
			return false
		}
		c.bytes -= len(c.chunks[i].data)
		c.chunks = slices.Delete(c.chunks, i, i+1)
	}
	c.bytes += len(data)
	c.chunks = append(c.chunks, cachedChunk{version: v, index: index, data: data})
	return true
}

// setStored records that the store holds a chunk.
func (c *chunkCache) setStored(v fulmardeal.Version, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.chunks {
		if c.chunks[i].version == v && c.chunks[i].index == index {
			c.chunks[i].stored = true
		}
	}
}

// get returns a chunk, or nil.
func (c *chunkCache) get(v fulmardeal.Version, index int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.chunks {
		if k.version == v && k.index == index {
			return k.data
		}
	}
	return nil
}
