package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"fulmardeal"
)

// Verdict reports whether State.Fold accepted a record, and if not, why.
type Verdict struct {
	id       string
	offset   fulmardeal.Offset
	accepted bool
	reason   string // why the record was refused; empty if it was accepted
	snapshot bool   // the record is a snapshot, which changes no entity
}

// ID returns the record's id, empty when the record could not be decoded.
func (v Verdict) ID() string { return v.id }

// Offset returns the record's offset.
func (v Verdict) Offset() fulmardeal.Offset { return v.offset }

// Accepted reports whether the record was applied.
func (v Verdict) Accepted() bool { return v.accepted }

// Reason returns why the record was refused.
func (v Verdict) Reason() string { return v.reason }

// State is the result of folding the records of the configuration stream in order.
// Folding is deterministic: the same records give a state with the same canonical
// bytes in every process. A State is immutable; Fold returns a new value.
type State struct {
	version     fulmardeal.Offset
	doc         Document
	lastChanges []EntityChange // last change of each entity, sorted by kind, then name
}

// Version returns the offset of the last folded record.
func (s State) Version() fulmardeal.Offset { return s.version }

// Document returns the configuration as a document, sorted by kind and name.
func (s State) Document() Document { return s.doc }

// Fold applies a record. A record is refused when it can't be decoded, has
// another format, is based on an outdated version of an entity that it sets or
// removes, or would make the configuration invalid. Refused records and
// snapshots change nothing but the version.
func (s State) Fold(r fulmardeal.Record) (State, Verdict) {
	next := s
	next.version = r.Offset
	v := Verdict{offset: r.Offset}

	e, err := decodeEnvelope(r.Body)
	v.id = e.ID
	if err != nil {
		v.reason = err.Error()
		return next, v
	}
	if e.Snapshot != nil {
		v.accepted, v.snapshot = true, true
		return next, v
	}

	if reason := s.conflict(e); reason != "" {
		v.reason = reason
		return next, v
	}
	changed := s.apply(e.Change, r.Offset)
	if faults := configurationFaults(&changed.doc); len(faults) > 0 {
		v.reason = (&FaultsError{Faults: faults}).Error()
		return next, v
	}
	changed.version = r.Offset
	v.accepted = true
	return changed, v
}

func decodeEnvelope(body []byte) (Envelope, error) {
	// Read the format leniently first, because a newer one may have keys that
	// the strict decoder rejects.
	var head struct {
		Format int    `toml:"format"`
		ID     string `toml:"id"`
	}
	if len(body) > MaxRecordBytes {
		return Envelope{}, fmt.Errorf("record is %d bytes; the maximum is %d", len(body), MaxRecordBytes)
	}
	if err := toml.Unmarshal(body, &head); err != nil {
		return Envelope{}, fmt.Errorf("record is not TOML: %w", err)
	}
	if head.Format != Format {
		return Envelope{ID: head.ID}, fmt.Errorf("record format %d; this program reads format %d", head.Format, Format)
	}

	var e Envelope
	if err := Decode("record", body, &e); err != nil {
		return Envelope{ID: head.ID}, err
	}
	if faults := e.Change.faults(); len(faults) > 0 {
		return Envelope{ID: head.ID}, &FaultsError{Faults: faults}
	}
	return e, nil
}

// conflict returns why a change is outdated, or "" if it is not. A change is outdated
// when an entity that it sets or removes has changed after the version on which the
// change is based.
func (s State) conflict(e Envelope) string {
	for _, entity := range e.Change.changedEntities() {
		i, found := slices.BinarySearchFunc(s.lastChanges, entity, compareEntities)
		if found && s.lastChanges[i].Offset > e.Base {
			return fmt.Sprintf("%s %s changed at version %d, after version %d that this change is based on",
				entity.Kind, entity.Name, s.lastChanges[i].Offset, e.Base)
		}
	}
	return ""
}

func compareEntities(a, b EntityChange) int {
	if c := strings.Compare(a.Kind, b.Kind); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// changedEntities returns the entities that a change sets or removes.
func (d *Document) changedEntities() []EntityChange {
	var out []EntityChange
	add := func(kind, name string) { out = append(out, EntityChange{Kind: kind, Name: name}) }
	for _, e := range d.DataCentre {
		add(kindDataCentre, e.Name)
	}
	for _, e := range d.Service {
		add(kindService, e.Name)
	}
	for _, e := range d.Model {
		add(kindModel, e.Name)
	}
	for _, e := range d.Customer {
		add(kindCustomer, e.Name)
	}
	for _, e := range d.Traffic {
		add(kindTraffic, e.Name)
	}
	for _, e := range d.Budget {
		add(kindBudget, e.Name)
	}
	for _, e := range d.Endpoint {
		add(kindEndpoint, e.Name)
	}
	for _, e := range d.Remove {
		add(e.Kind, e.Name)
	}
	return out
}

// apply returns the state with the change applied. The offset at is recorded as that
// of the last change of each entity that the change sets or removes.
func (s State) apply(change Document, at fulmardeal.Offset) State {
	next := State{version: s.version, doc: overlay(s.doc, change), lastChanges: slices.Clone(s.lastChanges)}
	next.doc.Force = change.Force
	for _, entity := range change.changedEntities() {
		entity.Offset = int64(at)
		i, found := slices.BinarySearchFunc(next.lastChanges, entity, compareEntities)
		if found {
			next.lastChanges[i] = entity
			continue
		}
		next.lastChanges = slices.Insert(next.lastChanges, i, entity)
	}
	return next
}

// Canonical returns the state encoded as a snapshot record. Equal states have
// equal bytes.
func (s State) Canonical() []byte {
	e := Envelope{Format: Format, ID: "snapshot", Snapshot: &Snapshot{
		Covers:  int64(s.version),
		State:   s.doc,
		Touched: s.lastChanges,
	}}
	body, err := toml.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("configuration: encoding a valid state: %v", err))
	}
	return body
}

// Digest returns the SHA-256 of the canonical bytes.
func (s State) Digest() string {
	sum := sha256.Sum256(s.Canonical())
	return hex.EncodeToString(sum[:])
}

// Restore decodes a state from a snapshot record; see State.Canonical.
func Restore(body []byte) (State, error) {
	e, err := decodeEnvelope(body)
	if err != nil {
		return State{}, err
	}
	if e.Snapshot == nil {
		return State{}, fmt.Errorf("record %q is not a snapshot", e.ID)
	}
	s := e.Snapshot
	return State{version: fulmardeal.Offset(s.Covers), doc: overlay(Document{}, s.State), lastChanges: s.Touched}, nil
}

// EncodeChange returns the record body of a change.
func EncodeChange(id string, base fulmardeal.Offset, change Document) ([]byte, error) {
	body, err := toml.Marshal(Envelope{Format: Format, ID: id, Base: int64(base), Change: change})
	if err != nil {
		return nil, fmt.Errorf("encoding change %s: %w", id, err)
	}
	if len(body) > MaxRecordBytes {
		return nil, fmt.Errorf("change %s is %d bytes; the maximum is %d", id, len(body), MaxRecordBytes)
	}
	return body, nil
}

// WithChange returns the state as it would be after the change, without
// validation, for previews.
func (s State) WithChange(change Document) State { return s.apply(change, s.version+1) }

// Check returns the faults of a change by itself or, if there are none, the faults
// of the configuration that would result from it.
func (s State) Check(change Document) []Fault {
	faults := change.faults()
	if len(faults) > 0 {
		return faults
	}
	next := s.WithChange(change)
	return configurationFaults(&next.doc)
}
