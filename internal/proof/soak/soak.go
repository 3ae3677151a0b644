// Package soak runs fault-injection tests: it starts the system's processes on
// loopback addresses, injects faults by a plan that follows from a seed, and
// checks the guarantees of the system against what callers and endpoints observe.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// Options are the parameters of a run.
type Options struct {
	Seed    uint64
	Length  time.Duration // of the period with faults
	Faults  []Fault       // replaces the plan of the seed unless nil
	After   time.Duration // length of the period without faults that follows; 0 means the limit for recovery
	Shape   Shape
	Callers int
	Starter Starter
	Logs    string    // directory for the logs of the processes
	Out     io.Writer // receives a line for each fault when it begins
}

// Report is the result of a run.
type Report struct {
	Seed       uint64      `json:"seed"`
	Faults     int         `json:"faults"`
	Counts     Counts      `json:"counts"`
	Violations []Violation `json:"violations"`
}

const (
	startWait = 10 * time.Second // limit for the start of the system
	countFor  = 3 * time.Second  // period in which the served share is measured, before and after the faults
)

// Run performs one run. It stops all that it has started before it returns, also
// if the context is cancelled.
func Run(ctx context.Context, o Options) (Report, error) {
	plan := o.Faults
	if plan == nil {
		plan = Plan(o.Seed, o.Shape, o.Length)
	}
	w, err := newWorld(o.Shape, o.Starter, o.Logs)
	defer w.close()
	if err != nil {
		return Report{}, err
	}
	done := make(chan struct{})
	var background sync.WaitGroup
	defer background.Wait()
	defer close(done)
	w.write(platform.ConfigRecord(&w.current))
	w.write(platform.NamingRecord(fulmardeal.Naming{Model: modelName, Version: w.weights}))
	background.Go(func() { w.registerEndpoints(done) })
	defer w.fleet.close()
	for i := range w.fleet.members {
		if err := w.fleet.start(i); err != nil {
			return Report{}, err
		}
	}
	background.Go(func() { w.fleet.watch(done) })
	if err := w.awaitReady(ctx); err != nil {
		return Report{}, err
	}

	calling, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Go(func() { newCaller(w, i, o.Seed).run(calling) })
	}
	before := w.serves(ctx)
	w.play(ctx, plan, o)
	if o.After == 0 {
		o.After = boundRecover
	}
	pause(ctx, o.After-countFor)
	if after := w.serves(ctx); ctx.Err() == nil && after < recoveredPart*before {
		w.checker.violation(PromiseRecovery, "%.2f of the requests served %v after the faults, %.2f before", after, o.After, before)
	}
	stop()
	callers.Wait()
	counts, violations := w.checker.Verdict()
	return Report{Seed: o.Seed, Faults: len(plan), Counts: counts, Violations: violations}, ctx.Err()
}

// awaitReady waits until all entries are in rotation.
func (w *world) awaitReady(ctx context.Context) error {
	until := time.Now().Add(startWait)
	for time.Now().Before(until) && ctx.Err() == nil {
		ready := 0
		for _, m := range w.fleet.members[:w.shape.Entries] {
			m.mu.Lock()
			if m.ready {
				ready++
			}
			m.mu.Unlock()
		}
		if ready == w.shape.Entries {
			return nil
		}
		pause(ctx, readyEvery)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("some of the %d entries are not ready after %v; their logs are in %s", w.shape.Entries, startWait, w.fleet.dir)
}

// serves measures the share of requests that are served in the next seconds.
func (w *world) serves(ctx context.Context) float64 {
	count := func() Counts {
		w.checker.mu.Lock()
		defer w.checker.mu.Unlock()
		return w.checker.counts
	}
	a := count()
	pause(ctx, countFor)
	b := count()
	return float64(b.Served-a.Served) / max(1, float64(b.Sent-a.Sent))
}

// play injects the faults of a plan, each at its time, and returns when all have
// ended.
func (w *world) play(ctx context.Context, plan []Fault, o Options) {
	begun := time.Now()
	var faults sync.WaitGroup
	defer faults.Wait()
	for _, f := range plan {
		pause(ctx, f.At-time.Since(begun))
		if ctx.Err() != nil {
			return
		}
		fmt.Fprintln(o.Out, f)
		faults.Go(func() { w.inject(f) })
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Logs creates a temporary directory for a run's logs. The returned function
// removes it.
func Logs(seed uint64) (string, func(), error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("fulmardeal-soak-%d-", seed))
	return dir, func() { os.RemoveAll(dir) }, err
}
