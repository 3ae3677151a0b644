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

// Table stores the last reported value of each metric and writes them as text.
// It implements tally.StatsReporter.
type Table struct {
	mu      sync.Mutex
	metrics []metric // sorted by name
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

func (t *Table) update(name string, f func(old float64) float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, known := slices.BinarySearchFunc(t.metrics, name, func(r metric, n string) int { return strings.Compare(r.name, n) })
	if !known {
		t.metrics = slices.Insert(t.metrics, i, metric{name: name})
	}
	t.metrics[i].value = f(t.metrics[i].value)
}

// Write writes one line per metric.
func (t *Table) Write(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.metrics {
		fmt.Fprintf(w, "%s %v\n", r.name, r.value)
	}
}

// ReportCounter adds to a counter.
func (t *Table) ReportCounter(name string, tags map[string]string, v int64) {
	t.update(taggedName(name, tags), func(old float64) float64 { return old + float64(v) })
}

// ReportGauge sets a gauge.
func (t *Table) ReportGauge(name string, tags map[string]string, v float64) {
	t.update(taggedName(name, tags), func(float64) float64 { return v })
}

// ReportTimer sets a duration, in seconds.
func (t *Table) ReportTimer(name string, tags map[string]string, d time.Duration) {
	t.update(taggedName(name, tags), func(float64) float64 { return d.Seconds() })
}

// ReportHistogramValueSamples does nothing: only duration histograms are used.
func (t *Table) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples adds to the count of a bucket. The bucket is
// named by its upper bound in seconds.
func (t *Table) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	bound := strconv.FormatFloat(upper.Seconds(), 'g', 4, 64)
	if upper == math.MaxInt64 {
		bound = "inf"
	}
	t.update(taggedName(name+"_"+bound, tags), func(old float64) float64 { return old + float64(samples) })
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
func (t *Table) Capabilities() tally.Capabilities { return capabilities{} }

// Flush does nothing: a value can be read as soon as it is reported.
func (t *Table) Flush() {}

type capabilities struct{}

// Reporting reports that the reporter accepts metrics.
func (capabilities) Reporting() bool { return true }

// Tagging reports that the reporter supports tags.
func (capabilities) Tagging() bool { return true }
