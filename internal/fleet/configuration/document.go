// Package configuration holds the desired state that operators declare: data
// centres, services, models, customers, traffic rules and budgets.
//
// The state has three representations. A Document is what an operator writes. A
// State is the result of applying all records of the log's configuration stream in
// order. A Configuration is built from a State and is what the rest of the system reads.
// A Store keeps the newest State and Configuration of a process. The package
// opens no connections; its callers read the log and talk to peers.
package configuration

import (
	"time"

	"fulmardeal"
)

// Format is the number of the record format that this program reads and writes.
const Format = 1

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Document is a change as an operator writes it: entities to set and entities
// to remove. An entity to set replaces the existing entity of the same kind and
// name, if there is one.
type Document struct {
	DataCentre []DataCentreEntry `toml:"datacentre,omitempty"`
	Service    []ServiceEntry    `toml:"service,omitempty"`
	Model      []ModelEntry      `toml:"model,omitempty"`
	Customer   []CustomerEntry   `toml:"customer,omitempty"`
	Traffic    []TrafficEntry    `toml:"traffic,omitempty"`
	Budget     []BudgetEntry     `toml:"budget,omitempty"`
	Endpoint   []EndpointEntry   `toml:"endpoint,omitempty"`
	Remove     []RemoveEntry     `toml:"remove,omitempty"`

	// Force allows a change that takes every data centre out of service.
	Force bool `toml:"force,omitempty"`
}

// LabelEntry is one label of an entity.
type LabelEntry struct {
	Name  string `toml:"name"`
	Value string `toml:"value"`
}

// DataCentreEntry declares a data centre; Out takes it out of service.
type DataCentreEntry struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Out    bool   `toml:"out,omitempty"`
}

// ServiceEntry declares a service. The concurrency limit of an endpoint is Cold just
// after the endpoint's start, and Limit once the warm-up time Warm has passed.
type ServiceEntry struct {
	Name     string   `toml:"name"`
	Kind     string   `toml:"kind"`
	Limit    int      `toml:"limit"`
	Cold     int      `toml:"cold"`
	Warm     Duration `toml:"warm"`
	Deadline Duration `toml:"deadline,omitempty"`
}

// ModelEntry declares a version of a model and its placement. At is the selector of
// the endpoints that may hold the model. Replicas is the number of these endpoints
// that do; 0 means all of them.
type ModelEntry struct {
	Name     string `toml:"name"`
	Version  string `toml:"version"`
	Digest   string `toml:"digest"`
	Replicas int    `toml:"replicas,omitempty"`
	At       string `toml:"at"`
}

// CustomerEntry declares a customer. Key is the SHA-256 of its bearer key.
type CustomerEntry struct {
	Name  string       `toml:"name"`
	Key   string       `toml:"key"`
	Label []LabelEntry `toml:"label,omitempty"`
}

// TrafficEntry allows the customers that the selector Customers matches to use the
// endpoints that the selector Endpoints matches.
type TrafficEntry struct {
	Name      string `toml:"name"`
	Customers string `toml:"customers"`
	Endpoints string `toml:"endpoints"`
}

// BudgetEntry limits each of the customers that its selector matches. Rate is a
// customer's requests per second through all entry processes together. Share is a
// percentage of an endpoint's capacity and applies while other customers compete for
// it.
type BudgetEntry struct {
	Name      string  `toml:"name"`
	Customers string  `toml:"customers"`
	Rate      float64 `toml:"rate,omitempty"`
	Share     int     `toml:"share,omitempty"`
}

// EndpointEntry adds labels to an endpoint. They override labels of the same names
// in the endpoint's own settings.
type EndpointEntry struct {
	Name  string       `toml:"name"`
	Label []LabelEntry `toml:"label,omitempty"`
}

// RemoveEntry removes the entity of a kind and name.
type RemoveEntry struct {
	Kind string `toml:"kind"`
	Name string `toml:"name"`
}

// Envelope is a record of the configuration stream: a change or a snapshot. The
// writer of a change uses ID to look up its outcome. Base is the version that the
// change is based on, for optimistic concurrency control: the change is refused if
// an entity that it sets or removes has changed since then.
type Envelope struct {
	Format   int       `toml:"format"`
	ID       string    `toml:"id"`
	Base     int64     `toml:"base"`
	Change   Document  `toml:"change"`
	Snapshot *Snapshot `toml:"snapshot,omitempty"`
}

// Snapshot is the complete state after the record at offset Covers.
type Snapshot struct {
	Covers  int64          `toml:"covers"`
	State   Document       `toml:"state"`
	Touched []EntityChange `toml:"touched"` // last change of each entity, removed ones included
}

// EntityChange is the offset of the record that last set or removed an entity.
type EntityChange struct {
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
