package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fulmardeal/internal/standin/endpoint"
)

// verdict classifies the outcome of a request as its caller sees it.
type verdict int

const (
	noResponse   verdict = iota // no response
	correct                     // complete and correct response within the deadline
	late                        // complete and correct response after the deadline
	refused                     // error response stating that the request was not run
	unknown                     // error response stating that the request may have run
	streamFailed                // stream terminated by an error event
	truncated                   // response truncated without an error
	inconsistent                // text that no single version of the weights generates
	mismatched                  // response to a different request
)

type outcome struct {
	call           call
	verdict        verdict
	status         int
	cause          string
	endpoint       string
	firstToken     time.Duration   // time to the first token, or to the complete response
	elapsed        time.Duration   // time to the end of the response
	tokenIntervals []time.Duration // times between tokens
	noRetryAfter   bool            // an error response that should have a Retry-After header but has none
}

// Range of the recorded times in microseconds, and their precision in
// significant digits.
const (
	minMicros         = 1
	maxMicros         = 10 * 60 * 1e6
	significantDigits = 3
)

// Results collects the outcomes of a load. It is safe for concurrent use.
type Results struct {
	mu             sync.Mutex
	counts         [mismatched + 1]int
	correctByKind  [KindCatalogueRead + 1]int // correct responses within the deadline, by kind
	noRetryAfter   int
	causes         []Cause
	firstToken     *hdrhistogram.Histogram // times in microseconds, as in the other histograms
	tokenIntervals *hdrhistogram.Histogram
	refusals       *hdrhistogram.Histogram // times to the responses of refused requests
	refusedOrders  []string                // orders that an entry stated not to have run
}

// Cause is the number of error responses with one cause.
type Cause struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

func newResults() *Results {
	return &Results{
		firstToken:     hdrhistogram.New(minMicros, maxMicros, significantDigits),
		tokenIntervals: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		refusals:       hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

func (r *Results) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[o.verdict]++
	if o.verdict == correct {
		r.correctByKind[o.call.class.Kind]++
	}
	if o.noRetryAfter {
		r.noRetryAfter++
	}
	switch o.verdict {
	case correct, late:
		if o.call.class.Kind == KindStream {
			record(r.firstToken, o.firstToken)
		}
		for _, d := range o.tokenIntervals {
			record(r.tokenIntervals, d)
		}
	case refused:
		record(r.refusals, o.elapsed)
		if o.call.class.Kind == KindOrder {
			r.refusedOrders = append(r.refusedOrders, o.call.order())
		}
	}
	if o.verdict == refused || o.verdict == unknown {
		r.countCause(o.cause)
	}
}

// record adds a time to h. A time above the histogram's range is dropped.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(minMicros, d.Microseconds()))
}

func (r *Results) countCause(name string) {
	for i := range r.causes {
		if r.causes[i].Name == name {
			r.causes[i].Count++
			return
		}
	}
	r.causes = append(r.causes, Cause{Name: name, Count: 1})
}

// Quantiles holds quantiles of a time in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000.0
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P95: float64(h.ValueAtQuantile(95)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
	}
}

// Summary is the report of a load.
type Summary struct {
	Sent          int       `json:"sent"`
	Correct       int       `json:"whole"`   // complete and correct responses within the deadline
	Late          int       `json:"late"`    // complete and correct responses after the deadline
	Refused       int       `json:"refused"` // error responses stating that the request was not run
	Unknown       int       `json:"unknown"` // error responses stating that the request may have run
	StreamErrors  int       `json:"broken"`  // streams terminated by an error event
	NoResponse    int       `json:"gone"`    // no response: the entry crashed or refused the connection
	FalseRefusals int       `json:"false"`   // refused orders that ran nevertheless
	Duplicates    int       `json:"doubled"` // orders that ran more than once
	Truncated     int       `json:"cut"`     // responses truncated without an error
	Inconsistent  int       `json:"mixed"`   // texts that no single version of the weights generates
	Mismatched    int       `json:"wrong"`   // responses to a different request
	NoRetryAfter  int       `json:"silent"`  // error responses without the Retry-After header that they should have
	FirstToken    Quantiles `json:"first"`   // time to the first token of a stream
	TokenInterval Quantiles `json:"between"` // time between tokens
	RefusalTime   Quantiles `json:"refusal"` // time to the response of a refused request
	Causes        []Cause   `json:"causes,omitempty"`
}

// Summarize returns the report of the load. It checks the refused orders against
// the ledger.
func (r *Results) Summarize(ledger *endpoint.Ledger) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{
		Correct:       r.counts[correct],
		Late:          r.counts[late],
		Refused:       r.counts[refused],
		Unknown:       r.counts[unknown],
		StreamErrors:  r.counts[streamFailed],
		NoResponse:    r.counts[noResponse],
		Truncated:     r.counts[truncated],
		Inconsistent:  r.counts[inconsistent],
		Mismatched:    r.counts[mismatched],
		NoRetryAfter:  r.noRetryAfter,
		Duplicates:    ledger.Duplicates(),
		FirstToken:    quantiles(r.firstToken),
		TokenInterval: quantiles(r.tokenIntervals),
		RefusalTime:   quantiles(r.refusals),
		Causes:        r.causes,
	}
	for _, n := range r.counts {
		s.Sent += n
	}
	for _, order := range r.refusedOrders {
		if ledger.Runs(order) > 0 {
			s.FalseRefusals++
		}
	}
	return s
}

// CountCorrect returns the number of correct responses within the deadline to
// requests of the given kinds.
func (r *Results) CountCorrect(kinds ...Kind) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, k := range kinds {
		n += r.correctByKind[k]
	}
	return n
}
