package command

import (
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/process/operator"
)

const outHelp = `Takes a data centre out: its endpoints get no new work, what is in progress
ends. The command waits until this is in force everywhere.

Example:
  fulmardeal out karachi-a`

const backHelp = `Brings a data centre back. Its endpoints open slowly, as from a cold start.

Example:
  fulmardeal back karachi-a`

// outOrBack takes a data centre out, or brings it back.
type outOrBack struct {
	env *environment
	out bool
	operatorFlags
}

// Execute changes the data centre that the argument names.
func (c *outOrBack) Execute(args []string) error {
	if len(args) != 1 {
		return &usageError{reason: "name one data centre"}
	}
	return c.change(c.env, func(s configuration.State) (configuration.Document, error) {
		return operator.SetDataCentre(s, args[0], c.out)
	})
}
