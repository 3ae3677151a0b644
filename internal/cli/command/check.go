package command

import (
	"errors"
	"fmt"
	"os"

	"fulmardeal/internal/fleet/configuration"
)

const checkHelp = `Checks files of the configuration and shows all faults in one run, each with its
file, line and path. Each file is checked as a whole configuration of its own.

Example:
  fulmardeal check site.toml`

// check checks files without applying them.
type check struct {
	env *environment
}

// Execute checks the files that the arguments name.
func (c *check) Execute(args []string) error {
	if len(args) == 0 {
		return &usageError{reason: "name one file or more"}
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
