package node

import (
	"context"
	"encoding/json"
	"time"

	"fulmardeal"
)

// probe talks to the next member, and when the configuration hasn't been
// confirmed for a while, to those who can confirm it.
func (n *Node) probe(ctx context.Context) {
	if in, ok := n.members.NextProbeTarget(); ok {
		go n.exchange(ctx, in)
	}
	if age := n.age(time.Now()); age >= 0 && age < confirmEvery {
		return
	}
	n.probeOutside(ctx)
}

// probeOutside asks those who can confirm the configuration: the readers of
// this data centre, and a partner in another one.
func (n *Node) probeOutside(ctx context.Context) {
	for _, in := range n.dataCentreReaders() {
		if in.Incarnation != n.incarnation {
			go n.exchange(ctx, in)
		}
	}
	for _, in := range append(n.members.Partners(fanout), n.members.RandomAlive(fanout)...) {
		if n.outside(in) {
			go n.exchange(ctx, in)
			return
		}
	}
}

// greeting returns what to tell the process with an incarnation.
func (n *Node) greeting(to string) Greeting {
	version, digest := n.Digest()
	return Greeting{
		From:    n.members.Self(),
		Version: version,
		Digest:  digest,
		Age:     n.age(time.Now()),
		News:    n.members.UpdatesFor(to),
	}
}

// exchange talks to one member: both tell their news, and the one that is
// behind gets the configuration that it lacks.
func (n *Node) exchange(ctx context.Context, in fulmardeal.Instance) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	begun := time.Now()
	var reply Greeting
	err := n.pool.Client(in.Address).Call(ctx, ServiceName+".Exchange", n.greeting(in.Incarnation), &reply)
	now := time.Now()
	if err != nil {
		if ctx.Err() != context.Canceled {
			n.members.RecordNoAnswer(now, in.Incarnation)
		}
		return
	}
	if reply.From.Instance.Incarnation != in.Incarnation {
		n.members.RecordReplaced(now, in.Incarnation)
	}
	n.met(now, reply)
	n.confirmBy(begun, reply)
	if reply.Version >= n.store.Version() {
		return
	}
	g := n.greeting(in.Incarnation)
	g.Update = n.store.Since(reply.Version)
	// A failure is mended by the next exchange.
	_ = n.pool.Client(in.Address).Call(ctx, ServiceName+".Push", g, &Empty{})
}

// met takes in what another process has said first-hand.
func (n *Node) met(now time.Time, g Greeting) {
	n.members.RecordContact(now, g.From)
	n.members.Merge(now, g.News)
	if !g.Update.Empty() {
		n.store.Apply(g.Update)
	}
	version, digest := n.Digest()
	n.options.Book.Check(g.Version != version || g.Digest == digest, "fold",
		"version %d has digest %s here and %s at %s", version, digest, g.Digest, g.From.Instance.Name)
}

// Catchup brings the configuration to at least version, from peers and the log,
// and reports whether it has.
func (n *Node) Catchup(ctx context.Context, version fulmardeal.Offset) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	n.fetch(ctx)
	for _, in := range n.members.Partners(fanout) {
		if n.store.Version() >= version || ctx.Err() != nil {
			break
		}
		n.exchange(ctx, in)
	}
	return n.store.Version() >= version
}

// join learns all members and the configuration from one process.
func (n *Node) join(ctx context.Context, in fulmardeal.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply Join
	if err := n.pool.Client(in.Address).Call(ctx, ServiceName+".Join", n.greeting(in.Incarnation), &reply); err != nil {
		return false
	}
	now := time.Now()
	n.members.RecordContact(now, reply.From)
	n.members.MergeSnapshot(now, reply.News)
	if !reply.Update.Empty() {
		n.store.Apply(reply.Update)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.joined {
		n.joined, n.joinedAt = true, now
	}
	return true
}

// Service serves a node to its peers and to the operators' commands.
type Service struct {
	node *Node
}

// Exchange answers a peer's greeting.
func (s *Service) Exchange(g Greeting, reply *Greeting) error {
	n := s.node
	n.met(time.Now(), g)
	*reply = n.greeting(g.From.Instance.Incarnation)
	reply.Update = n.store.Since(g.Version)
	return nil
}

// Push takes over records that this process lacks.
func (s *Service) Push(g Greeting, _ *Empty) error {
	s.node.met(time.Now(), g)
	return nil
}

// Join tells a process that has just started all that is known here.
func (s *Service) Join(g Greeting, reply *Join) error {
	n := s.node
	n.met(time.Now(), g)
	*reply = Join{From: n.members.Self(), News: n.members.Snapshot(), Update: n.store.Since(g.Version)}
	return nil
}

// Word says how this process is.
func (s *Service) Word(_ Empty, reply *Word) error {
	n := s.node
	self := n.members.Self()
	ready, reason := n.Ready()
	*reply = Word{
		Name:       self.Instance.Name,
		Role:       self.Instance.Role,
		DataCentre: self.Instance.DataCentre,
		Version:    n.store.Version(),
		Ready:      ready,
		Reason:     reason,
		Serving:    self.Serving,
		Held:       self.Held,
	}
	if n.progress != nil {
		reply.Progress = n.progress()
	}
	return nil
}

// Verdict says what became of the record with an id.
func (s *Service) Verdict(id string, reply *Verdict) error {
	v, known := s.node.store.Verdict(id)
	*reply = Verdict{Known: known, Accepted: v.Accepted(), Offset: v.Offset(), Reason: v.Reason()}
	return nil
}

// Canonical returns the configuration in force as a snapshot.
func (s *Service) Canonical(_ Empty, reply *[]byte) error {
	*reply = s.node.store.State().Canonical()
	return nil
}

// Dump returns the process's tables in JSON.
func (s *Service) Dump(_ Empty, reply *[]byte) error {
	data, err := json.MarshalIndent(s.node.Dump(), "", "  ")
	*reply = data
	return err
}
