package command

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// An operator must be able to see and to release what is quarantined.
func TestQuarantineListAndRelease(t *testing.T) {
	s := httptest.NewServer(site.NewStore().Handler())
	defer s.Close()
	address := s.Listener.Addr().String()
	store, closeStore := platform.NewStore(address)
	defer closeStore()
	q := fulmardeal.Quarantine{Service: "llm", Parts: []string{"b", "a"}, Weights: []int64{2}, Crashes: 3, Serial: 4, Since: time.Unix(0, 0)}
	if err := store.PutQuarantine(t.Context(), q); err != nil {
		t.Fatal(err)
	}
	const listed = "service=llm parts=b,a since=1970-01-01T00:00:00Z crashes=3 weights=[2] probes=0\n"
	for _, c := range []struct {
		args string
		code int
		out  string // of the output or, if it fails, of the error output
	}{
		{"", exitDone, listed},
		{"--release", exitUsage, "expected the arguments"},
		{"llm a b", exitUsage, "unexpected arguments"},
		{"--release llm a", exitFailed, "parts a of service llm are not quarantined"},
		{"", exitDone, listed},
		{"--release llm a b", exitDone, ""},
		{"", exitDone, ""},
		{"--release llm a b", exitFailed, "not quarantined"},
	} {
		var out, errs bytes.Buffer
		code := run(append([]string{"quarantine", "--store", address}, strings.Fields(c.args)...), &out, &errs)
		got := out.String()
		if c.code != exitDone {
			got = errs.String()
		}
		if code != c.code || !strings.Contains(got, c.out) || c.out == "" && got != "" {
			t.Errorf("%q: exit code %d, %q; want %d, %q", c.args, code, got, c.code, c.out)
		}
	}
}
