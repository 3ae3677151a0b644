package local

import (
	"fmt"
	"strings"
	"time"
)

// progress prints the progress of distributing the weights, one line for each data
// centre. On a terminal it overwrites the previous lines.
type progress struct {
	system    *System
	job       Job
	lastShown time.Time
	lines     int
}

func newProgress(x *System, j Job) *progress { return &progress{system: x, job: j} }

// show prints the current progress, at most once per progressInterval.
func (p *progress) show(now time.Time) {
	if now.Sub(p.lastShown) < progressInterval {
		return
	}
	p.lastShown = now
	if p.job.Terminal && p.lines > 0 {
		fmt.Fprintf(p.job.Out, "\x1b[%dA", p.lines)
	}
	p.lines = 0
	for _, d := range p.system.settings.Configuration.DataCentre {
		fmt.Fprintf(p.job.Out, "%s\n", p.line(d.Name))
		p.lines++
	}
}

// barWidth is the width of a progress bar, in characters.
const barWidth = 30

// line returns the progress bar of a data centre.
func (p *progress) line(dataCentre string) string {
	held, chunks, ready, all := 0, 0, 0, 0
	for _, m := range p.system.Agents() {
		if m.Engine == nil || m.DataCentre != dataCentre {
			continue
		}
		all++
		h, c := m.Agent.Chunks()
		held += h
		chunks += c
		if !m.Agent.Node().Members().Self().Serving.Zero() {
			ready++
		}
	}
	filled := 0
	if chunks > 0 {
		filled = barWidth * held / chunks
	}
	bar := strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled)
	return fmt.Sprintf("%-14s [%s] %5d of %5d chunks, %d of %d serve", dataCentre, bar, held, chunks, ready, all)
}

// finish prints the final progress.
func (p *progress) finish() {
	p.lastShown = time.Time{}
	p.show(time.Now())
}
