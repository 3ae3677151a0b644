// Command standin3 plays cases of the review: it starts the project's entry as a process of its
// own beside stand-ins of the platform, a runner and clients, all on loopback addresses, and
// judges what clients and runners see.
//
//	standin3 CASE FOLDER PROGRAM
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(exitFailed)
	}
	if os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	cases := map[string]func(*trial) (broken int, err error){"leave": playLeave, "tenants": playTenants, "version": playVersion}
	play := cases[os.Args[1]]
	if play == nil || len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER PROGRAM")
		os.Exit(exitFailed)
	}
	t, err := newTrial(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		t.close()
		os.Exit(exitFailed)
	}()
	broken, err := play(t)
	code := exitHeld
	switch {
	case err != nil:
		t.log("could not run: %v", err)
		code = exitFailed
	case broken > 0:
		t.log("RULE BROKEN %d times", broken)
		code = exitBroken
	default:
		t.log("rule held")
	}
	t.close()
	os.Exit(code)
}
