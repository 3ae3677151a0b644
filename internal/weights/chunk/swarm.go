// Package chunk distributes the chunks of a version peer-to-peer among the agents
// that should hold it.
//
// Every agent decides independently which chunk to fetch next and from where. For
// each chunk, rendezvous hashing selects one importer in each region and the order
// of the regions, the chunk's chain. The importer in the first region fetches the
// chunk from the origin, the others from the region before theirs. The origin
// therefore sends each chunk about once, and the load is spread over all links
// between regions. Inside a region, agents fetch chunks from each other, rarest
// first.
//
// A Swarm makes these decisions and does no I/O; an Exchange carries them out.
package chunk

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/weights/manifest"
)

const (
	mostPeer = 2 // maximum concurrent fetches from one peer

	// An agent polls a fixed set of neighbours often, so that its cost does not
	// grow with the size of the swarm, and a few other peers from time to time.
	nearNeighbours = 10
	farNeighbours  = 4
	strangers      = 2
	roamEvery      = time.Second
	mostSources    = 8

	// candidates is the number of agents in each region that may import a chunk:
	// the preferred one and its substitutes.
	candidates = 3

	// Exponential backoff after a fetch from a peer failed or was corrupt.
	asideFirst = time.Second
	asideMost  = 30 * time.Second

	// The window of fetches from other regions grows with each chunk received. It
	// is halved, at most once every slowWait, when the round trip to other regions
	// exceeds its minimum by slowWay, so that weights yield to inference requests.
	windowGain = 0.25
	slowWay    = 150 * time.Millisecond
	slowWait   = 200 * time.Millisecond

	// desperateSpread is the fraction of Desperate over which the takeovers by
	// agents that are not candidates are spread at random, so that they do not all
	// happen at once.
	desperateSpread = 0.5

	// aroundWeight is the inverse of the weight of a new sample in the moving
	// average of round-trip times.
	aroundWeight = 8
)

// Peer is another agent of the swarm.
type Peer struct {
	Incarnation string
	Name        string
	Address     string
	Region      string
}

// Fetch is a request for a chunk, to a peer or, if the peer is nil, to the origin.
type Fetch struct {
	Index int
	Peer  *Peer
}

// peer is the known state of another agent.
type peer struct {
	Peer
	has      Bitmap
	near     bool      // is a neighbour
	gained   time.Time // when its bitmap was first seen with its latest new chunk
	asked    time.Time // when it was last polled
	learned  time.Time // when it last responded to a poll
	wanted   bool      // must be polled, even if it is not a neighbour
	asking   bool      // a poll is in progress
	fetches  int       // active fetches from it
	failures int       // consecutive failed fetches
	aside    time.Time // no fetch or poll before then
}

// fetch is an active fetch.
type fetch struct {
	index int
	from  string // incarnation of the peer, empty for the origin
	far   bool   // from another region
	begun time.Time
}

// Swarm is one agent's view of the distribution of one version. It is safe for
// concurrent use.
type Swarm struct {
	mu       sync.Mutex
	book     *invariant.Book
	pace     Pace
	manifest *manifest.Manifest
	self     Peer
	home     string // the origin's region, empty when unknown
	random   *rand.Rand
	began    time.Time
	gained   time.Time // when this agent last received a new chunk
	has      Bitmap
	peers    []*peer       // sorted by incarnation
	holders  []int         // for each chunk, the number of peers in this region that hold it
	under    []fetch       // active fetches
	chains   [][]string    // for each chunk, the regions in the order of its chain
	imports  [][]string    // for each chunk, the candidates of this region in order of preference
	regions  []string      // sorted
	window   float64       // maximum concurrent fetches from other regions
	slowed   time.Time     // when the window was last reduced
	nearest  time.Duration // minimum round trip of a poll to another region
	around   time.Duration // moving average of the round trip of polls inside the region
	corrupt  int           // corrupt chunks received
	wrong    map[int]int   // by chunk, corrupt copies received since the last good one
	drawn    int64         // bytes received from the origin
	patience time.Duration // without a new chunk for this long, this agent imports as a non-candidate
	resting  bool          // no fetch from the origin in the next tick
	changed  time.Time     // when a peer last left the swarm or a fetch from the origin last failed
	askEvery time.Duration // poll interval of the neighbours
	roamed   time.Time     // when peers other than neighbours were last polled
	wake     chan struct{} // holds a token after a fetch has ended
}

// NewSwarm returns the swarm of the version that m describes, as seen by the agent
// self. Home is the region of the origin and comes first in each chunk's chain; if
// it is empty, the first region is hashed like the others.
func NewSwarm(m *manifest.Manifest, self Peer, home string, now time.Time, seed uint64, book *invariant.Book) *Swarm {
	s := &Swarm{
		book:     book,
		manifest: m,
		self:     self,
		home:     home,
		random:   rand.New(rand.NewPCG(seed, 3)),
		began:    now,
		gained:   now,
		has:      NewBitmap(m.Chunks()),
		wrong:    make(map[int]int),
		wake:     make(chan struct{}, 1),
	}
	s.SetPace(Steady)
	return s
}

// SetPace sets the intervals and limits of the swarm. It must be called before any
// other method.
func (s *Swarm) SetPace(p Pace) {
	s.pace, s.window = p, max(p.FarLeast, p.FarMost/2)
	s.patience = p.Desperate + time.Duration(s.random.Float64()*desperateSpread*float64(p.Desperate))
}

// ended returns a channel that receives a token when a fetch has ended.
func (s *Swarm) ended() <-chan struct{} { return s.wake }

// rest excludes the origin from the next tick.
func (s *Swarm) rest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resting = true
}

// Manifest returns the manifest of the version.
func (s *Swarm) Manifest() *manifest.Manifest { return s.manifest }

// Have returns a copy of the bitmap of the chunks that this agent holds.
func (s *Swarm) Have() Bitmap {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.has)
}

// Whole reports whether all chunks are verified and stored.
func (s *Swarm) Whole() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.has.Count() == s.manifest.Chunks()
}

// Corrupt returns how many received chunks failed verification.
func (s *Swarm) Corrupt() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.corrupt
}

// Doubtful returns the index of a chunk that failed verification so often that the
// manifest is suspect, or -1 if there is none.
func (s *Swarm) Doubtful() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, n := range s.wrong {
		if s.pace.Doubts > 0 && n >= s.pace.Doubts {
			return i
		}
	}
	return -1
}

// Drawn returns the number of bytes that this agent has received from the origin.
func (s *Swarm) Drawn() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drawn
}

// Meet replaces the list of peers and keeps the state of those that are in both the
// old and the new list. An entry for this agent itself is ignored.
func (s *Swarm) Meet(now time.Time, peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next []*peer
	for _, p := range peers {
		if p.Incarnation == s.self.Incarnation {
			continue
		}
		if known := s.peer(p.Incarnation); known != nil {
			next = append(next, known)
			continue
		}
		next = append(next, &peer{Peer: p, has: NewBitmap(s.manifest.Chunks()), gained: now})
	}
	slices.SortFunc(next, func(a, b *peer) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	if s.chains != nil && slices.EqualFunc(next, s.peers, func(a, b *peer) bool { return a == b }) {
		return
	}
	if slices.ContainsFunc(s.peers, func(p *peer) bool { return !slices.Contains(next, p) }) {
		s.changed = now
	}
	s.peers = next
	s.recount()
	s.chain()
	s.rank()
	s.befriend()
}

// recount counts the holders of each chunk in this region.
func (s *Swarm) recount() {
	s.holders = make([]int, s.manifest.Chunks())
	for _, p := range s.peers {
		if p.Region == s.self.Region {
			s.tally(p.has, 1)
		}
	}
}

// tally adds n to the number of holders of each chunk in a bitmap.
func (s *Swarm) tally(has Bitmap, n int) {
	for i := range s.holders {
		if has.Has(i) {
			s.holders[i] += n
		}
	}
}

// holds records a newer bitmap of a peer. One of the wrong length is ignored.
func (s *Swarm) holds(now time.Time, p *peer, has Bitmap) {
	if len(has) != len(s.has) || slices.Equal(has, p.has) {
		return
	}
	if has.Count() > p.has.Count() {
		p.gained = now
	}
	if p.Region == s.self.Region {
		s.tally(p.has, -1)
		s.tally(has, 1)
	}
	p.has = has
}

// Learn records the bitmap that a peer returned to a poll, and the poll's round-trip
// time.
func (s *Swarm) Learn(now time.Time, incarnation string, has Bitmap, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peer(incarnation)
	if p == nil || len(has) != len(s.has) {
		return
	}
	p.learned = now
	s.holds(now, p, has)
	if p.Region == s.self.Region {
		s.around += (took - s.around) / aroundWeight
		return
	}
	s.yield(now, took)
}

// yield halves the window when the round trip to other regions has become slow. The
// average round trip inside the region is subtracted first, since it reflects the
// load on this agent's own link.
func (s *Swarm) yield(now time.Time, took time.Duration) {
	if s.nearest == 0 || took < s.nearest {
		s.nearest = took
	}
	if took-s.around > s.nearest+slowWay && now.Sub(s.slowed) > slowWait {
		s.window = max(s.pace.FarLeast, s.window/2)
		s.slowed = now
	}
}

func (s *Swarm) peer(incarnation string) *peer {
	i, found := slices.BinarySearchFunc(s.peers, incarnation, func(p *peer, key string) int {
		return cmp.Compare(p.Incarnation, key)
	})
	if !found {
		return nil
	}
	return s.peers[i]
}

// Ask returns the peers to poll for their bitmaps now: the neighbours that are due,
// and a few others. The caller must call Asked for each of them.
func (s *Swarm) Ask(now time.Time) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Peer
	others := 0
	if now.Sub(s.roamed) >= roamEvery {
		s.roamed = now
		others = strangers
	}
	start := s.random.IntN(max(1, len(s.peers)))
	for i := range s.peers {
		p := s.peers[(start+i)%len(s.peers)]
		if p.asking || now.Sub(p.asked) < s.askEvery || now.Before(p.aside) || p.has.Count() == s.manifest.Chunks() {
			continue
		}
		if !p.near && !p.wanted {
			if others == 0 {
				continue
			}
			others--
		}
		p.asked, p.asking, p.wanted = now, true, false
		out = append(out, p.Peer)
	}
	return out
}

// Asked marks the poll of a peer as ended.
func (s *Swarm) Asked(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peer(incarnation); p != nil {
		p.asking = false
	}
}

// Stored marks a chunk as held that is already in the store, after a restart or from
// another version.
func (s *Swarm) Stored(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.has.Set(index)
}

// Lost marks a chunk as not held that the store has lost or corrupted.
func (s *Swarm) Lost(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.has.Unset(index)
}

// Got ends a fetch whose chunk has been verified and stored. The bitmap is that of
// the peer; it is ignored for the origin.
func (s *Swarm) Got(now time.Time, f Fetch, has Bitmap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(f)
	if !s.book.Check(f.Index >= 0 && f.Index < s.manifest.Chunks(), "chunk", "stored chunk index %d out of range of %d chunks", f.Index, s.manifest.Chunks()) {
		return
	}
	s.has.Set(f.Index)
	s.gained = now
	delete(s.wrong, f.Index)
	if f.Peer == nil {
		s.drawn += int64(s.manifest.ChunkSize(f.Index))
		return
	}
	p := s.peer(f.Peer.Incarnation)
	if p == nil {
		return
	}
	p.failures = 0
	s.holds(now, p, has)
	if p.Region != s.self.Region {
		s.window = min(s.pace.FarMost, s.window+windowGain/s.window)
	}
}

// Missed ends a fetch that returned no chunk because the peer was busy or no longer
// holds it, or that could not be stored. It does not count as a failure of the peer,
// which is only skipped for a few tens of milliseconds.
func (s *Swarm) Missed(now time.Time, f Fetch, has Bitmap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(f)
	if f.Peer == nil {
		return
	}
	p := s.peer(f.Peer.Incarnation)
	if p == nil {
		return
	}
	s.holds(now, p, has)
	p.aside = now.Add(time.Duration(10+s.random.IntN(30)) * time.Millisecond)
}

// Failed ends a fetch that returned an error or a corrupt chunk, and starts the
// backoff of its peer.
func (s *Swarm) Failed(now time.Time, f Fetch, corrupt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(f)
	if corrupt {
		s.corrupt++
		s.wrong[f.Index]++
	}
	if f.Peer == nil {
		s.changed = now
		return
	}
	if p := s.peer(f.Peer.Incarnation); p != nil {
		p.aside = now.Add(min(asideFirst<<min(p.failures, 10), asideMost))
		p.failures++
	}
}

// end removes an active fetch and signals that it has ended.
func (s *Swarm) end(f Fetch) {
	select {
	case s.wake <- struct{}{}:
	default:
	}
	i := slices.IndexFunc(s.under, func(u fetch) bool { return u.index == f.Index })
	if i < 0 {
		return
	}
	if p := s.peer(s.under[i].from); p != nil {
		p.fetches--
	}
	s.under = slices.Delete(s.under, i, i+1)
}

// Progress is the state of one agent's download of a version.
type Progress struct {
	Held   int // chunks held
	Chunks int // chunks in total
	Under  int // active fetches
	Peers  int
	Known  int       // chunks that this agent or a known peer holds
	Gained time.Time // when this agent last received a new chunk
}

// Progress returns the state of this agent's download.
func (s *Swarm) Progress() Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Progress{Held: s.has.Count(), Chunks: s.manifest.Chunks(), Under: len(s.under), Peers: len(s.peers), Gained: s.gained}
	for i := range p.Chunks {
		if s.has.Has(i) || s.held(i) {
			p.Known++
		}
	}
	return p
}
