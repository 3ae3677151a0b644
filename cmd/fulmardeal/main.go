// Command fulmardeal spreads model weights and routes requests; see the
// README.
package main

import (
	"os"

	"fulmardeal/internal/cli/command"
)

func main() { os.Exit(command.Main()) }
