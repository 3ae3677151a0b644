package command

import (
	"errors"
	"fmt"
	"os"

	"fulmardeal/internal/fleet/configuration"
)

const checkHelp = `Checks configuration files and prints all faults at once, each with its file,
line and path. Each file is checked as a complete configuration.

Example:
  fulmardeal check site.toml`

// check checks configuration files without applying them.
type check struct {
	env *environment
}

// Execute checks the files given as arguments.
func (c *check) Execute(args []string) error {
	if len(args) == 0 {
		return &usageError{reason: "expected one or more FILE arguments"}
	}
	var all []configuration.Fault
	for _, file := range args {
		faults, err := checkFile(file)
		if err != nil {
			return err
		}
		all = append(all, faults...)
	}
	if len(all) > 0 {
		return &configuration.FaultsError{Faults: all}
	}
	fmt.Fprintf(c.env.out, "%d checked, no fault\n", len(args))
	return nil
}

func checkFile(file string) ([]configuration.Fault, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	d, err := configuration.ParseDocument(file, data)
	var f *configuration.FaultsError
	if errors.As(err, &f) {
		return f.Faults, nil
	}
	if err != nil {
		return nil, err
	}
	return configuration.LocateFaults(file, data, configuration.State{}.Check(d)), nil
}
