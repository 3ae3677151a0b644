// Package configuration holds what the operators want: data centres, services,
// models, customers, traffic rules and budgets.
//
// It keeps three things apart. A Document is what an operator wrote (syntax). A
// Configuration is a checked value that the rest of the system reads. State is
// the fold of the log's records, from which a Configuration is built. The
// package opens no connection; Store is fed by whoever reads the log or talks
// to peers.
package configuration

import (
	"time"

	"fulmardeal"
)

// Format is the newest record format that this program understands.
const Format = 1

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Document is one change as an operator writes it: entities to set, and
// entities to remove. Each entity replaces the one of its kind and name.
type Document struct {
	DataCentre []DataCentreEntry `toml:"datacentre,omitempty"`
	Service    []ServiceEntry    `toml:"service,omitempty"`
	Model      []ModelEntry      `toml:"model,omitempty"`
	Customer   []CustomerEntry   `toml:"customer,omitempty"`
	Traffic    []TrafficEntry    `toml:"traffic,omitempty"`
	Budget     []BudgetEntry     `toml:"budget,omitempty"`
	Endpoint   []EndpointEntry   `toml:"endpoint,omitempty"`
	Remove     []RemoveEntry     `toml:"remove,omitempty"`

	// Force allows a change that leaves a service without any data centre.
	Force bool `toml:"force,omitempty"`
}

// LabelEntry is one label of an entity.
type LabelEntry struct {
	Name  string `toml:"name"`
	Value string `toml:"value"`
}

// DataCentreEntry is a data centre; Out takes it out of service.
type DataCentreEntry struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Out    bool   `toml:"out,omitempty"`
}

// ServiceEntry is a service that endpoints offer. Limit is the number of
// requests that a warm endpoint bears at once, Cold the number that it bears
// just after its start, Warm the time from the one to the other.
type ServiceEntry struct {
	Name     string   `toml:"name"`
	Kind     string   `toml:"kind"`
	Limit    int      `toml:"limit"`
	Cold     int      `toml:"cold"`
	Warm     Duration `toml:"warm"`
	Deadline Duration `toml:"deadline,omitempty"`
}

// ModelEntry places a version of a model: Replicas endpoints among those that
// the selector At matches, or all of them when Replicas is 0.
type ModelEntry struct {
	Name     string `toml:"name"`
	Version  string `toml:"version"`
	Digest   string `toml:"digest"`
	Replicas int    `toml:"replicas,omitempty"`
	At       string `toml:"at"`
}

// CustomerEntry is a customer, known by the SHA-256 of its bearer key.
type CustomerEntry struct {
	Name  string       `toml:"name"`
	Key   string       `toml:"key"`
	Label []LabelEntry `toml:"label,omitempty"`
}

// TrafficEntry allows the customers that one selector matches to reach the
// endpoints that the other matches.
type TrafficEntry struct {
	Name      string `toml:"name"`
	Customers string `toml:"customers"`
	Endpoints string `toml:"endpoints"`
}

// BudgetEntry limits each of the customers that its selector matches: Rate is
// in requests a second over all entries, Share in percent of an endpoint's room
// while others want it.
type BudgetEntry struct {
	Name      string  `toml:"name"`
	Customers string  `toml:"customers"`
	Rate      float64 `toml:"rate,omitempty"`
	Share     int     `toml:"share,omitempty"`
}

// EndpointEntry adds labels to an endpoint, over those of its settings.
type EndpointEntry struct {
	Name  string       `toml:"name"`
	Label []LabelEntry `toml:"label,omitempty"`
}

// RemoveEntry removes the entity of a kind and name.
type RemoveEntry struct {
	Kind string `toml:"kind"`
	Name string `toml:"name"`
}

// Envelope is a record of the configuration stream: a change, the id that its
// writer looks for, and the offset that the writer had seen.
type Envelope struct {
	Format   int       `toml:"format"`
	ID       string    `toml:"id"`
	Base     int64     `toml:"base"`
	Change   Document  `toml:"change"`
	Snapshot *Snapshot `toml:"snapshot,omitempty"`
}

// Snapshot is the whole state up to and including the record at Covers.
type Snapshot struct {
	Covers  int64         `toml:"covers"`
	State   Document      `toml:"state"`
	Touched []TouchedMark `toml:"touched"`
}

// TouchedMark says which record last changed an entity, also a removed one.
type TouchedMark struct {
	Kind   string `toml:"kind"`
	Name   string `toml:"name"`
	Offset int64  `toml:"offset"`
}

func labelFields(entries []LabelEntry) []fulmardeal.Field {
	var out []fulmardeal.Field
	for _, e := range entries {
		out = append(out, fulmardeal.Field(e))
	}
	return out
}
