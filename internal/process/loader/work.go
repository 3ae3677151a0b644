package loader

import (
	"context"
	"errors"
	"strconv"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/weights/chunk"
	"fulmardeal/internal/weights/manifest"
	"fulmardeal/internal/weights/replica"
)

// work is the version that is being brought to the engine. Only look uses it,
// but for the swarm itself.
type work struct {
	version fulmardeal.Version
	swarm   *chunk.Swarm
	stop    context.CancelFunc
	done    chan error
	whole   bool
	told    int64 // version that the entries were last told of
	telling bool  // whether they were told that the engine loads
	ordered time.Time
	pause   time.Time // a fetch that failed is begun again then
}

// fetchPause is the wait after a fetch that failed, such as at a start while the
// origin is not there yet.
const fetchPause = 250 * time.Millisecond

// orderPatience is how long an order may go without effect before it is given
// again: the work in progress ends first, some seconds for the longest.
const orderPatience = 10 * time.Second

// look compares what the engine holds with what is wanted, again and again.
func (l *Loader) look(ctx context.Context) {
	defer l.drop()
	for ctx.Err() == nil {
		soon := l.step(ctx)
		pause := lookEvery
		if soon {
			pause = lookSoon
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		case err := <-l.work.done:
			l.fetched(err)
		}
		t.Stop()
	}
}

// step does what is due now, and reports whether something is about to happen.
func (l *Loader) step(ctx context.Context) bool {
	spec, model := l.engineSpec()
	if spec == nil {
		return false
	}
	state, err := l.options.Engine.State(ctx)
	if err != nil {
		l.log.Warn("engine silent", "err", err)
		return false
	}
	wanted := l.catalogue.View().Wanted(model)
	v := fulmardeal.Version{Model: model, Name: strconv.FormatInt(wanted.Version, 10)}
	held := fulmardeal.Holds(state.Spans, spec.Layers)
	l.announce(ctx, held, state.Loading)
	if held == wanted.Version {
		l.serve(ctx, v)
		return false
	}
	if l.work.version != v {
		l.begin(ctx, v)
	}
	if !l.work.whole {
		l.refreshPeers(ctx)
		return false
	}
	return l.activate(ctx, v, wanted.Since, held, state)
}

// announce tells the entries when what the engine serves has changed.
func (l *Loader) announce(ctx context.Context, held int64, loading bool) {
	w := &l.work
	if held != w.told || loading != w.telling {
		l.log.Info("engine", "weights", held, "loading", loading, "ordered", w.ordered)
		w.told, w.telling = held, loading
		l.tell(ctx, held, loading)
	}
}

// serve lets other agents fetch what is staged here. An engine that was there
// from the beginning holds the first version, which nobody needs unless engines
// are added; so the manifest is fetched only when a peer asks.
func (l *Loader) serve(ctx context.Context, v fulmardeal.Version) {
	if l.work.version == v {
		return
	}
	l.begin(ctx, v)
}

// begin gives up the version that was being fetched and begins another.
func (l *Loader) begin(ctx context.Context, v fulmardeal.Version) {
	if time.Now().Before(l.work.pause) {
		return
	}
	l.drop()
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	l.work = work{version: v, stop: cancel, done: done, told: l.work.told, telling: l.work.telling}
	l.log.Info("version wanted", "version", v.String())
	go func() { done <- l.fetch(ctx, v) }()
}

func (l *Loader) drop() {
	if l.work.stop != nil {
		l.work.stop()
		l.work.stop = nil
	}
}

func (l *Loader) fetched(err error) {
	l.work.done = nil
	if err != nil {
		l.log.Warn("weights not fetched", "version", l.work.version.String(), "err", err)
		l.work.version = fulmardeal.Version{} // a later look begins again
		l.work.pause = time.Now().Add(fetchPause)
		return
	}
	l.work.whole = true
}

// fetch brings a version's chunks into the engine's staging.
func (l *Loader) fetch(ctx context.Context, v fulmardeal.Version) error {
	begun := time.Now()
	l.refreshPeers(ctx)
	data, err := l.manifest(ctx, v)
	if err != nil {
		return err
	}
	m, err := manifest.Parse(v, manifest.Sum(data), data)
	if err != nil {
		return err
	}
	l.exchange.KeepManifest(v, data)
	s := chunk.NewSwarm(m, l.peer(l.options.Site.Endpoint, l.options.Site.DataCentre), l.home(), time.Now(), l.options.Seed, &invariant.Book{})
	s.SetPace(chunk.Burst)
	l.exchange.Add(ctx, s)
	err = l.exchange.Spread(ctx, s, l.Peers)
	l.log.Info("weights spread", "version", v.String(), "took", time.Since(begun), "drawn", s.Drawn(), "corrupt", s.Corrupt(), "err", err)
	if err == nil {
		l.mu.Lock()
		l.work.swarm = s
		l.mu.Unlock()
	}
	return err
}

// manifest asks a peer first and then the origin.
func (l *Loader) manifest(ctx context.Context, v fulmardeal.Version) ([]byte, error) {
	return l.origin.Manifest(ctx, v)
}

// home returns the origin's region.
func (l *Loader) home() string {
	c := l.catalogue.View().Catalogue()
	if c == nil || c.Origin() == nil {
		return ""
	}
	return l.options.Site.Regions[c.Origin().DataCentre]
}

// activate orders the engine to load what is staged, when it is this engine's
// turn.
func (l *Loader) activate(ctx context.Context, v fulmardeal.Version, since time.Time, held int64, state fulmardeal.EngineState) bool {
	w := &l.work
	if state.Loading || time.Since(w.ordered) < orderPatience && !w.ordered.IsZero() {
		return true
	}
	if held != 0 && time.Now().Before(l.turn(v, since)) {
		return true
	}
	l.mu.Lock()
	s := w.swarm
	l.mu.Unlock()
	if !l.exchange.Recheck(ctx, s) {
		l.log.Warn("staged chunks spoilt", "version", v.String())
		w.version = fulmardeal.Version{}
		return false
	}
	l.tell(ctx, held, true)
	w.telling = true
	err := l.options.Engine.Start(ctx, v, state.Sequence)
	var refused *fulmardeal.RefusedOrderError
	switch {
	case errors.As(err, &refused):
		l.log.Warn("order refused", "version", v.String(), "reason", refused.Reason)
		return false
	case err != nil:
		l.log.Warn("order unanswered", "version", v.String(), "err", err)
		return true
	}
	w.ordered = time.Now()
	l.log.Info("engine ordered", "version", v.String(), "held", held, "running", state.Running)
	return true
}

// turn returns when this engine is to change over, so that not all engines stop
// taking requests at once.
func (l *Loader) turn(v fulmardeal.Version, since time.Time) time.Time {
	var names []string
	for _, p := range l.Peers() {
		names = append(names, p.Incarnation)
	}
	self := l.peer(l.options.Site.Endpoint, l.options.Site.DataCentre).Incarnation
	return since.Add(replica.Stagger(v, self, names, l.options.Site.Bounds.Weights))
}
