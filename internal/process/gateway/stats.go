package gateway

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/process/monitor"
	"fulmardeal/internal/traffic/dispatch"
)

// Stats holds a gateway's metrics, by service. It is safe for concurrent use.
type Stats struct {
	scope    tally.Scope
	reporter *monitor.Reporter

	mu     sync.Mutex
	shares map[egressWay]tally.Gauge // of shares above 0
}

// egressWay is the way of a service's requests to another data centre.
type egressWay struct{ service, to string }

// latencyBuckets are the buckets of the latency histograms, from 5 ms to about 9 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 17)

// reportInterval is the maximum age of a reported metric.
const reportInterval = time.Second

func newStats() (*Stats, func()) {
	r := monitor.NewReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "fulmardeal", Reporter: r, Separator: "_"}, reportInterval)
	return &Stats{scope: scope, reporter: r}, func() { _ = closer.Close() } // a failure needs no action
}

func (s *Stats) count(what, service string) {
	s.scope.Tagged(map[string]string{"service": service}).Counter(what).Inc(1)
}

// recordRefused counts a record of a feed that can't be decoded.
func (s *Stats) recordRefused(feed string) {
	s.scope.Tagged(map[string]string{"feed": feed}).Counter("records_refused").Inc(1)
}

// recordClosed counts a connection that was closed for what it held.
func (s *Stats) recordClosed(reason ledger.Reason) {
	s.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("closed").Inc(1)
}

func (s *Stats) served(service string, took time.Duration) {
	t := s.scope.Tagged(map[string]string{"service": service})
	t.Counter("served").Inc(1)
	t.Histogram("answer", latencyBuckets).RecordDuration(took)
}

// recordPromise counts a request that was let in as one that will be on time, by whether it was.
func (s *Stats) recordPromise(service string, given, kept bool) {
	switch {
	case given && kept:
		s.count("promises_kept", service)
	case given:
		s.count("promises_missed", service)
	}
}

// firstEvent records the time to a stream's first event, and by how much that
// exceeded the predicted time.
func (s *Stats) firstEvent(service string, took, excess time.Duration) {
	t := s.scope.Tagged(map[string]string{"service": service})
	t.Histogram("first_event", latencyBuckets).RecordDuration(took)
	t.Histogram("first_event_over", latencyBuckets).RecordDuration(max(0, excess))
}

// updateEgress records how many requests have been kept in the data centre and sent to
// others, and the shares that leave now. The share of a way that isn't among them is 0.
func (s *Stats) updateEgress(states []dispatch.EgressState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shares := make(map[egressWay]tally.Gauge)
	for _, e := range states {
		s.scope.Tagged(map[string]string{"service": e.Service}).Gauge("egress_kept").Update(float64(e.Kept))
		for _, w := range e.Ways {
			t := s.scope.Tagged(map[string]string{"service": e.Service, "to": w.To})
			t.Gauge("egress_sent").Update(float64(w.Sent))
			t.Gauge("egress_share").Update(w.Share)
			if w.Share > 0 {
				shares[egressWay{e.Service, w.To}] = t.Gauge("egress_share")
			}
		}
	}
	for way, gauge := range s.shares {
		if shares[way] == nil {
			gauge.Update(0)
		}
	}
	s.shares = shares
}
