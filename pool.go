package fulmardeal

import (
	"context"
	"time"
)

// Kind says what may be repeated.
type Kind string

// The kinds of requests.
const (
	KindIdempotent Kind = "idempotent" // may run any number of times
	KindOnce       Kind = "once"       // runs at most once for each attempt of the caller
	KindStream     Kind = "stream"     // a series of events; may be repeated only where it may be resumed
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Route says which requests go to which services, and how.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // after which a request has its final answer
	Objective time.Duration // to the answer, or to a stream's first event
	Pause     time.Duration // longest between two events of a stream; 0 when it does not matter
	Priority  int           // 0 is the most urgent
	Shares    []Share
	Attempts  int // most endpoints that may run one request
	Public    bool
	Resumable bool
	Homes     []string // regions that may serve it; empty means all
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// EngineModel is one model that a service's engines serve.
type EngineModel struct {
	Name string
	Warm time.Duration // time to load all layers
}

// EngineSpec is how fast the engines of a service are, and what they hold.
type EngineSpec struct {
	Slots       int     // requests that one engine runs at once
	Memory      int     // tokens
	Stride      int     // steps in one pass
	Step        float64 // milliseconds of one step
	PerSequence float64 // milliseconds a step takes longer for each request that writes
	PerContext  float64 // milliseconds a step takes longer for each 1,000 tokens of context
	ReadRate    float64 // prompt tokens a second
	Models      []EngineModel
	Layers      int
	Chunks      int // of one version of the weights
	ChunkSize   int // bytes
}

// OriginSpec is where weights come from.
type OriginSpec struct {
	Address    string
	DataCentre string
	LinkRate   float64 // megabits a second
}

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name        string
	Connections int           // most that one endpoint accepts
	Cold        time.Duration // how long an endpoint is cold after its start
	ColdRate    float64       // requests a second that a cold endpoint bears; 0 means that it doesn't matter
	Engine      *EngineSpec   // nil for a plain service
	Origin      *OriginSpec   // nil unless the service is an origin of weights
}

// Customer is a member whose requests are served.
type Customer struct {
	Name     string
	Keys     []string
	Priority int  // takes precedence over the route's, when set
	Ranked   bool // whether Priority is set
	Homes    []string
}

// Limits bound what a caller may send.
type Limits struct {
	Header        int // bytes
	Body          int // bytes
	HeaderTimeout time.Duration
	Idle          time.Duration
}

// Catalogue is what operators have configured, whole.
type Catalogue struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Service returns the service of a name, or nil.
func (c *Catalogue) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Origin returns the origin of weights, or nil.
func (c *Catalogue) Origin() *OriginSpec {
	for i := range c.Services {
		if c.Services[i].Origin != nil {
			return c.Services[i].Origin
		}
	}
	return nil
}

// Span is a run of layers of one version that an engine holds.
type Span struct {
	From    int
	To      int // exclusive
	Version int64
}

// Registration is what an endpoint says of itself in the platform's list.
type Registration struct {
	ID         string // new at almost every start
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	ColdLeft   time.Duration
	Sequence   int64     // changes with every beat
	Born       time.Time // start of the endpoint, by its own clock; zero when unknown
	Engine     bool      // whether it reports weights
	Spans      []Span    // layers that it holds
}

// Holds returns the version of which all layers are held, or 0.
func (r *Registration) Holds(layers int) int64 { return Holds(r.Spans, layers) }

// Holds returns the version of which spans cover all layers, or 0.
func Holds(spans []Span, layers int) int64 {
	for _, s := range spans {
		at := 0
		for moved := true; moved && at < layers; {
			moved = false
			for _, x := range spans {
				if x.Version == s.Version && x.From <= at && x.To > at {
					at, moved = x.To, true
				}
			}
		}
		if at >= layers {
			return s.Version
		}
	}
	return 0
}

// Naming is an operator's wish that a model be served in a version.
type Naming struct {
	Model   string
	Version int64
}

// Change is one record of a feed, decoded. Exactly one of Catalogue,
// Registration, Evacuation, Naming, Fault is set, or Gone for a record that was
// deleted.
type Change struct {
	Offset       Offset
	Key          string
	Gone         bool
	Catalogue    *Catalogue
	Registration *Registration
	Evacuation   string // a data centre that is to get nothing
	Naming       *Naming
	Address      string // of a process of the system
	DataCentre   string // of that process
	Fault        error  // why the record can't be read; it has no effect
}

// Feed is a stream of keyed records of which the newest of each key counts.
type Feed interface {
	// Newest returns the newest record of each key, and the offset to go on from.
	Newest(ctx context.Context) ([]Change, Offset, error)

	// Since returns the changes from an offset on, waiting at most so long for
	// the first, and the offset to go on from. It returns a *TrimmedError when
	// records in between are no longer kept.
	Since(ctx context.Context, from Offset, wait time.Duration) ([]Change, Offset, error)
}

// Bounds are the times and rates that operators hold the system to.
type Bounds struct {
	Drain       time.Duration // from a notice of leaving to the last new request
	Grace       time.Duration // from SIGTERM to SIGKILL
	Revoke      time.Duration // from the removal of a key to its last request
	Weights     time.Duration // from the naming of a version to the last request that begins on an older one
	RepeatRatio float64       // repeats for each request, over all entries
	RepeatExtra float64       // repeats besides, in one window
	RepeatEvery time.Duration // that window
	ColdOver    float64       // by which a cold endpoint's rate may be exceeded
}

// Site is where a process runs and what it may use.
type Site struct {
	Name        string
	Host        string // the instance's address, without a port
	DataCentre  string
	Region      string
	Regions     map[string]string // region of each data centre
	Callers     string            // address for callers
	Readiness   string            // address that the balancer asks
	Ports       [2]int            // first and last port between processes
	Store       string            // address of the platform's store
	Endpoint    string            // address of the endpoint beside an agent
	Service     string            // of that endpoint
	MemoryLimit int64             // bytes
	LinkRate    float64           // of the instance's link, megabits a second
	Beat        time.Duration     // of registrations
	Bounds      Bounds
}

// Facts are what a caller's request says about itself besides its bytes.
type Facts struct {
	Attempt  string        // id of the caller's attempt
	Deadline time.Duration // how long the caller waits; 0 when it didn't say
	Key      string        // of a customer
	Model    string
	Prompt   int    // tokens
	Output   int    // tokens at most
	Hint     int    // tokens of output that the caller expects; 0 when it didn't say
	Resume   string // id of the last event that the caller has
	Prefix   string // parts of the prompt that other requests may share
}

// Forward is what an entry adds to a request for an endpoint.
type Forward struct {
	Instance string // the only endpoint that may run it
	Deadline time.Duration
	Customer string
	Priority int   // 0 first; negative leaves it to the endpoint
	Weights  int64 // the only version that may serve it; 0 for any
	Resume   string
}

// Reply is what an endpoint's answer says about itself besides its bytes.
type Reply struct {
	Attempt  string
	Signed   bool // bears the endpoint's signature
	NotRun   bool // the endpoint promises that it didn't run the request
	Instance string
	Weights  int64 // version that answers; 0 when it isn't told
	Running  int   // the endpoint's load; -1 when it isn't told
	Waiting  int
	Slots    int
	ColdLeft time.Duration
	Keep     time.Duration // how long the connection may stay idle; 0 when it isn't told
}

// EngineState is what an engine says of itself.
type EngineState struct {
	Spans    []Span
	Loading  bool // an order is in progress
	Running  int
	Waiting  int
	Sequence int64 // orders accepted since its start
	Born     time.Time
}
