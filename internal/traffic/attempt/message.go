// Package attempt runs requests on an instance's endpoint, at most once each.
//
// An entry assigns every attempt a unique id. The agent's Table runs an attempt
// once, buffers its response until the entry has read it, and reports the
// attempt's state to queries over any connection. Querying an id that the agent
// has never seen fences it: a copy that arrives later is refused. The response
// is read in segments by offset, so that an entry can resume reading over
// another connection.
//
// The package neither selects endpoints nor retries; the entry does both, in
// package request.
package attempt

import (
	"time"

	"fulmardeal"
)

// ServiceName is the net/rpc name of the agent's Service.
const ServiceName = "Attempt"

// Ran states whether an endpoint has executed a request.
type Ran string

// Values of Ran. RanNo is a guarantee: the request can be retried safely.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Reason is the cause of a Refusal. Whatever the reason, a refusal implies RanNo.
type Reason string

// Reasons for refusing an attempt.
const (
	ReasonFull        Reason = "full"        // the endpoint's concurrency limit is reached
	ReasonShare       Reason = "share"       // the customer's share of the limit is used up
	ReasonOut         Reason = "out"         // the data centre is out of service
	ReasonLeaving     Reason = "leaving"     // the instance is shutting down
	ReasonFenced      Reason = "fenced"      // the attempt was queried, and thereby fenced, before it arrived
	ReasonModel       Reason = "model"       // the endpoint isn't serving the requested model
	ReasonUnconfirmed Reason = "unconfirmed" // the agent can't confirm that its configuration is current
	ReasonIncarnation Reason = "incarnation" // the message is meant for another agent process, such as an earlier one at this address
	ReasonUnsent      Reason = "unsent"      // the endpoint could not be reached
	ReasonStopped     Reason = "stopped"     // the endpoint refused the request without executing it
)

// Refusal is an agent's guarantee that an attempt has not run and will not run.
type Refusal struct {
	Reason Reason
	After  time.Duration // delay before a retry; 0 if the agent gave none
}

// Fault is the reason why a response is incomplete or invalid.
type Fault string

// Values of Fault.
const (
	FaultNone      Fault = ""
	FaultEndpoint  Fault = "endpoint"  // the endpoint failed before its response started
	FaultCut       Fault = "cut"       // the response was truncated or is no longer available
	FaultMixed     Fault = "mixed"     // the model weights changed during the response
	FaultLate      Fault = "late"      // the deadline expired
	FaultLarge     Fault = "large"     // the response exceeds the size limit
	FaultCancelled Fault = "cancelled" // the entry cancelled the attempt or stopped reading it
)

// Task is the request to an agent to run an attempt.
type Task struct {
	ID          string
	Incarnation string             // identifies the agent process that is to run the attempt
	Version     int64              // version of the configuration that the entry used
	Model       fulmardeal.Version // required model; zero for services without a model
	Service     string
	Customer    string
	Share       int // the customer's share of the endpoint's concurrency limit, in percent; 0 for no bound
	Method      string
	Path        string
	Header      []fulmardeal.Field
	Body        []byte
	Priority    int
	Remaining   time.Duration // time until the request's deadline
	Safe        bool          // the request is idempotent and may be run again
	// Keyed reports that the request has an idempotency key: the whole response is
	// kept for later requests with the key.
	Keyed bool
}

// Segment is a part of an attempt's response, starting at Offset.
type Segment struct {
	ID      string // attempt id; readers discard a segment with another id
	Refusal *Refusal
	Status  int
	Header  []fulmardeal.Field
	Offset  int64
	Data    []byte
	Done    bool // this is the last segment of the response
	Fault   Fault
	Model   fulmardeal.Version // model that produced the response; zero for services without a model
	Room    Capacity
}

// Capacity is the number of requests in progress at an endpoint and the endpoint's
// concurrency limit, both at the time of the reply.
type Capacity struct {
	Running int
	Limit   int
}

// Cursor is an entry's read position in the response of an attempt.
type Cursor struct {
	ID          string
	Incarnation string
	Offset      int64
}

// StateQuery queries the state of an attempt. Age is the time since the entry
// first sent the attempt, by the entry's clock.
type StateQuery struct {
	ID          string
	Incarnation string
	Age         time.Duration
	Soft        bool // the agent must not fence the attempt if it has never seen it
}

// State is the state of an attempt as known to an agent.
type State string

// States of attempts.
const (
	StateFenced  State = "fenced"  // has not run and won't: it was refused, or will be when it arrives
	StateRunning State = "running" // in progress or finished; its response can be read
	StateUnseen  State = "unseen"  // the agent has never seen it, and didn't fence it because the query was soft
	StateGone    State = "gone"    // may have run; its response isn't available
)

// StateReply is the reply to a StateQuery.
type StateReply struct {
	State State
}
