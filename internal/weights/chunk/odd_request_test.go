package chunk

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
)

// oddStore holds all chunks, and lists indexes that no version has.
type oddStore struct {
	chunks [][]byte
	asked  atomic.Int64
}

func (s *oddStore) PutChunk(context.Context, fulmardeal.Version, int, []byte) error { return nil }

func (s *oddStore) Chunk(_ context.Context, _ fulmardeal.Version, index int) ([]byte, error) {
	s.asked.Add(1)
	if index < 0 || index >= len(s.chunks) {
		return nil, &fulmardeal.MissingError{Service: "store", Resource: "chunk"}
	}
	return s.chunks[index], nil
}

func (s *oddStore) Chunks(context.Context, fulmardeal.Version) ([]int, error) {
	return []int{-1, math.MinInt, math.MaxInt, 1 << 62, 8, 9, 0, 1}, nil
}

// Indexes and bitmaps of peers and of the engine's staging area that are out of range must
// not end an agent, or be asked for.
func TestOddIndexesAndBitmaps(t *testing.T) {
	const chunks = 8
	m, data := build(t, chunks)
	store := &oddStore{chunks: data}
	x := NewExchange(nil, store, nil, slog.New(slog.DiscardHandler))
	s := NewSwarm(m, Peer{Incarnation: "self", Region: "r"}, "", time.Now(), 1, new(invariant.Recorder))
	s.SetPeers(time.Now(), []Peer{{Incarnation: "peer", Region: "r"}})
	x.AddSwarm(t.Context(), s)
	if n := s.HeldChunks().Count(); n != 2 || store.asked.Load() != 2 {
		t.Errorf("%d chunks held and %d asked for, want 2", n, store.asked.Load())
	}
	for _, index := range []int{-1, -8, math.MinInt, chunks, chunks + 1, 1 << 62, math.MaxInt} {
		for _, bitmap := range []Bitmap{nil, {}, {255}, {255, 255}, make(Bitmap, 1<<20)} {
			var reply Response
			err := x.Get(Request{Version: m.Version(), Index: index, From: "peer", Has: bitmap}, &reply)
			if err != nil || len(reply.Data) > 0 || reply.Has.Count() != 2 {
				t.Errorf("index %d with a bitmap of %d bytes: %d bytes, error %v", index, len(bitmap), len(reply.Data), err)
			}
			s.RecordPoll(time.Now(), "peer", bitmap, time.Millisecond)
			s.StartFetches(time.Now())
		}
	}
}
