package monitor

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// metric is the last value of one metric.
type metric struct {
	name  string
	value float64
}

// Reporter stores the last reported value of each metric and writes them as
// text. It implements tally.StatsReporter.
type Reporter struct {
	mu      sync.Mutex
	metrics []metric // sorted by name
}

// NewReporter returns a reporter without metrics.
func NewReporter() *Reporter { return &Reporter{} }

func (r *Reporter) update(name string, f func(old float64) float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, known := slices.BinarySearchFunc(r.metrics, name, func(m metric, n string) int { return strings.Compare(m.name, n) })
	if !known {
		r.metrics = slices.Insert(r.metrics, i, metric{name: name})
	}
	r.metrics[i].value = f(r.metrics[i].value)
}

// Write writes one line per metric.
func (r *Reporter) Write(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.metrics {
		fmt.Fprintf(w, "%s %v\n", m.name, m.value)
	}
}

// ReportCounter adds to a counter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, v int64) {
	r.update(taggedName(name, tags), func(old float64) float64 { return old + float64(v) })
}

// ReportGauge sets a gauge.
func (r *Reporter) ReportGauge(name string, tags map[string]string, v float64) {
	r.update(taggedName(name, tags), func(float64) float64 { return v })
}

// ReportTimer sets a duration, in seconds.
func (r *Reporter) ReportTimer(name string, tags map[string]string, d time.Duration) {
	r.update(taggedName(name, tags), func(float64) float64 { return d.Seconds() })
}

// ReportHistogramValueSamples does nothing: only duration histograms are used.
func (r *Reporter) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples adds to the count of a bucket. The bucket is
// named by its upper bound in seconds.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	bound := strconv.FormatFloat(upper.Seconds(), 'g', 4, 64)
	if upper == math.MaxInt64 {
		bound = "inf"
	}
	r.update(taggedName(name+"_"+bound, tags), func(old float64) float64 { return old + float64(samples) })
}

// taggedName returns a metric's name followed by its tags, sorted.
func taggedName(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	var parts []string
	for k, v := range tags {
		parts = append(parts, k+"="+v)
	}
	slices.Sort(parts)
	return name + "{" + strings.Join(parts, ",") + "}"
}

// Capabilities describes the reporter.
func (r *Reporter) Capabilities() tally.Capabilities { return capabilities{} }

// Flush does nothing: a value can be read as soon as it is reported.
func (r *Reporter) Flush() {}

type capabilities struct{}

// Reporting reports that the reporter accepts metrics.
func (capabilities) Reporting() bool { return true }

// Tagging reports that the reporter supports tags.
func (capabilities) Tagging() bool { return true }
