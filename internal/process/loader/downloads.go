package loader

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/weights/chunk"
	"fulmardeal/internal/weights/manifest"
	"fulmardeal/internal/weights/replica"
	"fulmardeal/internal/weights/rollout"
)

// download is the download of one version, in progress or ended.
type download struct {
	version fulmardeal.Version
	number  int64
	cancel  context.CancelFunc
	done    chan downloadResult
	swarm   *chunk.Swarm // the download's transfer; nil until it has succeeded
	retryAt time.Time    // when to start or retry the download; zero while it runs or after it has succeeded
	chunks  int          // chunks that this agent holds and that any does, when last planned
	moved   time.Time    // when that last changed
	damaged bool         // chunks that had been downloaded were found missing or corrupt; the next start fetches only these

	transfer atomic.Pointer[chunk.Swarm] // the transfer in progress or the last one; nil before the first
}

// downloadResult is the result of a download.
type downloadResult struct {
	swarm *chunk.Swarm
	err   error
}

// downloadLoop keeps the downloads in line with the wanted version until the context
// ends, then cancels them. It never waits for the engine: other agents depend on the
// chunks that this one draws, whatever its engine does.
func (l *Loader) downloadLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := stepInterval
		if target, known := l.currentTarget(); known {
			wanted := l.catalogue.View().PublishedVersion(target.Model)
			if l.updateDownloads(ctx, target.Model, wanted.Version) {
				pause = busyStepInterval
			}
		}
		pauseUntil(ctx, pause, l.changed)
	}
	l.downloadsMu.Lock()
	defer l.downloadsMu.Unlock()
	for _, d := range l.downloads {
		d.cancel()
	}
}

// updateDownloads takes the results of downloads that have ended and starts the download
// of the wanted version, also if the engine already holds it, so that its chunks can be
// served to other agents. An older version that is still being downloaded is kept until
// the engine holds a newer one; whether anything of it is fetched is planned. It reports
// whether several versions are on their way.
func (l *Loader) updateDownloads(ctx context.Context, model string, version int64) bool {
	l.downloadsMu.Lock()
	defer l.downloadsMu.Unlock()
	l.collectResults()
	held := l.held
	l.downloads = slices.DeleteFunc(l.downloads, func(d *download) bool {
		obsolete := d.number != version && (d.version.Model != model || d.number <= held || held == version)
		if obsolete {
			d.cancel()
			l.chunks.discard(d.version)
		}
		return obsolete
	})
	i := slices.IndexFunc(l.downloads, func(d *download) bool { return d.number == version })
	if i < 0 {
		l.dropDownloads(chunk.MaxSwarms - 1)
		v := fulmardeal.Version{Model: model, Name: strconv.FormatInt(version, 10)}
		l.chunks.prepare(v, len(l.downloads) > 0)
		l.downloads = append(l.downloads, &download{version: v, number: version, cancel: func() {}, retryAt: time.Now()})
	}
	l.planVersions(model)
	if l.firstTarget.IsZero() {
		l.firstTarget = time.Now()
	}
	if !l.engineSeen && time.Since(l.firstTarget) < engineStartTime {
		return false
	}
	for _, d := range l.downloads {
		if !d.retryAt.IsZero() && !time.Now().Before(d.retryAt) {
			l.startDownload(ctx, d)
		}
	}
	return len(l.downloads) > 1
}

// dropDownloads drops downloads until at most n are left: of those that aren't whole the one
// that lacks most among all agents, or else the oldest one.
func (l *Loader) dropDownloads(n int) {
	for len(l.downloads) > n {
		worst := 0
		for i, d := range l.downloads {
			if d.unknown() > l.downloads[worst].unknown() {
				worst = i
			}
		}
		d := l.downloads[worst]
		d.cancel()
		l.chunks.discard(d.version)
		l.exchange.RemoveSwarm(d.version)
		l.downloads = slices.Delete(l.downloads, worst, worst+1)
		l.log.Info("download of weights dropped for newer versions", "version", d.version.String())
	}
}

// unknown returns the share of the chunks that no known agent holds; -1 if this agent has all.
func (d *download) unknown() float64 {
	if d.swarm != nil && !d.damaged {
		return -1
	}
	s := d.transfer.Load()
	if s == nil {
		return 1
	}
	p := s.Progress()
	return 1 - float64(p.Available)/float64(max(1, p.Chunks))
}

// collectResults takes the results of downloads that have ended, and schedules a
// retry of those that failed.
func (l *Loader) collectResults() {
	now := time.Now()
	for _, d := range l.downloads {
		select {
		case r := <-d.done:
			if r.err != nil {
				l.log.Warn("download of weights failed", "version", d.version.String(), "err", r.err)
				d.retryAt = now.Add(downloadRetryDelay)
				continue
			}
			d.swarm = r.swarm
			signal(l.wake)
			l.scope.Counter("spread").Inc(1)
			l.scope.Counter("drawn_bytes").Inc(r.swarm.OriginBytes())
			l.scope.Counter("corrupt_chunks").Inc(int64(r.swarm.CorruptChunks()))
		default:
		}
	}
}

// planVersions decides what becomes of the versions that are on their way.
func (l *Loader) planVersions(model string) {
	now, view := time.Now(), l.catalogue.View()
	within := l.options.Settings.Bounds.VersionSwitch
	end := func(version int64) time.Time {
		if at, superseded := view.SupersededAt(model, version); superseded {
			return at.Add(within - replica.DeadlineMargin)
		}
		return time.Time{}
	}
	in := rollout.Inputs{Now: now, Held: l.held, HeldEnd: end(l.held), OriginAway: l.exchange.OriginAway(now), Late: l.turn(model, l.held).Late}
	versions := map[int64]fulmardeal.Version{}
	for _, d := range l.downloads {
		if d.version.Model != model || d.number <= l.held {
			continue
		}
		named, _ := view.SupersededAt(model, d.number-1)
		v := rollout.Version{Number: d.number, Named: named, End: end(d.number), Whole: d.swarm != nil && !d.damaged, Unknown: 1, Missing: 1}
		if s := d.transfer.Load(); s != nil {
			p := s.Progress()
			all := float64(max(1, p.Chunks))
			v.Started, v.Unknown, v.Missing = true, 1-float64(p.Available)/all, 1-float64(p.Held)/all
			if n := p.Available + p.Held; d.moved.IsZero() || n != d.chunks {
				d.chunks, d.moved = n, now
			}
			v.Moved = d.moved
		}
		in.Versions = append(in.Versions, v)
		versions[d.number] = d.version
	}
	choice := rollout.Decide(in)
	lasts, short := in.Shortage()
	if !short || !l.options.Settings.Contention || !l.tellsShortage() {
		lasts = 0
	}
	l.shortage.Store(int64(lasts))
	p := chunk.Priority{First: versions[choice.First]}
	for _, n := range choice.Paused {
		p.Paused = append(p.Paused, versions[n])
	}
	l.exchange.SetPriority(p)
	if len(in.Versions) > 1 && (choice.First != l.choice.First || !slices.Equal(choice.Paused, l.choice.Paused) || !slices.Equal(choice.Skip, l.choice.Skip)) {
		older, newest := in.Versions[0], in.Versions[len(in.Versions)-1]
		l.log.Info("overlapping versions planned", "held", in.Held, "until", in.HeldEnd.Sub(now), "first", choice.First, "paused", choice.Paused, "skipped", choice.Skip,
			"older", older.Number, "olderUnknown", older.Unknown, "newest", newest.Number, "newestUnknown", newest.Unknown, "originAway", in.OriginAway, "late", in.Late)
	}
	l.choice = choice
}

// shortageTellers is how many agents of a region tell the entries of a shortage.
const shortageTellers = 3

// tellsShortage reports whether this agent is one of those of its region that tell.
func (l *Loader) tellsShortage() bool {
	self := l.self()
	names := []string{self.Name}
	for _, p := range l.Peers() {
		if p.Region == self.Region && p.Name != self.Name {
			names = append(names, p.Name)
		}
	}
	return slices.Index(membership.Order("shortage/"+self.Region, names), self.Name) < shortageTellers
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
