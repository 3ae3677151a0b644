package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is what another entry has at the endpoints.
type peer struct {
	heard  time.Time
	others map[uint64]others
}

// peerSilent is how long another entry may be silent before its requests no
// longer count: it has stopped, or is cut off.
const peerSilent = time.Second

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
	out := News{Refused: t.memory.news(now)}
	for name, g := range t.services {
		if n := g.line.pressing(now); n > 0 {
			out.Loads = append(out.Loads, Load{Endpoint: lineHash(name), Running: n})
		}
		for _, e := range g.endpoints {
			if e.running > 0 {
				out.Loads = append(out.Loads, Load{Endpoint: e.hash, Running: e.running, Unread: e.unread})
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
		t.memory.put(now, r.Fingerprint, now.Add(-r.Age))
	}
	p := &peer{heard: now, others: make(map[uint64]others, len(n.Loads))}
	for _, l := range n.Loads {
		p.others[l.Endpoint] = others{running: l.Running, unread: l.Unread}
	}
	t.peers[entry] = p
	for name, q := range t.peers {
		if now.Sub(q.heard) > peerSilent {
			delete(t.peers, name)
		}
	}
	for _, g := range t.services {
		t.settle(now, g)
	}
}

// pressing returns how many wait for a service, here and at other entries, that
// can still be answered in time.
func (t *Table) pressing(now time.Time, service string, g *group) int {
	n := g.line.pressing(now)
	for _, p := range t.peers {
		if now.Sub(p.heard) <= peerSilent {
			n += p.others[lineHash(service)].running
		}
	}
	return n
}

// contenders returns how many entries have requests waiting for a service.
func (t *Table) contenders(now time.Time, service string, g *group) int {
	n := 0
	if len(g.line.waiters) > 0 {
		n = 1
	}
	for _, p := range t.peers {
		if now.Sub(p.heard) <= peerSilent && p.others[lineHash(service)].running > 0 {
			n++
		}
	}
	return n
}

// lineHash stands for a service's line among the endpoints in a message.
func lineHash(service string) uint64 { return xxhash.Sum64String("line/" + service) }
