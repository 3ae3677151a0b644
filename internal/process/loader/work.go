package loader

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/weights/chunk"
	"fulmardeal/internal/weights/manifest"
)

// Timeouts and intervals of downloading and loading weights.
const (
	// orderTimeout is how long a load order may have no effect before it
	// is sent again. The engine first finishes its work in progress, which
	// can take several seconds.
	orderTimeout = 10 * time.Second

	// orderSettleTime is how long an accepted order may not show in the engine's
	// state. Without it, an order would be sent again at once to an engine that
	// accepts it and doesn't count it.
	orderSettleTime = 500 * time.Millisecond

	// downloadRetryDelay is the delay before a failed download is retried.
	// Downloads fail at startup, for example, while the origin is not yet
	// reachable.
	downloadRetryDelay = 250 * time.Millisecond

	// statusRepeatInterval is the interval at which the status of an engine
	// that is still loading is repeated to the entries.
	statusRepeatInterval = 500 * time.Millisecond

	// minKeptShare is the fraction of an older version that must have been
	// downloaded for it to be worth completing while a newer one arrives.
	minKeptShare = 0.5

	// drainLead is the delay between the report to the entries that the
	// engine is loading and the load order, so that requests already on
	// their way still arrive before it.
	drainLead = 10 * time.Millisecond
)

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// download is the download of one version, in progress or ended.
type download struct {
	version fulmardeal.Version
	number  int64
	cancel  context.CancelFunc
	done    chan downloadResult
	swarm   *chunk.Swarm // the download's transfer; nil until it has succeeded
	retryAt time.Time    // when to start or retry the download; zero while it runs or after it has succeeded
	damaged bool         // chunks that had been downloaded were found missing or corrupt; the next start fetches only these

	transfer atomic.Pointer[chunk.Swarm] // the transfer in progress or the last one; nil before the first
}

// share returns the fraction of the chunks that have been downloaded.
func (d *download) share() float64 {
	s := d.transfer.Load()
	if s == nil {
		return 0
	}
	p := s.Progress()
	return float64(p.Held) / float64(max(1, p.Chunks))
}

// downloadResult is the result of a download.
type downloadResult struct {
	swarm *chunk.Swarm
	err   error
}

// loadState is the state of downloads and load orders. Only the goroutine of
// reconcileLoop uses it.
type loadState struct {
	downloads       []*download // newest last
	reportedWeights int64       // version of the weights in the last report to the entries
	reportedLoading bool        // whether the engine was loading according to the last report
	reportedAt      time.Time
	orderedAt       time.Time
	orderedVersion  int64     // version that the engine was last ordered to load
	orderedStart    time.Time // start of the engine that got the order; zero if unknown
	orderedCount    int64     // number of orders that it had accepted before
	ordered         layerRange
}

// reconcileLoop calls reconcile until the context ends, then cancels the
// downloads.
func (l *Loader) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := stepInterval
		if l.reconcile(ctx) {
			pause = busyStepInterval
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-l.wake:
		}
		t.Stop()
	}
	for _, d := range l.state.downloads {
		d.cancel()
	}
}

// reconcile compares what the engine holds with what it is to serve, and takes
// the actions that are due now. It reports whether it should be called again
// soon.
func (l *Loader) reconcile(ctx context.Context) bool {
	l.readConfiguration(ctx)
	target, known := l.currentTarget()
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
	l.announceStatus(held, state.Loading)
	l.updateGauges(held, state.Loading)
	l.collectResults()
	l.updateDownloads(ctx, model, wanted.Version, held)
	if held == wanted.Version {
		return false
	}
	if slices.ContainsFunc(l.state.downloads, func(d *download) bool { return d.swarm == nil }) {
		l.refreshPeers(ctx)
	}
	return l.activate(ctx, target, held, state)
}

// announceStatus reports the engine's status to the entries if it has changed,
// and repeats it while the engine is loading.
func (l *Loader) announceStatus(held int64, loading bool) {
	s := &l.state
	if held != s.reportedWeights || loading != s.reportedLoading {
		l.log.Info("engine status changed", "weights", held, "loading", loading, "ordered", s.orderedAt)
	} else if !loading || time.Since(s.reportedAt) < statusRepeatInterval {
		return
	}
	s.reportedWeights, s.reportedLoading, s.reportedAt = held, loading, time.Now()
	l.reportStatus(held, loading)
}

// collectResults takes the results of downloads that have ended, and schedules a
// retry of those that failed.
func (l *Loader) collectResults() {
	now := time.Now()
	for _, d := range l.state.downloads {
		select {
		case r := <-d.done:
			if r.err != nil {
				l.log.Warn("download of weights failed", "version", d.version.String(), "err", r.err)
				d.retryAt = now.Add(downloadRetryDelay)
				continue
			}
			d.swarm = r.swarm
			l.scope.Counter("spread").Inc(1)
			l.scope.Counter("drawn_bytes").Inc(r.swarm.OriginBytes())
			l.scope.Counter("corrupt_chunks").Inc(int64(r.swarm.CorruptChunks()))
		default:
		}
	}
}

// updateDownloads starts the download of the wanted version, also if the engine
// already holds it, so that its chunks can be served to other agents. An older
// version that is still being downloaded is continued if most of it is there, or if
// nothing of the newer one has arrived: if the newer one is delayed, loading the older
// one is better than loading none. Otherwise both would take twice as long.
func (l *Loader) updateDownloads(ctx context.Context, model string, version, held int64) {
	s := &l.state
	newerArrives := slices.ContainsFunc(s.downloads, func(d *download) bool { return d.number == version && d.share() > 0 })
	s.downloads = slices.DeleteFunc(s.downloads, func(d *download) bool {
		obsolete := d.number != version && (d.version.Model != model || d.number <= held || held == version)
		if d.number < version && newerArrives && d.share() < minKeptShare {
			l.log.Info("download of weights abandoned for a newer version", "version", d.version.String(), "share", d.share(), "newer", version)
			obsolete = true
		}
		if obsolete {
			d.cancel()
			l.chunks.discard(d.version)
		}
		return obsolete
	})
	i := slices.IndexFunc(s.downloads, func(d *download) bool { return d.number == version })
	if i < 0 {
		v := fulmardeal.Version{Model: model, Name: strconv.FormatInt(version, 10)}
		l.chunks.prepare(v, len(s.downloads) > 0)
		s.downloads = append(s.downloads, &download{version: v, number: version, cancel: func() {}, retryAt: time.Now()})
	}
	for _, d := range s.downloads {
		if !d.retryAt.IsZero() && !time.Now().Before(d.retryAt) {
			l.startDownload(ctx, d)
		}
	}
}

// startDownload starts a download in the background.
func (l *Loader) startDownload(ctx context.Context, d *download) {
	ctx, cancel := context.WithCancel(ctx)
	repaired := d.swarm
	if !d.damaged {
		repaired = nil
	}
	d.cancel, d.done, d.retryAt, d.swarm, d.damaged = cancel, make(chan downloadResult, 1), time.Time{}, nil, false
	l.log.Info("download of weights started", "version", d.version.String(), "repair", repaired != nil)
	go func() {
		s, err := l.downloadVersion(ctx, d, repaired)
		d.done <- downloadResult{swarm: s, err: err}
		l.wakeUp()
	}()
}

// downloadVersion downloads the chunks of a version, or those that a finished download has
// lost since.
func (l *Loader) downloadVersion(ctx context.Context, d *download, finished *chunk.Swarm) (*chunk.Swarm, error) {
	l.refreshPeers(ctx)
	s := finished
	if s == nil {
		var err error
		if s, err = l.joinSwarm(ctx, d.version); err != nil {
			return nil, err
		}
		d.transfer.Store(s)
	}
	start := time.Now()
	err := l.exchange.Download(ctx, s, l.Peers)
	l.log.Info("download of weights ended", "version", d.version.String(), "took", time.Since(start), "drawn", s.OriginBytes(), "corrupt", s.CorruptChunks(), "err", err)
	return s, err
}

// joinSwarm gets the manifest of a version and starts to serve its chunks.
func (l *Loader) joinSwarm(ctx context.Context, v fulmardeal.Version) (*chunk.Swarm, error) {
	data, err := l.manifest(ctx, v)
	if err != nil {
		return nil, err
	}
	m, err := manifest.Parse(v, manifest.Sum(data), data)
	if err != nil {
		return nil, err
	}
	l.exchange.PublishManifest(v, data)
	s := chunk.NewSwarm(m, l.self(), l.originRegion(), time.Now(), l.options.Seed, &invariant.Recorder{})
	s.SetProfile(chunk.EngineProfile(l.options.Settings.LinkMbps))
	l.exchange.AddSwarm(ctx, s)
	return s, nil
}

func (l *Loader) originRegion() string {
	target, _ := l.currentTarget()
	return l.options.Settings.Regions[target.Place]
}
