package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is what another entry has at the endpoints.
type peer struct {
	lastReport time.Time
	loads      map[uint64]peerLoad
}

// peerTimeout is how long another entry may be silent before its requests no
// longer count: it has stopped, or is cut off.
const peerTimeout = time.Second

// Load is what an entry has at one endpoint, or in line for a service.
type Load struct {
	Endpoint uint64 // hash of its id, or of the line
	Running  int
	Unread   int
}

// News is what entries tell each other.
type News struct {
	Loads   []Load
	Refused []Refused
}

// News returns what this entry has at the endpoints and in its lines, and what
// it has just refused.
func (t *Table) News() News {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	out := News{Refused: t.refusals.recentRefusals(now)}
	for name, g := range t.services {
		if n := g.queue.countOnTime(now); n > 0 {
			out.Loads = append(out.Loads, Load{Endpoint: queueHash(name), Running: n})
		}
		for _, e := range g.endpoints {
			if e.running > 0 {
				out.Loads = append(out.Loads, Load{Endpoint: e.hash, Running: e.running, Unread: e.pendingTokens})
			}
		}
	}
	return out
}

// Hear takes over what another entry tells.
func (t *Table) Hear(now time.Time, entry string, n News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range n.Refused {
		t.refusals.record(now, r.Fingerprint, now.Add(-r.Age))
	}
	p := &peer{lastReport: now, loads: make(map[uint64]peerLoad, len(n.Loads))}
	for _, l := range n.Loads {
		p.loads[l.Endpoint] = peerLoad{running: l.Running, pendingTokens: l.Unread}
	}
	t.peers[entry] = p
	for name, q := range t.peers {
		if now.Sub(q.lastReport) > peerTimeout {
			delete(t.peers, name)
		}
	}
	for _, g := range t.services {
		t.assignQueued(now, g)
	}
}

// countOnTime returns how many wait for a service, here and at other entries, that
// can still be answered in time.
func (t *Table) countOnTime(now time.Time, service string, g *group) int {
	n := g.queue.countOnTime(now)
	for _, p := range t.peers {
		if now.Sub(p.lastReport) <= peerTimeout {
			n += p.loads[queueHash(service)].running
		}
	}
	return n
}

// contenders returns how many entries have requests waiting for a service.
func (t *Table) contenders(now time.Time, service string, g *group) int {
	n := 0
	if len(g.queue.waiters) > 0 {
		n = 1
	}
	for _, p := range t.peers {
		if now.Sub(p.lastReport) <= peerTimeout && p.loads[queueHash(service)].running > 0 {
			n++
		}
	}
	return n
}

// queueHash stands for a service's line among the endpoints in a message.
func queueHash(service string) uint64 { return xxhash.Sum64String("line/" + service) }
