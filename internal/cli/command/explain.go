package command

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"fulmardeal/internal/process/logbook"
)

const explainHelp = `Prints the story of one request from the logs of the processes: every decision
that touched it, in order of time, with what those processes came to believe
shortly before. Lines that can't be read are named and left out.

Example:
  fulmardeal explain 9c41d07be2a35f68 entry-1.log entry-2.log`

// explain tells one request's story.
type explain struct {
	env  *environment
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// notFoundError is a request that no log names.
type notFoundError struct {
	id    string
	files []string
}

func (e *notFoundError) Error() string {
	return fmt.Sprintf("no line about request %s in %s", e.id, strings.Join(e.files, ", "))
}

// Execute prints the story.
func (c *explain) Execute([]string) error {
	var lines []logbook.Line
	var faults []error
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		some, bad := logbook.Read(name, f)
		f.Close()
		lines = append(lines, some...)
		faults = append(faults, bad...)
	}
	story := logbook.RequestLines(c.Args.ID, lines)
	for _, l := range story {
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
	if len(story) == 0 {
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
