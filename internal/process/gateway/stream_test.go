package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

// streamAnswer is one answer of testdata/streams.txtar.
type streamAnswer struct {
	name                   string
	framings               []string
	resumed, first, beside string // what the caller gets
	head, body             string // the body has placeholders
}

const (
	streamBreak  = 2 // events that the first endpoint sends before it breaks off or falls silent
	streamEvents = 6
	sentWeights  = 7 // version of the weights in answers that don't say otherwise

	streamSilence = 1300 * time.Millisecond // between two events: a second attempt begins meanwhile
	firstSilence  = 1500 * time.Millisecond // before the first event
	lateAnswer    = 600 * time.Millisecond  // until a second attempt is answered after the first endpoint has gone on
)

// streamPiece returns the piece of a body that a placeholder stands for. Numbers are
// relative to the last event that the request names.
func streamPiece(name string, after int) string {
	switch name {
	case ":":
		return ": still here\n\n"
	case "event":
		return "event: note\n\n"
	case "retry":
		return "retry: 500\n\n"
	case "plain":
		return "data: plain\n\n"
	case "weights":
		return "x-fulmardeal-weight-versions: 9\n"
	}
	name, cut := strings.CutSuffix(name, " cut")
	number, absolute := strings.CutPrefix(name, "=")
	n, err := strconv.Atoi(number)
	if err != nil {
		panic(err)
	}
	if !absolute {
		n += after
	}
	if cut {
		return strings.TrimSuffix(endEvent(n), "\n\n")
	}
	return endEvent(n)
}

var placeholder = regexp.MustCompile(`<([^<>]+)>`)

// text returns the body of the answer to a request that names the event after.
func (a streamAnswer) text(after int) string {
	text := placeholder.ReplaceAllStringFunc(a.body, func(s string) string { return streamPiece(s[1:len(s)-1], after) })
	return strings.ReplaceAll(text, "\\r\n", "\r\n")
}

// frame returns the header fields and the body of a response with the given framing. If
// broken, the response ends before its body does.
func frame(framing, body string, broken bool) (header, framed string) {
	switch framing {
	case "chunks":
		end := "0\r\n\r\n"
		if broken {
			end = ""
		}
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return "Transfer-Encoding: chunked\r\n", body + end
	case "length":
		n := len(body)
		if broken {
			n += 100
		}
		return fmt.Sprintf("Content-Length: %d\r\n", n), body
	}
	return "", body
}

// metadata returns the header fields of an answer that its head doesn't have. A value of -
// means that the answer has no such field.
func metadata(head string, r *http.Request) string {
	for name, value := range map[string]string{
		"X-Fulmardeal-Attempt-Id":      r.Header.Get("X-Fulmardeal-Attempt-Id"),
		"X-Fulmardeal-Response-Stamp":  "stamp",
		"X-Fulmardeal-Weight-Versions": strconv.Itoa(sentWeights),
	} {
		if !strings.Contains(head, name+":") {
			head += name + ": " + value + "\r\n"
		}
		head = strings.Replace(head, name+": -\r\n", "", 1)
	}
	return head
}

// rawConn takes over the connection of a request.
func rawConn(t *testing.T, rw http.ResponseWriter) net.Conn {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
	}
	return c
}

// send sends the answer and closes the connection.
func (a streamAnswer) send(t *testing.T, rw http.ResponseWriter, r *http.Request, framing string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if the request names none
	c := rawConn(t, rw)
	defer c.Close()
	if framing == "raw" {
		head := metadata(a.head, r)
		if strings.Contains(a.head, "event-st") { // breaks off
			head = strings.TrimSuffix(a.head, "\r\n")
		} else {
			head += "\r\n"
		}
		_, _ = io.WriteString(c, head) // the entry may have closed the connection
		return
	}
	header, body := frame(framing, a.text(after), false)
	_, _ = io.WriteString(c, metadata(a.head, r)+header+"\r\n"+body)
}

const eventsHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

// breakOff sends the first events and breaks off between two events, or inside one.
func breakOff(t *testing.T, rw http.ResponseWriter, r *http.Request, framing, point string) {
	body := endEvent(1) + endEvent(2)
	if point == "inside" {
		body += endEvent(3)[:9]
	}
	if framing == "raw" {
		framing = "chunks"
	}
	c := rawConn(t, rw)
	defer c.Close()
	header, body := frame(framing, body, true)
	if _, err := io.WriteString(c, metadata(eventsHead, r)+header+"\r\n"+body); err != nil {
		t.Error(err)
	}
	time.Sleep(50 * time.Millisecond) // a reset discards what has not been read
	if framing == "connection" {
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
	}
}

// goOn sends all events, and is silent after some of them.
func goOn(rw http.ResponseWriter, silentAfter int, length, pause time.Duration) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Fulmardeal-Weight-Versions", strconv.Itoa(sentWeights))
	rw.WriteHeader(http.StatusOK)
	for i := 0; i <= streamEvents; i++ {
		if i > 0 {
			_, _ = io.WriteString(rw, endEvent(i))
		}
		_ = http.NewResponseController(rw).Flush()
		if i == silentAfter {
			time.Sleep(length)
		}
		time.Sleep(pause)
	}
}

// wantBody returns the body that a result of testdata/streams.txtar stands for, and
// whether it is complete.
func wantBody(t *testing.T, result string) (body string, whole bool) {
	for f := range strings.FieldsSeq(result) {
		from, to, isRange := strings.Cut(f, "-")
		switch {
		case f == "whole":
			whole = true
		case f == "broken":
		case isRange:
			first, err1 := strconv.Atoi(from)
			last, err2 := strconv.Atoi(to)
			if err1 != nil || err2 != nil {
				t.Fatalf("no range: %s", f)
			}
			for i := first; i <= last; i++ {
				body += endEvent(i)
			}
		default:
			body += streamPiece(f, 0)
		}
	}
	return body, whole
}

// check compares what a caller got with a result of testdata/streams.txtar.
func checkStream(t *testing.T, got callResult, result string) {
	t.Helper()
	if status, err := strconv.Atoi(result); err == nil {
		if got.status != status || got.err != nil || status == http.StatusBadGateway && strings.Contains(got.body, "event") {
			t.Errorf("status %d, %v: %q, want %d", got.status, got.err, got.body, status)
		}
		return
	}
	body, whole := wantBody(t, result)
	if got.status != http.StatusOK || got.body != body || (got.err == nil) != whole {
		t.Errorf("status %d, %v: %q, want %q, whole: %v", got.status, got.err, got.body, body, whole)
	}
}

// play sends one request, whose first endpoint behaves as the scene says.
func (a streamAnswer) play(t *testing.T, scene, framing, point, result string) {
	t.Parallel()
	w := startGateway(t, func(w *testGateway) {
		w.configure(silence{}.catalogue(2))
		for _, id := range []string{"i-1", "i-2"} {
			w.endpoint(id, "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				first := w.runs(r.Header.Get("X-Fulmardeal-Attempt-Id")) == 1
				switch {
				case first && scene == "resumed":
					breakOff(t, rw, r, framing, point)
					return
				case first && scene == "beside":
					goOn(rw, streamBreak, streamSilence, 0)
					return
				case first && scene == "late":
					goOn(rw, 0, firstSilence, lateAnswer/streamEvents)
					return
				case scene == "late":
					time.Sleep(lateAnswer)
				}
				a.send(t, rw, r, framing)
			})
		}
	})
	got := w.call("POST", "/stream/", func(r *http.Request) { r.Header.Set("X-Fulmardeal-Deadline-Ms", "8000") })
	checkStream(t, got, result)
	if runs := w.runs(got.id); scene != "first" && runs < 2 {
		t.Errorf("%d runs: the answer was not asked for", runs)
	}
}

// readStreamAnswers returns the answers of testdata/streams.txtar.
func readStreamAnswers(t *testing.T) []streamAnswer {
	archive, err := txtar.ParseFile("testdata/streams.txtar")
	if err != nil {
		t.Fatal(err)
	}
	var answers []streamAnswer
	for _, f := range archive.Files {
		a := streamAnswer{name: f.Name, framings: []string{"chunks", "length", "connection"}, beside: "1-6 whole"}
		results, answer, _ := strings.Cut(string(f.Data), "\n\n")
		for line := range strings.SplitSeq(results, "\n") {
			key, value, _ := strings.Cut(line, ": ")
			switch key {
			case "framing":
				a.framings = strings.Fields(value)
			case "resumed":
				a.resumed = value
			case "first":
				a.first = value
			case "beside":
				a.beside = value
			default:
				t.Fatalf("%s: unknown line %q", f.Name, line)
			}
		}
		head, body, _ := strings.Cut(answer, "\n\n")
		a.head = strings.ReplaceAll(strings.TrimSuffix(head, "\n"), "\n", "\r\n") + "\r\n"
		a.body = body
		if strings.HasSuffix(body, ">\n") {
			a.body = strings.TrimSuffix(body, "\n") // events have their line ends
		}
		answers = append(answers, a)
	}
	return answers
}

// Only whole events in order may stand in the body of a stream, each of them once, and
// the body may end as if it were complete only if the endpoint that sent the last event
// has ended its answer in order. The text of errors stood among the events.
func TestErrorStandsInStream(t *testing.T) {
	for _, a := range readStreamAnswers(t) {
		for _, framing := range a.framings {
			for _, point := range []string{"between", "inside"} {
				t.Run(strings.Join([]string{a.name, framing, "resumed", point}, "/"), func(t *testing.T) { a.play(t, "resumed", framing, point, a.resumed) })
			}
			t.Run(strings.Join([]string{a.name, framing, "first"}, "/"), func(t *testing.T) { a.play(t, "first", framing, "", a.first) })
		}
		t.Run(a.name+"/beside", func(t *testing.T) { a.play(t, "beside", a.framings[0], "", a.beside) })
		t.Run(a.name+"/late", func(t *testing.T) { a.play(t, "late", a.framings[0], "", "1-6 whole") })
	}
}
