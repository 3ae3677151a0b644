package chunk

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxStoreReads is the maximum number of concurrent reads of stored chunks by one
// verification.
const maxStoreReads = 4

// Verification tells which stored chunks of a version were found intact, and when.
type Verification struct {
	mu         sync.Mutex
	verifiedAt []time.Duration // for each chunk, the clock reading before it was read; 0 if it was not found intact
	damaged    int
}

// Chunks returns the number of chunks of the version.
func (v *Verification) Chunks() int { return len(v.verifiedAt) }

// Damaged returns the number of chunks that were found missing or corrupt.
func (v *Verification) Damaged() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.damaged
}

// VerifiedAt returns the clock reading at which the chunks from the first index to before
// the second were all intact, and whether they were found so.
func (v *Verification) VerifiedAt(from, to int) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var oldest time.Duration
	for i, at := range v.verifiedAt[from:to] {
		if at == 0 {
			return 0, false
		}
		if i == 0 || at < oldest {
			oldest = at
		}
	}
	return oldest, true
}

func (v *Verification) record(index int, at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at == 0 {
		v.damaged++
		return
	}
	v.verifiedAt[index] = at
}

// VerifyStored reads the stored chunks from the first index to before the second, in this
// order, until the context ends. Missing and corrupt ones are marked as not held, so that
// they are fetched again. A chunk whose read ends with the context, or gets no response, is
// not verified. The clock's reading is never 0.
func (x *Exchange) VerifyStored(ctx context.Context, s *Swarm, from, to int, clock func() time.Duration) *Verification {
	result := &Verification{verifiedAt: make([]time.Duration, s.Manifest().Chunks())}
	indexes := make([]int, 0, to-from)
	for i := from; i < to; i++ {
		indexes = append(indexes, i)
	}
	forEach(indexes, func(i int) {
		if ctx.Err() != nil {
			return
		}
		at := clock()
		data, err := x.store.Chunk(ctx, s.Manifest().Version(), i)
		switch {
		case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
			x.log.Warn("no response to a read of a stored chunk", "version", s.Manifest().Version().String(), "chunk", i, "err", err)
		case err != nil || s.Manifest().Verify(i, data) != nil:
			s.MarkMissing(i)
			result.record(i, 0)
		default:
			s.MarkHeld(i)
			result.record(i, at)
		}
	})
	return result
}

// forEach calls f for each index, in ascending order of their start and some at the same
// time.
func forEach(indexes []int, f func(index int)) {
	var g errgroup.Group
	g.SetLimit(maxStoreReads)
	for _, i := range indexes {
		g.Go(func() error { f(i); return nil })
	}
	_ = g.Wait() // the functions return no error
}
