package chunk

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/weights/manifest"
)

// ServiceName is the name of the RPC service by which agents exchange chunks.
const ServiceName = "Chunk"

const (
	pollInterval        = 100 * time.Millisecond
	peerRefreshInterval = 500 * time.Millisecond // interval at which a download updates its list of peers
	pollTimeout         = 2 * time.Second
	storeReadShare      = 3                     // a read from the store for a peer may take the peer's time for the fetch divided by this
	tickInterval        = 20 * time.Millisecond // longest time until Download next looks for polls and fetches to start
	progressLogInterval = time.Second           // interval between log lines while a download is in progress
)

// Request asks a peer for a chunk, or only for its bitmap if the index is negative.
type Request struct {
	Version fulmardeal.Version
	Index   int
	From    string // incarnation of the sender
	Remote  bool   // the sender is in another region
	Has     Bitmap // chunks of the version that the sender holds
	Status  Status

	left func() bool // reports whether the peer has left; nil if that isn't known
}

// SetLeft sets how to find out whether the peer has left.
func (r *Request) SetLeft(left func() bool) { r.left = left }

// Response is the response to a Request.
type Response struct {
	Has    Bitmap // chunks of the version that the peer holds
	Status Status

	// Data is the requested chunk. It is empty if the peer is busy or does not hold the
	// chunk, or if the request was only for the bitmap.
	Data []byte
}

// SuspectManifestError reports that copies of a chunk failed verification so often
// that the manifest itself may be wrong.
type SuspectManifestError struct {
	Version fulmardeal.Version
	Index   int
}

func (e *SuspectManifestError) Error() string {
	return fmt.Sprintf("manifest of %v may be wrong: chunk %d repeatedly failed verification", e.Version, e.Index)
}

// Store holds the verified chunks of an endpoint; fulmardeal.Engine implements it.
type Store interface {
	PutChunk(ctx context.Context, v fulmardeal.Version, index int, data []byte) error
	Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error)
	Chunks(ctx context.Context, v fulmardeal.Version) ([]int, error)
}

// Exchange transfers chunks between one agent's store, its peers and the origin, as
// the agent's swarms decide. It holds at most a few chunks in memory at a time.
type Exchange struct {
	origin  fulmardeal.Origin
	store   Store
	profile Profile
	pool    *connection.Pool
	log     *slog.Logger

	view  originView
	cache chunkCache

	startMu sync.Mutex // held while fetches are selected, because all versions share the origin

	mu                 sync.Mutex
	swarms             []*Swarm // newest last
	priority           Priority
	givenUp            int // requests to the origin given up since the last that succeeded
	originFetches      int // active fetches from the origin, of all versions
	takeovers          map[Takeover]int
	manifests          []encodedManifest
	activeUploads      int // upload slots in use, of profile.MaxUploads
	queuedUploads      uploadQueue
	originPausedUntil  time.Time // no request is sent to the origin before then
	originFailingSince time.Time // start of the first failed request since the last success; zero while requests succeed
}

// NewExchange returns an exchange that uses DefaultProfile. The pool must not be
// shared with other services: chunks are large and would delay other calls on the
// same connection.
func NewExchange(o fulmardeal.Origin, s Store, p *connection.Pool, log *slog.Logger) *Exchange {
	return &Exchange{origin: o, store: s, pool: p, profile: DefaultProfile, log: log}
}

// SetProfile sets the intervals and limits of the exchange. It must be called before
// any other method.
func (x *Exchange) SetProfile(p Profile) { x.profile = p }

// MaxSwarms is the maximum number of versions served to peers.
const MaxSwarms = 4

// AddSwarm starts to serve a swarm's chunks to peers. Chunks that are already in the
// store are verified and marked as held. If there are more than MaxSwarms versions,
// the oldest one is no longer served.
func (x *Exchange) AddSwarm(ctx context.Context, s *Swarm) {
	x.loadStored(ctx, s)
	x.addSwarm(s)
}

func (x *Exchange) addSwarm(s *Swarm) {
	s.setOrigin(&x.view)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.swarms = append(x.swarms, s)
	if len(x.swarms) > MaxSwarms {
		x.swarms = append([]*Swarm(nil), x.swarms[1:]...)
	}
}

// RemoveSwarm ends the serving of a version's chunks to peers.
func (x *Exchange) RemoveSwarm(v fulmardeal.Version) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.swarms = slices.DeleteFunc(slices.Clone(x.swarms), func(s *Swarm) bool { return s.manifest.Version() == v })
}

// loadStored marks the chunks that are in the store and pass verification as held.
func (x *Exchange) loadStored(ctx context.Context, s *Swarm) {
	v := s.Manifest().Version()
	list, err := x.store.Chunks(ctx, v)
	if err != nil {
		return
	}
	forEach(list, func(i int) {
		if i < 0 || i >= s.Manifest().Chunks() {
			return
		}
		data, err := x.store.Chunk(ctx, v, i)
		if err == nil && s.Manifest().Verify(i, data) == nil {
			s.MarkHeld(i)
		}
	})
}

// ReuseChunks copies the stored chunks of an earlier version that also occur in s, so
// that they need not be fetched.
func (x *Exchange) ReuseChunks(ctx context.Context, s *Swarm, earlier *manifest.Manifest) {
	m := s.Manifest()
	earlierIndex := make(map[string]int, earlier.Chunks())
	for i := range earlier.Chunks() {
		earlierIndex[earlier.ChunkDigest(i)] = i
	}
	have := s.HeldChunks()
	for i := range m.Chunks() {
		from, known := earlierIndex[m.ChunkDigest(i)]
		if !known || have.Has(i) {
			continue
		}
		data, err := x.store.Chunk(ctx, earlier.Version(), from)
		if err != nil || m.Verify(i, data) != nil {
			continue
		}
		if x.store.PutChunk(ctx, m.Version(), i, data) == nil {
			s.MarkHeld(i)
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

// Get is the RPC that serves a chunk to a peer. If the upload slots and the queue
// are full, the reply has no data and the peer tries another one.
func (x *Exchange) Get(request Request, reply *Response) error {
	s := x.swarm(request.Version)
	if s == nil {
		return nil
	}
	now := time.Now()
	s.RecordBitmap(now, request.From, request.Has)
	s.RecordStatus(now, request.From, request.Status)
	reply.Has, reply.Status = s.HeldChunks(), s.Status(now)
	if request.Index < 0 || !reply.Has.Has(request.Index) || !x.acquireUpload(request) {
		return nil
	}
	reply.Has = s.HeldChunks() // may have changed while the call was queued
	started := time.Now()
	defer func() { x.releaseUpload(started, len(reply.Data)) }()

	data, err := x.readChunk(request.Version, request.Index)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		x.log.Warn("no response to a read of a stored chunk", "version", request.Version.String(), "chunk", request.Index, "err", err)
		return nil
	}
	if err != nil || s.Manifest().Verify(request.Index, data) != nil {
		x.log.Warn("stored chunk is unreadable or corrupt; marked as missing", "version", request.Version.String(), "chunk", request.Index, "err", err)
		s.MarkMissing(request.Index)
		reply.Has = s.HeldChunks()
		return nil
	}
	reply.Data = data
	return nil
}

// readChunk returns a chunk that a peer requested. The read is given up long before the
// peer does, because the upload slot is held meanwhile.
func (x *Exchange) readChunk(v fulmardeal.Version, index int) ([]byte, error) {
	if data := x.cache.get(v, index); data != nil {
		return data, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), x.profile.FetchTimeout/storeReadShare)
	defer cancel()
	return x.store.Chunk(ctx, v, index)
}

// acquireUpload acquires an upload slot, waiting in the queue if none is free. It
// returns false if the queue is full too, or if the peer has left.
func (x *Exchange) acquireUpload(request Request) bool {
	if request.left != nil && request.left() {
		return false
	}
	x.mu.Lock()
	if x.activeUploads < x.profile.MaxUploads {
		x.activeUploads++
		x.mu.Unlock()
		return true
	}
	slot := make(chan bool, 1) // whether the upload may start
	u := queuedUpload{
		first: x.goesFirst(request.Version), remote: request.Remote, held: request.Has.Count(),
		start: func() { slot <- true }, refuse: func() { slot <- false }, left: request.left,
	}
	queued := x.queuedUploads.add(u, x.profile.MaxQueuedUploads)
	x.mu.Unlock()
	// The wait is bounded, because every upload ends in bounded time, and a call that others
	// overtake repeatedly times out at its sender.
	return queued && <-slot
}

// releaseUpload releases an upload slot, or passes it to the next queued call. The
// RPC handler returns before its reply has been sent, so the slot is held for as
// long as sending the bytes takes at Profile.UploadRate.
func (x *Exchange) releaseUpload(started time.Time, bytes int) {
	release := func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if u, ok := x.queuedUploads.next(); ok {
			u.start()
			return
		}
		x.activeUploads--
	}
	if x.profile.UploadRate <= 0 {
		release()
		return
	}
	sendTime := time.Duration(float64(bytes) / x.profile.UploadRate * float64(time.Second))
	time.AfterFunc(sendTime-time.Since(started), release)
}

// Download fetches chunks until the swarm is complete, the context ends or the
// manifest is suspect. In the last case it returns a SuspectManifestError. It calls
// peers repeatedly to get the current agents of the swarm.
func (x *Exchange) Download(ctx context.Context, s *Swarm, peers func() []Peer) error {
	var g errgroup.Group
	defer func() { _ = g.Wait() }() // the functions below return no error
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var lastPeerRefresh time.Time
	lastProgressLog := time.Now()
	for !s.Complete() {
		now := time.Now()
		if i := s.SuspectChunk(); i >= 0 {
			return &SuspectManifestError{Version: s.manifest.Version(), Index: i}
		}
		if now.Sub(lastProgressLog) >= progressLogInterval {
			lastProgressLog = now
			x.logProgress(s)
		}
		if now.Sub(lastPeerRefresh) >= peerRefreshInterval {
			lastPeerRefresh = now
			s.SetPeers(now, peers())
		}
		for _, p := range s.StartPolls(now) {
			g.Go(func() error { x.poll(ctx, s, p); return nil })
		}
		for _, p := range s.TakeNotices() {
			g.Go(func() error { x.notify(ctx, s, p); return nil })
		}
		for _, f := range x.startFetches(now, s) {
			g.Go(func() error { x.fetch(ctx, s, f); return nil })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-s.fetchEnded():
		}
	}
	return nil
}

// pauseOrigin stops requests to the origin for the given time.
func (x *Exchange) pauseOrigin(now time.Time, d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.originPausedUntil = now.Add(d)
}

// poll polls a peer for its bitmap.
func (x *Exchange) poll(ctx context.Context, s *Swarm, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	defer s.EndPoll(p.Incarnation)
	started := time.Now()
	var response Response
	err := x.pool.Call(ctx, p.Address, ServiceName+".Get", s.request(-1, p), &response)
	now := time.Now()
	if err != nil {
		if !errors.Is(err, context.Canceled) { // the download has ended
			s.RecordPollFailure(now, p.Incarnation)
		}
		return
	}
	s.recordAnswer(started, now, p, response)
}

// notify tells a peer what this agent holds. Whether the peer answers is found out by
// polls.
func (x *Exchange) notify(ctx context.Context, s *Swarm, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	started := time.Now()
	var response Response
	if x.pool.Call(ctx, p.Address, ServiceName+".Get", s.request(-1, p), &response) == nil {
		s.recordAnswer(started, time.Now(), p, response)
	}
}

// recordAnswer records the answer to a request for a peer's bitmap.
func (s *Swarm) recordAnswer(sent, now time.Time, p Peer, response Response) {
	s.RecordPoll(now, p.Incarnation, response.Has, now.Sub(sent))
	s.RecordStatus(now, p.Incarnation, response.Status)
	s.RecordOrigin(sent, response.Status)
}

// request returns a request to a peer for a chunk, or for the bitmap only if the index
// is negative. It tells the peer what this agent holds, so that the peer needs no poll
// to learn it: while chunks arrive, the response to a poll waits behind them.
func (s *Swarm) request(index int, p Peer) Request {
	return Request{Version: s.manifest.Version(), Index: index, From: s.self.Incarnation, Remote: p.Region != s.self.Region, Has: s.HeldChunks(), Status: s.Status(time.Now())}
}

// logOriginState logs the first failure of requests to the origin, and the first
// success after it.
func (x *Exchange) logOriginState(started time.Time, index int, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case err != nil && x.originFailingSince.IsZero():
		x.originFailingSince = started
		x.log.Warn("request to the origin failed", "chunk", index, "took", time.Since(started), "err", err)
	case err == nil && !x.originFailingSince.IsZero():
		x.log.Info("requests to the origin succeed again", "chunk", index, "silence", time.Since(x.originFailingSince))
		x.originFailingSince = time.Time{}
	}
}

// sinceOrNever returns the time since a moment, or a negative one if there was none.
func sinceOrNever(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return time.Since(t)
}

// logProgress logs the progress of a download.
func (x *Exchange) logProgress(s *Swarm) {
	p := s.Progress()
	x.log.Info("weights download in progress", "version", s.manifest.Version().String(), "held", p.Held, "chunks", p.Chunks, "under", p.Active,
		"peers", p.Peers, "known", p.Available, "quiet", time.Since(p.LastGain), "absent", p.Absent, "asked", p.Asked, "waits", p.Waiting, "chosen", p.Chosen, "candidate", p.Candidate,
		"rank", x.rankOf(s).String(), "originServed", sinceOrNever(x.view.lastServed()), "originAway", x.view.isAway(time.Now()))
}
