package gateway

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// streamProgress is the progress of a streamed response to the caller.
type streamProgress struct {
	started      bool // the response's header has been sent to the caller
	events       int
	lastID       string        // id of the last event sent to the caller
	unresumable  bool          // an event without id has been sent, which would come twice if the stream were resumed
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

// readSize is the size of the read buffer of a stream.
const readSize = 4 << 10 // bytes

// maxEventBytes is the maximum size of one event of a stream. Each stream may buffer
// as much, and the smallest entries serve some hundred streams.
const maxEventBytes = 128 << 10 // bytes

// writeEvents writes complete events to the caller, preceded by the header if it
// hasn't been sent yet, and reports whether the caller is still connected. It
// skips events that the caller already has.
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
	events := u.events
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
		} else if hasData(event) {
			c.progress.unresumable = true
		}
		c.progress.events++
		unsent = append(unsent, event...)
	}
	now := time.Now()
	if !c.progress.lastSent.IsZero() {
		c.progress.longestPause = max(c.progress.longestPause, now.Sub(c.progress.lastSent))
	}
	c.progress.lastSent = now
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

// countEvents returns the number of complete events in data.
func countEvents(data []byte) int {
	count := 0
	for n := eventEnd(data); n > 0; n = eventEnd(data) {
		data = data[n:]
		count++
	}
	return count
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

// hasData reports whether an event has data. Others are comments.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
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
