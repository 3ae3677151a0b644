package node

import (
	"context"
	"encoding/json"
	"time"

	"fulmardeal"
)

// probe exchanges greetings with the next probe target and, when the last
// confirmation of the configuration is old, with members that can confirm it.
func (n *Node) probe(ctx context.Context) {
	if in, ok := n.members.NextProbeTarget(); ok {
		go n.exchange(ctx, in)
	}
	if age := n.confirmationAge(time.Now()); age >= 0 && age < confirmationRenewAge {
		return
	}
	n.requestConfirmation(ctx)
}

// requestConfirmation exchanges greetings with the members that can confirm the
// configuration: this data centre's log readers, and one member in another data
// centre.
func (n *Node) requestConfirmation(ctx context.Context) {
	for _, in := range n.dataCentreReaders() {
		if in.Incarnation != n.incarnation {
			go n.exchange(ctx, in)
		}
	}
	for _, in := range append(n.members.Partners(fanout), n.members.RandomAlive(fanout)...) {
		if n.provesConnected(in) {
			go n.exchange(ctx, in)
			return
		}
	}
}

// newGreeting returns the greeting for the process with an incarnation.
func (n *Node) newGreeting(to string) Greeting {
	version, digest := n.Digest()
	return Greeting{
		From:    n.members.Self(),
		Version: version,
		Digest:  digest,
		Age:     n.confirmationAge(time.Now()),
		News:    n.members.UpdatesFor(to),
	}
}

// exchange swaps member updates with one member, and sends the configuration
// records that one side lacks.
func (n *Node) exchange(ctx context.Context, in fulmardeal.Instance) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	started := time.Now()
	var reply Greeting
	err := n.pool.Client(in.Address).Call(ctx, ServiceName+".Exchange", n.newGreeting(in.Incarnation), &reply)
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
	n.receive(now, reply)
	n.confirmFrom(started, reply)
	if reply.Version >= n.store.Version() {
		return
	}
	g := n.newGreeting(in.Incarnation)
	g.Update = n.store.Since(reply.Version)
	// If this fails, the next exchange sends the records again.
	_ = n.pool.Client(in.Address).Call(ctx, ServiceName+".Push", g, &Empty{})
}

// receive applies a greeting received directly from its sender.
func (n *Node) receive(now time.Time, g Greeting) {
	n.members.RecordContact(now, g.From)
	n.members.Merge(now, g.News)
	if !g.Update.Empty() {
		n.store.Apply(g.Update)
	}
	version, digest := n.Digest()
	n.options.Book.Check(g.Version != version || g.Digest == digest, "fold",
		"version %d has digest %s here and %s at %s", version, digest, g.Digest, g.From.Instance.Name)
}

// Catchup fetches configuration records from the log and from peers until the
// configuration has at least the given version. It reports whether that
// succeeded.
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

// join fetches all members and the configuration from one process, and reports
// whether it answered.
func (n *Node) join(ctx context.Context, in fulmardeal.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply Join
	if err := n.pool.Client(in.Address).Call(ctx, ServiceName+".Join", n.newGreeting(in.Incarnation), &reply); err != nil {
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
		n.joined, n.joinTime = true, now
	}
	return true
}

// Service is the RPC service that a node offers to its peers and to the
// operators' commands.
type Service struct {
	node *Node
}

// Exchange applies a peer's greeting and replies with this process's own.
func (s *Service) Exchange(g Greeting, reply *Greeting) error {
	n := s.node
	n.receive(time.Now(), g)
	*reply = n.newGreeting(g.From.Instance.Incarnation)
	reply.Update = n.store.Since(g.Version)
	return nil
}

// Push applies configuration records that this process lacks.
func (s *Service) Push(g Greeting, _ *Empty) error {
	s.node.receive(time.Now(), g)
	return nil
}

// Join returns all members and the configuration to a process that has just
// started.
func (s *Service) Join(g Greeting, reply *Join) error {
	n := s.node
	n.receive(time.Now(), g)
	*reply = Join{From: n.members.Self(), News: n.members.Snapshot(), Update: n.store.Since(g.Version)}
	return nil
}

// Word returns the status of this process.
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

// Verdict returns the verdict on the configuration record with an id.
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

// Dump returns the state of the process as JSON.
func (s *Service) Dump(_ Empty, reply *[]byte) error {
	data, err := json.MarshalIndent(s.node.Dump(), "", "  ")
	*reply = data
	return err
}
