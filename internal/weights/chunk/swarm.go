// Package chunk spreads the chunks of a version among the agents that are to
// hold it.
//
// Every agent decides for itself what to fetch next and from whom. Each chunk
// has one importer in each region, by rendezvous hash, and goes through the
// regions in an order that is hashed for that chunk: its first importer draws
// it from the origin, the others from the region before theirs. So the origin
// is drawn about once, and every link between regions carries a part. Inside a
// region agents fetch from each other, rarest first. A Swarm decides; it
// fetches and stores nothing itself.
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

// Bounds of a swarm's work.
const (
	mostPeer = 2 // chunks under way from one peer

	// A peer asks the same few neighbours most often, so that its cost doesn't
	// grow with the swarm, and some others in turn.
	nearNeighbours = 10
	farNeighbours  = 4
	strangers      = 2
	roamEvery      = time.Second
	mostSources    = 8

	// candidates is how many agents of a region may come to import a chunk.
	candidates = 3

	// A peer that was slow or wrong is set aside, for longer each time.
	asideFirst = time.Second
	asideMost  = 30 * time.Second

	// The window of fetches from other regions grows with each chunk and
	// shrinks when the way there becomes slow: weights yield to requests.
	windowGain = 0.25
	slowWay    = 150 * time.Millisecond
	slowWait   = 200 * time.Millisecond

	// desperateSpread is the part of a pace's Desperate over which agents that
	// are no candidates take over, so that they don't all do it at once.
	desperateSpread = 0.5

	// aroundWeight divides the weight of one question in a mean.
	aroundWeight = 8
)

// Peer is another agent of the swarm.
type Peer struct {
	Incarnation string
	Name        string
	Address     string
	Region      string
}

// Fetch is one thing to do: get a chunk from a peer, or from the origin when
// the peer is nil.
type Fetch struct {
	Index int
	Peer  *Peer
}

// peer is what is known about one other agent.
type peer struct {
	Peer
	has      Bitmap
	near     bool      // one of the neighbours
	gained   time.Time // when it last had a new chunk
	asked    time.Time // when its bitmap was last asked for
	learned  time.Time // when it last told its bitmap
	wanted   bool      // its bitmap is needed, neighbour or not
	asking   bool      // an answer is awaited
	fetches  int
	failures int
	aside    time.Time
}

// fetch is one chunk under way.
type fetch struct {
	index int
	from  string // incarnation, empty for the origin
	far   bool
	begun time.Time
}

// Swarm is one agent's part in spreading one version. It is safe for
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
	gained   time.Time // when this agent last had a new chunk
	has      Bitmap
	peers    []*peer // sorted by incarnation
	holders  []int   // for each chunk, the peers of this region that hold it
	under    []fetch
	chains   [][]string // for each chunk, the regions in order
	imports  [][]string // for each chunk, this region's candidates in order
	regions  []string
	window   float64
	slowed   time.Time
	nearest  time.Duration // least time of a question to another region
	around   time.Duration // mean time of a question inside the region
	corrupt  int
	wrong    map[int]int // times that a chunk arrived wrong and not yet right
	drawn    int64
	patience time.Duration // without any new chunk, after which this agent imports out of turn
	resting  bool          // the origin is not to be asked in the next tick
	changed  time.Time     // when a peer last left the list, or the origin last failed this agent
	askEvery time.Duration
	roamed   time.Time     // when strangers were last asked
	wake     chan struct{} // has a token when a fetch has ended
}

// NewSwarm returns the part of self in spreading what m describes. Home is the
// region of the origin; when it is empty, the chunks' first regions are hashed
// too.
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

// SetPace sets the times of the swarm; it is called before any other method.
func (s *Swarm) SetPace(p Pace) {
	s.pace, s.window = p, max(p.FarLeast, p.FarMost/2)
	s.patience = p.Desperate + time.Duration(s.random.Float64()*desperateSpread*float64(p.Desperate))
}

// ended returns a channel that has a token when a fetch has ended.
func (s *Swarm) ended() <-chan struct{} { return s.wake }

// rest keeps the next tick away from the origin.
func (s *Swarm) rest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resting = true
}

// Manifest returns what is being spread.
func (s *Swarm) Manifest() *manifest.Manifest { return s.manifest }

// Have returns a copy of this agent's bitmap.
func (s *Swarm) Have() Bitmap {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.has)
}

// Whole reports whether every chunk is stored and verified.
func (s *Swarm) Whole() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.has.Count() == s.manifest.Chunks()
}

// Corrupt returns how many chunks arrived wrong.
func (s *Swarm) Corrupt() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.corrupt
}

// Doubtful returns a chunk that has arrived wrong so often that the manifest may
// be what is wrong, or -1.
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

// Drawn returns the bytes that this agent has drawn from the origin.
func (s *Swarm) Drawn() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drawn
}

// Meet takes over the peers. What is known about one that stays is kept.
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

// tally adds n to the holders of the chunks in a bitmap.
func (s *Swarm) tally(has Bitmap, n int) {
	for i := range s.holders {
		if has.Has(i) {
			s.holders[i] += n
		}
	}
}

// holds takes a peer's newer bitmap.
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

// Learn takes a peer's bitmap, and how long the question took.
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

// yield shrinks the window when the way to other regions has become slow. What
// questions inside the region take is left out: that is this agent's own link.
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

// Ask returns the peers whose bitmaps should be asked for now: the neighbours
// that were not asked lately, and a few others. Asked must follow for each.
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

// Asked ends a question to a peer.
func (s *Swarm) Asked(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peer(incarnation); p != nil {
		p.asking = false
	}
}

// Stored marks chunks that are already in the store, after a restart or from
// another version.
func (s *Swarm) Stored(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.has.Set(index)
}

// Lost unmarks a chunk that the store no longer holds as it was.
func (s *Swarm) Lost(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.has.Unset(index)
}

// Got ends a fetch whose chunk has been verified and stored.
func (s *Swarm) Got(now time.Time, f Fetch, has Bitmap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(f)
	if !s.book.Check(f.Index >= 0 && f.Index < s.manifest.Chunks(), "chunk", "chunk %d of %d stored", f.Index, s.manifest.Chunks()) {
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

// Missed ends a fetch that brought nothing because the peer had no time or no
// longer has the chunk. The peer is not to blame.
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

// Failed ends a fetch whose peer was silent, or sent something wrong.
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

// Progress is how far a swarm has come at this agent.
type Progress struct {
	Held   int
	Chunks int
	Under  int
	Peers  int
	Known  int       // chunks that this agent or a peer is known to hold
	Gained time.Time // when this agent last had a new chunk
}

// Progress returns how far this agent has come.
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
