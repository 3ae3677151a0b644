package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fulmardeal/internal/traffic/attempt"
)

// Counts are an entry's request counters.
type Counts struct {
	Completed int64 `json:"whole"`   // answered completely
	Refused   int64 `json:"refused"` // refused, certainly not run
	Unknown   int64 `json:"unknown"` // failed, may have run
	Broken    int64 `json:"broken"`  // streams that ended early
	Invalid   int64 `json:"bad"`     // invalid requests
}

// Range and precision of the recorded times to the first byte.
const (
	minMicros         = 1
	maxMicros         = 10 * 60 * 1e6 // 10 minutes
	significantDigits = 2             // decimal digits of a recorded time
)

// Stats counts the outcomes of an entry's requests. The zero value is ready to
// use. It is safe for concurrent use.
type Stats struct {
	mu        sync.Mutex
	counts    Counts
	firstByte *hdrhistogram.Histogram // times to the first byte in microseconds; nil until one is recorded
}

// Counts returns the counters.
func (s *Stats) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// FirstBytePercentile returns the given percentile, from 0 to 100, of the time to
// the first byte, or 0 when nothing is recorded.
func (s *Stats) FirstBytePercentile(percentile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstByte == nil {
		return 0
	}
	return time.Duration(s.firstByte.ValueAtQuantile(percentile)) * time.Microsecond
}

func (s *Stats) recordFirstByte(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstByte == nil {
		s.firstByte = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	// A time above maxMicros is not recorded.
	_ = s.firstByte.RecordValue(max(minMicros, took.Microseconds()))
}

func (s *Stats) count(f func(c *Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

// countRefused counts a request that was not served, by whether it was run.
func (s *Stats) countRefused(r attempt.Ran) {
	s.count(func(c *Counts) {
		if r == attempt.RanNo {
			c.Refused++
			return
		}
		c.Unknown++
	})
}
