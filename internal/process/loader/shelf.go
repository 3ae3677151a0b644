package loader

import (
	"context"
	"slices"
	"sync"

	"fulmardeal"
)

// shelf stores fetched chunks. The engine stages the chunks of one version. If
// another version is fetched before that one has been loaded, its chunks are
// buffered in memory.
type shelf struct {
	engine Engine

	mu     sync.Mutex
	staged fulmardeal.Version
	kept   []parcel
}

// parcel is a version whose chunks are buffered in memory.
type parcel struct {
	version fulmardeal.Version
	chunks  map[int][]byte
}

// open prepares the store for a version. It uses the engine's staging area,
// unless that holds a version that is still needed.
func (s *shelf) open(v fulmardeal.Version, stagedNeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staged == v || s.find(v) >= 0 {
		return
	}
	if !stagedNeeded {
		s.staged = v
		return
	}
	s.kept = append(s.kept, parcel{version: v, chunks: make(map[int][]byte)})
}

func (s *shelf) find(v fulmardeal.Version) int {
	return slices.IndexFunc(s.kept, func(p parcel) bool { return p.version == v })
}

// drop discards the buffered chunks of a version.
func (s *shelf) drop(v fulmardeal.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = slices.DeleteFunc(s.kept, func(p parcel) bool { return p.version == v })
}

// stage copies the buffered chunks of a version to the engine's staging area.
func (s *shelf) stage(ctx context.Context, v fulmardeal.Version) error {
	s.mu.Lock()
	i := s.find(v)
	if i < 0 {
		s.mu.Unlock()
		return nil
	}
	p := s.kept[i]
	s.staged = v
	s.mu.Unlock()
	for index, data := range p.chunks {
		if err := s.engine.PutChunk(ctx, v, index, data); err != nil {
			return err
		}
	}
	s.drop(v)
	return nil
}

// PutChunk stores a verified chunk.
func (s *shelf) PutChunk(ctx context.Context, v fulmardeal.Version, index int, data []byte) error {
	s.mu.Lock()
	if i := s.find(v); i >= 0 {
		s.kept[i].chunks[index] = data
		s.mu.Unlock()
		return nil
	}
	staged := s.staged == v
	s.mu.Unlock()
	if !staged {
		return &fulmardeal.MissingError{Service: "chunk store", Thing: v.String()}
	}
	return s.engine.PutChunk(ctx, v, index, data)
}

// Chunk reads a stored chunk, not verified again.
func (s *shelf) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	s.mu.Lock()
	if i := s.find(v); i >= 0 {
		data, has := s.kept[i].chunks[index]
		s.mu.Unlock()
		if !has {
			return nil, &fulmardeal.MissingError{Service: "chunk store", Thing: v.String()}
		}
		return data, nil
	}
	staged := s.staged == v
	s.mu.Unlock()
	if !staged {
		return nil, &fulmardeal.MissingError{Service: "chunk store", Thing: v.String()}
	}
	return s.engine.Chunk(ctx, v, index)
}

// Chunks lists the chunks of a version in the engine's staging area, which may
// include those of an earlier run.
func (s *shelf) Chunks(ctx context.Context, v fulmardeal.Version) ([]int, error) {
	s.mu.Lock()
	staged := s.staged == v
	s.mu.Unlock()
	if !staged {
		return nil, nil
	}
	return s.engine.Chunks(ctx, v)
}
