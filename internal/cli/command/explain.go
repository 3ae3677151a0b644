package command

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"fulmardeal/internal/process/logbook"
)

const explainHelp = `Prints the events of one request from the logs of the processes, in order of
time: all decisions about it, and changes in the state of those processes shortly
before. Lines that can't be parsed are reported and skipped.

Example:
  fulmardeal explain 9c41d07be2a35f68 entry-1.log entry-2.log`

// explain prints the events of one request.
type explain struct {
	env  *environment
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// notFoundError reports that none of the given log files mentions the request.
type notFoundError struct {
	id    string
	files []string
}

func (e *notFoundError) Error() string {
	return fmt.Sprintf("request %s not found in %s", e.id, strings.Join(e.files, ", "))
}

// Execute prints the events. It fails if there are none, or if a file is not a
// log of this program; other files and lines that can't be read are only
// reported.
func (c *explain) Execute([]string) error {
	var lines []logbook.Line
	var faults []error
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		parsed, parseErrs := logbook.Read(name, f)
		f.Close()
		lines = append(lines, parsed...)
		faults = append(faults, parseErrs...)
	}
	events := logbook.RequestLines(c.Args.ID, lines)
	for _, l := range events {
		fmt.Fprintf(c.env.out, "%s %s: %s", l.Time.Format("15:04:05.000"), l.File, l.Message)
		for _, f := range l.Fields {
			if f.Key != "id" {
				fmt.Fprintf(c.env.out, " %s=%s", f.Key, f.Value)
			}
		}
		fmt.Fprintln(c.env.out)
	}
	for _, err := range faults {
		fmt.Fprintln(c.env.err, err)
	}
	if len(events) == 0 {
		return &notFoundError{id: c.Args.ID, files: c.Args.Files}
	}
	var foreign *logbook.NoLogError
	for _, err := range faults {
		if errors.As(err, &foreign) {
			return foreign
		}
	}
	return nil
}
