package loader

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/proof/script"
	"fulmardeal/internal/traffic/sharing"
	"fulmardeal/internal/weights/chunk"
	"fulmardeal/internal/weights/manifest"
)

const (
	stagedChunks  = 64
	stagedLayers  = 16
	maxBadTime    = 3 * time.Second // a chunk may have been bad for so long when an engine accepts an order
	troubledChunk = 3               // turns bad with each trouble
)

// layerOrigin is an origin of versions with stagedChunks chunks.
type layerOrigin struct {
	mu   sync.Mutex
	sent int // chunks
}

func (s *layerOrigin) Manifest(_ context.Context, v fulmardeal.Version) ([]byte, error) {
	var digests []string
	for i := range stagedChunks {
		digests = append(digests, manifest.Sum(content(v.Name, i)))
	}
	return manifest.Encode(v, chunkSize, digests)
}

func (s *layerOrigin) Chunk(_ context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	return content(v.Name, index), nil
}

// layerEngine is an engine that loads layers, beside an agent whose process stops at times
// while a chunk turns bad.
type layerEngine struct {
	t        *testing.T
	readTime time.Duration
	at       string        // when the trouble comes: index of the chunk that is read, or "order"
	stop     time.Duration // how long the process stops
	suspend  bool          // the instance is suspended with it
	troubles int           // still to come
	late     time.Duration // from an order's write until the engine takes it
	lose     int           // orders without a response that are taken nevertheless
	ordered  func()        // called when an order without a response has been written
	newest   int64         // version that the engine is to hold in the end

	mu           sync.Mutex
	suspended    time.Duration // for which the monotonic clock has stood still
	staged       map[int][]byte
	stoppedUntil time.Duration
	complete     bool // all chunks of the version have been staged
	badSince     map[int]time.Duration
	loaded       []fulmardeal.Span
	busyUntil    time.Duration
	accepted     int64
	orders       []fulmardeal.LayerLoad
}

// uptime is the clock that doesn't stand still. The caller holds e.mu.
func (e *layerEngine) uptime() time.Duration {
	return time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) + e.suspended + time.Second
}

func (e *layerEngine) Uptime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.uptime()
}

// trouble stops the process if it is time.
func (e *layerEngine) trouble(at string) {
	e.mu.Lock()
	if at == e.at && e.troubles > 0 && e.complete {
		e.troubles--
		e.staged[troubledChunk] = []byte("bad")
		e.badSince[troubledChunk] = e.uptime()
		if e.suspend {
			e.suspended += e.stop
		} else {
			e.stoppedUntil = e.uptime() + e.stop
		}
	}
	e.mu.Unlock()
	e.waitStop()
}

// waitStop returns when the process goes on.
func (e *layerEngine) waitStop() {
	e.mu.Lock()
	left := e.stoppedUntil - e.uptime()
	e.mu.Unlock()
	time.Sleep(left)
}

func (e *layerEngine) PutChunk(_ context.Context, _ fulmardeal.Version, index int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = data
	delete(e.badSince, index)
	e.complete = e.complete || len(e.staged) == stagedChunks
	return nil
}

func (e *layerEngine) Chunk(ctx context.Context, _ fulmardeal.Version, index int) ([]byte, error) {
	e.mu.Lock()
	data := e.staged[index]
	e.mu.Unlock()
	e.trouble(strconv.Itoa(index))
	sleep(ctx, e.readTime)
	e.waitStop()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if data == nil {
		return nil, &fulmardeal.MissingError{Service: "engine", Resource: strconv.Itoa(index)}
	}
	return data, nil
}

func (e *layerEngine) Chunks(context.Context, fulmardeal.Version) ([]int, error) {
	return nil, nil
}

func (e *layerEngine) State(context.Context) (fulmardeal.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := fulmardeal.EngineState{Loading: e.uptime() < e.busyUntil, OrderCount: e.accepted}
	if !s.Loading {
		s.Spans = e.loaded
	}
	return s, nil
}

func (e *layerEngine) holdsAll() bool {
	s, _ := e.State(context.Background())
	return fulmardeal.Holds(s.Spans, stagedLayers) == e.newest
}

func (e *layerEngine) StartLoad(_ context.Context, o fulmardeal.LayerLoad) error {
	e.trouble("order")
	if err := o.Permit(); err != nil {
		return err
	}
	if e.lose > 0 {
		e.lose--
		time.AfterFunc(e.late, func() { _ = e.take(o) }) // the agent doesn't learn of a refusal
		e.ordered()
		return context.DeadlineExceeded
	}
	time.Sleep(e.late)
	return e.take(o)
}

// take accepts an order or refuses it, and checks the chunks that it takes.
func (e *layerEngine) take(o fulmardeal.LayerLoad) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.State.OrderCount != e.accepted || e.uptime() < e.busyUntil {
		return &fulmardeal.RefusedOrderError{Reason: "sequence"}
	}
	version, _ := strconv.ParseInt(o.Version.Name, 10, 64)
	from, to := 0, o.Layers
	if len(e.loaded) > 0 && e.loaded[0].Version == version {
		from = e.loaded[0].To
	}
	if to == 0 {
		to = stagedLayers
	}
	for i := from * stagedChunks / stagedLayers; i < to*stagedChunks/stagedLayers; i++ {
		if since, bad := e.badSince[i]; bad && e.uptime()-since > maxBadTime {
			e.t.Errorf("ordered to load layers %d to %d with chunk %d, which turned bad %v before", from, to, i, e.uptime()-since)
		} else if !bad && !bytes.Equal(e.staged[i], content(o.Version.Name, i)) {
			e.t.Errorf("ordered to load layers %d to %d of version %d without chunk %d", from, to, version, i)
			break
		}
	}
	e.accepted++
	e.orders = append(e.orders, o)
	e.loaded = []fulmardeal.Span{{From: 0, To: to, Version: version}}
	e.busyUntil = e.uptime() + 30*time.Millisecond
	return nil
}

// newVirtualLoader returns a loader without sockets beside an engine.
func newVirtualLoader(s fulmardeal.Origin, e *layerEngine) *Loader {
	log := slog.New(slog.DiscardHandler)
	l := &Loader{
		options: Options{Settings: fulmardeal.Settings{Service: "llm", Bounds: fulmardeal.Bounds{VersionSwitch: 8 * time.Second}}, Store: downStore{}, Engine: e, Log: log, Seed: 1},
		log:     log, chunks: &chunkStore{engine: e}, wake: make(chan struct{}, 1), uptime: e.Uptime, scope: tally.NoopScope,
	}
	l.origin = &origin{open: func(string) (fulmardeal.Origin, func()) { return s, func() {} }}
	l.exchange = chunk.NewExchange(l.origin, l.chunks, nil, log)
	l.exchange.SetProfile(chunk.EngineProfile(0))
	publish(l, 2)
	return l
}

// publish tells a virtual loader of a version that has just been published.
func publish(l *Loader, version int64) {
	l.applyUpdate(sharing.AgentUpdate{Targets: []catalogue.Target{{Service: "llm", Model: "m", Layers: stagedLayers, Version: version, Since: time.Now(), Origin: "o:1", Place: "a"}}})
}

// A chunk that turns bad while the agent stands still between its verification and the order
// to load it must not be loaded, and a verification that takes long must end in a load.
func TestChunkTurnsBadBeforeLoadOrder(t *testing.T) {
	script.Run(t, "testdata/verification.txt", func(f []string) error {
		readTime, err1 := time.ParseDuration(f[0])
		stop, err2 := time.ParseDuration(f[2])
		troubles, err3 := strconv.Atoi(f[4])
		within, err4 := time.ParseDuration(f[5])
		if err := errors.Join(err1, err2, err3, err4); err != nil {
			return err
		}
		t.Run(strings.Join(f, " "), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &layerOrigin{}
				e := &layerEngine{
					t: t, newest: 2, readTime: readTime, at: f[1], stop: stop, suspend: f[3] == "suspended", troubles: troubles,
					staged: make(map[int][]byte), badSince: make(map[int]time.Duration),
				}
				l := newVirtualLoader(s, e)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { l.reconcileLoop(ctx); close(done) }()
				for begin := e.Uptime(); e.Uptime()-begin < within && !e.holdsAll(); {
					time.Sleep(50 * time.Millisecond)
				}
				cancel()
				<-done
				if fulmardeal.Holds(e.loaded, stagedLayers) != 2 {
					t.Errorf("after %v loaded %v", within, e.loaded)
				}
				if e.troubles != 0 {
					t.Errorf("%d troubles have not come", e.troubles)
				}
				if most := stagedChunks + troubles; s.sent > most {
					t.Errorf("%d chunks downloaded, want at most %d", s.sent, most)
				}
				t.Logf("%d orders", len(e.orders))
			})
		})
		return nil
	})
}

// A layer needs each chunk that holds a part of it, also if chunks and layers don't align.
func TestChunksOfLayers(t *testing.T) {
	for _, layers := range []int{1, 2, 3, 7, 16, 64, 100} {
		for _, chunks := range []int{1, 5, 7, 48, 64, 65} {
			for from := range layers {
				for to := from + 1; to <= layers; to++ {
					first, end := layerChunks(layerRange{from, to}, layers, chunks)
					wantFirst, wantEnd := math.Floor(float64(from*chunks)/float64(layers)), math.Ceil(float64(to*chunks)/float64(layers))
					if first != int(wantFirst) || end != int(wantEnd) || end <= first || end > chunks {
						t.Fatalf("layers %d to %d of %d, %d chunks: %d to %d, want %v to %v", from, to, layers, chunks, first, end, wantFirst, wantEnd)
					}
				}
			}
		}
	}
}
