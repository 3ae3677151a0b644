package command

import (
	"context"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/process/operator"
)

const showHelp = `Prints the current configuration of the log in TOML, with its version.

Example:
  fulmardeal show`

// show prints the current configuration.
type show struct {
	env *environment
	operatorFlags
}

// Execute reads the log and prints the configuration.
func (c *show) Execute([]string) error {
	return c.withState(func(_ context.Context, _ *operator.Operator, s configuration.State) error {
		if c.JSON {
			return printJSON(c.env, s.Document())
		}
		data, err := toml.Marshal(s.Document())
		if err != nil {
			return err
		}
		fmt.Fprintf(c.env.out, "# version %d\n%s", s.Version(), data)
		return nil
	})
}
