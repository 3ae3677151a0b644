package dispatch

import (
	"context"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// What the entries of a replay with silent engines do, as package gateway does.
const (
	silenceBeforeEvent  = 1200 * time.Millisecond // after which a second attempt is made
	silenceAfterEvent   = time.Second
	silencePollInterval = 50 * time.Millisecond // between two attempts to find a slot for it
	silenceRetryRatio   = 0.2
	silenceRetryBurst   = 20.0
	silenceAttempts     = 2

	// silencePatience is how long callers wait for the next event of a stream.
	silencePatience = 2 * time.Second
)

// silence lets engines fall silent.
func (sim *simulation) silence() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, address := range sim.addresses[:sim.load.Silent] {
		e := sim.engines[address]
		e.mu.Lock()
		e.silentUntil = time.Now().Add(time.Duration(sim.load.Silence * float64(time.Second)))
		e.mu.Unlock()
	}
}

// idleTimes returns how long the engines got no request after their silence, in order.
func (sim *simulation) idleTimes() []time.Duration {
	var out []time.Duration
	for _, address := range sim.addresses[:sim.load.Silent] {
		out = append(out, sim.engines[address].idle)
	}
	slices.Sort(out)
	return out
}

// progress returns the number of tokens of a request that the engine has sent, and
// whether the response is complete.
func (e *simulatedEngine) progress(r *simulatedRequest) (tokens int, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-r.done:
		return r.output, true
	default:
		return r.tokensWritten, false
	}
}

// silenceCall is a request in a replay with silent engines.
type silenceCall struct {
	sim       *simulation
	entry     int
	request   Request
	prompt    int
	output    int
	sent      int // tokens that the caller has
	attempts  []*silenceAttempt
	made      int
	events    chan struct{}
	lastHeard time.Time
	first     time.Time // when the first event arrived; zero before
}

// silenceAttempt is an attempt at one engine.
type silenceAttempt struct {
	reservation *Reservation
	engine      *simulatedEngine
	request     *simulatedRequest
	cancel      context.CancelFunc
	skipped     int // tokens that the caller had before
	silent      bool
}

// runSilenceCaller simulates a caller that retries once after a refusal.
func (sim *simulation) runSilenceCaller(parent context.Context, k requestKind, prompt, output, region int, fingerprint uint64) {
	const callerTimeout = 6 * time.Second
	started := time.Now()
	ctx, cancel := context.WithDeadline(parent, started.Add(callerTimeout))
	defer cancel()
	objective := time.Duration(k.Objective * float64(time.Second))
	for attempt := range uint64(2) {
		c := &silenceCall{sim: sim, entry: sim.load.entry(region, fingerprint+attempt), prompt: prompt, output: output, events: make(chan struct{}, 1), lastHeard: time.Now()}
		c.request = Request{Service: "llm", PromptTokens: prompt, Fingerprint: fingerprint, Sent: time.Now(), Deadline: started.Add(callerTimeout), Objective: objective}
		sim.budgets[c.entry].Deposit()
		r, err := sim.tables[c.entry].Reserve(ctx, &c.request)
		if err != nil {
			sim.mu.Lock()
			sim.refused++
			sim.mu.Unlock()
			select {
			case <-time.After(err.(*RefusedError).RetryAfter):
				continue
			case <-ctx.Done():
				return
			}
		}
		c.start(ctx, r)
		complete := c.run(ctx)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		switch {
		case !complete && ctx.Err() != nil:
			sim.expired++
		case !complete && c.first.IsZero():
			sim.failed++
		case !complete:
			sim.broken++
		case c.first.After(started.Add(objective)):
			sim.served += lateWorth * k.Worth
		default:
			sim.served += k.Worth
		}
		return
	}
}

func (c *silenceCall) start(ctx context.Context, r *Reservation) {
	ctx, cancel := context.WithCancel(ctx)
	c.sim.mu.Lock()
	e := c.sim.engines[r.Endpoint().Address()]
	c.sim.mu.Unlock()
	c.made++
	a := &silenceAttempt{reservation: r, engine: e, cancel: cancel, skipped: c.sent, request: &simulatedRequest{
		prompt: c.prompt + c.sent, output: c.output - c.sent, pendingTokens: c.prompt + c.sent,
		firstEvent: make(chan struct{}), done: make(chan struct{}), events: c.events, ctx: ctx,
	}}
	c.attempts = append(c.attempts, a)
	e.add(a.request)
}

// end ends an attempt.
func (c *silenceCall) end(a *silenceAttempt, o Outcome) {
	a.cancel()
	a.reservation.Release(o)
	c.attempts = slices.DeleteFunc(c.attempts, func(other *silenceAttempt) bool { return other == a })
}

// run follows the attempts until the response is complete, which it reports, or the
// caller gives up.
func (c *silenceCall) run(ctx context.Context) bool {
	defer func() {
		for len(c.attempts) > 0 {
			c.end(c.attempts[0], OutcomeCancelled)
		}
	}()
	timer := time.NewTimer(silenceBeforeEvent)
	defer timer.Stop()
	for {
		patience := time.Until(c.request.Deadline.Add(time.Second))
		if !c.first.IsZero() {
			patience = time.Until(c.lastHeard.Add(silencePatience))
		}
		select {
		case <-c.events:
			if leader, complete := c.follow(); leader {
				timer.Reset(silenceAfterEvent)
				if complete {
					return true
				}
			}
		case <-timer.C:
			if !c.onSilence(ctx) {
				return false
			}
			timer.Reset(silencePollInterval)
		case <-time.After(patience):
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// follow cancels all attempts but the first that has gone on, if one has, and reports
// whether its response is complete.
func (c *silenceCall) follow() (leader, complete bool) {
	for _, a := range c.attempts {
		tokens, complete := a.engine.progress(a.request)
		if !complete && a.skipped+tokens <= c.sent {
			continue
		}
		c.sent, c.lastHeard = a.skipped+tokens, time.Now()
		if c.first.IsZero() {
			c.first = c.lastHeard
		}
		a.reservation.RecordEvent()
		for _, other := range slices.Clone(c.attempts) {
			if other != a {
				c.end(other, OutcomeCancelled)
			}
		}
		if complete {
			c.end(a, OutcomeServed)
		}
		return true, complete
	}
	return false, false
}

// onSilence makes a second attempt, beside the first or in its place, and reports
// whether an attempt is left.
func (c *silenceCall) onSilence(ctx context.Context) bool {
	if c.made >= silenceAttempts {
		return true
	}
	req := c.request
	req.Tried = []string{c.attempts[0].reservation.Endpoint().ID()}
	if !c.first.IsZero() {
		req.Sent, req.Resumed = time.Now(), true
	}
	table, retries := c.sim.tables[c.entry], c.sim.budgets[c.entry]
	if c.sim.abandons {
		c.end(c.attempts[0], OutcomeFailed)
		if !retries.Withdraw() {
			return false
		}
		r, err := table.Reserve(ctx, &req)
		if err != nil {
			return false
		}
		c.start(ctx, r)
		return true
	}
	if a := c.attempts[0]; !a.silent {
		a.silent = true
		a.reservation.RecordSilence()
	}
	if !retries.Withdraw() {
		return true
	}
	r, ok := table.TryReserve(&req)
	if !ok {
		retries.Refund()
		return true
	}
	c.start(ctx, r)
	return true
}

// TestReplaySilences replays loads under which engines are silent for a while and go on.
// No request may fail for that, and the share of the capacity's worth that a pattern states
// must be served: while an engine is silent it has no capacity. Abandoning silent attempts
// is replayed for comparison.
func TestReplaySilences(t *testing.T) {
	paths, err := filepath.Glob("testdata/silences/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatal("no load patterns in testdata/silences", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".toml"), func(t *testing.T) {
			l := readLoadPattern(t, path)
			shares := make(map[string]float64)
			for _, name := range []string{"second", "abandon"} {
				sim := replay(t, l, name)
				shares[name] = sim.served / sim.offered
				idle := sim.idleTimes()
				t.Logf("%s: share served %.3f; %d refused, %d expired, %d broken off, %d failed; engines that went on got no request for %v (median) to %v",
					name, shares[name], sim.refused, sim.expired, sim.broken, sim.failed, idle[len(idle)/2].Round(time.Millisecond), idle[len(idle)-1].Round(time.Millisecond))
				if name == "second" && sim.broken+sim.failed > 0 {
					t.Errorf("%d streams were broken off and %d other requests failed, though their engines went on", sim.broken, sim.failed)
				}
			}
			want := l.Part * l.capacityShare()
			t.Logf("%s: capacity %.3f", l.Pattern, l.capacityShare())
			if shares["second"] < want {
				t.Errorf("served %.3f of the offered worth, want at least %.3f", shares["second"], want)
			}
			if shares["second"] < shares["abandon"]-0.02 {
				t.Errorf("abandoning silent attempts serves a share larger by more than 0.02: %v", shares)
			}
		})
	}
}
