package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/samber/oops"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/weights/activation"
	"fulmardeal/internal/weights/chunk"
	"fulmardeal/internal/weights/manifest"
	"fulmardeal/internal/weights/replica"
)

// weights brings the endpoint's model to it and changes over to it.
type weights struct {
	agent  *Agent
	seed   uint64
	system *activation.Controller

	mu      sync.Mutex
	target  configuration.Model
	placed  []string
	fence   int64
	swarm   *chunk.Swarm // of the target, nil until its manifest is known
	version fulmardeal.Version
	boot    string // of the engine
	wake    chan struct{}

	// What the target was worked out from; only aim uses them.
	aimed   uint64
	aimedAt fulmardeal.Offset
}

func newWeights(a *Agent, seed uint64) *weights {
	return &weights{agent: a, seed: seed, system: activation.New(a.book), wake: make(chan struct{}, 1)}
}

// serving returns the version that requests may be admitted for.
func (w *weights) serving() fulmardeal.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// tick looks for the target, asks the engine what it holds, and gives an order
// when it is time.
func (w *weights) tick(ctx context.Context) {
	w.aim()
	facts := w.facts(ctx)
	w.mu.Lock()
	action := w.system.Tick(time.Now(), facts)
	w.version = w.system.Serving()
	lost := facts.HeldKnown && w.boot != "" && w.boot != facts.Held.Boot
	if facts.HeldKnown {
		w.boot = facts.Held.Boot
	}
	if lost || activation.DigestMismatch(facts) {
		w.again()
	}
	w.mu.Unlock()
	w.announce()
	if action.Order != nil {
		w.order(ctx, *action.Order)
	}
}

// aim works out which model the endpoint is to serve.
func (w *weights) aim() {
	c := w.agent.node.Store().Current()
	if c == nil || !w.agent.node.Settled(time.Now()) {
		return
	}
	seen := w.agent.node.Members().Version()
	if w.aimed == seen && w.aimedAt == c.Version() {
		return
	}
	w.aimed, w.aimedAt = seen, c.Version()
	members := w.agent.node.Members().Members()
	m, placed, ok := replica.AssignedModel(c, w.agent.settings.Name, members)

	w.mu.Lock()
	defer w.mu.Unlock()
	if !ok {
		w.target = configuration.Model{}
		return
	}
	changed := m.Version() != w.target.Version() || m.Digest() != w.target.Digest()
	w.target, w.placed, w.fence = m, placed, int64(c.Version())
	if changed {
		w.again()
	}
}

// again has the target fetched anew; what the store still holds is verified
// and taken over. The lock is held.
func (w *weights) again() {
	w.swarm = nil
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *weights) facts(ctx context.Context) activation.Inputs {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, err := w.agent.platform.Engine.ActiveWeights(ctx)
	members := w.agent.node.Members().Members()

	w.mu.Lock()
	defer w.mu.Unlock()
	f := activation.Inputs{
		Fence:     w.fence,
		Confirmed: w.agent.node.Confirmed(time.Now()),
		Held:      held,
		HeldKnown: err == nil,
		Running:   w.agent.limiter.Running(),
		Load:      w.agent.limiter.Utilisation(),
	}
	if w.swarm != nil && w.swarm.Manifest().Version() == w.target.Version() {
		m := w.swarm.Manifest()
		f.Target = activation.Target{
			Version:     m.Version(),
			Digest:      m.Digest(),
			Chunks:      m.Chunks(),
			Complete:    w.swarm.Complete(),
			TurnReached: replica.TurnReached(w.agent.node.Store().Current(), m.Version(), w.agent.settings.Name, w.placed, members),
		}
	}
	return f
}

func (w *weights) announce() {
	w.mu.Lock()
	serving := w.version
	var held fulmardeal.Version
	if w.swarm != nil && w.swarm.Complete() {
		held = w.swarm.Manifest().Version()
	}
	w.mu.Unlock()
	w.agent.announceWeights(serving, held)
}

// order gives the order. Whatever the engine answers, the next tick asks it
// what it holds.
func (w *weights) order(ctx context.Context, o fulmardeal.LoadOrder) {
	if !w.agent.node.Confirmed(time.Now()) {
		return // paused since the decision
	}
	err := w.agent.platform.Engine.Order(ctx, o)
	var refused *fulmardeal.RefusedOrderError
	switch {
	case errors.As(err, &refused):
		w.agent.log.Warn("order refused", "version", o.Version.String(), "fence", o.Fence, "reason", refused.Reason)
	case err != nil:
		w.agent.log.Warn("order unanswered", "version", o.Version.String(), "err", err)
	default:
		w.agent.log.Info("weights active", "version", o.Version.String(), "fence", o.Fence)
		w.agent.limiter.RestartWarmUp(time.Now())
	}
}

// retryEvery is the wait after a manifest could not be had.
const retryEvery = time.Second

// run fetches the target's weights, one target after the other.
func (w *weights) run(ctx context.Context) error {
	var before *manifest.Manifest
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		}
		for ctx.Err() == nil {
			m, err := w.fetch(ctx, before)
			if err == nil {
				before = m
				break
			}
			w.agent.log.Warn("weights not fetched", "err", err)
			pause(ctx, retryEvery)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// fetch brings the current target here. It ends early, without an error, when
// the target changes.
func (w *weights) fetch(ctx context.Context, before *manifest.Manifest) (*manifest.Manifest, error) {
	w.mu.Lock()
	target := w.target
	w.mu.Unlock()
	v := target.Version()
	if v.Zero() {
		return before, nil
	}
	m, err := w.manifest(ctx, target)
	if err != nil {
		return nil, err
	}

	s := w.newSwarm(m)
	w.agent.exchange.AddSwarm(ctx, s)
	if before != nil {
		w.agent.exchange.ReuseChunks(ctx, s, before)
	}
	w.mu.Lock()
	w.swarm = s
	w.mu.Unlock()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := time.Now()
	err = w.agent.exchange.Download(ctx, s, func() []chunk.Peer {
		if w.stale(v) {
			cancel()
		}
		return w.peers()
	})
	if err != nil {
		return before, nil // the target has changed, or the process stops
	}
	w.agent.log.Info("weights whole", "version", v.String(), "bytes", m.Size(),
		"drawn", s.OriginBytes(), "peers", s.Progress().Peers, "took", time.Since(begun).Round(time.Millisecond).String())
	return m, nil
}

func (w *weights) newSwarm(m *manifest.Manifest) *chunk.Swarm {
	self := w.agent.node.Instance()
	peer := chunk.Peer{Incarnation: self.Incarnation, Name: self.Name, Address: self.Address, Region: self.Region}
	return chunk.NewSwarm(m, peer, w.agent.settings.Home, time.Now(), w.seed, w.agent.book)
}

func (w *weights) stale(v fulmardeal.Version) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.target.Version() != v
}

// Tries to have the manifest from a peer before the origin is asked.
const (
	manifestTries = 5
	manifestWait  = 200 * time.Millisecond
)

// manifest asks peers, then the origin: one manifest is small, but hundreds of
// copies are not. The first candidate asks the origin at once.
func (w *weights) manifest(ctx context.Context, m configuration.Model) (*manifest.Manifest, error) {
	v := m.Version()
	w.mu.Lock()
	first := membership.Rank("manifest/"+v.String(), w.agent.settings.Name, w.placed) == 0
	w.mu.Unlock()
	for i := 0; i < manifestTries && !first; i++ {
		data := w.agent.exchange.RequestManifest(ctx, v, w.peers())
		if got, err := manifest.Parse(v, m.Digest(), data); err == nil {
			w.agent.exchange.PublishManifest(v, data)
			return got, nil
		}
		pause(ctx, manifestWait)
	}

	ctx, cancel := context.WithTimeout(ctx, 5*callTimeout)
	defer cancel()
	data, err := w.agent.platform.Origin.Manifest(ctx, v)
	if err != nil {
		return nil, oops.In("weights").With("version", v.String()).Wrapf(err, "manifest of %v", v)
	}
	got, err := manifest.Parse(v, m.Digest(), data)
	if err == nil {
		w.agent.exchange.PublishManifest(v, data)
	}
	return got, err
}

// peers returns the other agents that are to hold the target.
func (w *weights) peers() []chunk.Peer {
	members := w.agent.node.Members().Members()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []chunk.Peer
	for _, m := range members {
		in := m.Instance()
		if m.State() == membership.Gone || in.Role != fulmardeal.RoleAgent || !contains(w.placed, in.Name) {
			continue
		}
		out = append(out, chunk.Peer{Incarnation: in.Incarnation, Name: in.Name, Address: in.Address, Region: in.Region})
	}
	return out
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// chunks returns the chunks held and wanted, 0 of 0 before the manifest is
// known.
func (w *weights) chunks() (held, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.swarm == nil {
		return 0, 0
	}
	p := w.swarm.Progress()
	return p.Held, p.Chunks
}

// progress says how far the target is.
func (w *weights) progress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.swarm == nil {
		return ""
	}
	p := w.swarm.Progress()
	return fmt.Sprintf("%v %d/%d", w.swarm.Manifest().Version(), p.Held, p.Chunks)
}
