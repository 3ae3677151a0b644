package operator

import (
	"strings"
	"testing"

	"fulmardeal/internal/fleet/configuration"
)

// The dry run of a change must say whose keys it takes away, and that nobody has one any more.
func TestEffectsOnKeys(t *testing.T) {
	customer := func(name, key string) configuration.CustomerEntry {
		return configuration.CustomerEntry{Name: name, Key: configuration.HashKey(key)}
	}
	remove := func(names ...string) (out []configuration.RemoveEntry) {
		for _, n := range names {
			out = append(out, configuration.RemoveEntry{Kind: "customer", Name: n})
		}
		return out
	}
	s := configuration.State{}.WithChange(configuration.Document{Customer: []configuration.CustomerEntry{customer("a", "1"), customer("b", "2")}})
	for _, c := range []struct {
		change configuration.Document
		want   string
	}{
		{configuration.Document{}, ""},
		{configuration.Document{Remove: remove("a")}, "customer a: is removed, its key refused"},
		{configuration.Document{Customer: []configuration.CustomerEntry{customer("a", "3")}}, "customer a: has another key, the old one is refused"},
		{configuration.Document{Remove: remove("a", "b")}, "customer a: is removed, its key refused\n" +
			"customer b: is removed, its key refused\naccess callers: nobody has a key, every request is refused"},
	} {
		var lines []string
		for _, e := range Effects(s, c.change, nil) {
			lines = append(lines, e.String())
		}
		if got := strings.Join(lines, "\n"); got != c.want {
			t.Errorf("%+v: %q, want %q", c.change, got, c.want)
		}
	}
}
