package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"fulmardeal/internal/process/gateway"
	"fulmardeal/internal/traffic/dispatch"
)

const routeHelp = `Says where a request would go now, and why, without sending it. It asks the entry
on the users' platform whose metrics are served at an address, which decides as it
would about the request itself: to which endpoint it would be sent, or that it would
wait or be refused; then what the entry knows of each endpoint of the service.
Endpoints that are about as good are drawn at random. The exit code is 1 if no service
is found for the request.

Example:
  fulmardeal route 127.0.0.1:9464 shop.example /read/1 --customer florist`

// routeCommand prints where a request would go.
type routeCommand struct {
	env       *environment
	Method    string        `long:"method" description:"Method of the request" default:"GET"`
	Customer  string        `long:"customer" description:"Name of the customer (never a key)" value-name:"NAME"`
	Prompt    int           `long:"prompt" description:"Length of the prompt" value-name:"TOKENS"`
	Deadline  time.Duration `long:"deadline" description:"How long the caller waits, if it says so"`
	Objective time.Duration `long:"objective" description:"Objective, if not that of the route"`
	ID        string        `long:"id" description:"Id of the attempt; it decides where a route has several services"`
	Exclude   []string      `long:"exclude" description:"Endpoint that must not be tried; may be repeated" value-name:"ID"`
	JSON      bool          `long:"json" description:"Print JSON"`
	Args      struct {
		Address string `positional-arg-name:"IP:PORT" required:"yes"`
		Host    string `positional-arg-name:"HOST" required:"yes"`
		Path    string `positional-arg-name:"PATH" required:"yes"`
	} `positional-args:"yes"`
}

// Limits on the answer of an entry.
const (
	routeTimeout  = 10 * time.Second
	maxRouteBytes = 64 << 20
)

// Execute asks the entry and prints its answer.
func (c *routeCommand) Execute(rest []string) error {
	if len(rest) > 0 {
		return &usageError{reason: fmt.Sprintf("unexpected argument %q", rest[0])}
	}
	data, err := c.ask()
	if err != nil {
		return err
	}
	var p gateway.RoutePreview
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("answer of %s: %w", c.Args.Address, err)
	}
	if c.JSON {
		if _, err := c.env.out.Write(data); err != nil {
			return err
		}
	}
	if p.Status != 0 {
		return fmt.Errorf("%s (the entry %s would answer with status %d by version %d of the configuration)", p.Unresolved, p.Entry, p.Status, p.Version)
	}
	if c.JSON {
		return nil
	}
	return c.print(&p)
}

// ask returns the entry's answer.
func (c *routeCommand) ask() ([]byte, error) {
	q := url.Values{"host": {c.Args.Host}, "path": {c.Args.Path}, "method": {c.Method}, "exclude": c.Exclude}
	for name, value := range map[string]string{"customer": c.Customer, "id": c.ID} {
		if value != "" {
			q.Set(name, value)
		}
	}
	for name, d := range map[string]time.Duration{"deadline": c.Deadline, "objective": c.Objective} {
		if d != 0 {
			q.Set(name, d.String())
		}
	}
	if c.Prompt != 0 {
		q.Set("prompt", strconv.Itoa(c.Prompt))
	}
	u := url.URL{Scheme: "http", Host: c.Args.Address, Path: gateway.RoutePath, RawQuery: q.Encode()}
	client := http.Client{Timeout: routeTimeout}
	resp, err := client.Get(u.String())
	if err != nil {
		var failed *url.Error
		if errors.As(err, &failed) {
			err = failed.Err // without the address of the question
		}
		return nil, fmt.Errorf("entry at %s: %w", c.Args.Address, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRouteBytes))
	switch {
	case err != nil:
		return nil, fmt.Errorf("entry at %s: %w", c.Args.Address, err)
	case resp.StatusCode == http.StatusBadRequest:
		return nil, &usageError{reason: strings.TrimSpace(string(data))}
	case resp.StatusCode == http.StatusNotFound:
		return nil, fmt.Errorf("%s does not say where requests go: expected the metrics address of an entry on the users' platform, of this version or later", c.Args.Address)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("entry at %s: status %s", c.Args.Address, resp.Status)
	}
	return data, nil
}

// print prints an answer as text.
func (c *routeCommand) print(p *gateway.RoutePreview) error {
	out := c.env.out
	fmt.Fprintf(out, "entry %s, version %d: route=%s customer=%s rank=%d objective=%s limit=%s", p.Entry, p.Version, p.Route, p.Customer, p.Rank, p.Objective, p.TimeLimit)
	for _, homes := range p.Homes {
		fmt.Fprintf(out, " homes=%s", strings.Join(homes, ","))
	}
	fmt.Fprintln(out)
	for _, s := range p.Services {
		fmt.Fprintf(out, "\nservice %s (%.0f%% of the route): %s\n", s.Service, 100*s.Part, describe(&s.Preview))
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "ENDPOINT\tDATACENTRE\tOWN\tOTHERS\tSLOTS\tFREE\tPREDICTED\tNETWORK\tLAG\tNOTE")
		for _, e := range s.Candidates {
			free := strconv.Itoa(e.Free)
			if e.Free == math.MaxInt32 {
				free = "any"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n", e.ID, e.DataCentre, e.Running, e.PeerRunning, e.Slots, free, e.Predicted, e.Network, e.Lag, note(&e))
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// describe returns a decision in words.
func describe(p *dispatch.Preview) string {
	text := fmt.Sprintf("%d queued, %d entries with queues", p.Queued, p.Contenders)
	switch p.Decision {
	case dispatch.DecisionSend:
		return fmt.Sprintf("sent to %s (%s)", p.Endpoint, text)
	case dispatch.DecisionWait:
		if p.LeavesSlot {
			text += ", a free slot is left to those that come before it"
		}
		if p.Overuse > 0 {
			text += fmt.Sprintf(", the customer is %.2f above its part", p.Overuse)
		}
		return fmt.Sprintf("waits for at most %s, %d before it (%s)", p.Wait, p.Before, text)
	}
	return fmt.Sprintf("refused, reason=%s, retry after %s (%s)", p.Reason, p.RetryAfter, text)
}

// note returns why an endpoint gets no request now, and what leaves for its data centre.
func note(e *dispatch.Candidate) string {
	notes := []string{e.Reason}
	switch {
	case e.Barred != "":
		notes = append(notes, "no share leaves for it: "+e.Barred)
	case e.Share > 0:
		notes = append(notes, fmt.Sprintf("share %.2f", e.Share))
	case e.Away:
		notes = append(notes, "another data centre")
	}
	if e.Reason == "" {
		notes = notes[1:]
	}
	return strings.Join(notes, "; ")
}
