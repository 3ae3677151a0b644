package command

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"fulmardeal"
	"fulmardeal/platform"
)

const quarantineHelp = `Prints the parts of prompts whose requests are kept from the endpoints of a
service on the users' platform, because endpoints crashed on them. With --release, requests
with these parts are sent to endpoints again; entries follow within about 10 s.

Examples:
  fulmardeal quarantine --store 10.200.1.7:8007
  fulmardeal quarantine --store 10.200.1.7:8007 --release qalam-llm 5c1e07a2`

// quarantineCommand prints or releases quarantines.
type quarantineCommand struct {
	env     *environment
	Store   string `long:"store" value-name:"IP:PORT" required:"yes" description:"Address of the platform's store"`
	Release bool   `long:"release" description:"Release the parts given as SERVICE PART..."`
}

// notQuarantinedError reports that there is no quarantine to release.
type notQuarantinedError struct {
	service string
	parts   []string
}

func (e *notQuarantinedError) Error() string {
	return fmt.Sprintf("parts %s of service %s are not quarantined", strings.Join(e.parts, ","), e.service)
}

// Execute prints the quarantines in force, or releases one.
func (c *quarantineCommand) Execute(args []string) error {
	switch {
	case c.Release && len(args) < 2:
		return &usageError{reason: "expected the arguments SERVICE PART... with --release"}
	case !c.Release && len(args) > 0:
		return &usageError{reason: "unexpected arguments without --release"}
	}
	ctx := context.Background()
	store, cleanup := platform.NewStore(c.Store)
	defer cleanup()
	changes, _, err := store.Entries().Newest(ctx)
	if err != nil {
		return err
	}
	for _, change := range changes {
		if change.Fault != nil {
			fmt.Fprintln(c.env.err, change.Fault)
		}
		q := change.Quarantine
		if q == nil || q.Released {
			continue
		}
		if !c.Release {
			fmt.Fprintf(c.env.out, "service=%s parts=%s since=%s crashes=%d weights=%v probes=%d\n", q.Service, strings.Join(q.Parts, ","), q.Since.UTC().Format("2006-01-02T15:04:05Z"), q.Crashes, q.Weights, q.Probes)
			continue
		}
		if q.Service == args[0] && sameParts(q, args[1:]) {
			q.Serial, q.Released = q.Serial+1, true
			return store.PutQuarantine(ctx, *q)
		}
	}
	if c.Release {
		return &notQuarantinedError{service: args[0], parts: args[1:]}
	}
	return nil
}

func sameParts(q *fulmardeal.Quarantine, parts []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(q.Parts)), slices.Sorted(slices.Values(parts)))
}
