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
)

// Book queues lines and writes them in the background. It is the writer of a
// slog.Handler.
type Book struct {
	lines chan []byte
	quit  chan struct{}
	done  chan struct{}

	mu         sync.Mutex
	second     int64
	counts     map[string]int
	suppressed int // lines dropped in the current second because of the rate
	dropped    int // lines not written, because of the rate or a full queue
}

// New returns a logger that writes to w, its Book, and a function that writes
// the queued lines and stops.
func New(w io.Writer, level slog.Leveler) (*slog.Logger, *Book, func()) {
	b := &Book{lines: make(chan []byte, queueLength), quit: make(chan struct{}), done: make(chan struct{}), counts: make(map[string]int)}
	go b.write(w)
	h := &handler{writer: b, text: slog.NewTextHandler(b, &slog.HandlerOptions{Level: level})}
	return slog.New(h), b, func() {
		close(b.quit)
		<-b.done
	}
}

// Lost returns the number of lines that were not written.
func (b *Book) Lost() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Write queues one line. It drops the line if the queue is full.
func (b *Book) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.mu.Lock()
		b.dropped++
		b.mu.Unlock()
	}
	return len(line), nil
}

// write writes the queued lines, all that are available in one call.
func (b *Book) write(w io.Writer) {
	defer close(b.done)
	var buf bytes.Buffer
	for quit := false; !quit; {
		select {
		case line := <-b.lines:
			buf.Write(line)
		case <-b.quit:
			quit = true
		}
		for n := len(b.lines); n > 0; n-- {
			buf.Write(<-b.lines)
		}
		// A failure to write the log can't be reported anywhere.
		_, _ = w.Write(buf.Bytes())
		buf.Reset()
	}
}

// allow reports whether a line is within the rate of its kind, that is, its
// message. suppressed is the number of lines dropped in the previous second; it
// is returned once per second.
func (b *Book) allow(now time.Time, kind string, level slog.Level) (ok bool, suppressed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		suppressed, b.suppressed, b.second = b.suppressed, 0, s
		b.dropped += suppressed
		clear(b.counts)
	}
	limit := infoRate
	if level >= slog.LevelWarn {
		limit = warnRate
	}
	if b.counts[kind] >= limit {
		b.suppressed++
		return false, suppressed
	}
	b.counts[kind]++
	return true, suppressed
}

// handler formats lines as text and limits their rate.
type handler struct {
	writer *Book
	text   slog.Handler
}

// Enabled reports whether lines of a level are written.
func (h *handler) Enabled(ctx context.Context, l slog.Level) bool { return h.text.Enabled(ctx, l) }

// Handle queues a line unless its rate is exceeded.
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
