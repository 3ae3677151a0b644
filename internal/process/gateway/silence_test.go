package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/script"
)

// silence is one case of testdata/silences.txt.
type silence struct {
	path   string
	point  string        // where in the response the first endpoint falls silent
	length time.Duration // how long it is silent
	other  string        // what the second endpoint does
}

const (
	silentCalls  = 3 // requests at the same time
	silentEvents = 9 // events of a stream
	silentAfter  = 4 // events before the silence
)

// pause is silent if the response has reached the given point.
func (s silence) pause(rw http.ResponseWriter, point string) {
	if s.point != point {
		return
	}
	_ = http.NewResponseController(rw).Flush()
	time.Sleep(s.length)
}

// answer answers a request as the endpoint that falls silent does.
func (s silence) answer(rw http.ResponseWriter, r *http.Request) {
	if s.point == "header" { // before the header, so nothing is flushed
		time.Sleep(s.length)
	}
	if s.path != "/stream/" {
		rw.Header().Set("Content-Length", strconv.Itoa(len(plainAnswer)))
		_, _ = io.WriteString(rw, plainAnswer[:2])
		s.pause(rw, "body")
		_, _ = io.WriteString(rw, plainAnswer[2:])
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.pause(rw, "first")
	for i := after + 1; i <= silentEvents; i++ {
		if i == silentAfter+1 {
			s.pause(rw, "event")
		}
		fmt.Fprintf(rw, "id: %d\n", i)
		if i == silentAfter+1 {
			s.pause(rw, "part")
		}
		fmt.Fprintf(rw, "data: e%d\n\n", i)
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(time.Millisecond)
	}
	s.pause(rw, "end")
}

const plainAnswer = "answer"

// answerSecond answers a request that has already been sent to another endpoint.
func (s silence) answerSecond(rw http.ResponseWriter, r *http.Request) {
	switch s.other {
	case "full":
		rw.Header().Set("X-Fulmardeal-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case "lost":
		hangUp(rw, r)
	case "silent":
		s.answer(rw, r)
	case "cut":
		hangUpAfterHeader(rw, r)
	case "rejects":
		rw.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(rw, "no such stream")
	default:
		silence{path: s.path}.answer(rw, r)
	}
}

// hangUpAfterHeader sends the header of a response whose length isn't known, and closes the
// connection in order.
func hangUpAfterHeader(rw http.ResponseWriter, r *http.Request) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Fulmardeal-Attempt-Id: %s\r\nX-Fulmardeal-Response-Stamp: by-2\r\n\r\n", r.Header.Get("X-Fulmardeal-Attempt-Id"))
	c.Close()
}

// want returns the body of a complete answer.
func (s silence) want() string {
	if s.path != "/stream/" {
		return plainAnswer
	}
	var b strings.Builder
	for i := 1; i <= silentEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// catalogue returns a configuration whose timeouts leave room for a busy host. What an
// entry takes for a silence doesn't depend on them.
func (s silence) catalogue(version int64) fulmardeal.Catalogue {
	c := catalogue(version)
	for i := range c.Routes {
		c.Routes[i].Timeout = 10 * time.Second
	}
	return c
}

func (s silence) run(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		ids := []string{"i-1", "i-2"}
		switch s.other {
		case "none":
			ids = ids[:1]
		case "unpaid":
			w.bounds.RetryRatio, w.bounds.RetryExtra = 0, 1
		}
		w.configure(s.catalogue(2))
		for _, id := range ids {
			w.endpoint(id, "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				if w.runs(r.Header.Get("X-Fulmardeal-Attempt-Id")) > 1 {
					s.answerSecond(rw, r)
					return
				}
				s.answer(rw, r)
			})
		}
	})
	var calls sync.WaitGroup
	for range silentCalls {
		calls.Go(func() {
			a := w.call("POST", s.path, func(r *http.Request) { r.Header.Set("X-Fulmardeal-Deadline-Ms", "10000") })
			if a.err != nil || a.status != http.StatusOK || a.body != s.want() {
				t.Errorf("status %d, %v, %d runs: %q", a.status, a.err, w.runs(a.id), a.body)
			}
			if s.path == "/order/" && w.runs(a.id) != 1 {
				t.Errorf("order received %d times", w.runs(a.id))
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	w.configure(s.catalogue(3))
	calls.Wait()
}

// A request must not be given up because its endpoint is silent for about a second,
// unless another endpoint answers it.
func TestSilentEndpointEndsNoAnswer(t *testing.T) {
	script.Run(t, "testdata/silences.txt", func(f []string) error {
		length, err := time.ParseDuration(f[2])
		if err != nil {
			return err
		}
		t.Run(strings.Join(f, " "), func(t *testing.T) {
			t.Parallel()
			silence{path: f[0], point: f[1], length: length, other: f[3]}.run(t)
		})
		return nil
	})
}
