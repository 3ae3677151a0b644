// Command standin4 plays the cases of the third review: a small deployment whose entries are
// the project's own program, started as processes, and whose store, servers and clients are
// stand-ins in this process.
//
// Usage: standin4 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case couldn't run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// trouble reports whether the disruption is to be played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// play is a case. It returns what broke the rule.
type play func(l *lab) (broken []string, err error)

var plays = map[string]play{
	"drill":        playDrill,
	"encoded-body": playEncodedBody,
	"crash-part":   playCrashPart,
	"long-prompts": playLongPrompts,
	"no-tenants":   playNoTenants,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin4 CASE RECORD")
		return 2
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		l.close()
		os.Exit(2)
	}()
	l.note("trouble: %v", trouble())
	broken, err := plays[os.Args[1]](l)
	if err != nil {
		l.note("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	}
	for _, b := range broken {
		l.note("broken: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	l.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
