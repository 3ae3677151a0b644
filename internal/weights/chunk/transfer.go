package chunk

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fulmardeal"
)

// Limits of storing received chunks and of watching requests to the origin.
const (
	storeRetryDelay       = 250 * time.Millisecond // pause before a chunk that could not be stored is stored again
	progressCheckInterval = 50 * time.Millisecond  // between two looks at the progress of a request to the origin
)

// NoProgressError reports that a request to the origin was given up, because neither it
// nor any other agent's has brought a chunk for some time.
type NoProgressError struct {
	Version fulmardeal.Version
	Index   int
	Quiet   time.Duration
}

func (e *NoProgressError) Error() string {
	return fmt.Sprintf("origin sent nothing of %v, chunk %d, or to any agent for %v", e.Version, e.Index, e.Quiet)
}

// fetch requests one chunk, verifies it and stores it.
func (x *Exchange) fetch(ctx context.Context, s *Swarm, f Fetch) {
	response, err := x.requestChunk(ctx, s, f)
	now := time.Now()
	var busy *fulmardeal.BusyError
	switch {
	case f.Peer == nil && errors.As(err, &busy):
		s.FetchUnavailable(now, f, nil) // it answers, so it isn't away
		return
	case err != nil && ctx.Err() != nil:
		s.FetchUnavailable(now, f, nil) // the download has ended
		return
	case err != nil:
		s.FetchFailed(now, f, false)
		return
	case len(response.Data) == 0:
		s.FetchUnavailable(now, f, response.Has)
		return
	}

	v := s.manifest.Version()
	if err := s.manifest.Verify(f.Index, response.Data); err != nil {
		x.log.Warn("received chunk failed verification; discarded", "version", v.String(), "chunk", f.Index, "err", err)
		s.FetchFailed(now, f, true)
		return
	}
	if x.cache.add(v, f.Index, response.Data) {
		// The agent can pass the chunk on, whatever its store does.
		s.FetchSucceeded(now, f, response.Has)
		x.storeCached(ctx, s, f.Index, response.Data)
		return
	}
	if err := x.store.PutChunk(ctx, v, f.Index, response.Data); err != nil {
		x.log.Warn("cannot store chunk", "version", v.String(), "chunk", f.Index, "err", err)
		s.FetchUnavailable(now, f, nil)
		return
	}
	s.FetchSucceeded(time.Now(), f, response.Has)
}

// storeCached stores a chunk that others can already get from this agent.
func (x *Exchange) storeCached(ctx context.Context, s *Swarm, index int, data []byte) {
	v := s.manifest.Version()
	logged := false
	for ctx.Err() == nil {
		err := x.store.PutChunk(ctx, v, index, data)
		if err == nil {
			x.cache.setStored(v, index)
			return
		}
		if !logged {
			logged = true
			x.log.Warn("cannot store chunk; it is served from memory and stored later", "version", v.String(), "chunk", index, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(storeRetryDelay):
		}
	}
	x.cache.setStored(v, index) // the download has ended, so it is only a copy for others
}

// requestChunk requests one chunk from a peer or the origin.
func (x *Exchange) requestChunk(ctx context.Context, s *Swarm, f Fetch) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, x.profile.FetchTimeout)
	defer cancel()
	var response Response
	started := time.Now()
	if f.Peer != nil {
		err := x.pool.Call(ctx, f.Peer.Address, ServiceName+".Get", s.request(f.Index, *f.Peer), &response)
		if err == nil {
			s.RecordStatus(time.Now(), f.Peer.Incarnation, response.Status)
			s.RecordOrigin(started, response.Status)
		}
		return response, err
	}
	defer x.endOriginFetch()
	v := s.manifest.Version()
	ctx, stop := x.watchProgress(ctx, v, f.Index)
	defer stop()
	data, err := x.origin.Chunk(ctx, v, f.Index)
	response.Data = data
	if errors.Is(err, context.Canceled) && errors.Is(context.Cause(ctx), context.Canceled) {
		return response, err // the download has ended
	}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	x.logOriginState(started, f.Index, err)
	x.countGivenUp(err)
	var busy *fulmardeal.BusyError
	switch {
	case errors.As(err, &busy):
		x.pauseOrigin(time.Now(), busy.RetryAfter)
	case err != nil:
		x.pauseOrigin(time.Now(), x.profile.OriginPause)
	}
	return response, err
}

// originPatience returns how long a request to the origin may make no progress: longer
// after each one that was given up, because the origin's link may be slow.
func (x *Exchange) originPatience() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return min(x.profile.OriginPatience<<min(x.givenUp, 10), x.profile.FetchTimeout)
}

// countGivenUp counts the requests to the origin given up since the last that succeeded.
func (x *Exchange) countGivenUp(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var quiet *NoProgressError
	switch {
	case err == nil:
		x.givenUp = 0
	case errors.As(err, &quiet):
		x.givenUp++
	}
}

// watchProgress returns a context that ends when the origin has sent no chunk to any
// agent for originPatience. A request in line behind others at an origin that
// serves them makes progress.
func (x *Exchange) watchProgress(ctx context.Context, v fulmardeal.Version, index int) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	patience := x.originPatience()
	if patience <= 0 {
		return ctx, func() { cancel(nil) }
	}
	started := time.Now()
	go func() {
		t := time.NewTicker(progressCheckInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if quiet := time.Since(latest(started, x.view.lastServed())); quiet > patience {
				cancel(&NoProgressError{Version: v, Index: index, Quiet: quiet})
				return
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// startFetches starts the fetches of a version that are due now. All versions share the
// origin's link and this agent's.
func (x *Exchange) startFetches(now time.Time, s *Swarm) []Fetch {
	x.startMu.Lock()
	defer x.startMu.Unlock()
	r := x.rankOf(s)
	if r == rankPaused {
		return nil
	}
	s.limitFetches(r.maxFetches(x.profile.MaxFetches))
	if r == rankYields || !x.originAvailable(now) {
		s.pauseOrigin()
	}
	fetches := s.StartFetches(now)
	for _, f := range fetches {
		if f.Peer == nil {
			x.addOriginFetch()
		}
		if f.Takeover != "" {
			x.recordTakeover(s, f)
		}
	}
	return fetches
}

func (x *Exchange) addOriginFetch() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.originFetches++
}

func (x *Exchange) endOriginFetch() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.originFetches--
}

// originAvailable reports whether another request may be sent to the origin.
func (x *Exchange) originAvailable(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !now.Before(x.originPausedUntil) && x.originFetches < x.profile.MaxOriginFetches
}

// OriginAway reports whether no agent reaches the origin, as far as is known.
func (x *Exchange) OriginAway(now time.Time) bool { return x.view.isAway(now) }

// Takeovers returns how many chunks this agent has drawn that others were chosen to
// draw, by reason.
func (x *Exchange) Takeovers() map[Takeover]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make(map[Takeover]int, len(x.takeovers))
	for k, n := range x.takeovers {
		out[k] = n
	}
	return out
}

func (x *Exchange) recordTakeover(s *Swarm, f Fetch) {
	chosen := s.Chosen(f.Index)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.takeovers == nil {
		x.takeovers = make(map[Takeover]int)
	}
	x.takeovers[f.Takeover]++
	x.log.Info("chunk taken over", "version", s.manifest.Version().String(), "chunk", f.Index, "reason", string(f.Takeover), "chosen", chosen, "origin", f.Peer == nil)
}
