package loader

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal"
)

// Chunks of a buffered version that arrive while it is being staged all reach the engine.
func TestStagedWhileArriving(t *testing.T) {
	older, newer := fulmardeal.Version{Model: "verse", Name: "2"}, fulmardeal.Version{Model: "verse", Name: "3"}
	ctx := context.Background()
	for range 50 {
		e := &fakeEngine{t: t, staged: make(map[int][]byte)}
		s := &chunkStore{engine: e}
		s.prepare(older, false)
		s.prepare(newer, true)
		var g sync.WaitGroup
		for i := range 64 {
			g.Go(func() { _ = s.PutChunk(ctx, newer, i, []byte{byte(i)}) })
			if i == 32 {
				g.Go(func() { _ = s.stage(ctx, newer) })
			}
		}
		g.Wait()
		if err := s.stage(ctx, newer); err != nil {
			t.Fatal(err)
		}
		for i := range 64 {
			if data, err := e.Chunk(ctx, newer, i); err != nil || data[0] != byte(i) {
				t.Fatalf("chunk %d in the engine: %v, %v", i, data, err)
			}
		}
	}
}

// lateWriteEngine is an engine whose writes of one version take effect late.
type lateWriteEngine struct {
	*fakeEngine
	version fulmardeal.Version
	late    time.Duration
	lost    bool // such a write gets no response
}

func (e *lateWriteEngine) PutChunk(ctx context.Context, v fulmardeal.Version, index int, data []byte) error {
	if v == e.version {
		if e.lost {
			time.AfterFunc(e.late, func() { _ = e.fakeEngine.PutChunk(ctx, v, index, data) }) // never fails
			return context.DeadlineExceeded
		}
		time.Sleep(e.late)
	}
	return e.fakeEngine.PutChunk(ctx, v, index, data)
}

// A write of an older version that takes effect late took the place of a chunk of the newer
// version, after that one had been staged.
func TestLateWriteOfOlderVersion(t *testing.T) {
	older, newer := fulmardeal.Version{Model: "verse", Name: "2"}, fulmardeal.Version{Model: "verse", Name: "3"}
	for _, lost := range []bool{false, true} {
		for _, late := range []time.Duration{50 * time.Millisecond, time.Second, 1400 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				e := &lateWriteEngine{fakeEngine: &fakeEngine{t: t, staged: make(map[int][]byte)}, version: older, late: late, lost: lost}
				s := &chunkStore{engine: e}
				s.prepare(older, false)
				s.prepare(newer, true)
				go func() { _ = s.PutChunk(t.Context(), older, 0, []byte("2")) }() // fails if it is lost
				if err := s.PutChunk(t.Context(), newer, 0, []byte("3")); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				if err := s.stage(t.Context(), newer); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * late)
				if data, err := e.Chunk(t.Context(), newer, 0); err != nil || string(data) != "3" {
					t.Errorf("late by %v, lost: %v: chunk of version %q, %v", late, lost, data, err)
				}
			})
		}
	}
}
