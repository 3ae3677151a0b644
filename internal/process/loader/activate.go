package loader

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/weights/chunk"
	"fulmardeal/internal/weights/replica"
)

// Limits on the verification of staged chunks. A chunk that was intact when it was read may
// have been corrupted since, so the order to load it has to follow soon.
const (
	// maxVerifiedAge is the maximum age of a verification when the order is sent. An
	// engine must not load a chunk that turned bad more than 3 s before it accepted the
	// order; the rest is for an engine that falls silent for 1.5 s before it accepts it.
	maxVerifiedAge = 1400 * time.Millisecond

	// verifyTimeout bounds one verification. What has been verified by then is loaded, so
	// that weights that take longer to read are loaded part by part.
	verifyTimeout = 1200 * time.Millisecond

	// slowVerifiedAge and slowVerifyTimeout are the same for weights of which not even one
	// layer can be read in verifyTimeout. They leave half a second for the order's way.
	slowVerifiedAge   = 2500 * time.Millisecond
	slowVerifyTimeout = 2 * time.Second

	// stageTimeout bounds one run of copying buffered chunks to the engine. The next run
	// continues it.
	stageTimeout = 2 * time.Second
)

// layerRange is a contiguous range of layers: from the first to before the second.
type layerRange struct{ from, to int }

// missingLayers returns the first range of layers of a version that an engine has not
// loaded, of a model with so many layers.
func missingLayers(spans []fulmardeal.Span, version int64, layers int) layerRange {
	loaded := func(layer int) bool {
		for _, s := range spans {
			if s.Version == version && s.From <= layer && layer < s.To {
				return true
			}
		}
		return false
	}
	var r layerRange
	for r.from < layers && loaded(r.from) {
		r.from++
	}
	for r.to = r.from; r.to < layers && !loaded(r.to); {
		r.to++
	}
	return r
}

// orderPending reports whether the last order may still take effect: it was for the
// version, the engine has not been restarted since, and doesn't hold what it was ordered
// to load.
func (s *loadState) orderPending(version int64, e fulmardeal.EngineState) bool {
	age := time.Since(s.orderedAt)
	if s.orderedVersion != version || age >= orderTimeout || !e.StartedAt.Equal(s.orderedStart) {
		return false
	}
	if missing := missingLayers(e.Spans, version, s.ordered.to); missing.from >= s.ordered.to {
		return false
	}
	return age < orderSettleTime || e.OrderCount > s.orderedCount
}

// activate orders the engine to load the newest version that has been downloaded
// completely, once the time of its change has come. An engine that holds no
// version loads at once. activate reports whether it should be called again soon.
func (l *Loader) activate(ctx context.Context, target catalogue.Target, held int64, state fulmardeal.EngineState) bool {
	s := &l.state
	layers := max(1, target.Layers)
	newest, swarm := l.loadable(target.Model, held)
	if newest == nil {
		return false
	}
	if state.Loading || s.orderPending(newest.number, state) {
		return true
	}
	if held != 0 && time.Now().Before(l.turn(target.Model, held).At) {
		return true
	}
	if s.unanswered.pending() && s.unanswered.version != newest.number {
		return true // the engine may still take the chunks that are staged
	}
	if err := l.stage(ctx, newest.version); err != nil {
		l.log.Warn("cannot stage chunks in the engine", "version", newest.version.String(), "err", err)
		return true
	}
	missing := missingLayers(state.Spans, newest.number, layers)
	started := time.Now()
	v := l.verify(ctx, swarm, missing, layers)
	if n := v.Damaged(); n > 0 {
		l.log.Warn("staged chunks failed verification; downloading them again", "version", newest.version.String(), "chunks", n)
		l.repair(newest)
		return true
	}
	verified := l.verifiedLayers(v, missing, layers)
	if verified.to == verified.from {
		l.log.Warn("staged chunks could not be verified in time", "version", newest.version.String(), "layers", missing.to-missing.from, "took", time.Since(started), "slow", s.slowReads)
		s.slowReads = !s.slowReads
		return true
	}
	l.reportStatus(held, true)
	s.reportedLoading = true
	sleep(ctx, drainLead)
	return l.order(ctx, newest, v, verified, layers, state)
}

func (l *Loader) stage(ctx context.Context, v fulmardeal.Version) error {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	return l.chunks.stage(ctx, v)
}

// stageArriving stages what has arrived of a version that takes the place of another one,
// so that only the last chunks are left to be staged when it is whole.
func (l *Loader) stageArriving(ctx context.Context) {
	v := l.arriving()
	if !l.chunks.buffers(v) || l.state.unanswered.pending() {
		return
	}
	if err := l.stage(ctx, v); err != nil {
		l.log.Warn("cannot stage chunks in the engine", "version", v.String(), "err", err)
		return
	}
	l.log.Info("chunks are staged while they arrive", "version", v.String())
}

// arriving returns the version that is to be staged while it arrives, or the zero version.
func (l *Loader) arriving() fulmardeal.Version {
	l.downloadsMu.Lock()
	defer l.downloadsMu.Unlock()
	for _, d := range l.downloads {
		if d.number == l.choice.Stage {
			return d.version
		}
	}
	return fulmardeal.Version{}
}

// maxVerifiedAge returns the maximum age of a verification when an order is sent.
func (s *loadState) maxVerifiedAge() time.Duration {
	if s.slowReads {
		return slowVerifiedAge
	}
	return maxVerifiedAge
}

// verify reads the staged chunks of some layers back.
func (l *Loader) verify(ctx context.Context, s *chunk.Swarm, r layerRange, layers int) *chunk.Verification {
	timeout := verifyTimeout
	if l.state.slowReads {
		timeout = slowVerifyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	from, to := layerChunks(r, layers, s.Manifest().Chunks())
	return l.exchange.VerifyStored(ctx, s, from, to, l.uptime)
}

// layerChunks returns the range of the chunks that contain some layers: from the first to
// before the second.
func layerChunks(r layerRange, layers, chunks int) (from, to int) {
	return r.from * chunks / layers, (r.to*chunks + layers - 1) / layers
}

// verifiedLayers returns the longest range from the first of some layers whose chunks were
// verified recently.
func (l *Loader) verifiedLayers(v *chunk.Verification, r layerRange, layers int) layerRange {
	now := l.uptime()
	verified := layerRange{r.from, r.from}
	for verified.to < r.to {
		from, to := layerChunks(layerRange{verified.to, verified.to + 1}, layers, v.Chunks())
		at, intact := v.VerifiedAt(from, to)
		if !intact || now-at > l.state.maxVerifiedAge() {
			break
		}
		verified.to++
	}
	return verified
}

// staleVerificationError reports that staged chunks were verified too long before an order
// to load them.
type staleVerificationError struct{ age, limit time.Duration }

func (e *staleVerificationError) Error() string {
	return fmt.Sprintf("chunks were verified %v ago, more than %v", e.age, e.limit)
}

// order orders the engine to load layers of a version, which follow those that it holds.
func (l *Loader) order(ctx context.Context, d *download, v *chunk.Verification, r layerRange, layers int, state fulmardeal.EngineState) bool {
	from, to := layerChunks(r, layers, v.Chunks())
	at, _ := v.VerifiedAt(from, to)
	o := fulmardeal.LayerLoad{Version: d.version, State: state}
	if r.to < layers {
		o.Layers = r.to
	}
	s := &l.state
	limit := s.maxVerifiedAge()
	var written atomic.Bool
	o.Permit = func() error {
		if age := l.uptime() - at; age > limit {
			return &staleVerificationError{age: age, limit: limit}
		}
		written.Store(true)
		return nil
	}
	begun := time.Now()
	err := l.options.Engine.StartLoad(ctx, o)
	var refused *fulmardeal.RefusedOrderError
	var stale *staleVerificationError
	switch {
	case errors.As(err, &refused):
		l.log.Warn("engine refused the load order", "version", d.version.String(), "reason", refused.Reason)
		return false
	case errors.As(err, &stale):
		l.log.Warn("load order not sent", "version", d.version.String(), "err", err)
		return true
	case err != nil:
		l.log.Warn("no response to the load order", "version", d.version.String(), "written", written.Load(), "err", err)
		if written.Load() {
			s.unanswered = unansweredOrder{version: d.number, layers: r, begun: begun, start: state.StartedAt, count: state.OrderCount, verified: at}
		}
		return true
	}
	s.slowReads, s.unanswered = false, unansweredOrder{}
	s.orderedAt, s.orderedVersion, s.ordered = time.Now(), d.number, r
	s.orderedStart, s.orderedCount = state.StartedAt, state.OrderCount
	l.log.Info("load order sent to the engine", "version", d.version.String(), "from", r.from, "to", r.to, "layers", layers,
		"verified", l.uptime()-at, "running", state.Running, "waiting", state.Waiting)
	return true
}

// loadable returns the newest version that the engine may load now, with its chunks, or
// nil if there is none.
func (l *Loader) loadable(model string, held int64) (*download, *chunk.Swarm) {
	l.downloadsMu.Lock()
	defer l.downloadsMu.Unlock()
	var newest *download
	for _, d := range l.downloads {
		if d.swarm != nil && !d.damaged && d.version.Model == model && d.number > held && l.chunks.has(d.version) && !l.choice.Skips(d.number) {
			newest = d
		}
	}
	if newest == nil {
		return nil, nil
	}
	return newest, newest.swarm
}

// repair makes the download of a version fetch what was found damaged.
func (l *Loader) repair(d *download) {
	l.downloadsMu.Lock()
	defer l.downloadsMu.Unlock()
	d.damaged, d.retryAt = true, time.Now()
	signal(l.changed)
}

// turn returns when this engine is to change from the version that it
// holds to a newer one. The engines change one after the other, because an engine
// accepts no requests while it changes.
func (l *Loader) turn(model string, held int64) replica.Turn {
	view, within := l.catalogue.View(), l.options.Settings.Bounds.VersionSwitch
	announced, superseded := view.SupersededAt(model, held)
	if !superseded {
		return replica.Turn{}
	}
	c := replica.Change{To: held + 1, Announced: announced, Within: within}
	if at, is := view.SupersededAt(model, held-1); is && held > 1 {
		c.Before = at.Add(within)
	}
	var names []string
	for _, p := range l.Peers() {
		names = append(names, p.Incarnation)
	}
	return replica.ChangeTurn(l.self().Incarnation, names, c)
}
