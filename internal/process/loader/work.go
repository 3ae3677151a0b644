package loader

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal"
)

// Timeouts and intervals of downloading and loading weights.
const (
	// orderTimeout is how long a load order may have no effect before it
	// is sent again. The engine first finishes its work in progress, which
	// can take several seconds.
	orderTimeout = 10 * time.Second

	// lateOrderTime is how long after an order was begun that gets no response the engine
	// may still accept it: the order's timeout, and the time for which a sound engine may
	// fall silent.
	lateOrderTime = 4 * time.Second

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

	// engineStartTime is how long the downloads wait for the engine to answer for the
	// first time. What it has staged since before needs no download.
	engineStartTime = 3 * time.Second

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

// loadState is the state of load orders. Only the goroutine of engineLoop uses it.
type loadState struct {
	reportedWeights int64 // version of the weights in the last report to the entries
	reportedLoading bool  // whether the engine was loading according to the last report
	reportedAt      time.Time
	orderedAt       time.Time
	orderedVersion  int64     // version that the engine was last ordered to load
	orderedStart    time.Time // start of the engine that got the order; zero if unknown
	orderedCount    int64     // number of orders that it had accepted before
	ordered         layerRange
	slowReads       bool // not even one layer could be verified in verifyTimeout
	unanswered      unansweredOrder
}

// unansweredOrder is an order that was written and got no response. The zero value is none.
type unansweredOrder struct {
	version  int64
	layers   layerRange
	begun    time.Time
	start    time.Time     // start of the engine that may have got it; zero if unknown
	count    int64         // number of orders that the engine had accepted before
	verified time.Duration // Loader.uptime at which the chunks were verified
}

// pending reports whether the engine may still accept the order. Until then what is staged must
// not be replaced by chunks of another version.
func (u *unansweredOrder) pending() bool {
	return u.version != 0 && time.Since(u.begun) < lateOrderTime
}

// settleOrder finds out what has become of an order without a response.
func (l *Loader) settleOrder(state fulmardeal.EngineState) {
	s := &l.state
	u := s.unanswered
	switch {
	case u.version == 0:
		return
	case !state.StartedAt.Equal(u.start):
		l.log.Info("engine restarted after a load order without a response", "version", u.version, "after", time.Since(u.begun))
	case state.OrderCount > u.count:
		verified := l.uptime() - u.verified
		l.log.Info("load order without a response took effect", "version", u.version, "after", time.Since(u.begun), "verified", verified)
		l.scope.Counter("orders_unanswered").Inc(1)
		s.orderedAt, s.orderedVersion, s.ordered = u.begun, u.version, u.layers
		s.orderedStart, s.orderedCount = u.start, u.count
	case u.pending():
		return
	}
	s.unanswered = unansweredOrder{}
}

// reconcileLoop brings the engine to what it is to serve until the context ends. What
// other agents need doesn't wait for the engine or the store: each of the three has a
// goroutine of its own.
func (l *Loader) reconcileLoop(ctx context.Context) {
	var g errgroup.Group
	g.Go(func() error { l.readLoop(ctx); return nil })
	g.Go(func() error { l.downloadLoop(ctx); return nil })
	g.Go(func() error { l.engineLoop(ctx); return nil })
	_ = g.Wait() // the functions return no error
}

// engineLoop calls reconcile until the context ends.
func (l *Loader) engineLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := stepInterval
		if l.reconcile(ctx) {
			pause = busyStepInterval
		}
		pauseUntil(ctx, pause, l.wake)
	}
}

// pauseUntil waits until a signal or for a time.
func pauseUntil(ctx context.Context, d time.Duration, signal <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-signal:
	}
}

// reconcile compares what the engine holds with what it is to serve, and takes
// the actions that are due now. It reports whether it should be called again
// soon.
func (l *Loader) reconcile(ctx context.Context) bool {
	target, known := l.currentTarget()
	if !known {
		return false
	}
	state, err := l.options.Engine.State(ctx)
	if err != nil {
		l.log.Warn("cannot query the engine's state", "err", err)
		return false
	}
	wanted := l.catalogue.View().PublishedVersion(target.Model)
	held := fulmardeal.Holds(state.Spans, target.Layers)
	if l.setHeld(held) {
		l.wakeUp()
	}
	l.settleOrder(state)
	l.announceStatus(held, state.Loading)
	l.updateGauges(held, state.Loading)
	busy := held != wanted.Version && l.activate(ctx, target, held, state)
	l.stageArriving(ctx) // takes up to stageTimeout, after what depends on the engine's state
	return busy
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
