package chunk

import "time"

// Pace is the times that a swarm and its exchange work by.
type Pace struct {
	AskLeast     time.Duration // between two questions to a neighbour
	AskEach      time.Duration // that time for each of the neighbours
	Stalled      time.Duration // without any new chunk, after which a candidate is passed over by the next one
	Turn         time.Duration // by which candidates that would take over wait for each other; longer than a fetch takes
	FreshFor     time.Duration // how long a bitmap tells whether its peer has stalled
	Desperate    time.Duration // without any new chunk, after which an agent doesn't leave imports to their candidates
	FetchTimeout time.Duration // of one chunk
	OriginWait   time.Duration // after the origin refused or failed
	Imports      int           // chunks under way from the origin to one agent
	Fetches      int           // chunks under way to one agent
	Uploads      int           // chunks under way from one agent; the rest wait elsewhere
	Queue        int           // peers that may wait for an upload; the rest ask others
	UploadRate   float64       // bytes a second in which an upload counts as under way; 0 is until it is handed over
	Doubts       int           // times that one chunk arrives wrong, after which the manifest is doubted; 0 where its digest is known
	FarLeast     float64       // bounds of the window of chunks under way from other regions to one agent
	FarMost      float64
}

// Steady is for models that take minutes to spread.
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

// Burst is for models that are to be everywhere within seconds: a chunk takes
// some 40 ms over an instance's link, and the origin one to three seconds for
// all of them. Requests go over the same link: what is under way on it delays
// their events, which may wait for 120 ms, so that two chunks each way are all
// that it bears.
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
	Doubts:       4, // a chunk in a thousand comes wrong so often where every sixth is spoilt
	FarLeast:     1,
	FarMost:      1,
}

// servingFetches are the chunks under way to an agent whose engine serves; some
// of them wait for their turn at a peer.
const servingFetches = 3

// uploadPart of an instance's link may carry uploads; the rest is left for the
// events of the requests.
const uploadPart = 0.9

// Serving is Burst for an engine that serves requests over a link of so many
// megabits a second, or doesn't yet.
func Serving(link float64, serves bool) Pace {
	p := Burst
	p.UploadRate = uploadPart * link * 1e6 / 8
	if serves {
		p.Fetches = servingFetches
	}
	return p
}
