// Package label implements sets of labels and the selectors that match them.
//
// A selector is a comma-separated list of terms, all of which must hold:
//
//	key=value        the label has the value
//	key!=value       the label is absent or has another value
//	key in (a|b|c)   the label has one of the values
//	key              the label is present
//
// The empty selector matches every set of labels. The package is independent of the kind
// of object that has the labels.
package label

import (
	"fmt"
	"slices"
	"strings"

	"fulmardeal"
)

// Set is an immutable set of labels with one value per name. The zero value is
// the empty set.
type Set struct {
	fields []fulmardeal.Field // sorted by name
}

// NewSet returns the set of the given labels. Of labels with the same name the
// last one is kept.
func NewSet(fields ...fulmardeal.Field) Set {
	var s Set
	for _, f := range fields {
		s = s.With(f.Name, f.Value)
	}
	return s
}

// With returns a copy of the set in which the label called name has the given
// value.
func (s Set) With(name, value string) Set {
	out := Set{fields: slices.Clone(s.fields)}
	i, found := out.find(name)
	if found {
		out.fields[i].Value = value
		return out
	}
	out.fields = slices.Insert(out.fields, i, fulmardeal.Field{Name: name, Value: value})
	return out
}

// Merge returns the union of the sets. If both have a label of the same name, the
// result has its value from t.
func (s Set) Merge(t Set) Set {
	for _, f := range t.fields {
		s = s.With(f.Name, f.Value)
	}
	return s
}

// Get returns the value of the label called name, and whether it is present.
func (s Set) Get(name string) (string, bool) {
	i, found := s.find(name)
	if !found {
		return "", false
	}
	return s.fields[i].Value, true
}

// Fields returns the labels, sorted by name.
func (s Set) Fields() []fulmardeal.Field { return slices.Clone(s.fields) }

func (s Set) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.fields, name, func(f fulmardeal.Field, n string) int {
		return strings.Compare(f.Name, n)
	})
}

// ParseError reports a syntax error in a selector.
type ParseError struct {
	Text   string // the selector
	Column int    // where the invalid term starts, in bytes from 1
	Reason string
}

func (e *ParseError) Error() string {
	return fmt.Sprintf("selector %q, column %d: %s", e.Text, e.Column, e.Reason)
}

type operator int

const (
	opIn      operator = iota // key=value and key in (...)
	opNot                     // key!=value
	opPresent                 // key
)

type term struct {
	key    string
	op     operator
	values []string
}

// Selector matches sets of labels. The zero value matches every
// set of labels.
type Selector struct {
	text  string
	terms []term
}

// Parse parses a selector. Its errors are of type *ParseError.
func Parse(text string) (Selector, error) {
	sel := Selector{text: text}
	if strings.TrimSpace(text) == "" {
		return sel, nil
	}

	column := 1
	for part := range strings.SplitSeq(text, ",") {
		t, reason := parseTerm(strings.TrimSpace(part))
		if reason != "" {
			return Selector{}, &ParseError{Text: text, Column: column, Reason: reason}
		}
		sel.terms = append(sel.terms, t)
		column += len(part) + 1
	}
	return sel, nil
}

// parseTerm parses one term. If the term is invalid, reason says why.
func parseTerm(s string) (t term, reason string) {
	switch {
	case s == "":
		return t, "empty term"
	case strings.HasSuffix(s, ")"):
		key, list, found := strings.Cut(strings.TrimSuffix(s, ")"), " in (")
		if !found {
			return t, "want key in (a|b)"
		}
		t = term{key: key, op: opIn, values: strings.Split(list, "|")}
	case strings.Contains(s, "!="):
		key, value, _ := strings.Cut(s, "!=")
		t = term{key: key, op: opNot, values: []string{value}}
	case strings.Contains(s, "="):
		key, value, _ := strings.Cut(s, "=")
		t = term{key: key, op: opIn, values: []string{value}}
	default:
		t = term{key: s, op: opPresent}
	}

	t.key = strings.TrimSpace(t.key)
	if !ValidName(t.key) {
		return t, fmt.Sprintf("%q is not a label name", t.key)
	}
	for i, v := range t.values {
		t.values[i] = strings.TrimSpace(v)
		if !ValidName(t.values[i]) {
			return t, fmt.Sprintf("%q is not a label value", v)
		}
	}
	return t, ""
}

const maxNameLength = 63 // bytes; for label values too

// ValidName reports whether s is valid as a label name, a label value or the
// name of an entity: 1 to 63 ASCII letters, digits, dots, dashes and
// underscores, and no dot at the start.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength || s[0] == '.' {
		return false
	}
	for _, r := range s {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		case r == '-', r == '_', r == '.':
		default:
			return false
		}
	}
	return true
}

// Matches reports whether all terms of the selector hold for s.
func (l Selector) Matches(s Set) bool {
	for _, t := range l.terms {
		if !t.matches(s) {
			return false
		}
	}
	return true
}

func (t term) matches(s Set) bool {
	value, present := s.Get(t.key)
	switch t.op {
	case opIn:
		return present && slices.Contains(t.values, value)
	case opNot:
		return !present || value != t.values[0]
	default:
		return present
	}
}

// Only returns a copy of the selector with just its terms on the given keys. The
// copy matches every set of labels that the selector matches, and possibly more,
// because all terms of a selector must hold.
func (l Selector) Only(keys ...string) Selector {
	out := Selector{text: l.text}
	for _, t := range l.terms {
		if slices.Contains(keys, t.key) {
			out.terms = append(out.terms, t)
		}
	}
	return out
}

// String returns the selector as it was written.
func (l Selector) String() string { return l.text }
