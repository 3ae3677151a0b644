// Package command implements the program's command line. The subcommands read
// flags, call the packages that do the work, and print the results; the logic
// is in those packages.
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
	exitFailed = 1 // the command failed, or what it asked for was rejected
	exitUsage  = 2
)

// usageError reports an invalid command line.
type usageError struct {
	reason string
}

func (e *usageError) Error() string { return e.reason }

// global holds the flags of all subcommands.
type global struct {
	Verbose bool `short:"v" long:"verbose" description:"Log debug messages too"`
	Quiet   bool `short:"q" long:"quiet" description:"Log only warnings and errors"`
}

// environment holds the global flags and the outputs of a subcommand.
type environment struct {
	global global
	out    io.Writer
	err    io.Writer
}

// logger returns a logger that writes one line of key=value pairs per event to
// the error output.
func (e *environment) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(e.err, &slog.HandlerOptions{Level: e.level()}))
}

// level returns the minimum log level.
func (e *environment) level() slog.Level {
	switch {
	case e.global.Verbose:
		return slog.LevelDebug
	case e.global.Quiet:
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// Main runs the subcommand given by the process's arguments and returns the
// exit code.
func Main() int { return run(os.Args[1:], os.Stdout, os.Stderr) }

func run(args []string, out, errs io.Writer) int {
	env := &environment{out: out, err: errs}
	p := flags.NewNamedParser("fulmardeal", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "fulmardeal distributes model weights to many instances and routes requests to them.\n" +
		"Start with: fulmardeal local"
	if _, err := p.AddGroup("Global Options", "", &env.global); err != nil {
		return report(errs, err)
	}
	for _, c := range subcommands(env) {
		if _, err := p.AddCommand(c.name, c.summary, c.help, c.command); err != nil {
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

// report returns the exit code for err, and prints err unless it is nil.
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
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

type subcommand struct {
	name    string
	summary string
	help    string
	command flags.Commander
}

func subcommands(env *environment) []subcommand {
	return []subcommand{
		{"local", "Run the whole system in this process", localHelp, &local{env: env}},
		{"entry", "Run an entry", entryHelp, &entryCommand{env: env}},
		{"agent", "Run the agent of an endpoint", agentHelp, &agentCommand{env: env}},
		{"gateway", "Run an entry on the users' platform", gatewayHelp, &gatewayCommand{env: env}},
		{"loader", "Run the agent of an engine on the users' platform", loaderHelp, &loaderCommand{env: env}},
		{"quarantine", "Print or release parts of prompts that crash endpoints", quarantineHelp, &quarantineCommand{env: env}},
		{"soak", "Inject faults into the system on a simulated platform and check its guarantees", soakHelp, &soakCommand{env: env}},
		{"explain", "Print the events of one request from logs", explainHelp, &explain{env: env}},
		{"standin", "Run a simulated platform service or endpoint", standinHelp, &standin{env: env}},
		{"check", "Check configuration files", checkHelp, &check{env: env}},
		{"apply", "Change the configuration", applyHelp, &apply{env: env}},
		{"show", "Show the configuration", showHelp, &show{env: env}},
		{"out", "Take a data centre out of service", outHelp, &dataCentreCommand{env: env, out: true}},
		{"back", "Return a data centre to service", backHelp, &dataCentreCommand{env: env}},
		{"label", "Set labels of an endpoint or customer", labelHelp, &labelCommand{env: env}},
		{"status", "Print the status of all processes", statusHelp, &statusCommand{env: env}},
		{"route", "Say where a request would go, without sending it", routeHelp, &routeCommand{env: env}},
		{"dump", "Print the state of a process", dumpHelp, &dump{env: env}},
		{"bench", "Run a benchmark", benchHelp, &bench{env: env}},
		{"version", "Print the version", "Prints the version of the program.", &version{env: env}},
	}
}
