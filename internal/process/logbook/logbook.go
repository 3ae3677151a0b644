// Package logbook writes a process's log, one line of key=value pairs per
// event, to a writer that may be slow or may block. Lines wait in a bounded
// queue, so that logging never blocks. The number of lines per second with the
// same message is limited; excess lines are dropped and counted in the log.
package logbook

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Limits of a log.
const (
	queueLength = 4096 // lines; about 1 MB at 250 bytes per line
	infoRate    = 200  // lines per second with the same message, below Warn
	warnRate    = 500  // lines per second with the same message, Warn and above

	// closeTimeout limits the wait for the last lines to be written. It is below what a graceful
	// shutdown leaves of the time until SIGKILL.
	closeTimeout = 300 * time.Millisecond
)

// Writer queues lines and writes them in the background. It is the writer of a
// slog.Handler.
type Writer struct {
	lines chan []byte
	quit  chan struct{}
	done  chan struct{}

	mu         sync.Mutex
	second     int64
	counts     map[string]int
	suppressed int // lines dropped in the current second because of the rate limit
	dropped    int // lines not written because of the rate limit or a full queue
}

// New returns a logger that writes to out, its Writer, and a function that
// writes the queued lines and stops. It gives up if out blocks.
func New(out io.Writer, level slog.Leveler) (*slog.Logger, *Writer, func()) {
	w := &Writer{lines: make(chan []byte, queueLength), quit: make(chan struct{}), done: make(chan struct{}), counts: make(map[string]int)}
	go w.write(out)
	h := &handler{writer: w, text: slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})}
	return slog.New(h), w, func() {
		close(w.quit)
		select {
		case <-w.done:
		case <-time.After(closeTimeout):
		}
	}
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Write queues one line. It drops the line if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.mu.Lock()
		w.dropped++
		w.mu.Unlock()
	}
	return len(line), nil
}

// write writes the queued lines to out. Each call of out.Write gets all the lines
// that are queued at the time.
func (w *Writer) write(out io.Writer) {
	defer close(w.done)
	var buf bytes.Buffer
	for quit := false; !quit; {
		select {
		case line := <-w.lines:
			buf.Write(line)
		case <-w.quit:
			quit = true
		}
		for n := len(w.lines); n > 0; n-- {
			buf.Write(<-w.lines)
		}
		// A failure to write the log can't be reported anywhere.
		_, _ = out.Write(buf.Bytes())
		buf.Reset()
	}
}

// allow reports whether a line is within the rate limit of its message, which is
// passed as kind. At the first call in a second, suppressed is the number of lines
// with any message that were dropped in the last second with a call; otherwise it
// is 0.
func (w *Writer) allow(now time.Time, kind string, level slog.Level) (ok bool, suppressed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := now.Unix(); s != w.second {
		suppressed, w.suppressed, w.second = w.suppressed, 0, s
		w.dropped += suppressed
		clear(w.counts)
	}
	limit := infoRate
	if level >= slog.LevelWarn {
		limit = warnRate
	}
	if w.counts[kind] >= limit {
		w.suppressed++
		return false, suppressed
	}
	w.counts[kind]++
	return true, suppressed
}

// handler formats lines as text and limits their rate.
type handler struct {
	writer *Writer
	text   slog.Handler
}

// Enabled reports whether lines of a level are written.
func (h *handler) Enabled(ctx context.Context, l slog.Level) bool { return h.text.Enabled(ctx, l) }

// Handle queues a line unless it exceeds the rate limit of its message.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	ok, suppressed := h.writer.allow(r.Time, r.Message, r.Level)
	if suppressed > 0 {
		line := fmt.Sprintf("time=%s level=WARN msg=\"lines left out\" lines=%d\n", r.Time.Format(time.RFC3339Nano), suppressed)
		if _, err := h.writer.Write([]byte(line)); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return h.text.Handle(ctx, r)
}

// WithAttrs returns a handler that adds attributes.
func (h *handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &handler{writer: h.writer, text: h.text.WithAttrs(a)}
}

// WithGroup returns a handler that opens a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{writer: h.writer, text: h.text.WithGroup(name)}
}
