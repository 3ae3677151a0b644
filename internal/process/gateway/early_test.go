package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"fulmardeal"
)

// startSlow starts a gateway whose endpoint answers after a while. The answer is large if the
// path asks for it.
func startSlow(t *testing.T, l fulmardeal.Limits) *testGateway {
	return startGateway(t, func(w *testGateway) {
		w.limit(2, l)
		w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			time.Sleep(100 * time.Millisecond)
			if strings.HasSuffix(r.URL.Path, "large") {
				_, _ = io.WriteString(rw, strings.Repeat("x", largeAnswer))
				return
			}
			_, _ = rw.Write(body)
		})
	})
}

const largeAnswer = 2 << 20

// Requests that are sent while an earlier one is handled are answered in order and whole,
// also if the rest of one comes only after the earlier answers.
func TestRequestsSentBeforeAnswers(t *testing.T) {
	t.Parallel()
	w := startSlow(t, fulmardeal.Limits{Body: 100 << 10, HeaderTimeout: 2 * time.Second, Idle: 10 * time.Second})
	for _, size := range []int{4, 40 << 10} {
		body := strings.Repeat("y", size-1) + "z"
		last := ""
		for _, cut := range []int{1, 2, 30, 100} {
			c := w.dial(t)
			c.send(0, c.header("")+"body")
			time.Sleep(30 * time.Millisecond)
			next := strings.Replace(c.header(""), "Content-Length: 4", "Content-Length: "+strconv.Itoa(size), 1) + body
			last = c.header("") + "last"
			c.send(0, next+last[:cut])
			for _, want := range []string{"body", body} {
				if status, got := c.answerBody(); status != http.StatusOK || got != want {
					t.Errorf("cut at %d: status %d, %d bytes; want %d bytes", cut, status, len(got), len(want))
				}
			}
			time.Sleep(30 * time.Millisecond)
			c.send(0, last[cut:])
			if status, got := c.answerBody(); status != http.StatusOK || got != "last" {
				t.Errorf("cut at %d: status %d, %q", cut, status, got)
			}
		}
	}
}

// The time for a header runs after the answer to the request before, if the header began
// to arrive earlier.
func TestHeaderTimeLimitOfEarlyRequest(t *testing.T) {
	t.Parallel()
	const limit = 800 * time.Millisecond
	w := startSlow(t, fulmardeal.Limits{HeaderTimeout: limit, Idle: 20 * time.Second})
	for _, early := range []string{"POST ", "POST /order/ HTTP/1.1\r\n"} {
		c := w.dial(t)
		c.send(0, c.header("")+"body")
		time.Sleep(30 * time.Millisecond)
		c.send(0, early)
		if status, last := c.answer(); status != http.StatusOK || last {
			t.Fatalf("status %d, connection ended: %v", status, last)
		}
		start := time.Now()
		if status, last := c.answer(); status == http.StatusOK || !last || time.Since(start) > 3*limit || time.Since(start) < limit/2 {
			t.Errorf("%q: status %d after %v", early, status, time.Since(start))
		}
	}
}

// The last answer of a connection arrives whole, although the caller has sent more before it.
func TestLastAnswerAfterEarlyBytes(t *testing.T) {
	t.Parallel()
	w := startSlow(t, fulmardeal.Limits{})
	for _, early := range []string{"", "\n", "\r\n", strings.Repeat("x", 40<<10)} {
		c := w.dial(t)
		c.send(0, c.headerOf("/order/large", "Connection: close\r\n")+"body")
		time.Sleep(30 * time.Millisecond)
		c.send(0, early)
		time.Sleep(300 * time.Millisecond) // the answer waits at the entry
		if status, got := c.answerBody(); status != http.StatusOK || len(got) != largeAnswer {
			t.Errorf("%d bytes sent early: status %d, %d bytes", len(early), status, len(got))
		}
	}
}

// net/http also reads a single byte if a long line leaves room for one more in its buffer.
// That isn't its wait for the caller's close, and the rest of the request must be read.
func TestReadsOfOneByte(t *testing.T) {
	t.Parallel()
	const buffer = 4 << 10 // of net/http's reader
	w := startSlow(t, fulmardeal.Limits{Body: 100 << 10})
	for _, kept := range []bool{false, true} {
		for first := buffer - 3; first <= buffer+1; first++ {
			for line, request := range map[string]string{
				"X-Fill": "X-Fill: " + strings.Repeat("x", 2*buffer) + "\r\nContent-Length: 4\r\n\r\nbody",
				"4;x":    "Transfer-Encoding: chunked\r\n\r\n4;x=" + strings.Repeat("x", buffer-20) + "\r\nbody\r\n0\r\n\r\n",
				"yy":     "Content-Length: 8192\r\n\r\n" + strings.Repeat("y", 8192),
			} {
				c := w.dial(t)
				if kept && c.call() != http.StatusOK {
					t.Fatal("no answer")
				}
				all := strings.Replace(c.header(""), "Content-Length: 4\r\n\r\n", request, 1)
				from := strings.Index(all, line)
				cut := min(from+first, len(all))
				c.send(20*time.Millisecond, all[:from], all[from:cut], all[cut:])
				if status, _ := c.answer(); status != http.StatusOK {
					t.Errorf("%s, %d bytes of a line, kept %v: status %d", line, first, kept, status)
				}
			}
		}
	}
}
