package logbook

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a writer that blocks until wait is closed.
type blockedWriter struct{ wait chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.wait
	return len(p), nil
}

func TestLoggingNeverBlocks(t *testing.T) {
	w := blockedWriter{wait: make(chan struct{})}
	log, writer, cleanup := New(w, slog.LevelInfo)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 40 * queueLength {
			log.Info(strings.Repeat("x", i%997)) // different messages, so that the rate limit doesn't apply
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks while the writer blocks")
	}
	if writer.Dropped() == 0 {
		t.Error("no line was counted as dropped")
	}
	close(w.wait)
	cleanup()
}

// A process must end although nobody reads its log.
func TestCloseWhileWriterBlocks(t *testing.T) {
	w := blockedWriter{wait: make(chan struct{})}
	defer close(w.wait)
	log, _, cleanup := New(w, slog.LevelInfo)
	log.Info("started")
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		cleanup()
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("not closed within 5 s")
	}
}

func TestExcessLinesAreCounted(t *testing.T) {
	var out syncBuffer
	log, _, cleanup := New(&out, slog.LevelInfo)
	for range 10 * infoRate {
		log.Info("served")
	}
	log.Warn("failed")
	time.Sleep(1100 * time.Millisecond)
	log.Info("later")
	cleanup()
	text := out.String()
	n := strings.Count(text, "msg=served")
	if n < infoRate || n > 2*infoRate {
		t.Errorf("%d lines written, want about %d", n, infoRate)
	}
	if !strings.Contains(text, "msg=failed") {
		t.Error("a warning was dropped because of other messages")
	}
	if !strings.Contains(text, `msg="lines left out" lines=`) {
		t.Error("the number of dropped lines is not logged")
	}
}

func TestQueuedLinesAreWrittenOnClose(t *testing.T) {
	var out syncBuffer
	log, _, cleanup := New(&out, slog.LevelWarn)
	log.Info("no")
	log.With("id", 7).Warn("yes")
	cleanup()
	if got := out.String(); !strings.Contains(got, "msg=yes id=7") || strings.Contains(got, "msg=no") {
		t.Error(got)
	}
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

var _ io.Writer = (*syncBuffer)(nil)
