package sharing

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/traffic/dispatch"
)

// Times of a mesh.
const (
	// tellEvery is how often loads are told. In that time an entry sends about
	// two requests at the peak of the small deployments.
	tellEvery = 20 * time.Millisecond

	// tellEach stretches it by the number of entries, which bounds what an
	// entry spends on listening to all others to 250 datagrams a second.
	tellEach = 4 * time.Millisecond

	// farRate bounds what all entries of a region together tell those of others,
	// in bytes a second: 4 per cent of a link of 21 Mbit/s between regions, over
	// which the store, weights and requests go too.
	farRate = 100e3

	// farMost is the longest pause between two rounds to another region; after
	// a second of silence an entry's loads no longer count.
	farMost = 800 * time.Millisecond

	// listEvery is how often the list of entries is read again. New entries
	// make themselves known at once; the list finds those that were cut off.
	listEvery = 10 * time.Second
	listRetry = 300 * time.Millisecond

	// briefEvery is how often each agent is briefed by each of its entries; of a
	// new version it hears at once.
	briefEvery = time.Second

	// An entry that has just started briefs more often: when all start at once,
	// agents have nothing to do until they are told.
	briefSoon    = 120 * time.Millisecond
	briefSoonFor = 4 * time.Second

	// tellers is how many entries tell one agent, so that the cost of telling
	// doesn't grow with entries times agents, and some may be down.
	tellers = 3

	// nearTellers of them are in the agent's data centre, if there are so many:
	// the rest goes on when the ways there fail.
	nearTellers = 2

	// readerGone is the silence after which an entry is not counted on to read
	// the store for others: it tells its loads several times a second.
	readerGone = 2 * time.Second

	peerGone = 10 * time.Second // after such a silence an entry is told nothing until it is listed again
)

// Announcer writes where this entry listens.
type Announcer interface {
	Announce(ctx context.Context, name, address, dataCentre string) error
}

// Options are what a mesh is built from.
type Options struct {
	Name     string
	Place    string            // data centre
	Regions  map[string]string // region of each data centre
	Listen   string
	Table    *dispatch.Table
	Entries  fulmardeal.Feed
	Announce Announcer
	Targets  func() []catalogue.Target
	Agents   func() []Peer // the agents, each beside its engine
	Port     uint16        // where agents listen
	Log      *slog.Logger
}

// Mesh is an entry's part in the sharing.
type Mesh struct {
	options Options
	conn    *net.UDPConn

	mu     sync.Mutex
	peers  map[string]*member // by address
	rounds map[string]*newsPart
	listed chan struct{} // closed when the entries have been listed once
}

// member is another entry.
type member struct {
	address *net.UDPAddr
	place   string // data centre; empty until it is known
	heard   time.Time
}

// NewMesh opens the mesh's socket. The returned function closes it.
func NewMesh(o Options) (*Mesh, func(), error) {
	a, err := net.ResolveUDPAddr("udp4", o.Listen)
	if err != nil {
		return nil, nil, err
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, nil, err
	}
	m := &Mesh{options: o, conn: c, peers: make(map[string]*member), rounds: make(map[string]*newsPart), listed: make(chan struct{})}
	return m, func() { c.Close() }, nil
}

// Run announces this entry, tells the others and listens until the context
// ends.
func (m *Mesh) Run(ctx context.Context) error {
	go m.listen()
	go m.list(ctx)
	go m.remind(ctx)
	t := time.NewTimer(tellEvery)
	defer t.Stop()
	var far time.Time // when other regions are told next
	for round := uint64(1); ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		near, others := m.others(time.Now())
		to := near
		parts := encodeNews(m.options.Name, m.options.Place, round, m.options.Table.News())
		if now := time.Now(); !now.Before(far) {
			to = append(to, others...)
			far = now.Add(farPause(1+len(near), len(others), parts))
		}
		m.tell(parts, to)
		t.Reset(max(tellEvery, time.Duration(len(near)+len(others))*tellEach))
	}
}

// farPause returns the pause after a round to other regions, when so many
// entries of this region tell so many others.
func farPause(own, others int, parts [][]byte) time.Duration {
	size := 0
	for _, b := range parts {
		size += len(b)
	}
	seconds := float64(own) * float64(others) * float64(size) / farRate
	return min(farMost, time.Duration(seconds*float64(time.Second)))
}

// others returns the entries of this region and those of others, and forgets
// those that are gone.
func (m *Mesh) others(now time.Time) (near, far []*net.UDPAddr) {
	region := m.options.Regions[m.options.Place]
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, p := range m.peers {
		switch {
		case now.Sub(p.heard) > peerGone:
			delete(m.peers, key)
		case m.options.Regions[p.place] == region:
			near = append(near, p.address)
		default:
			far = append(far, p.address)
		}
	}
	return near, far
}

// tell sends the loads to other entries.
func (m *Mesh) tell(parts [][]byte, to []*net.UDPAddr) {
	for _, b := range parts {
		for _, a := range to {
			// A datagram that can't be sent is as good as lost.
			_, _ = m.conn.WriteToUDP(b, a)
		}
	}
}

// remind briefs the agents again and again.
func (m *Mesh) remind(ctx context.Context) {
	begun := time.Now()
	t := time.NewTimer(briefSoon)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.Brief()
		}
		if time.Since(begun) < briefSoonFor {
			t.Reset(briefSoon)
		} else {
			t.Reset(briefEvery)
		}
	}
}

// Brief tells the agents whose entry this is what they need to know.
func (m *Mesh) Brief() {
	agents := m.options.Agents()
	brief := Brief{Targets: m.options.Targets(), Entries: m.entries(), Peers: agents}
	b := encodeBrief(time.Now(), brief)
	for i, p := range agents {
		if !m.tells(p) {
			continue
		}
		if len(agents) > mostPeers {
			brief.Peers = nearest(agents, i)
			b = encodeBrief(time.Now(), brief)
		}
		// A datagram that can't be sent is as good as lost: it is told again.
		_, _ = m.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(p.Host, m.options.Port))
	}
}

// nearest returns the agents, those of the same data centre as the i-th first:
// they fetch from each other most. All others follow from there on around, so
// that each is known to some.
func nearest(agents []Peer, i int) []Peer {
	around := slices.Concat(agents[i:], agents[:i])
	slices.SortStableFunc(around, func(a, b Peer) int {
		near := func(p Peer) int {
			if p.Place == agents[i].Place {
				return 0
			}
			return 1
		}
		return near(a) - near(b)
	})
	return around
}

// Listed is closed when the entries have been listed once.
func (m *Mesh) Listed() <-chan struct{} { return m.listed }

// Readers returns the entries of this data centre that are to read the store
// for all of it, in the same order for all, and whether this entry is one.
func (m *Mesh) Readers(most int) (addresses []string, own bool) {
	now := time.Now()
	names := []string{m.options.Listen}
	m.mu.Lock()
	for key, p := range m.peers {
		if p.place == m.options.Place && now.Sub(p.heard) <= readerGone {
			names = append(names, key)
		}
	}
	m.mu.Unlock()
	order := membership.Order("reader/"+m.options.Place, names)
	order = order[:min(most, len(order))]
	return order, slices.Contains(order, m.options.Listen)
}

// entries returns where the entries listen, this one too.
func (m *Mesh) entries() []netip.AddrPort {
	var out []netip.AddrPort
	if own, err := netip.ParseAddrPort(m.options.Listen); err == nil {
		out = append(out, own)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		a := p.address.AddrPort()
		out = append(out, netip.AddrPortFrom(a.Addr().Unmap(), a.Port()))
	}
	return out
}

// tells reports whether this entry is one of those that tell an agent: the first
// ones in the agent's data centre, and then the first of the others.
func (m *Mesh) tells(p Peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	job := "teller/" + p.Host.String()
	own := membership.Score(job, m.options.Listen)
	near, nearBefore, farBefore := 0, 0, 0
	for key, x := range m.peers {
		before := 0
		if membership.Score(job, key) > own {
			before = 1
		}
		if x.place == p.Place {
			near++
			nearBefore += before
		} else {
			farBefore += before
		}
	}
	if m.options.Place == p.Place {
		return nearBefore < nearTellers
	}
	return farBefore < tellers-min(near, nearTellers)
}

func (m *Mesh) listen() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := m.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			continue // such as a peer's port that nobody listens on
		}
		if err := m.take(from, buf[:n]); err != nil {
			m.options.Log.Warn("datagram dropped", "from", from.String(), "err", err)
		}
	}
}

func (m *Mesh) take(from *net.UDPAddr, data []byte) error {
	now := time.Now()
	switch data[0] {
	case kindNotice:
		n, err := decodeNotice(data[1:])
		if err != nil {
			return err
		}
		m.options.Log.Info("engine told", "endpoint", n.Address, "weights", n.Weights, "loading", n.Loading)
		m.options.Table.Heed(now, n.Address, n.Weights, n.Loading)
		return nil
	case kindNews:
		p, err := decodeNews(data[1:])
		if err != nil {
			return err
		}
		m.meet(now, from, p.place)
		if news, whole := m.join(p); whole {
			m.options.Table.Hear(now, p.entry, news)
		}
		return nil
	}
	return &MessageError{Reason: "kind not known"}
}

// join puts the parts of one round together.
func (m *Mesh) join(p newsPart) (dispatch.News, bool) {
	if p.parts == 1 {
		return p.news, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	have := m.rounds[p.entry]
	if have == nil || have.round != p.round || have.part+1 != p.part {
		if p.part == 0 {
			m.rounds[p.entry] = &p
		}
		return dispatch.News{}, false
	}
	have.part = p.part
	have.news.Loads = append(have.news.Loads, p.news.Loads...)
	have.news.Refused = append(have.news.Refused, p.news.Refused...)
	return have.news, p.part+1 == p.parts
}

func (m *Mesh) meet(now time.Time, a *net.UDPAddr, place string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := a.String()
	if p := m.peers[key]; p != nil {
		p.heard, p.place = now, place
		return
	}
	m.peers[key] = &member{address: a, place: place, heard: now}
	m.options.Log.Info("entry met", "address", key)
}

// list announces this entry and reads where the others listen.
func (m *Mesh) list(ctx context.Context) {
	announced, listed := false, false
	for ctx.Err() == nil {
		pause := listEvery
		if !announced {
			if err := m.options.Announce.Announce(ctx, m.options.Name, m.options.Listen, m.options.Place); err != nil {
				m.options.Log.Warn("not announced", "err", err)
				pause = listRetry
			} else {
				announced = true
			}
		}
		if err := m.readList(ctx); err != nil {
			m.options.Log.Warn("entries not listed", "err", err)
			pause = listRetry
		} else if !listed {
			listed = true
			close(m.listed)
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// readList meets the entries that are listed and not known yet.
func (m *Mesh) readList(ctx context.Context) error {
	changes, _, err := m.options.Entries.Newest(ctx)
	if err != nil {
		return err
	}
	for _, c := range changes {
		a, err := net.ResolveUDPAddr("udp4", c.Address)
		if err != nil || a.String() == m.options.Listen {
			continue // this one, or another writer's record, which names no entry
		}
		m.mu.Lock()
		_, known := m.peers[a.String()]
		m.mu.Unlock()
		if !known {
			m.meet(time.Now(), a, c.DataCentre)
		}
	}
	return nil
}

// Tell sends a notice about an engine to the entries.
func Tell(n Notice, entries []netip.AddrPort) error {
	c, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return err
	}
	defer c.Close()
	b := encodeNotice(n)
	var all error
	for _, a := range entries {
		if _, err := c.WriteToUDPAddrPort(b, a); err != nil {
			all = errors.Join(all, err)
		}
	}
	return all
}

// Peers returns how many other entries are told.
func (m *Mesh) Peers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// ListenBrief hands on what the entries tell an agent, until the context ends.
func ListenBrief(ctx context.Context, address string, hear func(Brief), log *slog.Logger) error {
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
		if err != nil || n == 0 || buf[0] != kindBrief {
			continue
		}
		brief, err := decodeBrief(time.Now(), buf[1:n])
		if err != nil {
			log.Warn("datagram dropped", "from", from.String(), "err", err)
			continue
		}
		hear(brief)
	}
}
