package command

import (
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/process/operator"
)

const outHelp = `Takes a data centre out of service: its endpoints receive no new requests, and
requests in progress are completed. The command waits until all processes use
the change.

Example:
  fulmardeal out karachi-a`

const backHelp = `Returns a data centre to service. Its endpoints go through slow start again.

Example:
  fulmardeal back karachi-a`

// dataCentreCommand takes a data centre out of service or returns it.
type dataCentreCommand struct {
	env *environment
	out bool
	operatorFlags
}

// Execute changes the data centre given as argument.
func (c *dataCentreCommand) Execute(args []string) error {
	if len(args) != 1 {
		return &usageError{reason: "expected one data centre"}
	}
	return c.change(c.env, func(s configuration.State) (configuration.Document, error) {
		return operator.SetDataCentre(s, args[0], c.out)
	})
}
