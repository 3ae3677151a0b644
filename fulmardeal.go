// Package fulmardeal declares the interfaces between the system and its
// environment, and the value types that these interfaces exchange. The environment
// is the platform's services, the endpoints and the network.
//
// It contains interfaces and plain values only. Implementations are in platform
// and below internal/: internal/platform/adapter has the HTTP clients of the
// real services, and internal/standin has simulated services with fault injection.
// Nothing here opens a connection or starts a goroutine.
package fulmardeal

import (
	"context"
	"io"
	"net"
	"time"
)

// Offset is the position of a record in a log stream. The first record has
// offset 1; 0 is the position before the first record.
type Offset int64

// Record is one entry of a log stream.
type Record struct {
	Offset Offset
	Time   time.Time // when the log accepted the record, by the clock of the log service
	Body   []byte
}

// Log is the platform's append-only log service. The response to an append can
// be lost after the append has taken effect, so a writer confirms an append by
// reading its record back.
type Log interface {
	// Append appends a record with the given body to the stream and returns its
	// offset.
	Append(ctx context.Context, stream string, body []byte) (Offset, error)

	// Read returns up to limit records at the given offset and later, in order.
	// It returns a *TrimmedError if the record at from has expired.
	Read(ctx context.Context, stream string, from Offset, limit int) ([]Record, error)
}

// Version identifies one version of the weights of a model.
type Version struct {
	Model string
	Name  string
}

// String returns the version as model@name, or the empty string for the zero
// version.
func (v Version) String() string {
	if v.Zero() {
		return ""
	}
	return v.Model + "@" + v.Name
}

// Zero reports whether v is the zero version, which identifies no weights.
func (v Version) Zero() bool { return v == Version{} }

// Origin is the platform's source of weights. Its link has little bandwidth, so
// the whole system together downloads each chunk from it about once.
type Origin interface {
	// Manifest returns the encoded manifest of v, not verified.
	Manifest(ctx context.Context, v Version) ([]byte, error)

	// Chunk returns the bytes of one chunk of v, not verified. It returns a
	// *BusyError if the origin asks the client to retry later.
	Chunk(ctx context.Context, v Version, index int) ([]byte, error)
}

// Role is the role of a process in the system.
type Role string

// Roles of long-running processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance describes one running process of the system to its peers.
type Instance struct {
	Name        string
	Incarnation string // changes with every start of the process
	Role        Role
	Address     string // host:port of the process's internal listener
	DataCentre  string
	Region      string
	Service     string // service of the endpoint that an agent is attached to
	Labels      []Field
	Leaving     bool // the process is shutting down
}

// Directory is the platform's list of live and leaving instances. It is
// eventually consistent.
type Directory interface {
	List(ctx context.Context) ([]Instance, error)

	// Announce registers or refreshes an instance. The platform drops an
	// instance that has not been announced for some time.
	Announce(ctx context.Context, instance Instance) error
}

// Field is a name-value pair, such as a header or a label.
type Field struct {
	Name  string
	Value string
}

// Call is one attempt to have an endpoint run a request. A retry of the request
// is another call.
type Call struct {
	ID       string // identifies this attempt; no two attempts have the same ID
	Service  string
	Customer string
	Method   string
	Path     string // starts with a slash and includes the query
	Header   []Field
	Body     []byte
	Priority int // higher values are served first; 0 is the default
}

// Answer is the response of an endpoint. The body must be closed; closing it
// before its end cancels the call.
type Answer struct {
	ID     string // ID of the call, if the endpoint has repeated it; otherwise empty
	Status int
	Header []Field
	Body   io.ReadCloser
}

// Endpoint runs calls. If Call returns an *UnsentError, the endpoint has not run
// the call. After any other error it is unknown whether the endpoint has run it.
type Endpoint interface {
	Call(ctx context.Context, c Call) (Answer, error)

	// Cancel asks the endpoint to abort the call with the given ID.
	Cancel(ctx context.Context, id string) error

	// Load returns the load that the endpoint last reported. The report may be
	// out of date.
	Load(ctx context.Context) (Load, error)
}

// Load is the load that an endpoint reports.
type Load struct {
	Running int    // requests in progress
	Waiting int    // requests in the endpoint's queue
	Boot    string // changes with every start of the endpoint; empty if unknown
}

// ActiveWeights describes the weights that an engine reports as active.
type ActiveWeights struct {
	Version Version
	Digest  string // SHA-256 of the active weights, in lower-case hexadecimal
	Fence   int64  // highest fencing token that the engine has received
	Boot    string
}

// LoadOrder tells an engine to load a version from its chunk store and serve it.
// Fence is a fencing token. An engine that checks fencing tokens refuses an order
// if it has already received an order with a higher token.
type LoadOrder struct {
	Version Version
	Digest  string
	Chunks  int
	Fence   int64
}

// Engine is a model server with its local chunk store.
type Engine interface {
	// ActiveWeights returns the active weights.
	ActiveWeights(ctx context.Context) (ActiveWeights, error)

	// Order sends an order to load weights. It returns a *RefusedOrderError if
	// the engine refuses the order.
	Order(ctx context.Context, o LoadOrder) error

	// PutChunk stores a chunk that the caller has verified. Chunk reads a stored
	// chunk, so that the caller can serve it to peers. It returns a
	// *MissingError if the chunk is not stored.
	PutChunk(ctx context.Context, v Version, index int, data []byte) error
	Chunk(ctx context.Context, v Version, index int) ([]byte, error)

	// Chunks returns the indexes of the stored chunks of v.
	Chunks(ctx context.Context, v Version) ([]int, error)
}

// Network opens and accepts connections between the processes of the system.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}
