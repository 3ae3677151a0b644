package command

import (
	"context"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

const showHelp = `Shows the configuration that the log gives now, in TOML, with its version.

Example:
  fulmardeal show`

// show prints the configuration.
type show struct {
	env *environment
	operatorFlags
}

// Execute reads the log and prints what it gives.
func (c *show) Execute([]string) error {
	o, cleanup, err := c.open()
	if err != nil {
		return err
	}
	defer cleanup()
	s, err := o.State(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.env, s.Document())
	}
	data, err := toml.Marshal(s.Document())
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.out, "# version %d\n%s", s.Version(), data)
	return nil
}
