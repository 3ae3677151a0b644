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
	started      bool // the response's header has been sent to the caller
	events       int
	lastID       string        // id of the last event sent to the caller
	firstEvent   time.Duration // from the receipt of the request to the first event
	lastSent     time.Time     // time at which the last event was sent
	longestPause time.Duration // longest interval between two events
	weights      int64         // version of the weights that started the response; no other version may continue it
}

// resumeAfter returns the id of the event after which the stream is to be
// resumed; requested is the id that the caller gave in its request.
func (p *streamProgress) resumeAfter(requested string) string {
	if p.lastID != "" {
		return p.lastID
	}
	return requested
}

// point returns the part of a response that is awaited, for the log: its first event
// or complete body, or a further event.
func (c *call) point() string {
	if c.progress.started {
		return "event"
	}
	return "answer"
}

// readSize is the size of the read buffer of a stream.
const readSize = 4 << 10 // bytes

// maxEventBytes is the maximum size of one event of a stream. Each stream may buffer
// as much, and the smallest entries serve some hundred streams.
const maxEventBytes = 128 << 10 // bytes

// forwardStream forwards events as they arrive. Only complete events are sent,
// so that a stream that an endpoint breaks off can be resumed at another one.
func (c *call) forwardStream(ctx context.Context, reservation *dispatch.Reservation, x *forward.Exchange, r fulmardeal.ResponseMetadata) (attemptResult, dispatch.Outcome) {
	g := c.gateway
	var pending []byte
	buf := make([]byte, readSize)
	by := c.responseDeadline(reservation)
	for {
		n, err := x.Read(buf, by)
		pending = append(pending, buf[:n]...)
		events, partial := splitEvents(pending)
		if len(events) > 0 {
			reservation.RecordFirstEvent()
			if !c.writeEvents(reservation, x, r, events) {
				c.logDisconnected(reservation.Endpoint().ID())
				return finished, dispatch.OutcomeCancelled
			}
			pending = append(pending[:0], partial...)
			by = c.eventDeadline()
		}
		switch {
		case errors.Is(err, io.EOF):
			if len(pending) > 0 || !c.progress.started {
				c.log.Warn("stream ended within an event or before the first", "endpoint", reservation.Endpoint().ID(), "events", c.progress.events)
				return maybeRun, dispatch.OutcomeFailed
			}
			x.Release(r.IdleTimeout)
			g.stats.served(c.service, time.Since(c.received))
			c.log.Info("served", "endpoint", reservation.Endpoint().ID(), "first", c.progress.firstEvent, "pause", c.progress.longestPause, "events", c.progress.events,
				"expected", reservation.ExpectedFirstEvent(), "waited", c.queueTime, "prompt", c.metadata.PromptTokens, "sends", c.sends+1, "weights", r.WeightsVersion)
			return finished, dispatch.OutcomeServed
		case err != nil:
			return c.handleExchangeError(ctx, reservation, err)
		case len(pending) > maxEventBytes:
			c.log.Warn("stream event exceeds the size limit", "endpoint", reservation.Endpoint().ID(), "bytes", len(pending))
			return maybeRun, dispatch.OutcomeFailed
		}
	}
}

// eventDeadline returns the time by which the next event of a stream must be
// complete, or noDeadline if the stream can't be resumed at another endpoint. An
// endpoint that only sends parts of an event doesn't extend it.
func (c *call) eventDeadline() time.Time {
	if !c.route.Repeatable() || c.runs+1 >= c.route.Attempts {
		return noDeadline
	}
	return time.Now().Add(max(minEventTimeout, 2*c.route.Pause))
}

// writeEvents writes complete events to the caller, preceded by the header if it
// hasn't been sent yet, and reports whether the caller is still connected. It
// skips events that the caller already has.
func (c *call) writeEvents(reservation *dispatch.Reservation, x *forward.Exchange, r fulmardeal.ResponseMetadata, events []byte) bool {
	if !c.progress.started {
		h := c.writer.Header()
		for name, values := range c.gateway.codec.ResponseHeader(x.Header()) {
			h[name] = values
		}
		suppressDefaultHeaders(h)
		c.progress.started, c.progress.weights = true, r.WeightsVersion
		c.progress.firstEvent = time.Since(c.received)
		c.gateway.stats.firstEvent(c.service, c.progress.firstEvent, c.progress.firstEvent-c.queueTime-reservation.ExpectedFirstEvent())
		c.writer.WriteHeader(x.Status())
	}
	unsent := events[:0:0]
	for len(events) > 0 {
		n := eventEnd(events)
		event := events[:n]
		events = events[n:]
		id := eventID(event)
		if id != "" && !isLaterID(id, c.progress.lastID) {
			continue
		}
		if id != "" {
			c.progress.lastID = id
		}
		c.progress.events++
		unsent = append(unsent, event...)
	}
	now := time.Now()
	if !c.progress.lastSent.IsZero() {
		c.progress.longestPause = max(c.progress.longestPause, now.Sub(c.progress.lastSent))
	}
	c.progress.lastSent, c.lastHeard = now, now
	if _, err := c.writer.Write(unsent); err != nil {
		return false
	}
	return http.NewResponseController(c.writer).Flush() == nil
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

// isLaterID reports whether the event id comes after last. Ids are increasing
// numbers; if one of the two isn't a number, id counts as later.
func isLaterID(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err != nil || err2 != nil || a > b
}

// hashFraction hashes a string to a number in [0, 1).
func hashFraction(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }

func itoa(n int) string { return strconv.Itoa(n) }
