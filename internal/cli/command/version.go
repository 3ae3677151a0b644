package command

import (
	"fmt"
	"runtime/debug"
)

type version struct {
	env *environment
}

// Execute prints the version of the main module.
func (c *version) Execute([]string) error {
	v := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		v = info.Main.Version
	}
	fmt.Fprintf(c.env.out, "fulmardeal %s\n", v)
	return nil
}
