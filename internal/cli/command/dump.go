package command

import (
	"context"
	"fmt"

	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/platform/adapter"
	"fulmardeal/internal/process/operator"
)

const dumpHelp = `Prints the state of the process at an internal address, in JSON.

Example:
  fulmardeal dump 127.0.0.1:7100`

// dump prints the state of a process.
type dump struct {
	env *environment
}

// Execute requests the state from the process at the address given as argument.
func (c *dump) Execute(args []string) error {
	if len(args) != 1 {
		return &usageError{reason: "expected one IP:PORT argument"}
	}
	o, cleanup := operator.New(adapter.Unreachable{}, nil, connection.TCP{})
	defer cleanup()
	data, err := o.Dump(context.Background(), args[0])
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.out, "%s\n", data)
	return nil
}
