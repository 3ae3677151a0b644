package command

import (
	"context"
	"errors"
	"fmt"
	"os"

	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/process/operator"
)

const applyHelp = `Applies a change to the configuration: entities in the file are created or
replaced, those under [[remove]] are deleted. The command reports the change as
accepted only after it has read its record back from the log, and then waits
until all processes use it. Of two concurrent changes to the same entity, one is
rejected.

Examples:
  fulmardeal apply change.toml
  fulmardeal apply --dry change.toml`

// apply changes the configuration, or shows the effect of a change without making it.
type apply struct {
	env *environment
	operatorFlags
	Dry bool `long:"dry" description:"Show what the change would move, without applying it"`
}

// Execute applies the file given as argument.
func (c *apply) Execute(args []string) error {
	if len(args) != 1 {
		return &usageError{reason: "expected one FILE argument"}
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	d, err := configuration.ParseDocument(args[0], data)
	if err != nil {
		return err
	}
	if c.Dry {
		return c.dry(args[0], d)
	}
	err = c.change(c.env, func(configuration.State) (configuration.Document, error) { return d, nil })
	return setFaultFile(args[0], err)
}

// setFaultFile sets the file name in the configuration faults that err contains, if
// any.
func setFaultFile(file string, err error) error {
	var f *configuration.FaultsError
	if errors.As(err, &f) {
		for i := range f.Faults {
			f.Faults[i].File = file
		}
	}
	return err
}

// dry prints what the change would move, without applying it.
func (c *apply) dry(file string, d configuration.Document) error {
	return c.withState(func(ctx context.Context, o *operator.Operator, s configuration.State) error {
		if faults := s.Check(d); len(faults) > 0 {
			return setFaultFile(file, &configuration.FaultsError{Faults: faults})
		}
		moves := operator.Effects(s, d, o.Status(ctx))
		if c.JSON {
			return printJSON(c.env, moves)
		}
		for _, m := range moves {
			fmt.Fprintln(c.env.out, m)
		}
		if len(moves) == 0 {
			fmt.Fprintln(c.env.out, "nothing would move")
		}
		return nil
	})
}
