package command

import (
	"context"
	"errors"
	"fmt"
	"os"

	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/process/operator"
)

const applyHelp = `Applies a change of the configuration: the entities in the file are set, those
under [[remove]] are removed. The command says accepted only after it has read
its record back from the log, and waits until the change is in force everywhere.
Of two changes of the same thing at the same time one is refused.

Examples:
  fulmardeal apply change.toml
  fulmardeal apply --dry change.toml`

// apply changes the configuration.
type apply struct {
	env *environment
	operatorFlags
	Dry bool `long:"dry" description:"Only show what the change would move"`
}

// Execute applies the file that the argument names.
func (c *apply) Execute(args []string) error {
	if len(args) != 1 {
		return &usageError{reason: "name one file"}
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
	return inFile(args[0], err)
}

// inFile says which file faults were found in.
func inFile(file string, err error) error {
	var f *configuration.FaultsError
	if errors.As(err, &f) {
		for i := range f.Faults {
			f.Faults[i].File = file
		}
	}
	return err
}

// dry shows what the change would move, without making it.
func (c *apply) dry(file string, d configuration.Document) error {
	return c.with(func(ctx context.Context, o *operator.Operator, s configuration.State) error {
		if faults := s.Check(d); len(faults) > 0 {
			return inFile(file, &configuration.FaultsError{Faults: faults})
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
