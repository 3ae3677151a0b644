package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous hash (highest random weight) of a name for a key,
// such as a task to assign. The names with the highest scores are chosen for the
// key, in that order. All processes with the same names compute the same order.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // writing to a Digest never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rank returns the 0-based position of name in Order(key, names), or -1 when name
// is not one of them.
func Rank(key, name string, names []string) int {
	if !slices.Contains(names, name) {
		return -1
	}
	own := Score(key, name)
	rank := 0
	for _, n := range names {
		s := Score(key, n)
		if s > own || s == own && n < name {
			rank++
		}
	}
	return rank
}

// Order returns names in descending order of their scores for a key.
func Order(key string, names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		x, y := Score(key, a), Score(key, b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		case a < b:
			return -1
		case a > b:
			return 1
		}
		return 0
	})
	return out
}
