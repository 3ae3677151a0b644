// Package operator implements the operators' commands: it changes the
// configuration through the log, waits until a change is in force, and requests
// the status of processes. It keeps no state between commands.
package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/process/node"
)

// Intervals and limits of a command.
const (
	readBackInterval    = 100 * time.Millisecond
	appendAttempts      = 5                      // maximum number of attempts to append a record to the log
	appendRetryDelay    = 200 * time.Millisecond // between two attempts to append; doubled for each failed one, so 400 ms after the first
	callTimeout         = time.Second            // of a call to a process
	maxConcurrentCalls  = 64                     // maximum number of calls to processes in progress
	versionPollInterval = 250 * time.Millisecond // between two polls of the version in force
)

// Operator reads and changes the configuration, and queries processes.
type Operator struct {
	log       fulmardeal.Log
	directory fulmardeal.Directory
	pool      *connection.Pool
}

// New returns an operator, and a function that closes its connections.
func New(l fulmardeal.Log, d fulmardeal.Directory, network fulmardeal.Network) (*Operator, func()) {
	pool, cleanup := connection.NewPool(network, maxConcurrentCalls)
	return &Operator{log: l, directory: d, pool: pool}, cleanup
}

// Outcome is the outcome of applying a change.
type Outcome struct {
	ID       string            `json:"id"`
	Offset   fulmardeal.Offset `json:"offset"`
	Accepted bool              `json:"accepted"`
	Reason   string            `json:"reason,omitempty"`
	InForce  int               `json:"inforce"`           // number of processes with the change in force
	Missing  []string          `json:"missing,omitempty"` // names of the listed processes that don't have the change in force or can't be reached
}

// UnreachableError reports that the log could not be read or written. The result
// of the command is therefore unknown.
type UnreachableError struct {
	Operation string
	Cause     error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("%s: %v", e.Operation, e.Cause) }

func (e *UnreachableError) Unwrap() error { return e.Cause }

// State reads the current configuration state from the log.
func (o *Operator) State(ctx context.Context) (configuration.State, error) {
	s := configuration.NewStore(nil)
	if err := configuration.ReadLog(ctx, o.log, s); err != nil {
		return configuration.State{}, &UnreachableError{Operation: "reading the configuration", Cause: err}
	}
	return s.State(), nil
}

// Apply appends a change that is based on the current state, reads back whether it
// was accepted, and waits for at most timeout until every listed process has it in
// force. It doesn't append an invalid change, and returns a
// *configuration.FaultsError instead.
func (o *Operator) Apply(ctx context.Context, change configuration.Document, timeout time.Duration) (Outcome, error) {
	s := configuration.NewStore(nil)
	if err := configuration.ReadLog(ctx, o.log, s); err != nil {
		return Outcome{}, &UnreachableError{Operation: "reading the configuration", Cause: err}
	}
	if faults := s.State().Check(change); len(faults) > 0 {
		return Outcome{}, &configuration.FaultsError{Faults: faults}
	}
	id := uuid.NewString()
	body, err := configuration.EncodeChange(id, s.Version(), change)
	if err != nil {
		return Outcome{}, err
	}

	v, err := o.appendAndReadBack(ctx, s, id, body)
	if err != nil {
		return Outcome{ID: id}, err
	}
	out := Outcome{ID: id, Offset: v.Offset(), Accepted: v.Accepted(), Reason: v.Reason()}
	if !out.Accepted {
		return out, nil
	}
	out.InForce, out.Missing = o.awaitVersion(ctx, out.Offset, timeout)
	return out, nil
}

// appendAndReadBack appends the record and reads the log to get the verdict on it.
// If the record isn't found, it is appended again with the same ID, because an
// append or the reply to it can be lost.
func (o *Operator) appendAndReadBack(ctx context.Context, s *configuration.Store, id string, body []byte) (configuration.Verdict, error) {
	var lastErr error
	for i := range appendAttempts {
		if i > 0 {
			pause(ctx, appendRetryDelay<<i)
		}
		_, lastErr = o.log.Append(ctx, configuration.Stream, body)
		if err := configuration.ReadLog(ctx, o.log, s); err != nil {
			lastErr = errors.Join(lastErr, err)
			continue
		}
		if v, known := s.Verdict(id); known {
			return v, nil
		}
	}
	return configuration.Verdict{}, &UnreachableError{Operation: "recording change " + id + " (it may still take effect)", Cause: lastErr}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// awaitVersion polls the listed processes until all have the version in force, or
// the timeout expires. It returns how many have it and the names of those that
// don't.
func (o *Operator) awaitVersion(ctx context.Context, version fulmardeal.Offset, timeout time.Duration) (int, []string) {
	end := time.Now().Add(timeout)
	for {
		n, missing := o.countInForce(ctx, version)
		if len(missing) == 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return n, missing
		}
		pause(ctx, versionPollInterval)
	}
}

// countInForce returns how many of the listed processes have the version in force,
// and the names of those that don't.
func (o *Operator) countInForce(ctx context.Context, version fulmardeal.Offset) (int, []string) {
	n := 0
	var missing []string
	for _, s := range o.Status(ctx) {
		if s.Reached && s.Word.Version >= version {
			n++
			continue
		}
		missing = append(missing, s.Instance.Name)
	}
	return n, missing
}

// Status is the status of one listed process. The operators' commands print it in
// JSON under the names of its fields.
type Status struct {
	Instance fulmardeal.Instance
	Reached  bool
	Word     node.StatusReply // the process's reply; zero unless Reached
}

// Status requests the status of every listed process. The result is sorted by
// name, and empty when the list can't be read. The platform's list may lag.
func (o *Operator) Status(ctx context.Context) []Status {
	list, err := o.directory.List(ctx)
	if err != nil {
		return nil
	}
	out := make([]Status, len(list))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i, in := range list {
		out[i].Instance = in
		g.Go(func() error {
			out[i].Word, out[i].Reached = o.fetchStatus(ctx, in.Address)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
	return out
}

func (o *Operator) fetchStatus(ctx context.Context, address string) (node.StatusReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply node.StatusReply
	err := o.pool.Call(ctx, address, node.ServiceName+".Word", node.Empty{}, &reply)
	return reply, err == nil
}

// Dump returns the state dump of the process at an address, in JSON.
func (o *Operator) Dump(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var data []byte
	err := o.pool.Call(ctx, address, node.ServiceName+".Dump", node.Empty{}, &data)
	return data, err
}

// SetDataCentre returns the change that takes a data centre out of service, or
// back into it.
func SetDataCentre(s configuration.State, name string, out bool) (configuration.Document, error) {
	d := s.Document()
	i := slices.IndexFunc(d.DataCentre, func(e configuration.DataCentreEntry) bool { return e.Name == name })
	if i < 0 {
		return configuration.Document{}, fmt.Errorf("no data centre is called %q", name)
	}
	e := d.DataCentre[i]
	e.Out = out
	return configuration.Document{DataCentre: []configuration.DataCentreEntry{e}}, nil
}

// SetLabels returns the change that sets labels of a customer or of an endpoint.
func SetLabels(s configuration.State, kind, name string, labels []configuration.LabelEntry) (configuration.Document, error) {
	d := s.Document()
	switch kind {
	case "endpoint":
		e := configuration.EndpointEntry{Name: name}
		if i := slices.IndexFunc(d.Endpoint, func(x configuration.EndpointEntry) bool { return x.Name == name }); i >= 0 {
			e = d.Endpoint[i]
		}
		e.Label = merge(e.Label, labels)
		return configuration.Document{Endpoint: []configuration.EndpointEntry{e}}, nil
	case "customer":
		i := slices.IndexFunc(d.Customer, func(x configuration.CustomerEntry) bool { return x.Name == name })
		if i < 0 {
			return configuration.Document{}, fmt.Errorf("no customer is called %q", name)
		}
		e := d.Customer[i]
		e.Label = merge(e.Label, labels)
		return configuration.Document{Customer: []configuration.CustomerEntry{e}}, nil
	}
	return configuration.Document{}, fmt.Errorf("labels can only be set on an endpoint or a customer, not on a %q", kind)
}

// merge returns the labels in old with those in labels set. An empty value removes
// a label.
func merge(old, labels []configuration.LabelEntry) []configuration.LabelEntry {
	var out []configuration.LabelEntry
	for _, l := range old {
		if !slices.ContainsFunc(labels, func(x configuration.LabelEntry) bool { return x.Name == l.Name }) {
			out = append(out, l)
		}
	}
	for _, l := range labels {
		if l.Value != "" {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b configuration.LabelEntry) int { return strings.Compare(a.Name, b.Name) })
	return out
}
