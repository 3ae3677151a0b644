// Package fulmardeal declares what varies in the system: the platform's
// services, the endpoints and the network, with the values that they speak in.
//
// It holds interfaces and plain values only. Implementations live below
// internal/: adapters to the real services in internal/platform, small faulty
// ones in internal/standin. Nothing here opens a connection or starts a
// goroutine.
package fulmardeal

import (
	"context"
	"io"
	"net"
	"time"
)

// Offset is a record's place in a stream of the log. The first record has
// offset 1; 0 means "before every record".
type Offset int64

// Record is one entry of a log stream.
type Record struct {
	Offset Offset
	Time   time.Time // when the log accepted the record, by the log's clock
	Body   []byte
}

// Log is the platform's append-only log service. Its answers can be lost after
// the append has taken effect, so a writer reads its own record back.
type Log interface {
	// Append adds body to the stream and returns its offset.
	Append(ctx context.Context, stream string, body []byte) (Offset, error)

	// Read returns at most `most` records whose offset is at least from, in
	// order. It returns a *TrimmedError when records at from have expired.
	Read(ctx context.Context, stream string, from Offset, most int) ([]Record, error)
}

// Version names one set of weights of one model.
type Version struct {
	Model string
	Name  string
}

// String returns the version as model@name, and nothing for the zero version.
func (v Version) String() string {
	if v.Zero() {
		return ""
	}
	return v.Model + "@" + v.Name
}

// Zero reports whether v names nothing.
func (v Version) Zero() bool { return v == Version{} }

// Origin is the platform's source of weights. Its link is narrow, so it is
// asked for each chunk about once by the whole system.
type Origin interface {
	// Manifest returns the encoded manifest of v, unchecked.
	Manifest(ctx context.Context, v Version) ([]byte, error)

	// Chunk returns the bytes of one chunk of v, unchecked. A *BusyError says
	// that the origin asks the caller to wait.
	Chunk(ctx context.Context, v Version, index int) ([]byte, error)
}

// Role is what a process of the system does.
type Role string

// The roles that run for good.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance describes one running process of the system to the others.
type Instance struct {
	Name        string
	Incarnation string // new at every start of the process
	Role        Role
	Address     string // host:port of the process's internal listener
	DataCentre  string
	Region      string
	Service     string // the service of the endpoint beside an agent
	Labels      []Field
	Leaving     bool
}

// Directory is the platform's lagging list of live and leaving instances.
type Directory interface {
	List(ctx context.Context) ([]Instance, error)

	// Announce tells the platform about this instance. The platform forgets an
	// instance that has not announced itself for a while.
	Announce(ctx context.Context, in Instance) error
}

// Field is one named value: a header or a label.
type Field struct {
	Name  string
	Value string
}

// Call is one request on its way to an endpoint.
type Call struct {
	ID       string // the attempt's id, unique over all attempts
	Service  string
	Customer string
	Method   string
	Path     string // with the query, starting with a slash
	Header   []Field
	Body     []byte
	Priority int // larger goes first; 0 is ordinary
}

// Answer is an endpoint's reply. The body must be closed; closing it early
// cancels the call.
type Answer struct {
	Status int
	Header []Field
	Body   io.ReadCloser
}

// Endpoint answers calls. A Call error means that nothing is known about
// whether the endpoint ran the call, unless it is an *UnsentError.
type Endpoint interface {
	Call(ctx context.Context, c Call) (Answer, error)

	// Cancel asks the endpoint to stop working on an attempt.
	Cancel(ctx context.Context, id string) error

	// Load returns the endpoint's own report, which lags.
	Load(ctx context.Context) (Load, error)
}

// Load is an endpoint's report about itself.
type Load struct {
	Running int
	Waiting int
	Boot    string // changes when the endpoint has started anew; empty when unknown
}

// Held is what an engine says that it serves now.
type Held struct {
	Version Version
	Digest  string // of the active weights, lower-case hex SHA-256
	Fence   int64
	Boot    string
}

// LoadOrder tells an engine to serve a version from its store. Engines that
// check the fence refuse an order whose fence is lower than the last one.
type LoadOrder struct {
	Version Version
	Digest  string
	Chunks  int
	Fence   int64
}

// Engine is a model server and the store of weights beside it.
type Engine interface {
	Held(ctx context.Context) (Held, error)
	Order(ctx context.Context, o LoadOrder) error

	// PutChunk stores a checked chunk; Chunk reads it back for peers. A chunk
	// that is not stored gives a *MissingError.
	PutChunk(ctx context.Context, v Version, index int, data []byte) error
	Chunk(ctx context.Context, v Version, index int) ([]byte, error)

	// Chunks lists the stored chunks of v.
	Chunks(ctx context.Context, v Version) ([]int, error)
}

// Network opens and accepts the connections between the system's processes.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}
