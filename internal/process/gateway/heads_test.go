package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/tools/txtar"

	"fulmardeal"
)

// headAnswers returns the answers of testdata/heads.txtar, by name. Their lines end as on the
// wire, but for those of the events.
func headAnswers(t *testing.T) map[string]string {
	t.Helper()
	archive, err := txtar.ParseFile("testdata/heads.txtar")
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]string)
	for _, f := range archive.Files {
		const event = "id: 1\ndata: one\n\n"
		text := strings.Replace(string(f.Data), event, "EVENT", 1)
		out[f.Name] = strings.Replace(strings.ReplaceAll(text, "\n", "\r\n"), "EVENT", event, 1)
	}
	return out
}

// cuttingEndpoint is an endpoint that stops within its answers as the requests' queries say.
type cuttingEndpoint struct {
	answers map[string]string
	cut     atomic.Int64 // answers that it has cut
}

// cutAnswer is what the query of a request says.
type cutAnswer struct {
	form  string
	at    int  // bytes that are sent
	reset bool // the connection is reset, not closed in order
	kept  bool // only if the connection has carried a request before
}

func (c cutAnswer) query() string {
	return fmt.Sprintf("?form=%s&at=%d&reset=%v&kept=%v", c.form, c.at, c.reset, c.kept)
}

func (e *cuttingEndpoint) serve(conn *net.TCPConn) {
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
		q := r.URL.Query()
		id := r.Header.Get("X-Fulmardeal-Attempt-Id")
		answer := strings.ReplaceAll(e.answers[q.Get("form")], "ID", id)
		at, _ := strconv.Atoi(q.Get("at"))
		if at >= len(answer) || q.Get("kept") == "true" && requests == 0 {
			_, _ = io.WriteString(conn, answer)
			if q.Get("form") == "until-close" {
				return
			}
			continue
		}
		e.cut.Add(1)
		_, _ = io.WriteString(conn, answer[:at])
		if q.Get("reset") == "true" {
			_ = conn.SetLinger(0)
		}
		return
	}
}

// wholeFrom returns the number of bytes of an answer from which on it may count as whole.
func wholeFrom(form, answer string, reset bool) int {
	if form == "until-close" && !reset {
		return strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
	}
	return len(answer)
}

// An answer that stops within its head, or its framing, never reaches the caller as a whole
// success: on a new or kept connection, after an interim response, in the first attempt or
// the second.
func TestAnswerThatStopsLooksWhole(t *testing.T) {
	t.Parallel()
	e := &cuttingEndpoint{answers: headAnswers(t)}
	w := startGateway(t, func(w *testGateway) {
		w.bounds.RetryExtra = 1e6
		c := catalogue(2)
		c.Services[0].Connections = 1000
		w.configure(c)
		for i := range 2 {
			w.register(fulmardeal.Registration{ID: fmt.Sprintf("i-%d", i), Service: "shop", Address: serveConns(t, e.serve), DataCentre: "a", Slots: 100})
		}
	})
	var calls sync.WaitGroup
	var asked, whole atomic.Int64
	limit := make(chan struct{}, 16)
	check := func(route string, c cutAnswer, answer string) {
		defer func() { <-limit }()
		if c.kept {
			w.call("POST", "/read/"+cutAnswer{form: c.form, at: 1 << 20}.query(), nil)
		}
		a := w.call("POST", route+c.query(), nil)
		asked.Add(1)
		switch isWhole := a.status/100 == 2 && a.err == nil; {
		case isWhole && !c.kept && c.at < wholeFrom(c.form, answer, c.reset):
			t.Errorf("%s %+v: whole answer %d %q after %q", route, c, a.status, a.body, answer[:c.at])
		case isWhole:
			whole.Add(1)
			if c.form != "until-close" && c.form != "empty" && c.form != "no-content" && a.body != "id: 1\ndata: one\n\n" {
				t.Errorf("%s %+v: body %q", route, c, a.body)
			}
		}
	}
	for form, text := range e.answers {
		answer := strings.ReplaceAll(text, "ID", "00000000") // ids are as long
		for at := 1; at <= len(answer); at++ {
			for _, route := range []string{"/read/", "/order/", "/stream/"} {
				for _, c := range []cutAnswer{{form, at, false, false}, {form, at, true, false}, {form, at, at%2 == 0, true}} {
					limit <- struct{}{}
					calls.Go(func() { check(route, c, answer) })
				}
			}
		}
	}
	calls.Wait()
	t.Logf("%d requests, %d answers cut, %d whole", asked.Load(), e.cut.Load(), whole.Load())
}
