// Package command has the program's subcommands, one a file. They read flags,
// call the packages that do the work, and print what came of it; nothing is
// decided here.
package command

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1 // failed, or refused
	exitUsage  = 2
)

// usageError is a command line that can't be understood.
type usageError struct {
	reason string
}

func (e *usageError) Error() string { return e.reason }

// global are the flags of every subcommand.
type global struct {
	Verbose bool `short:"v" long:"verbose" description:"Log more"`
	Quiet   bool `short:"q" long:"quiet" description:"Log warnings and errors only"`
}

// environment is what the subcommands work with.
type environment struct {
	global global
	out    io.Writer
	err    io.Writer
}

// logger returns the logger of a process: one line of key=value an event.
func (e *environment) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(e.err, &slog.HandlerOptions{Level: e.level()}))
}

// level returns the lowest level that is logged.
func (e *environment) level() slog.Level {
	switch {
	case e.global.Verbose:
		return slog.LevelDebug
	case e.global.Quiet:
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// Main runs the subcommand that the process's arguments name and returns the
// exit code.
func Main() int { return run(os.Args[1:], os.Stdout, os.Stderr) }

func run(args []string, out, errs io.Writer) int {
	env := &environment{out: out, err: errs}
	p := flags.NewNamedParser("fulmardeal", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "fulmardeal spreads model weights to many instances and routes requests to them.\n" +
		"Start with: fulmardeal local"
	if _, err := p.AddGroup("Global Options", "", &env.global); err != nil {
		return report(errs, err)
	}
	for _, c := range subcommands(env) {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			return report(errs, err)
		}
	}

	_, err := p.ParseArgs(args)
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Fprintln(out, f.Message)
		return exitDone
	}
	return report(errs, err)
}

// report prints an error and returns its exit code.
func report(errs io.Writer, err error) int {
	if err == nil {
		return exitDone
	}
	var f *flags.Error
	if errors.As(err, &f) {
		fmt.Fprintln(errs, f.Message)
		return exitUsage
	}
	fmt.Fprintln(errs, err)
	var u *usageError
	if errors.As(err, &u) {
		return exitUsage
	}
	return exitFailed
}

// subcommand is one entry of the command line.
type subcommand struct {
	name    string
	short   string
	long    string
	command flags.Commander
}

func subcommands(env *environment) []subcommand {
	return []subcommand{
		{"local", "Run the whole system in this process", localHelp, &local{env: env}},
		{"entry", "Run an entry", entryHelp, &entryCommand{env: env}},
		{"agent", "Run the agent beside an endpoint", agentHelp, &agentCommand{env: env}},
		{"gateway", "Run an entry on the users' platform", gatewayHelp, &gatewayCommand{env: env}},
		{"loader", "Run the agent beside an engine on the users' platform", loaderHelp, &loaderCommand{env: env}},
		{"soak", "Disturb the system on a stand-in of the platform, and check what it promises", soakHelp, &soakCommand{env: env}},
		{"explain", "Tell one request's story from logs", explainHelp, &explain{env: env}},
		{"standin", "Run a stand-in of the platform or an endpoint", standinHelp, &standin{env: env}},
		{"check", "Check files of the configuration", checkHelp, &check{env: env}},
		{"apply", "Change the configuration", applyHelp, &apply{env: env}},
		{"show", "Show the configuration", showHelp, &show{env: env}},
		{"out", "Take a data centre out", outHelp, &outOrBack{env: env, out: true}},
		{"back", "Bring a data centre back", backHelp, &outOrBack{env: env}},
		{"label", "Set labels of an endpoint or a customer", labelHelp, &labelCommand{env: env}},
		{"status", "Ask every process how it is", statusHelp, &statusCommand{env: env}},
		{"dump", "Print a process's state", dumpHelp, &dump{env: env}},
		{"bench", "Run an experiment", benchHelp, &bench{env: env}},
		{"version", "Print the version", "Prints the version of the program.", &version{env: env}},
	}
}
