package gateway

import (
	"bytes"
	"math"
	"strconv"
)

// eventOrder is what is known about the ids of a stream's events. Ids are increasing
// numbers. They may leave numbers out, but an endpoint that goes on with a stream whose ids
// don't must not either.
type eventOrder struct {
	last       int64 // id of the last event, or the one that the caller gave in its request
	known      bool  // last is set
	received   bool  // last is the id of an event
	adjacent   bool  // an id has followed the one before directly
	gap        bool  // an id has not
	unnumbered bool  // an event had no id: it would come twice if the stream were resumed
}

// orderAfter returns the order of a stream that goes on after the event with the given id,
// which is empty for a stream from its first event on.
func orderAfter(id string) eventOrder {
	last, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return eventOrder{} // the id that a caller made up
	}
	return eventOrder{last: last, known: true}
}

// eventError reports that the body of a stream has something else than its next event.
type eventError struct {
	Reason string
}

func (e *eventError) Error() string { return e.Reason }

// Reasons of an eventError. The values don't change.
var (
	errUnknownField = &eventError{"unknown field"}
	errLineEnd      = &eventError{"line ends differ"}
	errIDs          = &eventError{"two ids"}
	errIDNumber     = &eventError{"id is no number"}
	errIDOrder      = &eventError{"id is not higher than the last one"}
	errIDGap        = &eventError{"events are left out"}
	errIDMissing    = &eventError{"id is missing"}
)

// eventScanner splits the body of a response into events, and checks that they continue
// the stream. The zero value, apart from isField, is for a stream from its first event on.
type eventScanner struct {
	order   eventOrder
	joins   bool                   // the next id joins this response to another endpoint's
	isField func(name []byte) bool // reports whether a line with this name may begin an event

	pending []byte // the incomplete event
	checked int    // its complete lines, in bytes
	event   scannedEvent
	filled  bool // there was an event with an id or data
}

// scannedEvent is what the lines of the incomplete event have shown.
type scannedEvent struct {
	lines   int
	crlf    bool // the lines end with a carriage return and a line feed
	hasData bool
	hasID   bool
	id      int64
}

// append appends bytes of the body. It returns the complete events and their number; the
// caller owns them. If something else follows them, it returns an *eventError, and must not
// be called again.
func (s *eventScanner) append(data []byte) (events []byte, count int, err error) {
	s.pending = append(s.pending, data...)
	n, count, err := s.scan(s.pending)
	if n == 0 {
		return nil, 0, err
	}
	events = s.pending[:n:n]
	s.pending = append([]byte(nil), s.pending[n:]...)
	s.checked -= n
	return events, count, err
}

// scan checks the lines in data that have not been checked yet, and returns the length
// and the number of the complete events.
func (s *eventScanner) scan(data []byte) (length, count int, err error) {
	for {
		n := bytes.IndexByte(data[s.checked:], '\n')
		if n < 0 {
			return length, count, nil
		}
		line := data[s.checked : s.checked+n]
		ended, err := s.line(line)
		if err != nil {
			return length, count, err
		}
		s.checked += n + 1
		if ended {
			length = s.checked
			count++
		}
	}
}

// complete reports whether the body may end here: after an event, and not before the first.
func (s *eventScanner) complete() bool { return s.filled && len(s.pending) == 0 }

// buffered returns the size of the buffer for the incomplete event.
func (s *eventScanner) buffered() int { return cap(s.pending) }

// line checks a line without its line feed, and reports whether it ends an event.
func (s *eventScanner) line(line []byte) (ended bool, err error) {
	crlf := len(line) > 0 && line[len(line)-1] == '\r'
	if crlf {
		line = line[:len(line)-1]
	}
	if s.event.lines > 0 && crlf != s.event.crlf || bytes.IndexByte(line, '\r') >= 0 {
		return false, errLineEnd
	}
	s.event.crlf = crlf
	s.event.lines++
	if len(line) == 0 {
		return true, s.endEvent()
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "event", "retry": // an empty name is that of a comment
	case "data":
		s.event.hasData = true
	case "id":
		return false, s.setID(bytes.TrimSpace(value))
	default:
		if s.event.lines > 1 || !s.isField(name) {
			return false, errUnknownField
		}
	}
	return false, nil
}

// setID sets the id of the incomplete event.
func (s *eventScanner) setID(value []byte) error {
	id, ok := parseEventID(value)
	switch {
	case !ok:
		return errIDNumber
	case s.event.hasID:
		return errIDs
	}
	s.event.id, s.event.hasID = id, true
	return nil
}

// endEvent applies the incomplete event to the order of the stream.
func (s *eventScanner) endEvent() error {
	e, o := s.event, &s.order
	s.event = scannedEvent{}
	if !e.hasID {
		if e.hasData && o.known {
			return errIDMissing
		}
		o.unnumbered = o.unnumbered || e.hasData
		s.filled = s.filled || e.hasData
		return nil
	}
	adjacent := o.known && e.id-1 == o.last
	switch {
	case o.known && e.id <= o.last:
		return errIDOrder
	case s.joins && o.adjacent && !o.gap && !adjacent:
		return errIDGap
	}
	o.adjacent = o.adjacent || adjacent
	o.gap = o.gap || o.known && !adjacent
	o.last, o.known, o.received = e.id, true, true
	s.joins, s.filled = false, true
	return nil
}

// parseEventID parses a decimal number without allocating.
func parseEventID(value []byte) (id int64, ok bool) {
	for _, b := range value {
		if b < '0' || b > '9' || id > (math.MaxInt64-9)/10 {
			return 0, false
		}
		id = id*10 + int64(b-'0')
	}
	return id, len(value) > 0
}
