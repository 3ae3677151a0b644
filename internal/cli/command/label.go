package command

import (
	"fmt"
	"strings"

	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/process/operator"
)

const labelHelp = `Sets labels of an endpoint or customer. An empty value removes the label.

Examples:
  fulmardeal label endpoint lahore-a-qalam-3 pool=wedding
  fulmardeal label customer noor size=`

// labelCommand sets labels of an endpoint or customer.
type labelCommand struct {
	env *environment
	operatorFlags
}

// Execute sets the labels given as arguments.
func (c *labelCommand) Execute(args []string) error {
	const minArgs = 3
	if len(args) < minArgs {
		return &usageError{reason: "expected the arguments KIND NAME KEY=VALUE…"}
	}
	var labels []configuration.LabelEntry
	for _, a := range args[2:] {
		name, value, found := strings.Cut(a, "=")
		if !found {
			return &usageError{reason: fmt.Sprintf("%q is not KEY=VALUE", a)}
		}
		labels = append(labels, configuration.LabelEntry{Name: name, Value: value})
	}
	return c.change(c.env, func(s configuration.State) (configuration.Document, error) {
		return operator.SetLabels(s, args[0], args[1], labels)
	})
}
