package catalogue

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/feed"
	"fulmardeal/internal/proof/script"
)

// TestScript runs testdata/table.txt, which applies changes and checks the
// resulting state.
func TestScript(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	script.Run(t, "testdata/table.txt", func(words []string) error { return step(&table, &now, words) })
}

// step runs one line of the script.
func step(table *Table, now *time.Time, words []string) error {
	number := func(i int) int64 {
		n, err := strconv.ParseInt(words[i], 10, 64)
		if err != nil {
			panic(err)
		}
		return n
	}
	apply := func(c fulmardeal.Change) { table.Apply(*now, feed.Batch{Changes: []fulmardeal.Change{c}}) }
	v := table.View()
	switch words[0] {
	case "new":
		*table = Table{}
	case "wait":
		*now = now.Add(time.Duration(number(1)) * time.Second)
	case "config": // OFFSET VERSION HOST=PREFIX=SERVICE...
		c := &fulmardeal.Catalogue{Version: number(2)}
		for _, w := range words[3:] {
			p := strings.Split(w, "=")
			c.Routes = append(c.Routes, fulmardeal.Route{Host: p[0], Prefix: p[1], Shares: []fulmardeal.Share{{Service: p[2]}}})
		}
		c.Customers = []fulmardeal.Customer{{Name: "c" + words[2], Keys: []string{"k" + words[2]}}}
		apply(fulmardeal.Change{Key: "config", Offset: fulmardeal.Position(number(1)), Catalogue: c})
	case "customers": // OFFSET VERSION absent|empty|NAME=KEY,KEY...
		c := &fulmardeal.Catalogue{Version: number(2), Keyed: words[3] != "absent"}
		for _, w := range words[3:] {
			if name, keys, is := strings.Cut(w, "="); is {
				c.Customers = append(c.Customers, fulmardeal.Customer{Name: name, Keys: strings.Split(keys, ",")})
			}
		}
		apply(fulmardeal.Change{Key: "config", Offset: fulmardeal.Position(number(1)), Catalogue: c})
	case "unmarked": // OFFSET VERSION NAME=KEY: from a relay that doesn't know the field Keyed
		name, key, _ := strings.Cut(words[3], "=")
		c := &fulmardeal.Catalogue{Version: number(2), Customers: []fulmardeal.Customer{{Name: name, Keys: []string{key}}}}
		apply(fulmardeal.Change{Key: "config", Offset: fulmardeal.Position(number(1)), Catalogue: c})
	case "history": // true|false
		table.ApplyHistory(words[1] == "true")
	case "access?": // keyed|open|unknown
		got := "unknown"
		if v.RequiresKey() {
			got = "keyed"
		} else if v.AccessKnown() {
			got = "open"
		}
		return same(got, words[1])
	case "refused?": // KEYS
		return same(int64(v.RefusedKeys()), number(1))
	case "holder?": // KEY NAME|none
		if c := v.Customer(words[1]); c != nil {
			return same(c.Name, words[2])
		}
		return same("none", words[2])
	case "named": // OFFSET MODEL VERSION
		apply(fulmardeal.Change{Key: "version/" + words[2], Offset: fulmardeal.Position(number(1)), Naming: &fulmardeal.Publication{Model: words[2], Version: number(3)}})
	case "late": // OFFSET MODEL VERSION AGE, published up to AGE seconds ago
		c := fulmardeal.Change{Key: "version/" + words[2], Offset: fulmardeal.Position(number(1)), Naming: &fulmardeal.Publication{Model: words[2], Version: number(3)}}
		table.Apply(*now, feed.Batch{Changes: []fulmardeal.Change{c}, MaxAge: time.Duration(number(4)) * time.Second})
	case "suspended": // SECONDS
		table.AddSuspended(time.Duration(number(1)) * time.Second)
	case "found": // MODEL VERSION [AGE], published before the first full read, AGE seconds after the start of the process
		c := fulmardeal.Change{Key: "version/" + words[1], Naming: &fulmardeal.Publication{Model: words[1], Version: number(2)}}
		b := feed.Batch{Changes: []fulmardeal.Change{c}, Full: true}
		if len(words) > 3 {
			b.MaxAge = time.Duration(number(3)) * time.Second
		}
		table.Apply(*now, b)
	case "out": // OFFSET DATACENTRE
		apply(fulmardeal.Change{Key: "evacuate/" + words[2], Offset: fulmardeal.Position(number(1)), Evacuation: words[2]})
	case "gone": // OFFSET KEY
		apply(fulmardeal.Change{Key: words[2], Offset: fulmardeal.Position(number(1)), Gone: true})
	case "list": // DATACENTRE...: a full read that lists the data centres out of service
		b := feed.Batch{Full: true}
		for _, dataCentre := range words[1:] {
			b.Changes = append(b.Changes, fulmardeal.Change{Key: "evacuate/" + dataCentre, Evacuation: dataCentre})
		}
		table.Apply(*now, b)
	case "version?":
		return same(v.Version(), number(1))
	case "out?":
		return same(strconv.FormatBool(v.IsOutOfService(words[1])), words[2])
	case "wanted?":
		return same(v.PublishedVersion(words[1]).Version, number(2))
	case "superseded?": // MODEL VERSION AGE|no
		since, is := v.SupersededAt(words[1], number(2))
		if !is {
			return same("no", words[3])
		}
		return same(strconv.Itoa(int(now.Sub(since).Seconds())), words[3])
	case "key?":
		return same(strconv.FormatBool(v.Customer(words[1]) != nil), words[2])
	case "route?":
		r := v.Route(words[1], words[2])
		if r == nil {
			return same("none", words[3])
		}
		return same(r.Shares[0].Service, words[3])
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

func same(got, want any) error {
	if got != want {
		return fmt.Errorf("got %v, want %v", got, want)
	}
	return nil
}
