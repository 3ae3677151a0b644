package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmardeal"
	"fulmardeal/internal/traffic/dispatch"
	"fulmardeal/internal/traffic/forward"
)

// streamProgress is the progress of a streamed response to the caller.
type streamProgress struct {
	started      bool // the header has been sent
	events       int
	lastID       string        // id of the last event sent
	firstEvent   time.Duration // time to the first event, since the request was received
	lastSent     time.Time     // time at which the last event was sent
	longestPause time.Duration // longest interval between two events
	weights      int64         // version of the weights that started the response; no other may continue it
}

// resumeAfter returns the id of the event after which the stream is to be
// resumed; caller is the id that the caller gave in its request.
func (r *streamProgress) resumeAfter(caller string) string {
	if r.lastID != "" {
		return r.lastID
	}
	return caller
}

// readSize is the size of the read buffer of a stream.
const readSize = 4 << 10 // bytes

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20 // bytes

// forwardStream forwards events as they arrive. Only complete events are sent,
// so that a stream that an endpoint breaks off can be resumed at another one.
func (j *job) forwardStream(ctx context.Context, p *dispatch.Reservation, x *forward.Exchange, r fulmardeal.Reply) (attemptResult, dispatch.Outcome) {
	g := j.gateway
	var pending []byte
	buf := make([]byte, readSize)
	timeout := j.responseTimeout()
	for {
		n, err := x.Read(buf, timeout)
		pending = append(pending, buf[:n]...)
		events, partial := splitEvents(pending)
		if len(events) > 0 {
			p.RecordFirstEvent()
			if !j.writeEvents(p, x, r, events) {
				j.log.Info("caller disconnected", "endpoint", p.Endpoint().ID(), "after", time.Since(j.received), "events", j.progress.events)
				return finished, dispatch.OutcomeCancelled
			}
			pending = append(pending[:0], partial...)
			timeout = j.eventTimeout()
		}
		switch {
		case errors.Is(err, io.EOF):
			if len(pending) > 0 || !j.progress.started {
				j.log.Warn("stream ended early", "endpoint", p.Endpoint().ID(), "events", j.progress.events)
				return maybeRun, dispatch.OutcomeFailed
			}
			x.Release(r.Keep)
			g.stats.served(j.service, time.Since(j.received))
			j.log.Info("served", "endpoint", p.Endpoint().ID(), "first", j.progress.firstEvent, "pause", j.progress.longestPause, "events", j.progress.events,
				"expected", p.ExpectedFirstEvent(), "waited", j.queueTime, "prompt", j.facts.Prompt, "sends", j.sends+1, "weights", r.Weights)
			return finished, dispatch.OutcomeServed
		case err != nil:
			return j.handleExchangeError(ctx, p, err)
		case len(pending) > maxEventBytes:
			j.log.Warn("stream event exceeds the size limit", "endpoint", p.Endpoint().ID(), "bytes", len(pending))
			return maybeRun, dispatch.OutcomeFailed
		}
	}
}

// eventTimeout returns the timeout for the next event.
func (j *job) eventTimeout() time.Duration {
	if !j.route.Repeatable() || j.runs+1 >= j.route.Attempts {
		return noTimeout
	}
	return max(minEventTimeout, 2*j.route.Pause)
}

// writeEvents writes complete events to the caller, after the header before the
// first, and reports whether the caller is still connected. Events that the
// caller already has are skipped.
func (j *job) writeEvents(p *dispatch.Reservation, x *forward.Exchange, r fulmardeal.Reply, events []byte) bool {
	if !j.progress.started {
		h := j.writer.Header()
		for name, values := range j.gateway.codec.WriteReply(x.Header()) {
			h[name] = values
		}
		suppressDefaultHeaders(h)
		j.progress.started, j.progress.weights = true, r.Weights
		j.progress.firstEvent = time.Since(j.received)
		j.gateway.stats.firstEvent(j.service, j.progress.firstEvent, j.progress.firstEvent-j.queueTime-p.ExpectedFirstEvent())
		j.writer.WriteHeader(x.Status())
	}
	unsent := events[:0:0]
	for len(events) > 0 {
		n := eventEnd(events)
		event := events[:n]
		events = events[n:]
		id := eventID(event)
		if id != "" && !isLaterID(id, j.progress.lastID) {
			continue
		}
		if id != "" {
			j.progress.lastID = id
		}
		j.progress.events++
		unsent = append(unsent, event...)
	}
	now := time.Now()
	if !j.progress.lastSent.IsZero() {
		j.progress.longestPause = max(j.progress.longestPause, now.Sub(j.progress.lastSent))
	}
	j.progress.lastSent = now
	if _, err := j.writer.Write(unsent); err != nil {
		return false
	}
	return http.NewResponseController(j.writer).Flush() == nil
}

// eventEnd returns the length of the first event, including the blank line that
// ends it, or 0 if the event is incomplete.
func eventEnd(data []byte) int {
	n := 0
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		n = i + 2
	}
	if i := bytes.Index(data, []byte("\r\n\r\n")); i >= 0 && (n == 0 || i+4 < n) {
		n = i + 4
	}
	return n
}

// splitEvents splits data into complete events and the incomplete rest.
func splitEvents(data []byte) (complete, rest []byte) {
	end := 0
	for {
		n := eventEnd(data[end:])
		if n == 0 {
			return data[:end], data[end:]
		}
		end += n
	}
}

// eventID returns the id of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, found := bytes.CutPrefix(line, []byte("id:")); found {
			return strings.TrimSpace(string(v))
		}
	}
	return ""
}

// isLaterID reports whether the event id comes after last. Ids increase; a
// non-numeric one counts as later.
func isLaterID(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err != nil || err2 != nil || a > b
}

// hashFraction hashes a string to a number in [0, 1).
func hashFraction(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }

func itoa(n int) string { return strconv.Itoa(n) }
