// Command fulmardeal distributes model weights to instances and routes requests
// to them; see the README.
package main

import (
	"os"

	"fulmardeal/internal/cli/command"
)

func main() { os.Exit(command.Main()) }
