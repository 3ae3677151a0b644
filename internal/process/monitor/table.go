package monitor

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// row is the last value of one metric.
type row struct {
	name  string
	value float64
}

// table keeps the last values that tally reports and writes them as text. It is
// a tally.StatsReporter.
type table struct {
	mu   sync.Mutex
	rows []row // sorted by name
}

func newTable() *table { return &table{} }

func (t *table) set(name string, f func(old float64) float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, known := slices.BinarySearchFunc(t.rows, name, func(r row, n string) int { return strings.Compare(r.name, n) })
	if !known {
		t.rows = slices.Insert(t.rows, i, row{name: name})
	}
	t.rows[i].value = f(t.rows[i].value)
}

// write writes one line a metric.
func (t *table) write(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		fmt.Fprintf(w, "%s %v\n", r.name, r.value)
	}
}

// ReportCounter adds to a counter.
func (t *table) ReportCounter(name string, _ map[string]string, v int64) {
	t.set(name, func(old float64) float64 { return old + float64(v) })
}

// ReportGauge sets a gauge.
func (t *table) ReportGauge(name string, _ map[string]string, v float64) {
	t.set(name, func(float64) float64 { return v })
}

// ReportTimer sets a time, in seconds.
func (t *table) ReportTimer(name string, _ map[string]string, d time.Duration) {
	t.set(name, func(float64) float64 { return d.Seconds() })
}

// ReportHistogramValueSamples does nothing: no histogram is used.
func (t *table) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples does nothing: no histogram is used.
func (t *table) ReportHistogramDurationSamples(string, map[string]string, tally.Buckets, time.Duration, time.Duration, int64) {
}

// Capabilities describes the reporter.
func (t *table) Capabilities() tally.Capabilities { return capabilities{} }

// Flush does nothing: values are read when they are asked for.
func (t *table) Flush() {}

type capabilities struct{}

// Reporting reports that metrics are taken.
func (capabilities) Reporting() bool { return true }

// Tagging reports that tags are not.
func (capabilities) Tagging() bool { return false }
