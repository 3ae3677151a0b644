package site

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// Work is what a caller asks an endpoint to do for a request, beyond the usual. It is part
// of the query, so that no entry needs to know of it.
type Work struct {
	Time    time.Duration // that the run lasts longer
	Padding int           // bytes of comments before each event
}

// Query returns the work as parameters of a query.
func (w Work) Query() string {
	return fmt.Sprintf("work=%d&padding=%d", w.Time.Milliseconds(), w.Padding)
}

func workOf(u *url.URL) Work {
	q := u.Query()
	ms, _ := strconv.Atoi(q.Get("work")) // an absent value is 0
	padding, _ := strconv.Atoi(q.Get("padding"))
	return Work{Time: time.Duration(ms) * time.Millisecond, Padding: padding}
}

// pad returns an event with comments before it.
func (w Work) pad(event []byte) []byte {
	if w.Padding == 0 {
		return event
	}
	return append([]byte(":"+strings.Repeat("x", w.Padding)+"\n"), event...)
}

// expected returns how long a run that begins now lasts unless something ends it.
func (e *Endpoint) expected(a ReceivedRequest) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.options.ServiceTime
	if e.fault == FaultSlow {
		d *= slowFactor
	}
	if e.options.Engine != nil {
		first, _ := strconv.Atoi(a.Forward.LastEventID) // an empty value resumes at 0
		return (d+a.Work.Time/eventsPerStream)*time.Duration(eventsPerStream-first) + d
	}
	return d + a.Work.Time
}

// refusesNow reports whether FaultRepeat refuses the next request. The caller holds e.mu.
func (e *Endpoint) refusesNow() bool {
	if e.fault != FaultRepeat {
		return false
	}
	e.requests++
	return e.requests%faultInterval == 0
}

// rememberRefusal keeps a refusal for repeatRefusal; every second one without the id of its
// attempt.
func (e *Endpoint) rememberRefusal(r *http.Request, status int, reply fulmardeal.ResponseMetadata) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, _ := r.Context().Value(connKey{}).(*silentConn)
	if e.fault != FaultRepeat || status != http.StatusServiceUnavailable {
		return
	}
	if e.refusals++; e.refusals%2 == 0 {
		reply.AttemptID = ""
	}
	header := http.Header{"Content-Length": {"0"}}
	platform.PeerCodec{}.SetResponseMetadata(header, reply, "")
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&b) // a Buffer takes all writes
	b.WriteString("\r\n")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusal = b.Bytes()
}

// repeatRefusal writes the last refusal on the request's connection once more.
func (e *Endpoint) repeatRefusal(r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*silentConn)
	c.mu.Lock()
	refusal := c.refusal
	c.refusal = nil
	c.mu.Unlock()
	if refusal != nil {
		_, _ = c.Conn.Write(refusal) // the entry may have disconnected
	}
}

// errorText has an empty line, so that its parts look like events.
const errorText = "internal error\n\nplease try again later\n"

// writeErrorText answers with the text of an error that looks like a success.
func writeErrorText(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(errorText)))
	_, _ = io.WriteString(w, errorText) // the entry may have disconnected
}

// writeSecondHead writes a second response into a stream, and ends it.
func writeSecondHead(w http.ResponseWriter) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: %d\r\n\r\n%s", len(errorText), errorText)
}
