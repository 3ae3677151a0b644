// Package attempt runs requests beside the endpoint, at most once each.
//
// An entry gives every attempt an id. The agent's Table runs an attempt once,
// keeps its answer until the entry has read it, and can be asked over a new
// connection what became of it. Asking about an id that was never seen fences
// it: a copy that arrives later is refused. The answer is read piece by piece
// by offset, so that an entry can pick it up again over another connection.
//
// The package doesn't choose endpoints and doesn't repeat anything; that is
// the entry's part, in package request.
package attempt

import (
	"time"

	"fulmardeal"
)

// ServiceName is the name under which the agent serves attempts.
const ServiceName = "Attempt"

// Ran says whether a request has run at an endpoint.
type Ran string

// What can be known about a run. RanNo is a promise.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Reason says why an agent refused an attempt. A refusal implies RanNo.
type Reason string

// Reasons of refusals.
const (
	ReasonFull        Reason = "full"
	ReasonShare       Reason = "share"
	ReasonOut         Reason = "out"         // the data centre has been taken out
	ReasonLeaving     Reason = "leaving"     // the instance is stopping
	ReasonFenced      Reason = "fenced"      // somebody asked before the attempt arrived
	ReasonModel       Reason = "model"       // the endpoint doesn't serve the model now
	ReasonUnconfirmed Reason = "unconfirmed" // the agent can't confirm its configuration
	ReasonIncarnation Reason = "incarnation" // meant for an earlier process at this address
	ReasonUnsent      Reason = "unsent"      // the endpoint could not be reached
	ReasonStopped     Reason = "stopped"     // the endpoint refused it before it ran
)

// Refusal is an agent's word that an attempt hasn't run and won't.
type Refusal struct {
	Reason Reason
	After  time.Duration // when to come back
}

// Fault says why an answer is not whole.
type Fault string

// Faults of answers.
const (
	FaultNone      Fault = ""
	FaultEndpoint  Fault = "endpoint"  // the endpoint failed before its answer began
	FaultCut       Fault = "cut"       // the endpoint's answer broke off
	FaultMixed     Fault = "mixed"     // the weights changed under way
	FaultLate      Fault = "late"      // the deadline passed
	FaultLarge     Fault = "large"     // the answer is over the size limit
	FaultCancelled Fault = "cancelled" // the entry gave it up
)

// Task asks an agent to run a call.
type Task struct {
	ID          string
	Incarnation string             // of the agent that is meant
	Version     int64              // of the configuration at the entry
	Model       fulmardeal.Version // the model that must answer; zero for plain services
	Service     string
	Customer    string
	Share       int // the customer's part of the room, percent
	Method      string
	Path        string
	Header      []fulmardeal.Field
	Body        []byte
	Priority    int
	Remaining   time.Duration // until the request's deadline
	Safe        bool          // running it again does no harm
	Keyed       bool          // others may read the answer too: keep all of it
}

// Piece is a part of an attempt's answer, starting at Offset.
type Piece struct {
	ID      string // of the attempt; a piece with another id is dropped
	Refusal *Refusal
	Status  int
	Header  []fulmardeal.Field
	Offset  int64
	Data    []byte
	Done    bool // nothing follows
	Fault   Fault
	Model   fulmardeal.Version // the weights that answered; zero for plain services
	Room    Room
}

// Room is an agent's word on its endpoint, at the time of the reply.
type Room struct {
	Running int
	Limit   int
}

// Place is how far an entry has read an attempt's answer.
type Place struct {
	ID          string
	Incarnation string
	Offset      int64
}

// Question asks what became of an attempt. Age is how long ago the asker
// first sent it, by its own clock.
type Question struct {
	ID          string
	Incarnation string
	Age         time.Duration
	Soft        bool // don't fence
}

// State is what an agent knows about an attempt.
type State string

// States of attempts.
const (
	StateFenced  State = "fenced"  // never seen, and will be refused if it comes
	StateRunning State = "running" // in progress or done: read it
	StateUnseen  State = "unseen"  // never seen, and not fenced, since the question was soft
	StateGone    State = "gone"    // may have run; nothing more is known
)

// Word is an agent's answer to a question.
type Word struct {
	State State
}
