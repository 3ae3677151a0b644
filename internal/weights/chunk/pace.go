package chunk

import "time"

// Pace is the times that a swarm and its exchange work by.
type Pace struct {
	AskLeast     time.Duration // between two questions to a neighbour
	Stalled      time.Duration // without any new chunk, after which a candidate is passed over by the next one
	FreshFor     time.Duration // how long a bitmap tells whether its peer has stalled
	Desperate    time.Duration // without any new chunk, after which an agent doesn't leave imports to their candidates
	FetchTimeout time.Duration // of one chunk
	OriginWait   time.Duration // after the origin refused or failed
	Imports      int           // chunks under way from the origin to one agent
}

// Steady is for models that take minutes to spread.
var Steady = Pace{
	AskLeast:     100 * time.Millisecond,
	Stalled:      5 * time.Second,
	FreshFor:     2 * time.Second,
	Desperate:    20 * time.Second,
	FetchTimeout: 30 * time.Second,
	OriginWait:   500 * time.Millisecond,
	Imports:      4,
}

// Burst is for models that are to be everywhere within seconds: a chunk takes
// some 40 ms over an instance's link, and the origin one to three seconds for
// all of them.
var Burst = Pace{
	AskLeast:     60 * time.Millisecond,
	Stalled:      700 * time.Millisecond,
	FreshFor:     400 * time.Millisecond,
	Desperate:    2500 * time.Millisecond,
	FetchTimeout: 3 * time.Second,
	OriginWait:   150 * time.Millisecond,
	Imports:      1,
}
