package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fulmardeal/internal/standin/endpoint"
)

// what is how a request ended, as its caller sees it.
type what int

const (
	gone    what = iota // no answer at all
	whole               // whole and right
	late                // whole, but after its deadline
	refused             // said not to have run
	unknown             // said that it may have run
	broken              // a stream that ended with an error
	cut                 // an answer that breaks off without a word
	mixed               // a text that no single weights give
	wrong               // an answer to something else
)

// outcome is what came of one request.
type outcome struct {
	call     call
	what     what
	status   int
	cause    string
	endpoint string
	first    time.Duration // to the first byte of content
	took     time.Duration
	between  []time.Duration // between tokens
	silent   bool            // a refusal without a time to come back
}

// Bounds of the recorded times, in microseconds.
const (
	leastTime = 1
	mostTime  = 10 * 60 * 1e6
	digits    = 3
)

// Results are what came of a load. It is safe for concurrent use.
type Results struct {
	mu       sync.Mutex
	counts   [wrong + 1]int
	kinds    [Look + 1]int // whole answers of each kind
	silent   int
	causes   []Cause
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
	promised []string // orders that are said not to have run
}

// Cause counts refusals by their cause.
type Cause struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

func newResults() *Results {
	return &Results{
		first:    hdrhistogram.New(leastTime, mostTime, digits),
		between:  hdrhistogram.New(leastTime, mostTime, digits),
		refusals: hdrhistogram.New(leastTime, mostTime, digits),
	}
}

func (r *Results) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[o.what]++
	if o.what == whole {
		r.kinds[o.call.part.Kind]++
	}
	if o.silent {
		r.silent++
	}
	switch o.what {
	case whole, late:
		if o.call.part.Kind == Stream {
			record(r.first, o.first)
		}
		for _, d := range o.between {
			record(r.between, d)
		}
	case refused:
		record(r.refusals, o.took)
		if o.call.part.Kind == Order {
			r.promised = append(r.promised, o.call.order())
		}
	}
	if o.what == refused || o.what == unknown {
		r.cause(o.cause)
	}
}

// record notes a time; one over the bound is left out.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(leastTime, d.Microseconds()))
}

func (r *Results) cause(name string) {
	for i := range r.causes {
		if r.causes[i].Name == name {
			r.causes[i].Count++
			return
		}
	}
	r.causes = append(r.causes, Cause{Name: name, Count: 1})
}

// Quantiles are times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const perMilli = 1000.0
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / perMilli,
		P95: float64(h.ValueAtQuantile(95)) / perMilli,
		P99: float64(h.ValueAtQuantile(99)) / perMilli,
	}
}

// Summary is the report of a load.
type Summary struct {
	Sent    int       `json:"sent"`
	Whole   int       `json:"whole"`
	Late    int       `json:"late"`
	Refused int       `json:"refused"`
	Unknown int       `json:"unknown"`
	Broken  int       `json:"broken"` // streams that ended with a clear error
	Gone    int       `json:"gone"`   // no answer: the entry died, or refused the connection
	False   int       `json:"false"`  // refusals that had run
	Doubled int       `json:"doubled"`
	Cut     int       `json:"cut"`
	Mixed   int       `json:"mixed"`
	Wrong   int       `json:"wrong"`
	Silent  int       `json:"silent"` // refusals without a time to come back
	First   Quantiles `json:"first"`  // of streams, to the first token
	Between Quantiles `json:"between"`
	Refusal Quantiles `json:"refusal"`
	Causes  []Cause   `json:"causes,omitempty"`
}

// Summarize compares the results with the ledger of the orders.
func (r *Results) Summarize(ledger *endpoint.Ledger) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{
		Whole:   r.counts[whole],
		Late:    r.counts[late],
		Refused: r.counts[refused],
		Unknown: r.counts[unknown],
		Broken:  r.counts[broken],
		Gone:    r.counts[gone],
		Cut:     r.counts[cut],
		Mixed:   r.counts[mixed],
		Wrong:   r.counts[wrong],
		Silent:  r.silent,
		Doubled: ledger.Doubled(),
		First:   quantiles(r.first),
		Between: quantiles(r.between),
		Refusal: quantiles(r.refusals),
		Causes:  r.causes,
	}
	for _, n := range r.counts {
		s.Sent += n
	}
	for _, order := range r.promised {
		if ledger.Runs(order) > 0 {
			s.False++
		}
	}
	return s
}

// WholeOf returns how many answers of some kinds were whole and in time.
func (r *Results) WholeOf(kinds ...Kind) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, k := range kinds {
		n += r.kinds[k]
	}
	return n
}
