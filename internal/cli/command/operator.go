package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/platform/adapter"
	"fulmardeal/internal/process/operator"
)

// operatorFlags holds the flags of the operators' subcommands.
type operatorFlags struct {
	Log       string        `long:"log" env:"FULMARDEAL_LOG" description:"URL of the platform's log" value-name:"URL" required:"true"`
	Directory string        `long:"directory" env:"FULMARDEAL_DIRECTORY" description:"URL of the platform's list of instances" value-name:"URL" required:"true"`
	Wait      time.Duration `long:"wait" description:"How long to wait until all processes use a change" default:"16s"`
	JSON      bool          `long:"json" description:"Print JSON"`
}

// open creates an operator. The returned function closes its connections.
func (f operatorFlags) open() (*operator.Operator, func(), error) {
	log, err := adapter.NewLog(f.Log)
	directory, err2 := adapter.NewDirectory(f.Directory)
	if err := errors.Join(err, err2); err != nil {
		return nil, nil, &usageError{reason: err.Error()}
	}
	o, cleanup := operator.New(log, directory, connection.TCP{})
	return o, cleanup, nil
}

// errNotInForce reports that a change was accepted, but that some processes
// have not confirmed it within the time set by the flag --wait.
var errNotInForce = errors.New("accepted, but not yet in force in all processes")

// change passes the current state to make, applies the configuration that make
// returns, and prints the outcome.
func (f operatorFlags) change(env *environment, make func(configuration.State) (configuration.Document, error)) error {
	return f.withState(func(ctx context.Context, o *operator.Operator, s configuration.State) error {
		d, err := make(s)
		if err != nil {
			return err
		}
		outcome, err := o.Apply(ctx, d, f.Wait)
		if err != nil {
			return err
		}
		return f.printOutcome(env, outcome)
	})
}

// withState reads the current state and passes it to use, together with an operator.
func (f operatorFlags) withState(use func(ctx context.Context, o *operator.Operator, s configuration.State) error) error {
	o, cleanup, err := f.open()
	if err != nil {
		return err
	}
	defer cleanup()
	ctx := context.Background()
	s, err := o.State(ctx)
	if err != nil {
		return err
	}
	return use(ctx, o, s)
}

func (f operatorFlags) printOutcome(env *environment, outcome operator.Outcome) error {
	if f.JSON {
		if err := printJSON(env, outcome); err != nil {
			return err
		}
	} else if outcome.Accepted {
		fmt.Fprintf(env.out, "accepted as version %d, in force in %d processes\n", outcome.Offset, outcome.InForce)
	}
	switch {
	case !outcome.Accepted:
		return fmt.Errorf("change rejected: %s", outcome.Reason)
	case len(outcome.Missing) > 0:
		return fmt.Errorf("%w: %s", errNotInForce, strings.Join(outcome.Missing, ", "))
	}
	return nil
}

func printJSON(env *environment, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintf(env.out, "%s\n", data)
	return nil
}
