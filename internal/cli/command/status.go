package command

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"
)

const statusHelp = `Prints the status of all processes in the directory. The exit code is 1 if one
can't be reached or isn't ready.

Example:
  fulmardeal status`

// statusCommand prints a line for each process.
type statusCommand struct {
	env *environment
	operatorFlags
}

// Execute queries the processes and prints their status.
func (c *statusCommand) Execute([]string) error {
	o, cleanup, err := c.open()
	if err != nil {
		return err
	}
	defer cleanup()
	statuses := o.Status(context.Background())
	notReady := 0
	for _, s := range statuses {
		if !s.Reached || !s.Word.Ready {
			notReady++
		}
	}
	if c.JSON {
		if err := printJSON(c.env, statuses); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(c.env.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "NAME\tROLE\tDATACENTRE\tVERSION\tREADY\tSERVING\tNOTE")
		for _, s := range statuses {
			note := s.Word.Reason
			if !s.Reached {
				note = "not reached"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%s\t%s\n", s.Instance.Name, s.Instance.Role,
				s.Instance.DataCentre, s.Word.Version, s.Word.Ready, s.Word.Serving, note)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if len(statuses) == 0 {
		return errors.New("the directory lists no processes")
	}
	if notReady > 0 {
		return fmt.Errorf("%d of %d processes are not reachable or not ready", notReady, len(statuses))
	}
	return nil
}
