package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmardeal"
	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/traffic/forward"
)

// streamProgress is the progress of a streamed response to the caller.
type streamProgress struct {
	started      bool // the response's header has been sent to the caller
	ended        bool // the last event has been sent to the caller
	events       int
	order        eventOrder    // of the events sent to the caller
	firstEvent   time.Duration // from the receipt of the request to the first event
	lastSent     time.Time     // time at which the last event was sent
	longestPause time.Duration // longest interval between two events
	weights      int64         // version of the weights that started the response; no other version may continue it
}

// resumeAfter returns the id of the event after which the stream is to be
// resumed; requested is the id that the caller gave in its request.
func (p *streamProgress) resumeAfter(requested string) string {
	if p.order.received {
		return strconv.FormatInt(p.order.last, 10)
	}
	return requested
}

// nextOrder returns the order of events that the next attempt has to continue.
func (p *streamProgress) nextOrder(requested string) eventOrder {
	if p.order.received {
		return p.order
	}
	return orderAfter(requested)
}

// readSize is the size of the read buffer of a stream.
const readSize = 4 << 10 // bytes

// Limits on the size of one event of a stream.
const (
	maxEventBytes  = 128 << 10
	freeEventBytes = 8 << 10 // up to this size, an event doesn't count as buffered
)

// writeEvents writes complete events to the caller, preceded by the header if it
// hasn't been sent yet, and reports whether the caller is still connected.
func (c *call) writeEvents(u update) bool {
	if !c.progress.started {
		h := c.writer.Header()
		for name, values := range c.gateway.codec.ResponseHeader(u.header) {
			h[name] = values
		}
		suppressDefaultHeaders(h)
		c.progress.started, c.progress.weights = true, u.weights
		c.progress.firstEvent = time.Since(c.received)
		c.gateway.stats.firstEvent(c.service, c.progress.firstEvent, c.progress.firstEvent-c.queueTime-u.attempt.reservation.ExpectedFirstEvent())
		c.writer.WriteHeader(u.status)
	}
	c.progress.events, c.progress.order = c.progress.events+u.count, u.order
	now := time.Now()
	if !c.progress.lastSent.IsZero() {
		c.progress.longestPause = max(c.progress.longestPause, now.Sub(c.progress.lastSent))
	}
	c.progress.lastSent = now
	if c.caller.behind() {
		c.caller.count(ledger.Answer, c.bufferedBytes+forward.SocketBytes+len(u.events))
	}
	if _, err := c.writer.Write(u.events); err != nil {
		return false
	}
	return http.NewResponseController(c.writer).Flush() == nil
}

// rejectStream returns why the header of a successful response is not that of the
// stream of events that was asked for, or an empty string.
func (a *attempt) rejectStream(h http.Header, r fulmardeal.ResponseMetadata) string {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	switch {
	case !strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream"):
		return "type"
	case !a.resumed:
		return ""
	case r.AttemptID != a.call.metadata.AttemptID:
		return "attempt"
	case r.WeightsVersion != a.weights && a.weights > 0:
		return "weights"
	}
	return ""
}

// hashFraction hashes a string to a number in [0, 1).
func hashFraction(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }

func itoa(n int) string { return strconv.Itoa(n) }
