package configuration

import (
	"slices"
	"strings"
)

// namedEntry is implemented by all entries that have a name.
type namedEntry interface{ key() string }

func (e DataCentreEntry) key() string { return e.Name }
func (e ServiceEntry) key() string    { return e.Name }
func (e ModelEntry) key() string      { return e.Name }
func (e CustomerEntry) key() string   { return e.Name }
func (e TrafficEntry) key() string    { return e.Name }
func (e BudgetEntry) key() string     { return e.Name }
func (e EndpointEntry) key() string   { return e.Name }

// overlay returns base with change applied: the entities of change are set, and
// those in its Remove list are removed. The entities of each
// kind are sorted by name.
func overlay(base, change Document) Document {
	removed := func(kind string) func(name string) bool {
		return func(name string) bool {
			return slices.ContainsFunc(change.Remove, func(r RemoveEntry) bool {
				return r.Kind == kind && r.Name == name
			})
		}
	}

	var out Document
	for _, e := range merge(listDataCentre(base), listDataCentre(change), removed(kindDataCentre)) {
		out.DataCentre = append(out.DataCentre, e.(DataCentreEntry))
	}
	for _, e := range merge(listService(base), listService(change), removed(kindService)) {
		out.Service = append(out.Service, e.(ServiceEntry))
	}
	for _, e := range merge(listModel(base), listModel(change), removed(kindModel)) {
		out.Model = append(out.Model, e.(ModelEntry))
	}
	for _, e := range merge(listCustomer(base), listCustomer(change), removed(kindCustomer)) {
		out.Customer = append(out.Customer, e.(CustomerEntry))
	}
	for _, e := range merge(listTraffic(base), listTraffic(change), removed(kindTraffic)) {
		out.Traffic = append(out.Traffic, e.(TrafficEntry))
	}
	for _, e := range merge(listBudget(base), listBudget(change), removed(kindBudget)) {
		out.Budget = append(out.Budget, e.(BudgetEntry))
	}
	for _, e := range merge(listEndpoint(base), listEndpoint(change), removed(kindEndpoint)) {
		out.Endpoint = append(out.Endpoint, e.(EndpointEntry))
	}
	return out
}

func listDataCentre(d Document) []namedEntry {
	var out []namedEntry
	for _, e := range d.DataCentre {
		out = append(out, e)
	}
	return out
}

func listService(d Document) []namedEntry {
	var out []namedEntry
	for _, e := range d.Service {
		out = append(out, e)
	}
	return out
}

func listModel(d Document) []namedEntry {
	var out []namedEntry
	for _, e := range d.Model {
		out = append(out, e)
	}
	return out
}

func listCustomer(d Document) []namedEntry {
	var out []namedEntry
	for _, e := range d.Customer {
		out = append(out, e)
	}
	return out
}

func listTraffic(d Document) []namedEntry {
	var out []namedEntry
	for _, e := range d.Traffic {
		out = append(out, e)
	}
	return out
}

func listBudget(d Document) []namedEntry {
	var out []namedEntry
	for _, e := range d.Budget {
		out = append(out, e)
	}
	return out
}

func listEndpoint(d Document) []namedEntry {
	var out []namedEntry
	for _, e := range d.Endpoint {
		out = append(out, e)
	}
	return out
}

// merge returns the entries of base and change sorted by name. An entry of
// change replaces the entry of base with the same name. Entries of base are dropped
// if removed returns true for their names.
func merge(base, change []namedEntry, removed func(name string) bool) []namedEntry {
	var out []namedEntry
	for _, e := range base {
		replaced := slices.ContainsFunc(change, func(c namedEntry) bool { return c.key() == e.key() })
		if !replaced && !removed(e.key()) {
			out = append(out, e)
		}
	}
	out = append(out, change...)
	slices.SortFunc(out, func(a, b namedEntry) int { return strings.Compare(a.key(), b.key()) })
	return out
}
