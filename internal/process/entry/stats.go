package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fulmardeal/internal/traffic/attempt"
)

// Counts are an entry's counters.
type Counts struct {
	Whole   int64 `json:"whole"`
	Refused int64 `json:"refused"` // proved not run
	Unknown int64 `json:"unknown"` // may have run
	Broken  int64 `json:"broken"`  // streams that ended with an error
	Bad     int64 `json:"bad"`     // requests that were faulty themselves
}

// Bounds of the recorded times, in microseconds.
const (
	leastTime = 1
	mostTime  = 10 * 60 * 1e6
	digits    = 2
)

// Stats counts what became of an entry's requests. The zero value is ready to
// use. It is safe for concurrent use.
type Stats struct {
	mu     sync.Mutex
	counts Counts
	times  *hdrhistogram.Histogram // to the first byte, microseconds
}

// Counts returns the counters.
func (s *Stats) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// First returns the time to the first byte at a quantile from 0 to 100.
func (s *Stats) First(quantile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		return 0
	}
	return time.Duration(s.times.ValueAtQuantile(quantile)) * time.Microsecond
}

func (s *Stats) began(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = hdrhistogram.New(leastTime, mostTime, digits)
	}
	// A time over the bound is not recorded.
	_ = s.times.RecordValue(max(leastTime, took.Microseconds()))
}

func (s *Stats) count(f func(c *Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

func (s *Stats) refused(r attempt.Ran) {
	s.count(func(c *Counts) {
		if r == attempt.RanNo {
			c.Refused++
			return
		}
		c.Unknown++
	})
}
