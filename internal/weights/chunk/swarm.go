// Package chunk distributes the chunks of a version peer-to-peer among the agents
// that should hold it.
//
// Every agent decides independently which chunk to fetch next and from where. For
// each chunk, rendezvous hashing gives the order of the regions, called the chunk's
// chain, and one importer in each region. The importer in the first region fetches
// the chunk from the origin. The importer in each other region fetches it from the
// region before its own in the chain. The origin therefore sends each chunk about
// once, and because chunks have different chains, the load is spread over all links
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
	maxFetchesPerPeer = 2 // maximum concurrent fetches from one peer

	// An agent polls a fixed set of neighbours often, so that its cost does not
	// grow with the size of the swarm, and a few other peers from time to time.
	localNeighbours      = 10 // neighbours in this region
	remoteNeighbours     = 4  // neighbours in other regions
	randomPolls          = 2  // other peers polled per randomPollInterval
	randomPollInterval   = time.Second
	maxUpstreamImporters = 8 // importers in other regions from which this agent imports chunks; additional neighbours

	// importCandidates is the number of agents in each region that may import a
	// chunk: the preferred one and its substitutes.
	importCandidates = 3

	// Exponential backoff after a fetch from a peer failed or was corrupt.
	initialBackoff = time.Second
	maxBackoff     = 30 * time.Second

	// The window is the maximum number of concurrent fetches from other regions. It
	// grows with each chunk received from them. It is halved when the round trip to
	// other regions exceeds its minimum by more than maxAddedRoundTrip, so that weights
	// yield to inference requests. It is halved at most once per
	// windowReductionInterval.
	windowGain              = 0.25 // growth of the window, in fetches, per full window of chunks received from other regions
	maxAddedRoundTrip       = 150 * time.Millisecond
	windowReductionInterval = 200 * time.Millisecond

	// fallbackJitter is the maximum random addition to Profile.FallbackTimeout, as a
	// fraction of that timeout. Without it, the agents that are not candidates would
	// all start to import a chunk at the same time.
	fallbackJitter = 0.5

	// roundTripSmoothing is the inverse of the weight of a new sample in the moving
	// average of round-trip times.
	roundTripSmoothing = 8
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
	Index    int
	Peer     *Peer
	Takeover Takeover // why this agent draws the chunk, if another one was chosen to
}

// peerState is the known state of another agent.
type peerState struct {
	Peer
	held            Bitmap
	neighbour       bool      // polled regularly
	lastGain        time.Time // when a poll or fetch last showed that the peer holds more chunks than before
	lastPoll        time.Time // when it was last polled
	lastResponse    time.Time // when it last responded to a poll
	pollRequested   bool      // the next StartPolls polls the peer even if it is not a neighbour
	unansweredSince time.Time // when the first poll since the last response was sent; zero if there is none
	refused         int       // consecutive failed polls
	cutOffAt        time.Time // when it last failed to reach an origin that serves others
	cutOff          bool      // so it draws nothing for now
	absent          bool      // it doesn't answer, so it counts neither as a candidate nor as a holder
	asked           Bitmap    // chunks that it has requested from the origin or another region and not received
	askedSince      time.Time // since when these; zero if there are none
	polling         bool      // a poll is in progress
	fetches         int       // active fetches from the peer
	failures        int       // consecutive failed fetches
	avoidUntil      time.Time // no fetch from or poll of the peer before this time
}

// activeFetch is a fetch in progress.
type activeFetch struct {
	index   int
	from    string // incarnation of the peer, empty for the origin
	remote  bool   // the peer is in another region
	started time.Time
}

// Swarm is one agent's view of the distribution of one version. It is safe for
// concurrent use.
type Swarm struct {
	mu                 sync.Mutex
	invariants         *invariant.Recorder
	profile            Profile
	manifest           *manifest.Manifest
	self               Peer
	home               string // the origin's region, empty when unknown
	origin             *originView
	random             *rand.Rand
	started            time.Time
	lastGain           time.Time // when this agent last received a new chunk
	held               Bitmap
	peers              []*peerState  // sorted by incarnation
	holders            []int         // for each chunk, the number of peers in this region that hold it
	known              []int         // for each chunk, the number of peers that hold it
	lastKnown          time.Time     // when a chunk that nobody held was last found to be held
	active             []activeFetch // active fetches
	maxFetches         int           // maximum active fetches; Profile.MaxFetches unless another version goes first
	chains             [][]string    // for each chunk, the order in which it passes through the regions
	chosen             []string      // for each chunk, the preferred importer of this region, also if it doesn't answer
	importers          [][]string    // for each chunk, the agents of this region that may import it, in order of preference
	regions            []string      // sorted
	remoteWindow       float64       // current maximum of concurrent fetches from other regions
	lastReduction      time.Time     // when remoteWindow was last reduced
	minRemoteRoundTrip time.Duration // shortest round trip of a poll to another region so far; 0 before the first
	meanLocalRoundTrip time.Duration // moving average of the round trip of polls inside the region
	corrupt            int           // corrupt chunks received
	corruptCopies      map[int]int   // for each chunk, the corrupt copies received; deleted when a good copy is received
	originBytes        int64         // bytes received from the origin
	fallbackAfter      time.Duration // without a new chunk for this long, this agent imports chunks for which it is not a candidate
	originPaused       bool          // the next StartFetches does not use the origin
	lastOriginFailure  time.Time     // when a fetch by this agent from the origin last failed
	cutOffAt           time.Time     // when this agent last failed to reach an origin that serves others, as its peers have been told
	cutOff             bool          // so it draws nothing for now
	lastDisruption     time.Time     // when a peer last left the swarm or a fetch from the origin last failed
	pollInterval       time.Duration // poll interval of the neighbours
	lastRandomPoll     time.Time     // when peers other than neighbours were last polled
	notices            []Peer        // peers to tell at once what this agent holds
	fetchEnd           chan struct{} // holds a token after a fetch has ended
}

// NewSwarm returns the swarm of the version that m describes, as seen by the agent
// self. The parameter home is the origin's region, which comes first in each chunk's
// chain. If home is empty, all regions of a chain are ordered by hash.
func NewSwarm(m *manifest.Manifest, self Peer, home string, now time.Time, seed uint64, invariants *invariant.Recorder) *Swarm {
	s := &Swarm{
		invariants:    invariants,
		manifest:      m,
		self:          self,
		home:          home,
		origin:        &originView{},
		random:        rand.New(rand.NewPCG(seed, 3)),
		started:       now,
		lastGain:      now,
		held:          NewBitmap(m.Chunks()),
		corruptCopies: make(map[int]int),
		fetchEnd:      make(chan struct{}, 1),
	}
	s.SetProfile(DefaultProfile)
	return s
}

// SetProfile sets the intervals and limits of the swarm. It must be called before
// any other method.
func (s *Swarm) SetProfile(p Profile) {
	s.maxFetches = p.MaxFetches
	s.profile, s.remoteWindow = p, max(p.MinRemoteWindow, p.MaxRemoteWindow/2)
	s.fallbackAfter = p.FallbackTimeout + time.Duration(s.random.Float64()*fallbackJitter*float64(p.FallbackTimeout))
}

// fetchEnded returns a channel that receives a token when a fetch has ended.
func (s *Swarm) fetchEnded() <-chan struct{} { return s.fetchEnd }

// pauseOrigin excludes the origin from the next call of StartFetches.
func (s *Swarm) pauseOrigin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.originPaused = true
}

// Manifest returns the manifest of the version.
func (s *Swarm) Manifest() *manifest.Manifest { return s.manifest }

// HeldChunks returns a copy of the bitmap of the chunks that this agent holds.
func (s *Swarm) HeldChunks() Bitmap {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.held)
}

// Complete reports whether all chunks are verified and stored.
func (s *Swarm) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held.Count() == s.manifest.Chunks()
}

// CorruptChunks returns how many received chunks failed verification.
func (s *Swarm) CorruptChunks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.corrupt
}

// SuspectChunk returns the index of a chunk that failed verification so often that
// the manifest is suspect, or -1 if there is none.
func (s *Swarm) SuspectChunk() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, n := range s.corruptCopies {
		if s.profile.MaxCorruptCopies > 0 && n >= s.profile.MaxCorruptCopies {
			return i
		}
	}
	return -1
}

// OriginBytes returns the number of bytes that this agent has received from the
// origin.
func (s *Swarm) OriginBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.originBytes
}

// SetPeers replaces the list of peers and keeps the state of those that are in both
// the old and the new list. An entry for this agent itself is ignored.
func (s *Swarm) SetPeers(now time.Time, peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next []*peerState
	for _, p := range peers {
		if p.Incarnation == s.self.Incarnation {
			continue
		}
		if known := s.peer(p.Incarnation); known != nil {
			next = append(next, known)
			continue
		}
		next = append(next, &peerState{Peer: p, held: NewBitmap(s.manifest.Chunks()), lastGain: now})
	}
	slices.SortFunc(next, func(a, b *peerState) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	if s.chains != nil && slices.EqualFunc(next, s.peers, func(a, b *peerState) bool { return a == b }) {
		return
	}
	if slices.ContainsFunc(s.peers, func(p *peerState) bool { return !slices.Contains(next, p) }) {
		s.lastDisruption = now
	}
	s.peers = next
	s.countHolders()
	s.buildChains()
	s.rankImporters()
	s.selectNeighbours()
}

// countHolders counts the holders of each chunk in this region.
func (s *Swarm) countHolders() {
	s.holders, s.known = make([]int, s.manifest.Chunks()), make([]int, s.manifest.Chunks())
	for _, p := range s.peers {
		s.addHolders(p, p.held, 1)
	}
}

// addHolders adds n to the number of holders of each chunk in a bitmap of a peer.
func (s *Swarm) addHolders(p *peerState, bitmap Bitmap, n int) {
	local := p.Region == s.self.Region
	for i := range s.holders {
		if bitmap.Has(i) {
			s.known[i] += n
			if local {
				s.holders[i] += n
			}
		}
	}
}

// updateBitmap records a newer bitmap of a peer. A bitmap of the wrong length is
// ignored.
func (s *Swarm) updateBitmap(now time.Time, p *peerState, bitmap Bitmap) {
	if len(bitmap) != len(s.held) || slices.Equal(bitmap, p.held) {
		return
	}
	if bitmap.Count() > p.held.Count() {
		p.lastGain = now
	}
	s.addHolders(p, p.held, -1)
	s.recordNew(now, bitmap)
	s.addHolders(p, bitmap, 1)
	p.held = bitmap
}

// recordNew records that a peer holds chunks that nobody was known to hold before. If
// nobody in this region was, this agent may have to fetch them at once.
func (s *Swarm) recordNew(now time.Time, bitmap Bitmap) {
	for i := range s.known {
		if s.holders[i] > 0 || s.held.Has(i) || !bitmap.Has(i) {
			continue
		}
		if s.known[i] == 0 {
			s.lastKnown = now
		}
		select {
		case s.fetchEnd <- struct{}{}:
		default:
		}
	}
}

func (s *Swarm) peer(incarnation string) *peerState {
	i, found := slices.BinarySearchFunc(s.peers, incarnation, func(p *peerState, key string) int {
		return cmp.Compare(p.Incarnation, key)
	})
	if !found {
		return nil
	}
	return s.peers[i]
}

// MarkHeld records that the store already holds a chunk, after a restart or from
// another version.
func (s *Swarm) MarkHeld(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held.Set(index)
}

// MarkMissing records that the store has lost or corrupted a chunk.
func (s *Swarm) MarkMissing(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held.Clear(index)
}

// FetchSucceeded ends a fetch whose chunk has been verified and stored. The bitmap
// shows the chunks that the peer holds; it is ignored for a fetch from the origin.
func (s *Swarm) FetchSucceeded(now time.Time, f Fetch, bitmap Bitmap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endFetch(f)
	if !s.invariants.Check(f.Index >= 0 && f.Index < s.manifest.Chunks(), "chunk", "stored chunk index %d out of range of %d chunks", f.Index, s.manifest.Chunks()) {
		return
	}
	s.held.Set(f.Index)
	s.lastGain = now
	if s.known != nil && s.known[f.Index] == 0 {
		s.lastKnown = now
	}
	s.announce(f.Index, f.Peer == nil)
	delete(s.corruptCopies, f.Index)
	if f.Peer == nil {
		s.originBytes += int64(s.manifest.ChunkSize(f.Index))
		s.origin.recordOwnSuccess(now)
		return
	}
	p := s.peer(f.Peer.Incarnation)
	if p == nil {
		return
	}
	p.failures = 0
	s.answered(now, p)
	s.updateBitmap(now, p, bitmap)
	if p.Region != s.self.Region {
		s.remoteWindow = min(s.profile.MaxRemoteWindow, s.remoteWindow+windowGain/s.remoteWindow)
	}
}

// FetchUnavailable ends a fetch that returned no chunk because the peer was busy or
// no longer holds it, or whose chunk could not be stored. This does not count as a
// failure of the peer; the peer is only avoided for 10 to 40 ms.
func (s *Swarm) FetchUnavailable(now time.Time, f Fetch, bitmap Bitmap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endFetch(f)
	if f.Peer == nil {
		return
	}
	p := s.peer(f.Peer.Incarnation)
	if p == nil {
		return
	}
	s.updateBitmap(now, p, bitmap)
	p.avoidUntil = now.Add(time.Duration(10+s.random.IntN(30)) * time.Millisecond)
}

// FetchFailed ends a fetch that returned an error or a corrupt chunk, and starts the
// backoff of its peer.
func (s *Swarm) FetchFailed(now time.Time, f Fetch, corrupt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endFetch(f)
	if corrupt {
		s.corrupt++
		s.corruptCopies[f.Index]++
	}
	if f.Peer == nil {
		s.lastDisruption = now
		if !corrupt {
			s.lastOriginFailure = now
			s.origin.recordOwnFailure(now)
		}
		return
	}
	if p := s.peer(f.Peer.Incarnation); p != nil {
		if !corrupt {
			s.updateBitmap(now, p, NewBitmap(s.manifest.Chunks())) // until it answers a poll, chunks of which it was the only holder come from elsewhere
		}
		p.avoidUntil = now.Add(min(initialBackoff<<min(p.failures, 10), maxBackoff))
		p.failures++
	}
}

// endFetch removes an active fetch and signals that it has ended.
func (s *Swarm) endFetch(f Fetch) {
	select {
	case s.fetchEnd <- struct{}{}:
	default:
	}
	i := slices.IndexFunc(s.active, func(a activeFetch) bool { return a.index == f.Index })
	if i < 0 {
		return
	}
	if p := s.peer(s.active[i].from); p != nil {
		p.fetches--
	}
	s.active = slices.Delete(s.active, i, i+1)
}

// Progress is the state of one agent's download of a version.
type Progress struct {
	Held      int // chunks held
	Chunks    int // chunks in total
	Active    int // active fetches
	Peers     int
	Available int       // chunks that this agent or a known peer holds
	LastGain  time.Time // when this agent last received a new chunk
	Asked     int       // chunks that no known agent holds and one has requested from the origin
	Absent    int       // peers that don't answer

	// Waiting is a chunk that no known agent holds or has requested from the origin, or
	// -1; Chosen is the agent of this region that is to draw it, and Candidate the one
	// that does so if the chosen one doesn't answer.
	Waiting           int
	Chosen, Candidate string
}

// Progress returns the state of this agent's download.
func (s *Swarm) Progress() Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Progress{Held: s.held.Count(), Chunks: s.manifest.Chunks(), Active: len(s.active), Peers: len(s.peers), LastGain: s.lastGain, Waiting: -1}
	for i := range p.Chunks {
		switch {
		case s.held.Has(i) || s.anyPeerHolds(i):
			p.Available++
		case s.isAsked(i):
			p.Asked++
		case p.Waiting < 0 && i < len(s.chosen):
			p.Waiting, p.Chosen, p.Candidate = i, s.chosen[i], s.importers[i][0]
		}
	}
	for _, q := range s.peers {
		if q.absent {
			p.Absent++
		}
	}
	return p
}
