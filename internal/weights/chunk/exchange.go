package chunk

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/weights/manifest"
)

// ServiceName is the name under which agents serve chunks to each other.
const ServiceName = "Chunk"

// Bounds and times of the exchange.
const (
	askEvery     = 100 * time.Millisecond
	meetEvery    = 500 * time.Millisecond
	askTimeout   = 2 * time.Second
	fetchTimeout = 30 * time.Second // for a peer's request to this store
	tickEvery    = 20 * time.Millisecond
	noteEvery    = time.Second // between two lines about a spread that goes on
)

// Want asks a peer for a chunk, or with a negative index only for its bitmap.
type Want struct {
	Version fulmardeal.Version
	Index   int
}

// Parcel is a peer's answer: the chunk's bytes, unless it has no time or no
// such chunk, and what it holds of the version.
type Parcel struct {
	Has  Bitmap
	Data []byte
}

// DoubtError says that a chunk has arrived wrong again and again, so that the
// manifest itself may be wrong.
type DoubtError struct {
	Version fulmardeal.Version
	Index   int
}

func (e *DoubtError) Error() string {
	return fmt.Sprintf("manifest of %v: chunk %d never arrives as it says", e.Version, e.Index)
}

// Store keeps verified chunks beside the endpoint; fulmardeal.Engine is one.
type Store interface {
	PutChunk(ctx context.Context, v fulmardeal.Version, index int, data []byte) error
	Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error)
	Chunks(ctx context.Context, v fulmardeal.Version) ([]int, error)
}

// Exchange moves chunks between the swarms of one agent, its store, its peers
// and the origin. At most a few chunks are in its memory at once.
type Exchange struct {
	origin fulmardeal.Origin
	store  Store
	pace   Pace
	pool   *connection.Pool
	log    *slog.Logger

	mu        sync.Mutex
	swarms    []*Swarm // the latest last
	manifests []kept
	uploads   int
	turns     []chan struct{} // of peers that wait to be served
	resting   time.Time       // the origin is left alone until then
	lost      time.Time       // since when the origin has failed; zero when it answered last
}

// NewExchange returns an exchange. The pool must be its own: chunks are large,
// and would delay what else goes over a connection.
func NewExchange(o fulmardeal.Origin, s Store, p *connection.Pool, log *slog.Logger) *Exchange {
	return &Exchange{origin: o, store: s, pool: p, pace: Steady, log: log}
}

// SetPace sets the times of the exchange; it is called before any other method.
func (x *Exchange) SetPace(p Pace) { x.pace = p }

// mostSwarms is how many versions are served to peers at once.
const mostSwarms = 4

// Add begins to serve a swarm's chunks to peers. Chunks that the store holds
// already are taken over after a check.
func (x *Exchange) Add(ctx context.Context, s *Swarm) {
	x.takeOver(ctx, s)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.swarms = append(x.swarms, s)
	if len(x.swarms) > mostSwarms {
		x.swarms = append([]*Swarm(nil), x.swarms[1:]...)
	}
}

func (x *Exchange) takeOver(ctx context.Context, s *Swarm) {
	v := s.Manifest().Version()
	list, err := x.store.Chunks(ctx, v)
	if err != nil {
		return
	}
	for _, i := range list {
		data, err := x.store.Chunk(ctx, v, i)
		if err == nil && s.Manifest().Verify(i, data) == nil {
			s.Stored(i)
		}
	}
}

// Share takes over the chunks that an earlier version has in common with s.
func (x *Exchange) Share(ctx context.Context, s *Swarm, earlier *manifest.Manifest) {
	m := s.Manifest()
	places := make(map[string]int, earlier.Chunks())
	for i := range earlier.Chunks() {
		places[earlier.ChunkDigest(i)] = i
	}
	have := s.Have()
	for i := range m.Chunks() {
		at, known := places[m.ChunkDigest(i)]
		if !known || have.Has(i) {
			continue
		}
		data, err := x.store.Chunk(ctx, earlier.Version(), at)
		if err != nil || m.Verify(i, data) != nil {
			continue
		}
		if x.store.PutChunk(ctx, m.Version(), i, data) == nil {
			s.Stored(i)
		}
	}
}

func (x *Exchange) swarm(v fulmardeal.Version) *Swarm {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(x.swarms) - 1; i >= 0; i-- {
		if x.swarms[i].manifest.Version() == v {
			return x.swarms[i]
		}
	}
	return nil
}

// Get serves a chunk to a peer. More than a few at once are refused: the peer
// asks another.
func (x *Exchange) Get(w Want, reply *Parcel) error {
	s := x.swarm(w.Version)
	if s == nil {
		return nil
	}
	reply.Has = s.Have()
	if w.Index < 0 || !reply.Has.Has(w.Index) || !x.enter() {
		return nil
	}
	reply.Has = s.Have() // it may have waited for its turn
	begun := time.Now()
	defer func() { x.leave(begun, len(reply.Data)) }()

	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	data, err := x.store.Chunk(ctx, w.Version, w.Index)
	if err != nil || s.Manifest().Verify(w.Index, data) != nil {
		x.log.Warn("stored chunk unreadable", "version", w.Version.String(), "chunk", w.Index, "err", err)
		s.Lost(w.Index)
		reply.Has = s.Have()
		return nil
	}
	reply.Data = data
	return nil
}

// enter waits for a turn to upload, unless others wait already.
func (x *Exchange) enter() bool {
	x.mu.Lock()
	if x.uploads < x.pace.Uploads {
		x.uploads++
		x.mu.Unlock()
		return true
	}
	if len(x.turns) >= x.pace.Queue {
		x.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	x.turns = append(x.turns, turn)
	x.mu.Unlock()
	<-turn // an upload that ends hands its turn on; each has its time
	return true
}

// leave ends an upload. Its place is taken until the link has carried its bytes,
// at the rate that uploads may have: they are still to be sent when the call
// that asked for them returns.
func (x *Exchange) leave(begun time.Time, bytes int) {
	over := func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if len(x.turns) > 0 {
			close(x.turns[0])
			x.turns = x.turns[1:]
			return
		}
		x.uploads--
	}
	if x.pace.UploadRate <= 0 {
		over()
		return
	}
	carried := time.Duration(float64(bytes) / x.pace.UploadRate * float64(time.Second))
	time.AfterFunc(carried-time.Since(begun), over)
}

// Recheck verifies the stored chunks once more and reports whether all are as
// they should be. What the store has spoilt is to be fetched again.
func (x *Exchange) Recheck(ctx context.Context, s *Swarm) bool {
	v := s.Manifest().Version()
	sound := true
	for i := range s.Manifest().Chunks() {
		data, err := x.store.Chunk(ctx, v, i)
		if err != nil || s.Manifest().Verify(i, data) != nil {
			s.Lost(i)
			sound = false
		}
	}
	return sound
}

// Spread fetches until the swarm is whole or the context ends. Peers returns
// the other agents of the swarm.
func (x *Exchange) Spread(ctx context.Context, s *Swarm, peers func() []Peer) error {
	var g errgroup.Group
	defer func() { _ = g.Wait() }() // the functions below return no error
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	var met time.Time
	noted := time.Now()
	for !s.Whole() {
		now := time.Now()
		if i := s.Doubtful(); i >= 0 {
			return &DoubtError{Version: s.manifest.Version(), Index: i}
		}
		if now.Sub(noted) >= noteEvery {
			noted = now
			x.noteProgress(s)
		}
		if now.Sub(met) >= meetEvery {
			met = now
			s.Meet(now, peers())
		}
		for _, p := range s.Ask(now) {
			g.Go(func() error { x.ask(ctx, s, p); return nil })
		}
		if !x.rested(now) {
			s.rest()
		}
		for _, f := range s.Tick(now) {
			g.Go(func() error { x.fetch(ctx, s, f); return nil })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-s.ended():
		}
	}
	return nil
}

func (x *Exchange) rested(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !now.Before(x.resting)
}

func (x *Exchange) rest(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.resting = time.Now().Add(d)
}

func (x *Exchange) ask(ctx context.Context, s *Swarm, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	defer s.Asked(p.Incarnation)
	begun := time.Now()
	var parcel Parcel
	err := x.pool.Client(p.Address).Call(ctx, ServiceName+".Get", Want{Version: s.manifest.Version(), Index: -1}, &parcel)
	if err == nil {
		s.Learn(time.Now(), p.Incarnation, parcel.Has, time.Since(begun))
	}
}

// fetch gets one chunk, checks it and stores it.
func (x *Exchange) fetch(ctx context.Context, s *Swarm, f Fetch) {
	ctx, cancel := context.WithTimeout(ctx, x.pace.FetchTimeout)
	defer cancel()
	parcel, err := x.get(ctx, s, f)
	now := time.Now()
	switch {
	case err != nil:
		s.Failed(now, f, false)
		return
	case len(parcel.Data) == 0:
		s.Missed(now, f, parcel.Has)
		return
	}

	if err := s.manifest.Verify(f.Index, parcel.Data); err != nil {
		x.log.Warn("chunk dropped", "version", s.manifest.Version().String(), "chunk", f.Index, "err", err)
		s.Failed(now, f, true)
		return
	}
	if err := x.store.PutChunk(ctx, s.manifest.Version(), f.Index, parcel.Data); err != nil {
		x.log.Warn("chunk not stored", "version", s.manifest.Version().String(), "chunk", f.Index, "err", err)
		s.Missed(now, f, nil)
		return
	}
	s.Got(time.Now(), f, parcel.Has)
}

func (x *Exchange) get(ctx context.Context, s *Swarm, f Fetch) (Parcel, error) {
	var parcel Parcel
	v := s.manifest.Version()
	if f.Peer != nil {
		err := x.pool.Client(f.Peer.Address).Call(ctx, ServiceName+".Get", Want{Version: v, Index: f.Index}, &parcel)
		return parcel, err
	}

	begun := time.Now()
	data, err := x.origin.Chunk(ctx, v, f.Index)
	x.noteOrigin(begun, f.Index, err)
	var busy *fulmardeal.BusyError
	switch {
	case errors.As(err, &busy):
		x.rest(busy.RetryAfter)
	case err != nil:
		x.rest(x.pace.OriginWait)
	}
	parcel.Data = data
	return parcel, err
}

// noteOrigin logs that the origin is lost, or is reached again.
func (x *Exchange) noteOrigin(begun time.Time, index int, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case err != nil && x.lost.IsZero():
		x.lost = begun
		x.log.Warn("origin lost", "chunk", index, "took", time.Since(begun), "err", err)
	case err == nil && !x.lost.IsZero():
		x.log.Info("origin reached", "chunk", index, "silence", time.Since(x.lost))
		x.lost = time.Time{}
	}
}

// noteProgress logs how far a spread has come that takes long.
func (x *Exchange) noteProgress(s *Swarm) {
	p := s.Progress()
	x.log.Info("weights under way", "version", s.manifest.Version().String(), "held", p.Held, "chunks", p.Chunks, "under", p.Under,
		"peers", p.Peers, "known", p.Known, "quiet", time.Since(p.Gained))
}
