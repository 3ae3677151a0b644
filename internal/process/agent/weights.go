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

// weights downloads the model weights assigned to the endpoint and orders the
// engine to activate them.
type weights struct {
	agent      *Agent
	seed       uint64
	controller *activation.Controller

	mu        sync.Mutex
	target    configuration.Model
	placement []string
	fence     int64              // version of the configuration that the target was derived from
	swarm     *chunk.Swarm       // transfer of the target's chunks, nil until its manifest is known
	version   fulmardeal.Version // version of the weights with which requests may be admitted
	boot      string             // the engine's last known boot ID
	wake      chan struct{}

	// Versions of the membership table and of the configuration that the
	// target was derived from. Only updateTarget uses them.
	targetMembers       uint64
	targetConfiguration fulmardeal.Offset
}

func newWeights(a *Agent, seed uint64) *weights {
	return &weights{agent: a, seed: seed, controller: activation.New(a.invariants), wake: make(chan struct{}, 1)}
}

// serving returns the version of the weights with which requests may be admitted.
func (w *weights) serving() fulmardeal.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// tick updates the target, asks the engine which weights it serves, and sends it a
// load order if the controller decides so.
func (w *weights) tick(ctx context.Context) {
	w.updateTarget()
	inputs := w.inputs(ctx)
	w.mu.Lock()
	action := w.controller.Tick(time.Now(), inputs)
	w.version = w.controller.Serving()
	restarted := inputs.HeldKnown && w.boot != "" && w.boot != inputs.Held.Boot
	if inputs.HeldKnown {
		w.boot = inputs.Held.Boot
	}
	if restarted || activation.DigestMismatch(inputs) {
		w.restartDownload()
	}
	w.mu.Unlock()
	w.announce()
	if action.Order != nil {
		w.sendOrder(ctx, *action.Order)
	}
}

// updateTarget derives the target when the members or the configuration have
// changed. The target is the model version that is assigned to this endpoint.
func (w *weights) updateTarget() {
	c := w.agent.node.Store().Current()
	if c == nil || !w.agent.node.Settled(time.Now()) {
		return
	}
	membersVersion := w.agent.node.Members().Version()
	if w.targetMembers == membersVersion && w.targetConfiguration == c.Version() {
		return
	}
	w.targetMembers, w.targetConfiguration = membersVersion, c.Version()
	members := w.agent.node.Members().Members()
	m, placement, ok := replica.AssignedModel(c, w.agent.settings.Name, members)

	w.mu.Lock()
	defer w.mu.Unlock()
	if !ok {
		w.target = configuration.Model{}
		return
	}
	changed := m.Version() != w.target.Version() || m.Digest() != w.target.Digest()
	w.target, w.placement, w.fence = m, placement, int64(c.Version())
	if changed {
		w.restartDownload()
	}
}

// restartDownload starts the download of the target again. Chunks that are still
// in the store are verified and reused. w.mu must be held.
func (w *weights) restartDownload() {
	w.swarm = nil
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// inputs collects the inputs of the activation controller.
func (w *weights) inputs(ctx context.Context) activation.Inputs {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, err := w.agent.platform.Engine.ActiveWeights(ctx)
	members := w.agent.node.Members().Members()

	w.mu.Lock()
	defer w.mu.Unlock()
	inputs := activation.Inputs{
		Fence:     w.fence,
		Confirmed: w.agent.node.Confirmed(time.Now()),
		Held:      held,
		HeldKnown: err == nil,
		Running:   w.agent.limiter.Running(),
		Load:      w.agent.limiter.Utilisation(),
	}
	if w.swarm != nil && w.swarm.Manifest().Version() == w.target.Version() {
		m := w.swarm.Manifest()
		inputs.Target = activation.Target{
			Version:     m.Version(),
			Digest:      m.Digest(),
			Chunks:      m.Chunks(),
			Complete:    w.swarm.Complete(),
			TurnReached: replica.TurnReached(w.agent.node.Store().Current(), m.Version(), w.agent.settings.Name, w.placement, members),
		}
	}
	return inputs
}

// announce gossips which weights the engine serves and which are stored
// completely.
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

// sendOrder sends a load order to the engine. It doesn't rely on the reply: the
// next tick asks the engine which weights it serves.
func (w *weights) sendOrder(ctx context.Context, o fulmardeal.LoadOrder) {
	if !w.agent.node.Confirmed(time.Now()) {
		return // the process was paused after the decision
	}
	err := w.agent.platform.Engine.Order(ctx, o)
	var refused *fulmardeal.RefusedOrderError
	switch {
	case errors.As(err, &refused):
		w.agent.log.Warn("engine refused the load order", "version", o.Version.String(), "fence", o.Fence, "reason", refused.Reason)
	case err != nil:
		w.agent.log.Warn("no response to the load order", "version", o.Version.String(), "err", err)
	default:
		w.agent.log.Info("weights activated", "version", o.Version.String(), "fence", o.Fence)
		w.agent.limiter.RestartWarmUp(time.Now())
	}
}

// downloadRetryDelay is the delay before a download is retried when its manifest
// could not be fetched.
const downloadRetryDelay = time.Second

// run downloads the weights of the target, and those of each new target.
func (w *weights) run(ctx context.Context) error {
	var previous *manifest.Manifest
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		}
		for ctx.Err() == nil {
			m, err := w.download(ctx, previous)
			if err == nil {
				previous = m
				break
			}
			w.agent.log.Warn("download of weights failed", "err", err)
			pause(ctx, downloadRetryDelay)
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

// download downloads the weights of the current target and returns their manifest.
// It reuses chunks of the previous weights. When the target changes, it ends early
// and returns previous without an error.
func (w *weights) download(ctx context.Context, previous *manifest.Manifest) (*manifest.Manifest, error) {
	w.mu.Lock()
	target := w.target
	w.mu.Unlock()
	v := target.Version()
	if v.Zero() {
		return previous, nil
	}
	m, err := w.manifest(ctx, target)
	if err != nil {
		return nil, err
	}

	s := w.newSwarm(m)
	w.agent.exchange.AddSwarm(ctx, s)
	if previous != nil {
		w.agent.exchange.ReuseChunks(ctx, s, previous)
	}
	w.mu.Lock()
	w.swarm = s
	w.mu.Unlock()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := time.Now()
	err = w.agent.exchange.Download(ctx, s, func() []chunk.Peer {
		if w.stale(v) {
			cancel()
		}
		return w.peers()
	})
	if err != nil {
		return previous, nil // the target has changed, or the process is stopping
	}
	w.agent.log.Info("download of weights ended", "version", v.String(), "bytes", m.Size(),
		"drawn", s.OriginBytes(), "peers", s.Progress().Peers, "took", time.Since(started).Round(time.Millisecond).String())
	return m, nil
}

func (w *weights) newSwarm(m *manifest.Manifest) *chunk.Swarm {
	self := w.agent.node.Instance()
	peer := chunk.Peer{Incarnation: self.Incarnation, Name: self.Name, Address: self.Address, Region: self.Region}
	return chunk.NewSwarm(m, peer, w.agent.settings.Home, time.Now(), w.seed, w.agent.invariants)
}

// stale reports whether v is no longer the target.
func (w *weights) stale(v fulmardeal.Version) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.target.Version() != v
}

// Attempts to fetch the manifest from peers before it is fetched from the origin.
const (
	manifestAttempts   = 5
	manifestRetryDelay = 200 * time.Millisecond
)

// manifest fetches a model's manifest from peers, or from the origin if no peer
// has it. A manifest is small, but if all agents fetched it from the origin,
// hundreds of copies would load the origin's link. The agent that ranks first for
// the manifest fetches it from the origin immediately.
func (w *weights) manifest(ctx context.Context, m configuration.Model) (*manifest.Manifest, error) {
	v := m.Version()
	w.mu.Lock()
	ranksFirst := membership.Rank("manifest/"+v.String(), w.agent.settings.Name, w.placement) == 0
	w.mu.Unlock()
	for i := 0; i < manifestAttempts && !ranksFirst; i++ {
		data := w.agent.exchange.RequestManifest(ctx, v, w.peers())
		if got, err := manifest.Parse(v, m.Digest(), data); err == nil {
			w.agent.exchange.PublishManifest(v, data)
			return got, nil
		}
		pause(ctx, manifestRetryDelay)
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

// peers returns the agents of the endpoints that the target is assigned to.
func (w *weights) peers() []chunk.Peer {
	members := w.agent.node.Members().Members()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []chunk.Peer
	for _, m := range members {
		in := m.Instance()
		if m.State() == membership.Gone || in.Role != fulmardeal.RoleAgent || !contains(w.placement, in.Name) {
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

// chunks returns how many chunks of the target are held, and their total number.
// Both are 0 until the manifest is known.
func (w *weights) chunks() (held, total int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.swarm == nil {
		return 0, 0
	}
	p := w.swarm.Progress()
	return p.Held, p.Chunks
}

// progress returns the target's version with the number of chunks held and their
// total, or nothing until the manifest is known.
func (w *weights) progress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.swarm == nil {
		return ""
	}
	p := w.swarm.Progress()
	return fmt.Sprintf("%v %d/%d", w.swarm.Manifest().Version(), p.Held, p.Chunks)
}
