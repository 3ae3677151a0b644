package node

import (
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
)

// ServiceName is the name of the RPC service that every process offers.
const ServiceName = "Peer"

// PeerMessage is the message that two processes send each other in an exchange.
type PeerMessage struct {
	From    membership.MemberUpdate
	Version fulmardeal.Offset // version of the configuration in force at the sender
	Digest  string            // digest of the configuration in force at the sender

	// Age is the time since the sender's configuration was last confirmed as the
	// newest, or neverConfirmed.
	Age    time.Duration
	News   []membership.MemberUpdate // updates that the sender gossips
	Update configuration.Update      // configuration records that the receiver lacks
}

// JoinReply is the reply to a process that has just started.
type JoinReply struct {
	From   membership.MemberUpdate
	News   []membership.MemberUpdate // updates about all members
	Update configuration.Update      // configuration records that the receiver lacks
}

// StatusReply is the status of a process, for the operators' commands.
type StatusReply struct {
	Name       string
	Role       fulmardeal.Role
	DataCentre string
	Version    fulmardeal.Offset
	Ready      bool
	Reason     string // why the process isn't ready, empty when it is
	Serving    fulmardeal.Version
	Held       fulmardeal.Version
	Progress   string // progress of the download of the weights, empty when there is none
}

// Verdict is one process's verdict on a configuration record: whether the process
// has read it, and whether it accepted it.
type Verdict struct {
	Known    bool
	Accepted bool
	Offset   fulmardeal.Offset
	Reason   string
}

// Empty is a message without content.
type Empty struct{}
