package loader

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/weights/chunk"
	"fulmardeal/internal/weights/manifest"
	"fulmardeal/internal/weights/replica"
)

// Timeouts and intervals of downloading and loading weights.
const (
	// orderPatience is how long a load order may have no effect before it
	// is sent again. The engine first finishes its work in progress, which
	// can take several seconds.
	orderPatience = 10 * time.Second

	// fetchPause is the delay before a failed fetch is retried. Fetches
	// fail at startup, for example, while the origin is not yet reachable.
	fetchPause = 250 * time.Millisecond

	// tellAgain is the interval at which the status of an engine that is
	// still loading is repeated to the entries.
	tellAgain = 500 * time.Millisecond

	// noticeLead is how long before a load order the entries are told that
	// the engine stops accepting requests, so that requests already on
	// their way arrive in time.
	noticeLead = 10 * time.Millisecond
)

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// job is the download of one version, in progress or ended.
type job struct {
	version fulmardeal.Version
	number  int64
	stop    context.CancelFunc
	done    chan result
	swarm   *chunk.Swarm // set when the fetch has succeeded
	again   time.Time    // when a failed fetch is retried; zero while it runs or after it has succeeded
}

// result is the result of a fetch.
type result struct {
	swarm *chunk.Swarm
	err   error
}

// work is the state of downloads and load orders. Only the goroutine of look
// uses it.
type work struct {
	jobs    []*job // newest last
	told    int64  // version of the weights in the last report to the entries
	telling bool   // whether that report said that the engine is loading
	toldAt  time.Time
	ordered time.Time
	started int64 // version of the last load order
}

// look repeatedly compares what the engine holds with what it is to serve.
func (l *Loader) look(ctx context.Context) {
	for ctx.Err() == nil {
		pause := lookEvery
		if l.step(ctx) {
			pause = lookSoon
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-l.wake:
		}
		t.Stop()
	}
	for _, j := range l.work.jobs {
		j.stop()
	}
}

// step takes the actions that are due now, and reports whether it should be
// called again soon.
func (l *Loader) step(ctx context.Context) bool {
	l.readOperator(ctx)
	target, known := l.aimed()
	if !known {
		return false
	}
	model := target.Model
	state, err := l.options.Engine.State(ctx)
	if err != nil {
		l.log.Warn("cannot query the engine's state", "err", err)
		return false
	}
	wanted := l.catalogue.View().PublishedVersion(model)
	held := fulmardeal.Holds(state.Spans, target.Layers)
	l.announce(held, state.Loading)
	l.gauge(held, state.Loading)
	l.collect()
	l.want(ctx, model, wanted.Version, held)
	if held == wanted.Version {
		return false
	}
	if slices.ContainsFunc(l.work.jobs, func(j *job) bool { return j.swarm == nil }) {
		l.refreshPeers(ctx)
	}
	return l.activate(ctx, model, held, state)
}

// announce reports the engine's status to the entries if it has changed, and
// repeats it while the engine is loading.
func (l *Loader) announce(held int64, loading bool) {
	w := &l.work
	if held != w.told || loading != w.telling {
		l.log.Info("engine status changed", "weights", held, "loading", loading, "ordered", w.ordered)
	} else if !loading || time.Since(w.toldAt) < tellAgain {
		return
	}
	w.told, w.telling, w.toldAt = held, loading, time.Now()
	l.tell(held, loading)
}

// collect collects the results of fetches that have ended.
func (l *Loader) collect() {
	now := time.Now()
	for _, j := range l.work.jobs {
		select {
		case r := <-j.done:
			if r.err != nil {
				l.log.Warn("fetch of weights failed", "version", j.version.String(), "err", r.err)
				j.again = now.Add(fetchPause)
				continue
			}
			j.swarm = r.swarm
			l.scope.Counter("spread").Inc(1)
			l.scope.Counter("drawn_bytes").Inc(r.swarm.OriginBytes())
			l.scope.Counter("corrupt_chunks").Inc(int64(r.swarm.CorruptChunks()))
		default:
		}
	}
}

// want starts a fetch of the wanted version, also if the engine already holds
// it, so that its chunks can be served to other agents. An older version that
// is still being fetched is continued: if the newer one is delayed, loading the
// older one is better than loading none.
func (l *Loader) want(ctx context.Context, model string, version, held int64) {
	w := &l.work
	w.jobs = slices.DeleteFunc(w.jobs, func(j *job) bool {
		old := j.number != version && (j.version.Model != model || j.number <= held || held == version)
		if old {
			j.stop()
			l.shelf.drop(j.version)
		}
		return old
	})
	i := slices.IndexFunc(w.jobs, func(j *job) bool { return j.number == version })
	if i < 0 {
		v := fulmardeal.Version{Model: model, Name: strconv.FormatInt(version, 10)}
		l.shelf.open(v, len(w.jobs) > 0)
		w.jobs = append(w.jobs, &job{version: v, number: version, stop: func() {}, again: time.Now()})
	}
	for _, j := range w.jobs {
		if !j.again.IsZero() && !time.Now().Before(j.again) {
			l.begin(ctx, j, held != 0)
		}
	}
}

// begin starts a fetch.
func (l *Loader) begin(ctx context.Context, j *job, serves bool) {
	ctx, cancel := context.WithCancel(ctx)
	j.stop, j.done, j.again, j.swarm = cancel, make(chan result, 1), time.Time{}, nil
	l.log.Info("fetch of weights started", "version", j.version.String())
	go func() {
		s, err := l.fetch(ctx, j.version, serves)
		j.done <- result{swarm: s, err: err}
		l.wakeUp()
	}()
}

// fetch downloads the chunks of a version. serves tells whether the engine
// serves requests meanwhile.
func (l *Loader) fetch(ctx context.Context, v fulmardeal.Version, serves bool) (*chunk.Swarm, error) {
	begun := time.Now()
	l.refreshPeers(ctx)
	data, err := l.manifest(ctx, v)
	if err != nil {
		return nil, err
	}
	m, err := manifest.Parse(v, manifest.Sum(data), data)
	if err != nil {
		return nil, err
	}
	l.exchange.PublishManifest(v, data)
	s := chunk.NewSwarm(m, l.self(), l.home(), time.Now(), l.options.Seed, &invariant.Book{})
	s.SetProfile(chunk.EngineProfile(l.options.Site.LinkRate, serves))
	l.exchange.AddSwarm(ctx, s)
	err = l.exchange.Download(ctx, s, l.Peers)
	l.log.Info("fetch of weights ended", "version", v.String(), "took", time.Since(begun), "drawn", s.OriginBytes(), "corrupt", s.CorruptChunks(), "err", err)
	return s, err
}

// home returns the region of the origin.
func (l *Loader) home() string {
	target, _ := l.aimed()
	return l.options.Site.Regions[target.Place]
}

// activate orders the engine to load the newest version that is completely
// here, if the engine's turn has come. An engine that holds no version doesn't
// wait for its turn. It reports whether it should be called again soon.
func (l *Loader) activate(ctx context.Context, model string, held int64, state fulmardeal.EngineState) bool {
	w := &l.work
	var best *job
	for _, j := range w.jobs {
		if j.swarm != nil && j.number > held {
			best = j
		}
	}
	if best == nil {
		return false
	}
	if state.Loading || w.started == best.number && time.Since(w.ordered) < orderPatience {
		return true
	}
	if held != 0 && time.Now().Before(l.turn(model, held)) {
		return true
	}
	l.tell(held, true)
	w.telling = true
	pause(ctx, noticeLead)
	if err := l.shelf.stage(ctx, best.version); err != nil {
		l.log.Warn("cannot stage chunks in the engine", "version", best.version.String(), "err", err)
		return true
	}
	if !l.exchange.VerifyStored(ctx, best.swarm) {
		l.log.Warn("staged chunks failed verification; fetching them again", "version", best.version.String())
		best.swarm, best.again = nil, time.Now()
		return false
	}
	err := l.options.Engine.Start(ctx, best.version, state.Sequence)
	var refused *fulmardeal.RefusedOrderError
	switch {
	case errors.As(err, &refused):
		l.log.Warn("engine refused the load order", "version", best.version.String(), "reason", refused.Reason)
		return false
	case err != nil:
		l.log.Warn("no response to the load order", "version", best.version.String(), "err", err)
		return true
	}
	w.ordered, w.started = time.Now(), best.number
	l.log.Info("load order sent to the engine", "version", best.version.String(), "held", held, "running", state.Running, "waiting", state.Waiting)
	return true
}

// turn returns when this engine is to change from the version that it holds to
// the next, so that not all engines stop accepting requests at the same time.
func (l *Loader) turn(model string, held int64) time.Time {
	named, superseded := l.catalogue.View().SupersededAt(model, held)
	if !superseded {
		return time.Time{}
	}
	var names []string
	for _, p := range l.Peers() {
		names = append(names, p.Incarnation)
	}
	return replica.ChangeTime(l.self().Incarnation, names, named, l.options.Site.Bounds.Weights)
}
