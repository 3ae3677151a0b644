package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"fulmardeal/internal/process/monitor"
)

// Stats are a gateway's counters and histograms, by service. It is safe for
// concurrent use.
type Stats struct {
	scope tally.Scope
	table *monitor.Table
}

// buckets of latency, from 5 ms to 10 s.
var buckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 17)

// reportEvery is how old a figure may be.
const reportEvery = time.Second

func newStats() (*Stats, func()) {
	t := monitor.NewTable()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "fulmardeal", Reporter: t, Separator: "_"}, reportEvery)
	return &Stats{scope: scope, table: t}, func() { _ = closer.Close() } // nothing is left to do when it fails
}

func (s *Stats) count(what, service string) {
	s.scope.Tagged(map[string]string{"service": service}).Counter(what).Inc(1)
}

func (s *Stats) served(service string, took time.Duration) {
	t := s.scope.Tagged(map[string]string{"service": service})
	t.Counter("served").Inc(1)
	t.Histogram("answer", buckets).RecordDuration(took)
}

// first takes note of a stream's first event, and of by how much it came later
// than predicted.
func (s *Stats) first(service string, took, over time.Duration) {
	t := s.scope.Tagged(map[string]string{"service": service})
	t.Histogram("first_event", buckets).RecordDuration(took)
	t.Histogram("first_event_over", buckets).RecordDuration(max(0, over))
}
