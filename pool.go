package fulmardeal

import (
	"context"
	"time"
)

// Kind says how often a request may be executed.
type Kind string

// Kinds of requests.
const (
	KindIdempotent Kind = "idempotent" // may be executed any number of times
	KindAtMostOnce Kind = "once"       // executed at most once for each attempt of the caller
	KindStream     Kind = "stream"     // answered by an event stream; retried only on a resumable route
)

// Share is the weight of a service in the traffic split of a route.
type Share struct {
	Service string
	Weight  float64
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // bound on the time to the final response
	Objective time.Duration // latency objective for the response, or for the first event of a stream
	Pause     time.Duration // target for the gap between two events of a stream; 0 means no target
	Priority  int           // 0 is the most urgent
	Shares    []Share
	Attempts  int      // maximum number of endpoints on which one request is attempted
	Public    bool     // callers need no API key
	Resumable bool     // a stream can be resumed after its last received event
	Homes     []string // regions in which the route may be served; empty for all
}

// Repeatable reports whether a request of the route may be executed more than
// once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// EngineModel is one model that a service's engines serve.
type EngineModel struct {
	Name string
	Warm time.Duration // time to load all layers of a version
}

// EngineSpec describes the capacity, speed and weights of the engines of a
// service.
type EngineSpec struct {
	Slots       int     // requests that an engine runs concurrently
	Memory      int     // capacity of the KV cache, in tokens
	Stride      int     // decoding steps per pass; requests start and end only between passes
	Step        float64 // duration of a step without requests, in ms
	PerSequence float64 // additional duration of a step per decoding request, in ms
	PerContext  float64 // additional duration of a step per 1,000 tokens of context, in ms
	ReadRate    float64 // prompt tokens processed per second
	Models      []EngineModel
	Layers      int
	Chunks      int // chunks of one version of the weights
	ChunkSize   int // bytes
}

// OriginSpec describes the origin server of weights.
type OriginSpec struct {
	Address    string
	DataCentre string
	LinkRate   float64 // Mbit/s
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name        string
	Connections int           // maximum number of connections that one endpoint accepts
	Cold        time.Duration // length of an endpoint's cold phase after its start
	ColdRate    float64       // requests per second that an endpoint can handle while cold; 0 for no limit
	Engine      *EngineSpec   // nil for a plain service
	Origin      *OriginSpec   // nil unless the service is the origin of weights
}

// Customer is a member whose requests are served, identified by its API keys.
type Customer struct {
	Name     string
	Keys     []string
	Priority int      // overrides the priority of the route if Ranked is set
	Ranked   bool     // whether Priority is set
	Homes    []string // regions in which the customer's requests may be served; empty for all
}

// Limits are the limits on a caller's requests and connections.
type Limits struct {
	Header        int           // size of the header, in bytes
	Body          int           // size of the body, in bytes
	HeaderTimeout time.Duration // how long the header of a request may take to arrive
	Idle          time.Duration // how long a connection may stay idle
}

// Catalogue is the complete configuration written by operators.
type Catalogue struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits

	// Keyed tells that the configuration lists its customers, even if the list is empty. The
	// length of Customers can't tell: encodings that leave out empty lists lose it on the way.
	Keyed bool
}

// Service returns the service with the given name, or nil.
func (c *Catalogue) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Origin returns the origin server of weights, or nil if none is configured.
func (c *Catalogue) Origin() *OriginSpec {
	for i := range c.Services {
		if c.Services[i].Origin != nil {
			return c.Services[i].Origin
		}
	}
	return nil
}

// Span is a contiguous range of layers that an engine has loaded from one
// version.
type Span struct {
	From    int
	To      int // index of the first layer after the range
	Version int64
}

// Registration is the record by which an endpoint registers itself in the
// platform's store.
type Registration struct {
	ID         string // changes at almost every start of the endpoint; a start may keep it
	Service    string
	Address    string
	DataCentre string
	Slots      int           // number of requests that the endpoint runs concurrently
	Draining   bool          // the endpoint accepts no new requests
	ColdLeft   time.Duration // remaining time of the cold phase
	Sequence   int64         // changes with every heartbeat
	Born       time.Time     // start time of the endpoint, by its own clock; zero if unknown
	Engine     bool          // the endpoint is a model engine and reports its weights
	Spans      []Span        // layers that the engine has loaded
}

// Holds returns the version of the weights whose layers the endpoint has loaded
// completely, or 0 if there is none. The model has the given number of layers.
func (r *Registration) Holds(layers int) int64 { return Holds(r.Spans, layers) }

// Holds returns a version whose spans together cover all layers of a model, from 0
// to layers-1. It returns 0 if no version is covered completely.
func Holds(spans []Span, layers int) int64 {
	for _, s := range spans {
		covered := 0
		for extended := true; extended && covered < layers; {
			extended = false
			for _, other := range spans {
				if other.Version == s.Version && other.From <= covered && other.To > covered {
					covered, extended = other.To, true
				}
			}
		}
		if covered >= layers {
			return s.Version
		}
	}
	return 0
}

// Publication is an operator's announcement that a model is to be served with the
// given version of its weights. The highest version published for a model applies.
type Publication struct {
	Model   string
	Version int64
}

// Quarantine keeps requests from endpoints whose prompts have all of the given parts,
// because endpoints crash when they begin to answer them.
type Quarantine struct {
	Service  string    `json:"service"`
	Parts    []string  `json:"parts"`
	Weights  []int64   `json:"weights"`  // versions of the weights with which endpoints crashed
	Crashes  int       `json:"crashes"`  // on which it is based
	Probes   int       `json:"probes"`   // requests since then that were to find out whether the parts are sound again, and crashed an endpoint
	Serial   int64     `json:"serial"`   // rises with each change
	Released bool      `json:"released"` // it is over
	Since    time.Time `json:"since"`
}

// Position is the position of a record in a feed. The store numbers the records of
// a feed from 0. When it is restored from a backup, the numbers continue from the end
// of the backup, in a new era. Positions are ordered by era, then by number, so that
// every position of a later era is above all of an earlier one. The zero value is the
// beginning of era 0.
type Position int64

// positionOffsetBits is the number of bits of a Position that hold the record's
// number. The others hold the era.
const positionOffsetBits = 44

// NewPosition returns the position of a record, or false if the era or the number is
// out of range.
func NewPosition(era, offset int64) (Position, bool) {
	const maxOffset, maxEra = 1<<positionOffsetBits - 1, 1<<(63-positionOffsetBits) - 1
	if era < 0 || era > maxEra || offset < 0 || offset > maxOffset {
		return 0, false
	}
	return Position(era<<positionOffsetBits | offset), true
}

// Era returns the era of the store in which the record has its number.
func (p Position) Era() int64 { return int64(p) >> positionOffsetBits }

// Offset returns the number of the record within the era.
func (p Position) Offset() int64 { return int64(p) & (1<<positionOffsetBits - 1) }

// Change is one decoded record of a feed. Catalogue, Registration, Evacuation,
// Naming, Address (with DataCentre), Quarantine, Keyed and Fault are alternatives; none of
// them is set if the key was deleted.
//
// Relays send changes to other entries by net/rpc, so the names of the exported
// fields of Change and of all types within it are part of the wire format.
type Change struct {
	Offset       Position
	Key          string
	Gone         bool // the key was deleted
	Catalogue    *Catalogue
	Registration *Registration
	Evacuation   string // data centre that must not receive requests
	Naming       *Publication
	Address      string // address of an entry's internal listener
	DataCentre   string // data centre of the entry at Address
	Quarantine   *Quarantine
	Keyed        bool  // some configuration listed its customers
	Fault        error // reason why the record can't be decoded; such a record has no effect

	// Awaited tells that the store had no such record when it got the call that read it,
	// and sent the record as soon as it was written.
	Awaited bool
}

// Feed is a stream of keyed records, in which a record supersedes all earlier
// records with its key.
type Feed interface {
	// Newest returns the newest record of each key, and the position from which
	// to continue with Since.
	Newest(ctx context.Context) ([]Change, Position, error)

	// Since returns the changes at the given position and later, or the oldest of them
	// if there are many. If there are no such changes yet, it waits for the first one, at
	// most for the given time. It returns a *TrimmedError if some of the requested
	// records have expired, and an *EraError if the store is in another era.
	Since(ctx context.Context, from Position, wait time.Duration) ([]Change, Progress, error)
}

// Progress tells how far a read of a feed has come.
type Progress struct {
	Next Position // from which to continue
	End  Position // of the feed when the response was sent
}

// Complete reports whether the read has reached the end of the feed. Otherwise there are
// records that the reader doesn't know, and the state that it does know may be out of date.
func (p Progress) Complete() bool { return p.Next >= p.End }

// Bounds are the limits on times and rates that operators require the system to keep.
// A limit on a time says from which event to which other event it applies.
type Bounds struct {
	Drain          time.Duration // from an endpoint's announcement that it drains to the last new request that is sent to the endpoint
	Grace          time.Duration // from the SIGTERM to a process until the SIGKILL that ends it
	KeyRevocation  time.Duration // from the removal of an API key to the last request accepted with it
	VersionSwitch  time.Duration // from the publication of a version of the weights to the last request that starts on an older one
	RetryRatio     float64       // maximum number of retries per request, over all entries
	RetryExtra     float64       // retries allowed in each RetryWindow in addition to RetryRatio
	RetryWindow    time.Duration // length of the window in which retries are counted
	ColdRateFactor float64       // factor by which the request rate of a cold endpoint may exceed its limit
}

// CallerLimits are what callers may make a process hold. Zero values stand for a part of the
// process's memory and descriptors, and for the default time.
type CallerLimits struct {
	Bytes int64         // of all callers' connections together
	Conns int           // callers' connections
	Stall time.Duration // that a caller may take nothing of an answer
}

// Settings are the settings of a process: its location, addresses and limits.
type Settings struct {
	Name              string
	IP                string // IP address of the instance
	DataCentre        string
	Region            string
	Regions           map[string]string // region of each data centre, by the name of the data centre
	CallerAddress     string            // address of the listener for callers
	ReadinessAddress  string            // address of the readiness probe for the load balancer
	PortRange         [2]int            // first and last port for connections between processes
	StoreAddress      string            // address of the platform's store
	EndpointAddress   string            // address of the endpoint that an agent is attached to
	Service           string            // service of the endpoint that an agent is attached to
	MemoryLimit       int64             // bytes
	MaxFds            int               // descriptors; 0 if not given
	Callers           CallerLimits
	LinkMbps          float64       // bandwidth of the instance's network link, Mbit/s
	HeartbeatInterval time.Duration // interval between the heartbeats of registrations
	Contention        bool          // customers may ask for more than the endpoints can serve or hold in memory
	Bounds            Bounds
}

// RequestMetadata is the metadata in the header of a caller's request.
type RequestMetadata struct {
	AttemptID            string        // id of the caller's attempt
	Deadline             time.Duration // how long the caller waits; 0 if not given
	APIKey               string        // API key of a customer
	Model                string
	PromptTokens         int      // length of the prompt, in tokens
	MaxOutputTokens      int      // maximum length of the output, in tokens
	ExpectedOutputTokens int      // expected length of the output, in tokens; 0 if not given
	LastEventID          string   // id of the last event that the caller has received
	PromptPrefix         string   // identifies a prompt prefix that other requests may share
	PromptParts          []string // ids of the prompt's parts, in order; all but the last may be shared by any requests
}

// ForwardMetadata is the metadata that an entry sets in the header of a request
// to an endpoint.
type ForwardMetadata struct {
	Instance       string // the only endpoint that may run the request
	Deadline       time.Duration
	Customer       string
	Priority       int   // 0 is the most urgent; a negative value leaves the choice to the endpoint
	WeightsVersion int64 // the only version of the weights that may serve the request; 0 for any
	LastEventID    string
}

// LimitKind tells what a response says of the rate of requests that its endpoint takes.
type LimitKind int

// Kinds of limits in responses.
const (
	LimitNone    LimitKind = iota // the endpoint has no limit
	LimitNamed                    // the endpoint names a limit
	LimitInvalid                  // the limit can't be decoded; nothing is known
)

// RateLimit is the rate of requests that an endpoint takes from all entries together.
type RateLimit struct {
	Kind LimitKind
	Rate float64 // requests per second, if Kind is LimitNamed
}

// ResponseMetadata is the metadata in the header of an endpoint's response.
type ResponseMetadata struct {
	AttemptID      string
	Signed         bool // the response carries the endpoint's signature
	NotRun         bool // the endpoint guarantees that it has not run the request
	Instance       string
	WeightsVersion int64         // version of the weights that served the request; 0 if not given
	Running        int           // requests in progress; -1 if the load is not given
	Waiting        int           // requests in the endpoint's queue
	Slots          int           // number of requests that the endpoint runs concurrently
	WorkTime       float64       // how long work takes at the endpoint now, relative to its usual time; 0 if not given
	ColdLeft       time.Duration // remaining time of the endpoint's cold phase
	Leaving        bool          // the endpoint is about to stop and must get no new requests
	Pause          time.Duration // how long the endpoint asks the entry to send it nothing; 0 if it doesn't ask
	Limit          RateLimit     // the rate of requests that the endpoint takes
	IdleTimeout    time.Duration // how long the connection to the endpoint may stay idle; 0 if not given
}

// LayerLoad is an order to an engine to hold layers of a version. It loads those that it
// lacks from its staged chunks, after the requests in progress have finished.
type LayerLoad struct {
	Version Version
	Layers  int // the engine is to hold the first so many layers; 0 for all of them

	// State is the state of the engine when its chunks were verified. An engine that has
	// accepted an order or has been restarted since then refuses the order.
	State EngineState

	// Permit is called right before the order is sent. If it returns an error, the order
	// is not sent.
	Permit func() error
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Spans      []Span
	Loading    bool      // an order to load weights is in progress
	Running    int       // requests in progress
	Waiting    int       // requests in the queue
	OrderCount int64     // number of orders accepted since the start of the engine
	StartedAt  time.Time // start time of the engine; zero if unknown
}
