// Package framing checks the framing of HTTP/1.1 messages on a client's connection: the heads
// of responses, and where messages end. The parsers of net/http and fasthttp accept heads that
// RFC 9112 forbids, and neither tells a response that ends with its connection from one whose
// request never reached the server.
package framing

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// MalformedError reports that the server sent something that is no response.
type MalformedError struct {
	Reason string
}

func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

func malformed(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

// state is the part of a message that the next byte belongs to.
type state int

const (
	idle      state = iota // no message has begun, or the last one has ended
	startLine              // request line, or status line up to the status
	reason                 // rest of the start line
	lineStart              // first byte of a field line, or of the empty line after the last
	fieldName
	fieldValue
	lineEnd // line feed after the carriage return of a field line or start line
	headEnd // line feed after the carriage return of an empty line
	body    // body with a length
	chunkSize
	chunkExt // extensions of a chunk
	chunkData
	chunkEnd   // line end after the data of a chunk
	untilClose // body that ends with the connection
)

// Limits on what a scanner keeps of a line. No field that it reads needs more.
const (
	maxStart = len("HTTP/1.1 200")
	maxName  = len("transfer-encoding")
	maxValue = 64
	maxHex   = 15 // digits of a chunk's size
)

// scanner follows the messages that are sent in one direction of a connection. Requests are
// this program's own and only followed; responses are checked. The zero value is idle.
type scanner struct {
	state    state
	response bool
	head     bool // the request was a HEAD: the response has no body
	trailer  bool // the field lines are those after the last chunk

	line   []byte // start of the start line, or the value of a framing field
	name   []byte // start of the field's name, in lower case
	long   bool   // name or line has been cut
	minor  byte   // digit of the HTTP version
	status int
	length int64 // of the body; -1 if not given
	chunks bool
	left   int64 // bytes left of the body or chunk
	digits int
}

// begin starts the next message.
func (s *scanner) begin() {
	*s = scanner{state: startLine, response: s.response, head: s.head, line: s.line[:0], name: s.name[:0], length: -1}
}

// ended reports whether the last message has ended, or none has begun.
func (s *scanner) ended() bool { return s.state == idle }

// scan follows the next bytes. Bytes after the end of a message are ignored.
func (s *scanner) scan(p []byte) error {
	for len(p) > 0 && s.state != idle && s.state != untilClose {
		if s.state == body || s.state == chunkData {
			n := min(s.left, int64(len(p)))
			s.left -= n
			p = p[n:]
			if s.left == 0 {
				s.state = s.afterData()
			}
			continue
		}
		if err := s.next(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

func (s *scanner) afterData() state {
	if s.state == chunkData {
		return chunkEnd
	}
	return idle
}

// next follows one byte of a head, a trailer, or a line around a chunk.
func (s *scanner) next(b byte) error {
	switch s.state {
	case startLine:
		return s.start(b)
	case reason, fieldValue:
		return s.text(b)
	case lineEnd, headEnd:
		if b != '\n' {
			return malformed("carriage return without a line feed")
		}
		if s.state == headEnd {
			return s.endHead()
		}
		s.state = lineStart
	case lineStart:
		return s.beginLine(b)
	case fieldName:
		return s.nameByte(b)
	case chunkSize:
		return s.size(b)
	case chunkExt:
		if b == '\n' {
			s.beginChunk()
		}
	case chunkEnd:
		if b == '\n' {
			s.state, s.left, s.digits = chunkSize, 0, 0
		} else if b != '\r' {
			return malformed("chunk is longer than its size")
		}
	}
	return nil
}

// start follows the start line up to the status of a response, or the method of a request.
func (s *scanner) start(b byte) error {
	if !s.response {
		switch {
		case b == ' ':
			s.head = string(s.line) == http.MethodHead
			s.state = reason
		case len(s.line) < maxStart:
			s.line = append(s.line, b)
		}
		return nil
	}
	if len(s.line) < maxStart {
		s.line = append(s.line, b)
		return nil
	}
	version, status := s.line[:len("HTTP/1.")], s.line[len("HTTP/1.1 "):]
	s.minor = s.line[len("HTTP/1.")]
	n, err := strconv.ParseUint(string(status), 10, 16)
	switch {
	case string(version) != "HTTP/1." || s.minor != '0' && s.minor != '1' || s.line[len("HTTP/1.1")] != ' ':
		return malformed("status line begins with %q", s.line)
	case err != nil || n < 100 || n > 599 || b != ' ' && b != '\r' && b != '\n':
		return malformed("status is %q", append(status, b))
	}
	s.status, s.state = int(n), reason
	return s.text(b)
}

// text follows the rest of a line.
func (s *scanner) text(b byte) error {
	switch {
	case b == '\n' || b == '\r':
		if s.state == fieldValue {
			if err := s.endField(); err != nil {
				return err
			}
		}
		s.state = lineEnd
		if b == '\n' {
			s.state = lineStart
		}
	case s.response && (b < ' ' && b != '\t' || b == 0x7f):
		return malformed("line holds the control byte %#02x", b)
	case s.state == fieldValue && len(s.line) < maxValue:
		s.line = append(s.line, b)
	case s.state == fieldValue:
		s.long = true
	}
	return nil
}

func (s *scanner) beginLine(b byte) error {
	s.name, s.line, s.long = s.name[:0], s.line[:0], false
	switch b {
	case '\n':
		return s.endHead()
	case '\r':
		s.state = headEnd
		return nil
	}
	s.state = fieldName
	return s.nameByte(b)
}

func (s *scanner) nameByte(b byte) error {
	switch {
	case b == ':':
		if s.response && len(s.name) == 0 {
			return malformed("field without a name")
		}
		s.state = fieldValue
	case s.response && !isToken(b):
		return malformed("name of a field holds the byte %#02x", b)
	case b == '\n': // only in a request
		s.state = lineStart
	case len(s.name) <= maxName: // one more than needed, so that a longer name is another
		s.name = append(s.name, lower(b))
	}
	return nil
}

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// isToken reports whether a byte may be in the name of a field (RFC 9110, section 5.6.2).
func isToken(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// endField reads a field that says where the body ends.
func (s *scanner) endField() error {
	if s.trailer {
		return nil
	}
	value := string(bytes.Trim(s.line, " \t"))
	switch string(s.name) {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 63)
		switch {
		case err != nil || s.long:
			return malformed("length is %q", value)
		case s.length >= 0 && s.length != int64(n):
			return malformed("lengths are %d and %d", s.length, n)
		}
		s.length = int64(n)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || s.long || s.chunks || s.response && s.minor == '0' {
			return malformed("transfer encoding is %q in HTTP/1.%c", value, s.minor)
		}
		s.chunks = true
	}
	return nil
}

// endHead follows the end of a head or trailer.
func (s *scanner) endHead() error {
	switch {
	case s.trailer:
		s.state = idle
	case s.chunks && s.length >= 0:
		return malformed("both a length and chunks")
	case s.response && s.status < http.StatusOK: // informational
		s.begin()
	case s.response && (s.head || s.status == http.StatusNoContent || s.status == http.StatusNotModified):
		s.state = idle
	case s.chunks:
		s.state, s.left, s.digits = chunkSize, 0, 0
	case s.length > 0:
		s.state, s.left = body, s.length
	case s.length == 0 || !s.response:
		s.state = idle
	default:
		s.state = untilClose
	}
	return nil
}

// size follows the size of a chunk.
func (s *scanner) size(b byte) error {
	digit := int64(-1)
	switch {
	case '0' <= b && b <= '9':
		digit = int64(b - '0')
	case 'a' <= lower(b) && lower(b) <= 'f':
		digit = int64(lower(b)-'a') + 10
	case s.digits == 0:
		return malformed("chunk without a size")
	case b == '\n':
		s.beginChunk()
		return nil
	default: // white space, extensions or the carriage return, which the parser checks
		s.state = chunkExt
		return nil
	}
	if s.digits++; s.digits > maxHex || s.left > math.MaxInt64>>4 {
		return malformed("size of a chunk has more than %d digits", maxHex)
	}
	s.left = s.left<<4 | digit
	return nil
}

func (s *scanner) beginChunk() {
	s.state = chunkData
	if s.left == 0 {
		s.state, s.trailer = lineStart, true
	}
}
