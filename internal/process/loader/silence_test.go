package loader

import (
	"context"
	"sync"
	"testing"
	"time"

	"fulmardeal"
)

// silentEngine is a fakeEngine that is silent once: from the first call of one kind on,
// it answers no call until the silence is over. A call takes effect before its answer.
type silentEngine struct {
	*fakeEngine
	kind    string // kind of the call: put, get, state or order
	silence time.Duration

	once sync.Once
	over chan struct{} // closed when the silence is over
	from chan struct{} // closed when the silence begins
}

func newSilentEngine(t *testing.T, kind string, silence time.Duration) *silentEngine {
	return &silentEngine{
		fakeEngine: &fakeEngine{t: t, staged: make(map[int][]byte)}, kind: kind, silence: silence,
		over: make(chan struct{}), from: make(chan struct{}),
	}
}

// wait returns when a call is answered, or with an error when its context ends.
func (e *silentEngine) wait(ctx context.Context, kind string) error {
	if kind == e.kind {
		e.once.Do(func() {
			close(e.from)
			time.AfterFunc(e.silence, func() { close(e.over) })
		})
	}
	select {
	case <-e.from:
	default:
		return nil
	}
	select {
	case <-e.over:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *silentEngine) PutChunk(ctx context.Context, v fulmardeal.Version, index int, data []byte) error {
	err := e.fakeEngine.PutChunk(ctx, v, index, data)
	if silent := e.wait(ctx, "put"); silent != nil {
		return silent
	}
	return err
}

func (e *silentEngine) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	data, err := e.fakeEngine.Chunk(ctx, v, index)
	if silent := e.wait(ctx, "get"); silent != nil {
		return nil, silent
	}
	return data, err
}

func (e *silentEngine) State(ctx context.Context) (fulmardeal.EngineState, error) {
	s, err := e.fakeEngine.State(ctx)
	if silent := e.wait(ctx, "state"); silent != nil {
		return fulmardeal.EngineState{}, silent
	}
	return s, err
}

func (e *silentEngine) StartLoad(ctx context.Context, o fulmardeal.LayerLoad) error {
	err := e.fakeEngine.StartLoad(ctx, o)
	if silent := e.wait(ctx, "order"); silent != nil {
		return silent
	}
	return err
}

// An engine that is silent for a second, in whatever call, is ordered once to load a
// version whose chunks are fetched once.
func TestSilentEngine(t *testing.T) {
	for _, kind := range []string{"put", "get", "state", "order"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			s, e := &fakeOrigin{}, newSilentEngine(t, kind, 1300*time.Millisecond)
			l := startAgent(t, s, e, 8*time.Second)
			sendTarget(l, 1)
			waitUntil(t, "version 1 is held", 6*time.Second, func() bool { v, _ := e.holds(); return v == 1 })
			time.Sleep(500 * time.Millisecond)
			select {
			case <-e.over:
			default:
				t.Error("engine was not silent")
			}
			if _, orders := e.holds(); len(orders) != 1 {
				t.Errorf("orders %v, want one", orders)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.chunksSent != chunks {
				t.Errorf("%d chunks fetched from the origin, want %d", s.chunksSent, chunks)
			}
		})
	}
}
