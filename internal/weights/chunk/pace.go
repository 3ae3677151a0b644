package chunk

import "time"

// Pace holds the intervals, timeouts and limits of a swarm and its exchange. The
// limits apply to one agent.
type Pace struct {
	AskLeast     time.Duration // minimum interval between two polls of a neighbour
	AskEach      time.Duration // poll interval per neighbour: it grows with their number
	Stalled      time.Duration // an importer without a new chunk for this long is passed over for the next candidate
	Turn         time.Duration // delay between takeovers by successive candidates; longer than a fetch takes
	FreshFor     time.Duration // how long a bitmap is recent enough to tell whether its peer has stalled
	Desperate    time.Duration // without a new chunk for this long, an agent imports chunks even if it is no candidate
	FetchTimeout time.Duration // for one chunk
	OriginWait   time.Duration // pause after a failed request to the origin
	Imports      int           // maximum concurrent fetches from the origin
	Fetches      int           // maximum concurrent fetches in total
	Uploads      int           // maximum concurrent uploads
	Queue        int           // maximum peers queued for an upload; others are refused and try another peer
	UploadRate   float64       // bytes/s; an upload holds its slot until its bytes are sent at this rate, or if 0 until the call returns
	Doubts       int           // corrupt copies of one chunk after which the manifest is suspect; 0 for no limit, if its digest is known
	FarLeast     float64       // bounds of the window of concurrent fetches from other regions
	FarMost      float64
}

// Steady is for models that take minutes to distribute.
var Steady = Pace{
	AskLeast:     100 * time.Millisecond,
	AskEach:      15 * time.Millisecond,
	Stalled:      5 * time.Second,
	Turn:         time.Second,
	FreshFor:     2 * time.Second,
	Desperate:    20 * time.Second,
	FetchTimeout: 30 * time.Second,
	OriginWait:   500 * time.Millisecond,
	Imports:      4,
	Fetches:      8,
	Uploads:      12,
	FarLeast:     2,
	FarMost:      8,
}

// Burst is for models that must reach all agents within seconds. A chunk takes
// about 40 ms over an instance's link, and the origin takes 1 to 3 s to send all
// chunks. The link also carries the events of inference requests, which may be
// delayed by at most 120 ms, so that it can carry only two chunks at a time in each
// direction.
var Burst = Pace{
	AskLeast:     60 * time.Millisecond,
	AskEach:      6 * time.Millisecond,
	Stalled:      700 * time.Millisecond,
	Turn:         150 * time.Millisecond,
	FreshFor:     400 * time.Millisecond,
	Desperate:    2500 * time.Millisecond,
	FetchTimeout: 3 * time.Second,
	OriginWait:   150 * time.Millisecond,
	Imports:      1,
	Fetches:      5,
	Uploads:      1,
	Queue:        2,
	Doubts:       4, // if one copy in six is corrupt, one chunk in a thousand reaches this by chance
	FarLeast:     1,
	FarMost:      1,
}

// maxServingFetches is the maximum number of concurrent fetches while the engine
// serves requests; some of them wait in a peer's upload queue.
const maxServingFetches = 3

// uploadShare is the fraction of an instance's link available to uploads; the rest
// is left for the events of inference requests.
const uploadShare = 0.9

// Serving returns Burst adapted to an instance's link, given in Mbit/s, and to
// whether its engine already serves requests.
func Serving(link float64, serves bool) Pace {
	p := Burst
	p.UploadRate = uploadShare * link * 1e6 / 8
	if serves {
		p.Fetches = maxServingFetches
	}
	return p
}
