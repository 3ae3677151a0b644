// Package soak runs fault-injection tests: it starts the system's processes on
// loopback addresses, injects faults by a plan that follows from a seed, and
// checks the guarantees of the system against what callers and endpoints
// observe.
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
	Seed         uint64
	FaultTime    time.Duration // length of the period with faults
	Faults       []Fault       // replaces the plan of the seed unless nil
	RecoveryTime time.Duration // length of the period without faults after FaultTime; 0 means boundRecover
	Shape        Shape
	Callers      int
	Starter      Starter
	LogDir       string    // directory for the logs of the processes
	Out          io.Writer // receives a line for each fault when it begins
}

// Report is the result of a run.
type Report struct {
	Seed       uint64      `json:"seed"`
	Faults     int         `json:"faults"`
	Counts     Counts      `json:"counts"`
	Violations []Violation `json:"violations"`
}

// Times of the phases of a run without faults.
const (
	startTimeout  = 10 * time.Second // limit for the start of the system
	measurePeriod = 3 * time.Second  // period in which the served share is measured, before and after the faults
)

// Run performs one run. Before it returns, it stops everything that it has started,
// even if the context is cancelled.
func Run(ctx context.Context, o Options) (Report, error) {
	plan := o.Faults
	if plan == nil {
		plan = Plan(o.Seed, o.Shape, o.FaultTime)
	}
	d, err := newDeployment(o.Shape, o.Starter, o.LogDir)
	defer d.close()
	if err != nil {
		return Report{}, err
	}
	done := make(chan struct{})
	var background sync.WaitGroup
	defer background.Wait()
	defer close(done)
	d.appendRecord(platform.ConfigRecord(&d.configuration))
	d.appendRecord(platform.PublicationRecord(fulmardeal.Publication{Model: modelName, Version: d.weightsVersion}))
	background.Go(func() { d.registerEndpoints(done) })
	defer d.fleet.close()
	for i := range d.fleet.members {
		if err := d.fleet.start(i); err != nil {
			return Report{}, err
		}
	}
	background.Go(func() { d.fleet.pollReadiness(done) })
	if err := d.awaitReady(ctx); err != nil {
		return Report{}, err
	}

	callerCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Go(func() { newCaller(d, i, o.Seed).run(callerCtx) })
	}
	before := d.servedShare(ctx)
	d.injectAll(ctx, plan, o)
	if o.RecoveryTime == 0 {
		o.RecoveryTime = boundRecover
	}
	sleep(ctx, o.RecoveryTime-measurePeriod)
	if after := d.servedShare(ctx); ctx.Err() == nil && after < recoveredShare*before {
		d.checker.recordUnattributed(GuaranteeRecovery, "share of requests served is %.2f, %v after the faults; it was %.2f before them", after, o.RecoveryTime, before)
	}
	stop()
	callers.Wait()
	counts, violations := d.checker.Verdict()
	return Report{Seed: o.Seed, Faults: len(plan), Counts: counts, Violations: violations}, ctx.Err()
}

// awaitReady waits until all entries are in rotation.
func (d *deployment) awaitReady(ctx context.Context) error {
	until := time.Now().Add(startTimeout)
	for time.Now().Before(until) && ctx.Err() == nil {
		ready := 0
		for _, m := range d.fleet.members[:d.shape.Entries] {
			m.mu.Lock()
			if m.ready {
				ready++
			}
			m.mu.Unlock()
		}
		if ready == d.shape.Entries {
			return nil
		}
		sleep(ctx, readinessInterval)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("some of the %d entries are not ready after %v; their logs are in %s", d.shape.Entries, startTimeout, d.fleet.dir)
}

// servedShare returns the share of requests that are served in the next
// measurePeriod.
func (d *deployment) servedShare(ctx context.Context) float64 {
	count := func() Counts {
		d.checker.mu.Lock()
		defer d.checker.mu.Unlock()
		return d.checker.counts
	}
	start := count()
	sleep(ctx, measurePeriod)
	end := count()
	return float64(end.Served-start.Served) / max(1, float64(end.Sent-start.Sent))
}

// injectAll injects the faults of a plan, each at its time, and returns when
// all have ended.
func (d *deployment) injectAll(ctx context.Context, plan []Fault, o Options) {
	start := time.Now()
	var faults sync.WaitGroup
	defer faults.Wait()
	for _, f := range plan {
		sleep(ctx, f.At-time.Since(start))
		if ctx.Err() != nil {
			return
		}
		fmt.Fprintln(o.Out, f)
		faults.Go(func() { d.inject(f) })
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// NewLogDir creates a temporary directory for a run's logs. The returned function
// removes it.
func NewLogDir(seed uint64) (string, func(), error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("fulmardeal-soak-%d-", seed))
	return dir, func() { os.RemoveAll(dir) }, err
}
