package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"fulmardeal/internal/standin/server"
)

const standinHelp = `Runs a simulated platform service or endpoint, for experiments: log, origin,
directory, engine or service. POST /faults makes the platform services fail.

Example:
  fulmardeal standin log --settings log.toml`

// standin runs a simulated platform service or endpoint.
type standin struct {
	env *environment
	settingsFlag
}

// Execute runs the kind given as argument until SIGTERM or SIGINT.
func (c *standin) Execute(args []string) error {
	kinds := []string{server.KindLog, server.KindOrigin, server.KindDirectory, server.KindEngine, server.KindService}
	if len(args) != 1 || !slices.Contains(kinds, args[0]) {
		return &usageError{reason: fmt.Sprintf("expected one of %s", strings.Join(kinds, ", "))}
	}
	s, err := server.Read(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return server.Run(ctx, args[0], s, c.env.logger())
}
