package loader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"fulmardeal"
)

// chunkStore stores downloaded chunks. The engine can stage the chunks of only
// one version. If another version is downloaded before the staged one has been
// loaded, its chunks are buffered in memory.
type chunkStore struct {
	engine Engine

	mu       sync.Mutex
	staged   fulmardeal.Version
	buffered []bufferedVersion
	writes   map[fulmardeal.Version]*stagingWrites
}

// stagingWrites are the writes of a version's chunks to the engine that may not have taken
// effect yet. They take the place of chunks of other versions when they do.
type stagingWrites struct {
	running int       // calls in progress
	lost    time.Time // when a call last ended without a response
}

// lateWriteTime is how long after it got no response a write may still take effect: a sound
// engine may fall silent for so long.
const lateWriteTime = 1500 * time.Millisecond

// settleInterval is the pause between two looks at the writes of other versions.
const settleInterval = 10 * time.Millisecond

// bufferedVersion is a version whose chunks are buffered in memory.
type bufferedVersion struct {
	version fulmardeal.Version
	chunks  map[int][]byte
}

// prepare prepares the store for the chunks of a version. They are staged in the
// engine, or buffered in memory if the staged version is still needed.
func (s *chunkStore) prepare(v fulmardeal.Version, stagedNeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staged == v || s.find(v) >= 0 {
		return
	}
	if !stagedNeeded {
		s.staged = v
		return
	}
	s.buffered = append(s.buffered, bufferedVersion{version: v, chunks: make(map[int][]byte)})
}

func (s *chunkStore) find(v fulmardeal.Version) int {
	return slices.IndexFunc(s.buffered, func(b bufferedVersion) bool { return b.version == v })
}

// has reports whether chunks of a version are stored. Staging a version discards the chunks
// of the one that was staged before.
func (s *chunkStore) has(v fulmardeal.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.staged == v || s.find(v) >= 0
}

// buffers reports whether chunks of a version are buffered in memory.
func (s *chunkStore) buffers(v fulmardeal.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(v) >= 0
}

// discard discards the buffered chunks of a version.
func (s *chunkStore) discard(v fulmardeal.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffered = slices.DeleteFunc(s.buffered, func(b bufferedVersion) bool { return b.version == v })
}

// stage copies the buffered chunks of a version to the engine's staging area, once no write of
// another version can take effect there any more. After an error, the next call continues with
// the chunks that have not been copied.
func (s *chunkStore) stage(ctx context.Context, v fulmardeal.Version) error {
	index, data, is := s.nextBuffered(v)
	if err := s.settle(ctx, v); err != nil {
		return err
	}
	for ; is; index, data, is = s.nextBuffered(v) {
		if err := s.write(ctx, v, index, data); err != nil {
			return err
		}
		s.dropBuffered(v, index)
	}
	return nil
}

// settle waits until no write of another version than the staged one can take effect.
func (s *chunkStore) settle(ctx context.Context, staged fulmardeal.Version) error {
	for !s.settled(staged) {
		sleep(ctx, settleInterval)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

func (s *chunkStore) settled(staged fulmardeal.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v, w := range s.writes {
		switch {
		case w.running > 0 || time.Since(w.lost) < lateWriteTime:
			if v != staged {
				return false
			}
		default:
			delete(s.writes, v)
		}
	}
	return true
}

// write writes a chunk to the engine.
func (s *chunkStore) write(ctx context.Context, v fulmardeal.Version, index int, data []byte) error {
	s.mu.Lock()
	w := s.beginWrite(v)
	s.mu.Unlock()
	return s.finishWrite(ctx, w, v, index, data)
}

// beginWrite records that a write to the engine begins. The caller holds s.mu.
func (s *chunkStore) beginWrite(v fulmardeal.Version) *stagingWrites {
	if s.writes == nil {
		s.writes = make(map[fulmardeal.Version]*stagingWrites)
	}
	w := s.writes[v]
	if w == nil {
		w = &stagingWrites{}
		s.writes[v] = w
	}
	w.running++
	return w
}

func (s *chunkStore) finishWrite(ctx context.Context, w *stagingWrites, v fulmardeal.Version, index int, data []byte) error {
	err := s.engine.PutChunk(ctx, v, index, data)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.running--
	if err != nil && !isAnswered(err) {
		w.lost = time.Now()
	}
	return err
}

// isAnswered reports whether a call failed because of the engine's response, or was not sent.
func isAnswered(err error) bool {
	var busy *fulmardeal.BusyError
	var missing *fulmardeal.MissingError
	return errors.As(err, &busy) || errors.As(err, &missing) || errors.Is(err, syscall.ECONNREFUSED)
}

// nextBuffered returns a buffered chunk of a version, or false if there is none. From then on,
// the version is the one that is staged; after the last chunk, further ones are stored in the engine.
func (s *chunkStore) nextBuffered(v fulmardeal.Version) (int, []byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(v)
	if i < 0 {
		return 0, nil, false
	}
	s.staged = v
	for index, data := range s.buffered[i].chunks {
		return index, data, true
	}
	s.buffered = slices.Delete(s.buffered, i, i+1)
	return 0, nil, false
}

// dropBuffered discards a buffered chunk of a version, which is staged.
func (s *chunkStore) dropBuffered(v fulmardeal.Version, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.find(v); i >= 0 {
		delete(s.buffered[i].chunks, index)
	}
}

// PutChunk stores a verified chunk.
func (s *chunkStore) PutChunk(ctx context.Context, v fulmardeal.Version, index int, data []byte) error {
	s.mu.Lock()
	if i := s.find(v); i >= 0 {
		s.buffered[i].chunks[index] = data
		s.mu.Unlock()
		return nil
	}
	if s.staged != v {
		s.mu.Unlock()
		return &fulmardeal.MissingError{Service: "chunk store", Resource: v.String()}
	}
	w := s.beginWrite(v)
	s.mu.Unlock()
	return s.finishWrite(ctx, w, v, index, data)
}

// Chunk returns a stored chunk, without verifying it again.
func (s *chunkStore) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	s.mu.Lock()
	if i := s.find(v); i >= 0 {
		if data, has := s.buffered[i].chunks[index]; has {
			s.mu.Unlock()
			return data, nil
		}
	}
	staged := s.staged == v
	s.mu.Unlock()
	if !staged {
		return nil, &fulmardeal.MissingError{Service: "chunk store", Resource: v.String()}
	}
	return s.engine.Chunk(ctx, v, index)
}

// Chunks lists the chunks of a version in the engine's staging area, which may
// include those of an earlier run.
func (s *chunkStore) Chunks(ctx context.Context, v fulmardeal.Version) ([]int, error) {
	s.mu.Lock()
	staged := s.staged == v
	s.mu.Unlock()
	if !staged {
		return nil, nil
	}
	return s.engine.Chunks(ctx, v)
}
