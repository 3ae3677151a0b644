// Command play starts a small deployment of the users' platform on loopback addresses, with the
// project's own programs as processes of their own, lets a disruption happen and checks one
// rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var (
	program = flag.String("program", "target/fulmardeal", "the project's program")
	runner  = flag.String("runner", "target/review/runner", "the stand-in of a model runner")
	record  = flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	trouble = flag.Bool("trouble", true, "whether the disruption happens")
	parts   = flag.Int("parts", 0, "further parts that all prompts share, in the case poison")
	senders = flag.Int("senders", 4, "clients that send requests with the part that crashes, in the case poison")
	pause   = flag.Duration("pause", 2*time.Second, "mean pause between two requests of such a client")
	chunked = flag.Bool("chunked", false, "runners answer in chunks, where the case has them answer otherwise")
)

// cases are the cases by name. Each returns what broke the rule, or an empty string.
var cases = map[string]func(ctx context.Context, d *deployment) (string, error){
	"poison":   playPoison,
	"crash":    playCrash,
	"silence":  playSilence,
	"late":     playLate,
	"stagebad": playStageBad,
}

func main() {
	flag.Parse()
	os.Exit(run(flag.Arg(0)))
}

func run(name string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	d, err := newDeployment(dir, out)
	if err == nil {
		var broken string
		broken, err = play(ctx, d)
		d.close()
		if err == nil && ctx.Err() == nil {
			return d.verdict(broken)
		}
		err = errors.Join(err, ctx.Err())
	} else {
		d.close()
	}
	d.note("the case couldn't run: %v", err)
	fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	copyLogs(dir, filepath.Dir(*record))
	return 2
}

// copyLogs does nothing unless the logs of a case that couldn't run are asked for.
func copyLogs(from, to string) {
	if os.Getenv("KEEP_LOGS") == "" {
		return
	}
	_ = os.CopyFS(filepath.Join(to, "logs"), os.DirFS(from)) // only for those who look into it
}
