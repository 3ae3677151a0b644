package ratelimit

import "slices"

// CopyOf returns a table of its own with the limits of the given endpoints and the grants for
// them, to see what it would decide. It issues no grants.
func (t *Table) CopyOf(keys []Key) Table {
	out := Table{limits: make(map[Key]*limit)}
	for _, key := range keys {
		if l := t.limits[key]; l != nil {
			c := *l
			c.grants = slices.Clone(l.grants)
			out.limits[key] = &c
		}
	}
	return out
}
