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

// relay is the progress of a streamed response to the caller.
type relay struct {
	begun   bool // the header has been sent
	events  int
	lastID  string        // id of the last event sent
	first   time.Duration // time to the first event, since the request was received
	last    time.Time     // time at which the last event was sent
	longest time.Duration // longest interval between two events
	weights int64         // version of the weights that started the response; no other may continue it
}

// resumeAfter returns the id of the event after which the stream is to be
// resumed; caller is the id that the caller gave in its request.
func (r *relay) resumeAfter(caller string) string {
	if r.lastID != "" {
		return r.lastID
	}
	return caller
}

// readSize is the size of the read buffer of a stream.
const readSize = 4 << 10 // bytes

// mostEvent is the maximum size of one event of a stream.
const mostEvent = 1 << 20 // bytes

// stream forwards events as they arrive. Only complete events are sent, so that
// a stream that an endpoint breaks off can be resumed at another one.
func (j *job) stream(ctx context.Context, p *dispatch.Reservation, x *forward.Exchange, r fulmardeal.Reply) (verdict, dispatch.Outcome) {
	g := j.gateway
	var rest []byte
	buf := make([]byte, readSize)
	silence := j.silence()
	for {
		n, err := x.Read(buf, silence)
		rest = append(rest, buf[:n]...)
		whole, after := cutEvents(rest)
		if len(whole) > 0 {
			p.RecordFirstEvent()
			if !j.hand(p, x, r, whole) {
				j.log.Info("caller left", "endpoint", p.Endpoint().ID(), "after", time.Since(j.begun), "events", j.relay.events)
				return answered, dispatch.OutcomeCancelled
			}
			rest = append(rest[:0], after...)
			silence = j.eventSilence()
		}
		switch {
		case errors.Is(err, io.EOF):
			if len(rest) > 0 || !j.relay.begun {
				j.log.Warn("stream ended early", "endpoint", p.Endpoint().ID(), "events", j.relay.events)
				return maybeRun, dispatch.OutcomeFailed
			}
			x.Release(r.Keep)
			g.stats.served(j.service, time.Since(j.begun))
			j.log.Info("served", "endpoint", p.Endpoint().ID(), "first", j.relay.first, "pause", j.relay.longest, "events", j.relay.events,
				"expected", p.ExpectedFirstEvent(), "waited", j.waited, "prompt", j.facts.Prompt, "sends", j.sends+1, "weights", r.Weights)
			return answered, dispatch.OutcomeServed
		case err != nil:
			return j.unanswered(ctx, p, err)
		case len(rest) > mostEvent:
			j.log.Warn("stream event exceeds the size limit", "endpoint", p.Endpoint().ID(), "bytes", len(rest))
			return maybeRun, dispatch.OutcomeFailed
		}
	}
}

// eventSilence returns the timeout for the next event.
func (j *job) eventSilence() time.Duration {
	if !j.route.Repeatable() || j.runs+1 >= j.route.Attempts {
		return unboundedWait
	}
	return max(eventSilence, 2*j.route.Pause)
}

// hand writes complete events to the caller, after the header before the first,
// and reports whether the caller is still connected. Events that the caller
// already has are skipped.
func (j *job) hand(p *dispatch.Reservation, x *forward.Exchange, r fulmardeal.Reply, events []byte) bool {
	if !j.relay.begun {
		h := j.writer.Header()
		for name, values := range j.gateway.codec.WriteReply(x.Header()) {
			h[name] = values
		}
		noSniff(h)
		j.relay.begun, j.relay.weights = true, r.Weights
		j.relay.first = time.Since(j.begun)
		j.gateway.stats.first(j.service, j.relay.first, j.relay.first-j.waited-p.ExpectedFirstEvent())
		j.writer.WriteHeader(x.Status())
	}
	out := events[:0:0]
	for len(events) > 0 {
		n := eventEnd(events)
		event := events[:n]
		events = events[n:]
		id := eventID(event)
		if id != "" && !laterID(id, j.relay.lastID) {
			continue
		}
		if id != "" {
			j.relay.lastID = id
		}
		j.relay.events++
		out = append(out, event...)
	}
	now := time.Now()
	if !j.relay.last.IsZero() {
		j.relay.longest = max(j.relay.longest, now.Sub(j.relay.last))
	}
	j.relay.last = now
	if _, err := j.writer.Write(out); err != nil {
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

// cutEvents splits data into complete events and the incomplete rest.
func cutEvents(data []byte) (whole, rest []byte) {
	at := 0
	for {
		n := eventEnd(data[at:])
		if n == 0 {
			return data[:at], data[at:]
		}
		at += n
	}
}

// eventID returns the id of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, is := bytes.CutPrefix(line, []byte("id:")); is {
			return strings.TrimSpace(string(v))
		}
	}
	return ""
}

// laterID reports whether the event id comes after last. Ids increase; a
// non-numeric one counts as later.
func laterID(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err != nil || err2 != nil || a > b
}

// lotOf hashes a string to a number in [0, 1).
func lotOf(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }

func itoa(n int) string { return strconv.Itoa(n) }
