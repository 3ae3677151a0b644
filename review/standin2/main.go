// Command standin2 runs the cases of the second review: it starts the system's programs as
// processes beside stand-ins of the platform, and judges what callers and runners see.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE")
		os.Exit(exitFailed)
	}
	switch os.Args[1] {
	case "runner":
		runRunner(os.Args[2:])
	case "unframed":
		os.Exit(runCase(unframedCase))
	case "backlog":
		os.Exit(runCase(backlogCase))
	case "logs":
		os.Exit(runCase(logsCase))
	default:
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(exitFailed)
	}
}
