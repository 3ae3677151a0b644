package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/script"
)

// repeat is one case of testdata/repeats.txt.
type repeat struct {
	route, before, when, id string
	status                  int
	mark                    string
	endpoints               int
	want, runs              int
}

func parseRepeat(f []string) (repeat, error) {
	if len(f) != 9 {
		return repeat{}, fmt.Errorf("%d fields, want 9", len(f))
	}
	c := repeat{route: f[0], before: f[1], when: f[2], id: f[3], mark: f[5], endpoints: 1}
	if f[6] == "two" {
		c.endpoints = 2
	}
	for i, value := range map[int]*int{4: &c.status, 7: &c.want, 8: &c.runs} {
		n, err := strconv.Atoi(f[i])
		if err != nil {
			return repeat{}, err
		}
		*value = n
	}
	return c, nil
}

// repeatedID is the attempt id of the request under test. Those of the others begin with
// otherID.
const (
	repeatedID = "repeated"
	otherID    = "other"
)

const (
	repeatBody    = "id: 1\ndata: whole\n\n"
	repeatRunTime = 60 * time.Millisecond
)

// extra returns the refusal that answers no request.
func (c repeat) extra() string {
	h := fmt.Sprintf("HTTP/1.1 %d Refused\r\nContent-Length: 4\r\nX-Fulmardeal-Weight-Versions: 9\r\n", c.status)
	for _, id := range map[string][]string{"other": {otherID}, "same": {repeatedID}, "both": {repeatedID, otherID}, "first": {otherID, repeatedID}}[c.id] {
		h += "X-Fulmardeal-Attempt-Id: " + id + "\r\n"
	}
	if c.mark != "stamp" {
		h += "X-Fulmardeal-Not-Run: 1\r\n"
	}
	if c.mark != "notrun" {
		h += "X-Fulmardeal-Response-Stamp: extra\r\n"
	}
	return h + "\r\nfull"
}

// refusingEndpoint is an endpoint that writes the extra refusal of its case once.
type refusingEndpoint struct {
	repeat
	mu      sync.Mutex
	runs    map[string]int // by attempt id
	heard   map[string]int // requests, by instance
	refuser net.Conn       // connection on which the request under test was truly refused
	written bool           // the extra refusal has been written
	kept    bool           // and the request under test came on its connection
	both    chan struct{}  // closed when two requests run at the same time
	running int
}

func (e *refusingEndpoint) listen(t *testing.T, instance string) string {
	return serveConns(t, func(conn *net.TCPConn) { e.serve(conn, instance) })
}

func (e *refusingEndpoint) serve(conn net.Conn, instance string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for requests := 0; ; requests++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		for _, part := range e.answer(conn, instance, r.Header.Get("X-Fulmardeal-Attempt-Id"), requests > 0) {
			if part == "" {
				time.Sleep(repeatRunTime)
			} else if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
	}
}

// answer returns what is written on the connection in response to a request. An empty
// part is a pause.
func (e *refusingEndpoint) answer(conn net.Conn, instance, id string, kept bool) []string {
	if e.when == "crossed" && kept {
		e.awaitBoth()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard[instance]++
	if id == repeatedID && e.before == "refused" && e.refuser == nil {
		e.refuser = conn
		return e.follow([]string{fmt.Sprintf("HTTP/1.1 %d Refused\r\nX-Fulmardeal-Attempt-Id: %s\r\nX-Fulmardeal-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull", e.status, id)})
	}
	e.runs[id]++
	head := "HTTP/1.1 200 OK\r\nX-Fulmardeal-Attempt-Id: " + id + "\r\nX-Fulmardeal-Response-Stamp: by-" + instance + "\r\n"
	rest := fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", len(repeatBody))
	answer := []string{head + rest + repeatBody}
	if id != repeatedID && e.when != "crossed" {
		if e.before == "served" {
			answer = e.follow(answer)
		}
		return answer
	}
	if e.written || !kept && e.before == "served" {
		return append([]string{""}, answer...)
	}
	if e.refuser != nil && conn != e.refuser && e.when != "never" {
		e.written = true
		_, _ = io.WriteString(e.refuser, e.extra()) // the gateway may have closed it
		return append([]string{""}, answer...)
	}
	e.kept = true
	switch e.when {
	case "first":
		answer = []string{e.extra(), "", answer[0]}
	case "crossed":
		extra := e.extra()
		if id != repeatedID {
			extra = strings.ReplaceAll(extra, otherID, repeatedID)
		}
		return []string{extra, "", answer[0]}
	case "interim":
		answer = []string{"HTTP/1.1 103 Early Hints\r\n\r\n", e.extra(), "", answer[0]}
	case "head":
		answer = []string{head + e.extra(), "", rest + repeatBody}
	case "body":
		answer = []string{head + rest + repeatBody[:4], e.extra(), "", repeatBody[4:]}
	default:
		return append([]string{""}, answer...)
	}
	e.written = true
	return answer
}

// follow adds the extra refusal to a complete answer if it is to come behind it.
func (e *refusingEndpoint) follow(answer []string) []string {
	switch {
	case e.written:
	case e.when == "glued":
		e.written = true
		answer[0] += e.extra() + e.extra()
	case e.when == "idle":
		e.written = true
		answer = append(answer, "", e.extra())
	}
	return answer
}

// awaitBoth waits until two requests run.
func (e *refusingEndpoint) awaitBoth() {
	e.mu.Lock()
	if e.running++; e.running == 2 {
		close(e.both)
	}
	e.mu.Unlock()
	select {
	case <-e.both:
	case <-time.After(time.Second):
	}
}

// order sends a request with the given id.
func (c repeat) order(w *testGateway, id string) callResult {
	return w.call("POST", "/"+c.route+"/", func(r *http.Request) { r.Header.Set("X-Fulmardeal-Attempt-Id", id) })
}

// warm lets each endpoint serve a request, so that there is an idle connection to it.
func (c repeat) warm(t *testing.T, w *testGateway, e *refusingEndpoint) {
	for i := range 100 {
		if a := c.order(w, fmt.Sprintf("%s-%d", otherID, i)); a.status != http.StatusOK {
			t.Errorf("first requests: status %d", a.status)
		}
		e.mu.Lock()
		n := len(e.heard)
		e.mu.Unlock()
		if n == c.endpoints {
			break
		}
	}
}

func (c repeat) run(t *testing.T) {
	e := &refusingEndpoint{repeat: c, runs: make(map[string]int), heard: make(map[string]int), both: make(chan struct{})}
	var log syncBuffer
	w := startGateway(t, func(w *testGateway) {
		w.log = slog.NewTextHandler(&log, nil)
		configured := catalogue(2)
		once := configured.Routes[2]
		once.Name, once.Prefix, once.Resumable = "once", "/once/", false
		configured.Routes = append(configured.Routes, once)
		w.configure(configured)
		for i := range c.endpoints {
			id := fmt.Sprintf("i-%d", i+1)
			w.register(fulmardeal.Registration{ID: id, Service: "shop", Address: e.listen(t, id), DataCentre: "a", Slots: 4})
		}
	})
	if c.before == "served" && c.when != "crossed" {
		c.warm(t, w, e)
	}
	if c.when == "crossed" {
		var calls sync.WaitGroup
		for i := range 2 { // one request on each of two new connections, at the same time
			calls.Go(func() { c.order(w, fmt.Sprintf("%s-%d", otherID, i)) })
		}
		calls.Wait()
		calls.Go(func() { c.check(t, e, otherID, c.order(w, otherID)) })
		defer calls.Wait()
	}
	if c.when == "idle" {
		time.Sleep(2 * repeatRunTime)
	}
	c.check(t, e, repeatedID, c.order(w, repeatedID))
	if slices.Contains([]string{"first", "interim", "head", "body", "crossed"}, c.when) && c.before == "served" && !e.kept {
		t.Error("the request did not come on a kept connection")
	}
	if c.id != "same" && strings.Contains(log.String(), "weights=9") {
		t.Error("the weights in a response that answers no request are believed")
	}
}

// check checks the answer to a request and how often it has run.
func (c repeat) check(t *testing.T, e *refusingEndpoint, id string, a callResult) {
	t.Helper()
	time.Sleep(2 * repeatRunTime) // a further try would arrive meanwhile
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.status != c.want || e.runs[id] != c.runs {
		t.Errorf("%s: status %d after %d runs, want %d after %d: %q", id, a.status, e.runs[id], c.want, c.runs, a.body)
	}
	if promised := slices.Contains([]int{408, 421, 429, 503}, a.status); promised && e.runs[id] > 0 {
		t.Errorf("%s: status %d promises that the request has not run, and it ran", id, a.status)
	}
}

// An answer that can't be matched with the request says nothing about it.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	script.Run(t, "testdata/repeats.txt", func(f []string) error {
		c, err := parseRepeat(f)
		if err != nil {
			return err
		}
		t.Run(strings.Join(f, " "), func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
		return nil
	})
}
