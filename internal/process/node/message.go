package node

import (
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
)

// ServiceName is the name under which every process serves its peers.
const ServiceName = "Peer"

// Greeting is what two processes tell each other in an exchange.
type Greeting struct {
	From    membership.MemberUpdate
	Version fulmardeal.Offset // of the configuration in force
	Digest  string            // of the configuration in force

	// Age is how long ago the sender's configuration was confirmed; negative
	// when it never was.
	Age    time.Duration
	News   []membership.MemberUpdate
	Update configuration.Update // what the other lacks
}

// Join is what a process that has just started is told.
type Join struct {
	From   membership.MemberUpdate
	News   []membership.MemberUpdate
	Update configuration.Update
}

// Word is what a process says about itself to the operators' commands.
type Word struct {
	Name       string
	Role       fulmardeal.Role
	DataCentre string
	Version    fulmardeal.Offset
	Ready      bool
	Reason     string // why it isn't ready
	Serving    fulmardeal.Version
	Held       fulmardeal.Version
	Progress   string
}

// Verdict is what became of a record, as one process knows it.
type Verdict struct {
	Known    bool
	Accepted bool
	Offset   fulmardeal.Offset
	Reason   string
}

// Empty is a message without content.
type Empty struct{}
