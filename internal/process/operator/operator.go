// Package operator does what the operators' commands ask for: it changes the
// configuration through the log, waits until the change is in force, and asks
// processes how they are. It holds nothing between commands.
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

// Times and bounds of a command.
const (
	readBackEvery = 100 * time.Millisecond
	appendTries   = 5
	appendWait    = 200 * time.Millisecond
	askTimeout    = time.Second
	askAtOnce     = 64
	inForceEvery  = 250 * time.Millisecond
)

// Operator changes and reads the system.
type Operator struct {
	log       fulmardeal.Log
	directory fulmardeal.Directory
	pool      *connection.Pool
}

// New returns an operator and a function that closes its connections.
func New(l fulmardeal.Log, d fulmardeal.Directory, network fulmardeal.Network) (*Operator, func()) {
	pool, cleanup := connection.NewPool(network, askAtOnce)
	return &Operator{log: l, directory: d, pool: pool}, cleanup
}

// Outcome is what became of a change.
type Outcome struct {
	ID       string            `json:"id"`
	Offset   fulmardeal.Offset `json:"offset"`
	Accepted bool              `json:"accepted"`
	Reason   string            `json:"reason,omitempty"`
	InForce  int               `json:"inforce"`           // processes that have it in force
	Missing  []string          `json:"missing,omitempty"` // processes that have not said so
}

// UnreachableError says that the log could not be used, so that the command
// can't know what holds.
type UnreachableError struct {
	Doing string
	Cause error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("%s: %v", e.Doing, e.Cause) }

func (e *UnreachableError) Unwrap() error { return e.Cause }

// State reads the configuration that the log gives now.
func (o *Operator) State(ctx context.Context) (configuration.State, error) {
	s := configuration.NewStore(nil)
	if err := configuration.ReadLog(ctx, o.log, s); err != nil {
		return configuration.State{}, &UnreachableError{Doing: "reading the configuration", Cause: err}
	}
	return s.State(), nil
}

// Apply appends a change that is based on the present state, reads back what
// became of it, and waits up to wait until every listed process has it in
// force. A faulty change is a *configuration.FaultsError and is not appended.
func (o *Operator) Apply(ctx context.Context, change configuration.Document, wait time.Duration) (Outcome, error) {
	s := configuration.NewStore(nil)
	if err := configuration.ReadLog(ctx, o.log, s); err != nil {
		return Outcome{}, &UnreachableError{Doing: "reading the configuration", Cause: err}
	}
	if faults := s.State().Check(change); len(faults) > 0 {
		return Outcome{}, &configuration.FaultsError{Faults: faults}
	}
	id := uuid.NewString()
	body, err := configuration.EncodeChange(id, s.Version(), change)
	if err != nil {
		return Outcome{}, err
	}

	v, err := o.record(ctx, s, id, body)
	if err != nil {
		return Outcome{ID: id}, err
	}
	out := Outcome{ID: id, Offset: v.Offset(), Accepted: v.Accepted(), Reason: v.Reason()}
	if !out.Accepted {
		return out, nil
	}
	out.InForce, out.Missing = o.await(ctx, out.Offset, wait)
	return out, nil
}

// record appends the record, again with the same id when the answer is lost,
// and reads back until it appears.
func (o *Operator) record(ctx context.Context, s *configuration.Store, id string, body []byte) (configuration.Verdict, error) {
	var failure error
	for i := range appendTries {
		if i > 0 {
			pause(ctx, appendWait<<i)
		}
		_, failure = o.log.Append(ctx, configuration.Stream, body)
		if err := configuration.ReadLog(ctx, o.log, s); err != nil {
			failure = errors.Join(failure, err)
			continue
		}
		if v, known := s.Verdict(id); known {
			return v, nil
		}
	}
	return configuration.Verdict{}, &UnreachableError{Doing: "recording change " + id + " (it may still take effect)", Cause: failure}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// await asks the listed processes until all have the version in force.
func (o *Operator) await(ctx context.Context, version fulmardeal.Offset, wait time.Duration) (int, []string) {
	end := time.Now().Add(wait)
	for {
		n, missing := o.inForce(ctx, version)
		if len(missing) == 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return n, missing
		}
		pause(ctx, inForceEvery)
	}
}

func (o *Operator) inForce(ctx context.Context, version fulmardeal.Offset) (int, []string) {
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

// Status is what one listed process says about itself.
type Status struct {
	Instance fulmardeal.Instance
	Reached  bool
	Word     node.Word
}

// Status asks every listed process, sorted by name. The list may lag.
func (o *Operator) Status(ctx context.Context) []Status {
	list, err := o.directory.List(ctx)
	if err != nil {
		return nil
	}
	out := make([]Status, len(list))
	var g errgroup.Group
	g.SetLimit(askAtOnce)
	for i, in := range list {
		out[i].Instance = in
		g.Go(func() error {
			out[i].Word, out[i].Reached = o.ask(ctx, in.Address)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
	return out
}

func (o *Operator) ask(ctx context.Context, address string) (node.Word, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var w node.Word
	err := o.pool.Client(address).Call(ctx, node.ServiceName+".Word", node.Empty{}, &w)
	return w, err == nil
}

// Dump returns the state dump of the process at an address, in JSON.
func (o *Operator) Dump(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var data []byte
	err := o.pool.Client(address).Call(ctx, node.ServiceName+".Dump", node.Empty{}, &data)
	return data, err
}

// SetDataCentre returns the change that takes a data centre out or back.
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

// SetLabels returns the change that sets labels of a customer or an endpoint.
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
	return configuration.Document{}, fmt.Errorf("labels can be set on an endpoint or a customer, not on a %q", kind)
}

// merge returns old with the labels set; an empty value removes a label.
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
