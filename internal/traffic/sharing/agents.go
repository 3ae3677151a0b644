package sharing

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"time"

	"fulmardeal/internal/fleet/membership"
)

// updateAgentsPeriodically sends updates to the agents until ctx is done.
func (m *Mesh) updateAgentsPeriodically(ctx context.Context) {
	started := time.Now()
	t := time.NewTimer(startupUpdateInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.UpdateAgents()
		}
		if time.Since(started) < startupPeriod {
			t.Reset(startupUpdateInterval)
		} else {
			t.Reset(agentUpdateInterval)
		}
	}
}

// UpdateAgents sends an update to each agent for which this entry is a sender.
func (m *Mesh) UpdateAgents() {
	agents := m.options.Agents()
	update := AgentUpdate{Targets: m.options.Targets(), Entries: m.entryAddresses(), Peers: agents}
	datagram := encodeAgentUpdate(time.Now(), update)
	for i, agent := range agents {
		if !m.isSenderFor(agent) {
			continue
		}
		if len(agents) > maxPeersPerUpdate {
			update.Peers = orderByProximity(agents, i)
			datagram = encodeAgentUpdate(time.Now(), update)
		}
		// Not retried: the update is sent again periodically.
		_, _ = m.conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(agent.Host, m.options.AgentPort))
	}
}

// orderByProximity returns the agents in order of their importance to the i-th
// agent. Agents of its data centre come first, because an agent fetches mostly
// from these. Among them and among the rest, the order starts at the i-th agent
// and wraps around. The update omits agents that don't fit; with one order for all
// updates, the last agents would never be mentioned.
func orderByProximity(agents []Agent, i int) []Agent {
	rotated := slices.Concat(agents[i:], agents[:i])
	slices.SortStableFunc(rotated, func(a, b Agent) int {
		rank := func(p Agent) int {
			if p.DataCentre == agents[i].DataCentre {
				return 0
			}
			return 1
		}
		return rank(a) - rank(b)
	})
	return rotated
}

// isSenderFor reports whether this entry sends updates to an agent. Entries are
// ranked by rendezvous hashing. Senders are the localUpdateSenders highest-ranked
// entries in the agent's data centre, and the highest-ranked ones elsewhere, up to
// updateSenders in total.
func (m *Mesh) isSenderFor(agent Agent) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := "teller/" + agent.Host.String()
	own := membership.Score(key, m.options.Listen)
	local, localAhead, remoteAhead := 0, 0, 0
	for address, p := range m.peers {
		ahead := 0
		if membership.Score(key, address) > own {
			ahead = 1
		}
		if p.dataCentre == agent.DataCentre {
			local++
			localAhead += ahead
		} else {
			remoteAhead += ahead
		}
	}
	if m.options.DataCentre == agent.DataCentre {
		return localAhead < localUpdateSenders
	}
	return remoteAhead < updateSenders-min(local, localUpdateSenders)
}

// SendEngineStatus sends an engine's status to the entries.
func SendEngineStatus(status EngineStatus, entries []netip.AddrPort) error {
	c, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return err
	}
	defer c.Close()
	b := encodeEngineStatus(status)
	var errs error
	for _, a := range entries {
		if _, err := c.WriteToUDPAddrPort(b, a); err != nil {
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

// ReceiveAgentUpdates receives updates for an agent and passes them to deliver,
// until ctx is done.
func ReceiveAgentUpdates(ctx context.Context, address string, deliver func(AgentUpdate), log *slog.Logger) error {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { c.Close() })()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := c.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil || n == 0 || buf[0] != kindAgentUpdate {
			continue
		}
		update, err := decodeAgentUpdate(time.Now(), buf[1:n])
		if err != nil {
			log.Warn("datagram dropped", "from", from.String(), "err", err)
			continue
		}
		deliver(update)
	}
}
