package chunk

import "time"

// Profile holds the intervals, timeouts and limits of a swarm and its exchange. The
// limits apply to one agent.
type Profile struct {
	MinPollInterval          time.Duration // minimum interval between two polls of the same neighbour
	PollIntervalPerNeighbour time.Duration // the poll interval is at least this times the number of neighbours
	StallTimeout             time.Duration // an importer without a new chunk for this long is passed over for the next candidate
	TakeoverDelay            time.Duration // delay between takeovers by successive candidates; longer than a fetch takes
	BitmapMaxAge             time.Duration // maximum age of a bitmap that is used to tell whether its peer has stalled
	FallbackTimeout          time.Duration // without a new chunk for this long, an agent imports chunks for which it is not a candidate
	FetchTimeout             time.Duration // time limit for fetching one chunk
	OriginPause              time.Duration // time without requests to the origin after one has failed
	OriginPatience           time.Duration // a fetch from the origin is given up if no agent has received a chunk from it for this long; 0 means never
	MaxOriginFetches         int           // maximum concurrent fetches from the origin, of all versions
	OriginLine               int           // maximum number of chunks in line at the origin, of all agents, which then tell each other at once of new ones; 0 means any number
	MaxFetches               int           // maximum concurrent fetches in total
	MaxUploads               int           // maximum concurrent uploads
	MaxQueuedUploads         int           // maximum requests queued for an upload; further ones are refused, and their senders try another peer

	// UploadRate is in bytes/s. An upload holds its slot for as long as its bytes take
	// at this rate. If the rate is 0, an upload holds its slot until the call returns.
	UploadRate float64

	// MaxCorruptCopies is the number of corrupt copies of one chunk after which the
	// manifest is suspect; 0 means never. The value 0 is for manifests whose digest the
	// configuration gives, because such manifests are trusted.
	MaxCorruptCopies int

	MinRemoteWindow float64 // lower bound of the window of concurrent fetches from other regions
	MaxRemoteWindow float64 // upper bound of the window of concurrent fetches from other regions
}

// DefaultProfile is for models that take minutes to distribute.
var DefaultProfile = Profile{
	MinPollInterval:          100 * time.Millisecond,
	PollIntervalPerNeighbour: 15 * time.Millisecond,
	StallTimeout:             5 * time.Second,
	TakeoverDelay:            time.Second,
	BitmapMaxAge:             2 * time.Second,
	FallbackTimeout:          20 * time.Second,
	FetchTimeout:             30 * time.Second,
	OriginPause:              500 * time.Millisecond,
	OriginPatience:           10 * time.Second,
	MaxOriginFetches:         4,
	MaxFetches:               8,
	MaxUploads:               12,
	MinRemoteWindow:          2,
	MaxRemoteWindow:          8,
}

// FastProfile is for models that must reach all agents within seconds. A chunk takes
// about 40 ms over an instance's network link, and the origin takes 1 to 3 s to send
// all chunks. The network link also carries the events of inference requests, which may
// be delayed by at most 120 ms. An agent therefore sends one chunk at a time, so that on
// average one arrives at each agent, and further fetches wait in the queues of peers.
var FastProfile = Profile{
	MinPollInterval:          60 * time.Millisecond,
	PollIntervalPerNeighbour: 6 * time.Millisecond,
	StallTimeout:             700 * time.Millisecond,
	TakeoverDelay:            150 * time.Millisecond,
	BitmapMaxAge:             400 * time.Millisecond,
	FallbackTimeout:          2500 * time.Millisecond,
	FetchTimeout:             3 * time.Second,
	OriginPause:              150 * time.Millisecond,
	OriginPatience:           time.Second,
	MaxOriginFetches:         1,
	MaxFetches:               6,
	MaxUploads:               1,
	MaxQueuedUploads:         2,
	MaxCorruptCopies:         4, // with one copy in six corrupt, only one chunk in a thousand has this many by chance
	MinRemoteWindow:          1,
	MaxRemoteWindow:          1,
}

// uploadShare is the fraction of an instance's network link available to uploads. The
// rest is left for the events of inference requests.
const uploadShare = 0.9

// EngineProfile returns FastProfile adapted to the rate of an instance's network link,
// in Mbit/s.
func EngineProfile(link float64) Profile {
	p := FastProfile
	p.UploadRate = uploadShare * link * 1e6 / 8
	return p
}

const (
	originLineTime = 250 * time.Millisecond // how long the chunks in line at the origin take over a link like this agent's
	minOriginLine  = 4                      // chunks
)

// ForChunks returns the profile adapted to the size of the chunks of a version.
func (p Profile) ForChunks(size int) Profile {
	if p.UploadRate > 0 && size > 0 {
		p.OriginLine = max(minOriginLine, int(originLineTime.Seconds()*p.UploadRate/uploadShare/float64(size)))
	}
	return p
}
