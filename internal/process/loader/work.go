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

// Times of bringing weights.
const (
	// orderPatience is how long an order may go without effect before it is
	// given again: the work in progress ends first, some seconds for the longest.
	orderPatience = 10 * time.Second

	// fetchPause is the wait after a fetch that failed, such as at a start while
	// the origin is not there yet.
	fetchPause = 250 * time.Millisecond

	// tellAgain is how often the entries are told that the engine still loads.
	tellAgain = 500 * time.Millisecond

	// noticeLead is how long before an engine stops taking requests the entries
	// are told, so that those on their way still arrive in time.
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

// job is one version that is being fetched, or has been.
type job struct {
	version fulmardeal.Version
	number  int64
	stop    context.CancelFunc
	done    chan result
	swarm   *chunk.Swarm // set when the fetch has ended well
	again   time.Time    // a fetch that failed is begun again then; zero while it runs
}

// result is how a fetch ended.
type result struct {
	swarm *chunk.Swarm
	err   error
}

// work is what the agent is about. Only the goroutine of look uses it.
type work struct {
	jobs    []*job // the newest last
	told    int64  // version that the entries were last told of
	telling bool   // whether they were told that the engine loads
	toldAt  time.Time
	ordered time.Time
	started int64 // version of the last order
}

// look compares what the engine holds with what is wanted, again and again.
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

// step does what is due now, and reports whether something is about to happen.
func (l *Loader) step(ctx context.Context) bool {
	l.readOperator(ctx)
	target, known := l.aimed()
	if !known {
		return false
	}
	model := target.Model
	state, err := l.options.Engine.State(ctx)
	if err != nil {
		l.log.Warn("engine silent", "err", err)
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

// announce tells the entries when what the engine serves has changed.
func (l *Loader) announce(held int64, loading bool) {
	w := &l.work
	if held != w.told || loading != w.telling {
		l.log.Info("engine", "weights", held, "loading", loading, "ordered", w.ordered)
	} else if !loading || time.Since(w.toldAt) < tellAgain {
		return
	}
	w.told, w.telling, w.toldAt = held, loading, time.Now()
	l.tell(held, loading)
}

// collect takes over the fetches that have ended.
func (l *Loader) collect() {
	now := time.Now()
	for _, j := range l.work.jobs {
		select {
		case r := <-j.done:
			if r.err != nil {
				l.log.Warn("weights not fetched", "version", j.version.String(), "err", r.err)
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

// want sees to it that the wanted version is fetched, or can be served to other
// agents where it is held already. An older one that is still being fetched goes
// on: should the newer one be late, it is better than none.
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

// begin begins a fetch.
func (l *Loader) begin(ctx context.Context, j *job, serves bool) {
	ctx, cancel := context.WithCancel(ctx)
	j.stop, j.done, j.again, j.swarm = cancel, make(chan result, 1), time.Time{}, nil
	l.log.Info("version wanted", "version", j.version.String())
	go func() {
		s, err := l.fetch(ctx, j.version, serves)
		j.done <- result{swarm: s, err: err}
		l.wakeUp()
	}()
}

// fetch brings a version's chunks to the shelf of an engine that serves
// requests meanwhile, or doesn't.
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
	s := chunk.NewSwarm(m, l.self(), l.home(), time.Now(), l.options.Seed, &invariant.Recorder{})
	s.SetProfile(chunk.EngineProfile(l.options.Site.LinkMbps, serves))
	l.exchange.AddSwarm(ctx, s)
	err = l.exchange.Download(ctx, s, l.Peers)
	l.log.Info("weights spread", "version", v.String(), "took", time.Since(begun), "drawn", s.OriginBytes(), "corrupt", s.CorruptChunks(), "err", err)
	return s, err
}

// home returns the origin's region.
func (l *Loader) home() string {
	target, _ := l.aimed()
	return l.options.Site.Regions[target.Place]
}

// activate orders the engine to load the newest version that is here whole,
// when it is this engine's turn. An engine that holds nothing takes its turn at
// once.
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
		l.log.Warn("chunks not staged", "version", best.version.String(), "err", err)
		return true
	}
	if !l.exchange.VerifyStored(ctx, best.swarm) {
		l.log.Warn("staged chunks spoilt", "version", best.version.String())
		best.swarm, best.again = nil, time.Now()
		return false
	}
	err := l.options.Engine.StartLoad(ctx, best.version, state.OrderCount)
	var refused *fulmardeal.RefusedOrderError
	switch {
	case errors.As(err, &refused):
		l.log.Warn("order refused", "version", best.version.String(), "reason", refused.Reason)
		return false
	case err != nil:
		l.log.Warn("order unanswered", "version", best.version.String(), "err", err)
		return true
	}
	w.ordered, w.started = time.Now(), best.number
	l.log.Info("engine ordered", "version", best.version.String(), "held", held, "running", state.Running, "waiting", state.Waiting)
	return true
}

// turn returns when this engine is to change over from the version that it
// holds, so that not all engines stop taking requests at once.
func (l *Loader) turn(model string, held int64) time.Time {
	named, superseded := l.catalogue.View().SupersededAt(model, held)
	if !superseded {
		return time.Time{}
	}
	var names []string
	for _, p := range l.Peers() {
		names = append(names, p.Incarnation)
	}
	return replica.ChangeTime(l.self().Incarnation, names, named, l.options.Site.Bounds.VersionSwitch)
}
