package node

import (
	"context"
	"encoding/json"
	"time"

	"fulmardeal"
)

// probe exchanges messages with the next probe target and, when the last
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

// requestConfirmation exchanges messages with the members that can confirm the
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

// newMessage returns the message to the process with the given incarnation.
func (n *Node) newMessage(to string) PeerMessage {
	version, digest := n.Digest()
	return PeerMessage{
		From:    n.members.Self(),
		Version: version,
		Digest:  digest,
		Age:     n.confirmationAge(time.Now()),
		News:    n.members.UpdatesFor(to),
	}
}

// exchange exchanges member updates with one member. It also transfers the
// configuration records that one of the two processes lacks to that process.
func (n *Node) exchange(ctx context.Context, in fulmardeal.Instance) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	started := time.Now()
	var reply PeerMessage
	err := n.pool.Call(ctx, in.Address, ServiceName+".Exchange", n.newMessage(in.Incarnation), &reply)
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
	m := n.newMessage(in.Incarnation)
	m.Update = n.store.Since(reply.Version)
	// If this fails, the next exchange sends the records again.
	_ = n.pool.Call(ctx, in.Address, ServiceName+".Push", m, &Empty{})
}

// receive applies a message received directly from its sender.
func (n *Node) receive(now time.Time, m PeerMessage) {
	n.members.RecordContact(now, m.From)
	n.members.Merge(now, m.News)
	if !m.Update.Empty() {
		n.store.Apply(m.Update)
	}
	version, digest := n.Digest()
	n.options.Invariants.Check(m.Version != version || m.Digest == digest, "fold",
		"version %d has digest %s here and %s at %s", version, digest, m.Digest, m.From.Instance.Name)
}

// CatchUp fetches configuration records from the log and from peers until the
// configuration has at least the given version. It reports whether that
// succeeded.
func (n *Node) CatchUp(ctx context.Context, version fulmardeal.Offset) bool {
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

// join fetches the member list and the configuration from one process, and
// reports whether it answered.
func (n *Node) join(ctx context.Context, in fulmardeal.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply JoinReply
	if err := n.pool.Call(ctx, in.Address, ServiceName+".Join", n.newMessage(in.Incarnation), &reply); err != nil {
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

// Exchange applies a peer's message and replies with this process's own.
func (s *Service) Exchange(m PeerMessage, reply *PeerMessage) error {
	n := s.node
	n.receive(time.Now(), m)
	*reply = n.newMessage(m.From.Instance.Incarnation)
	reply.Update = n.store.Since(m.Version)
	return nil
}

// Push applies the configuration records in a peer's message, which this process
// lacks.
func (s *Service) Push(m PeerMessage, _ *Empty) error {
	s.node.receive(time.Now(), m)
	return nil
}

// Join returns all members and the configuration to a process that has just
// started.
func (s *Service) Join(m PeerMessage, reply *JoinReply) error {
	n := s.node
	n.receive(time.Now(), m)
	*reply = JoinReply{From: n.members.Self(), News: n.members.Snapshot(), Update: n.store.Since(m.Version)}
	return nil
}

// Word returns this process's status.
func (s *Service) Word(_ Empty, reply *StatusReply) error {
	n := s.node
	self := n.members.Self()
	ready, reason := n.Ready()
	*reply = StatusReply{
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

// Verdict returns this process's verdict on the configuration record with the
// given ID.
func (s *Service) Verdict(id string, reply *Verdict) error {
	v, known := s.node.store.Verdict(id)
	*reply = Verdict{Known: known, Accepted: v.Accepted(), Offset: v.Offset(), Reason: v.Reason()}
	return nil
}

// Canonical returns the configuration in force, encoded as a snapshot record of
// the log. Equal configurations have equal bytes.
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
