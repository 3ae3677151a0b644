package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"fulmardeal"
)

// refusal is a request that is refused before its body has been read.
type refusal struct {
	path, key string
	size      int // of the body
	status    int
}

const bodyLimit = 4 << 20

var refusals = []refusal{
	{"/order/", "unknown", 1 << 10, 401},
	{"/order/", "unknown", 300 << 10, 401},
	{"/order/", "unknown", bodyLimit, 401},
	{"/nowhere/", "k1", 1 << 10, 404},
	{"/nowhere/", "k1", bodyLimit, 404},
	{"/order/", "k1", bodyLimit + 1, 413},
	{"/order/", "k1", 3 * bodyLimit, 413},
}

// header returns the header of a request with the given framing.
func (r refusal) header(c *connection, framing string) string {
	c.calls++
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Token %s\r\nX-Fulmardeal-Attempt-Id: %p-%d\r\nX-Fulmardeal-Deadline-Ms: 10000\r\n%s\r\n", r.path, r.key, c, c.calls, framing)
}

// startForRefusals starts a gateway with an endpoint.
func startForRefusals(t *testing.T) *testGateway {
	return startGateway(t, func(w *testGateway) {
		w.limit(2, fulmardeal.Limits{Body: bodyLimit})
		w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(rw, "ok")
		})
	})
}

// A caller that sends its whole body before it reads the answer gets a refusal: the
// connection isn't reset while it is sending.
func TestRefusalIsNotResetWhileBodyArrives(t *testing.T) {
	t.Parallel()
	w := startForRefusals(t)
	for _, leaving := range []bool{false, true} {
		if leaving {
			w.stop()
			time.Sleep(50 * time.Millisecond)
		}
		for _, r := range refusals {
			for _, chunked := range []bool{false, true} {
				c := w.dial(t)
				body := bytes.Repeat([]byte("x"), r.size)
				framing := fmt.Sprintf("Content-Length: %d\r\n", r.size)
				if chunked {
					framing = "Transfer-Encoding: chunked\r\n"
					body = fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n\r\n", r.size, body)
				}
				c.send(0, r.header(c, framing))
				_, err := c.Write(body)
				status, last := c.answer()
				if err != nil || status != r.status || last != leaving {
					t.Errorf("%+v, chunked: %v, leaving: %v: sent with %v, status %d, connection ended: %v", r, chunked, leaving, err, status, last)
				}
				if !leaving && !last && c.call() != 200 {
					t.Errorf("%+v, chunked: %v: the connection can't be used again", r, chunked)
				}
			}
		}
	}
}

// A body that doesn't arrive holds up its refusal for a limited time.
func TestRefusalOfIncompleteBody(t *testing.T) {
	t.Parallel()
	w := startForRefusals(t)
	for _, framing := range []string{"Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n"} {
		c := w.dial(t)
		c.send(0, refusals[0].header(c, framing), "9\r\n")
		start := time.Now()
		if status, last := c.answer(); status != 401 || !last || time.Since(start) > 5*time.Second {
			t.Errorf("%q: status %d, connection ended: %v, after %v", framing, status, last, time.Since(start))
		}
	}
}

// A caller that expects 100 Continue is told to go on only if its body is wanted, and gets
// a refusal without waiting for a body that it doesn't send.
func TestExpectContinue(t *testing.T) {
	t.Parallel()
	w := startForRefusals(t)
	for _, r := range append(refusals, refusal{"/order/", "k1", 64 << 10, 200}) {
		fastest := time.Hour
		for range 3 {
			c := w.dial(t)
			start := time.Now()
			c.send(0, r.header(c, fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", r.size)))
			status, _ := c.answer()
			if status == 100 && r.status == 200 {
				c.send(0, string(bytes.Repeat([]byte("x"), r.size)))
				status, _ = c.answer()
			}
			if status != r.status {
				t.Errorf("%+v: status %d", r, status)
			}
			fastest = min(fastest, time.Since(start))
		}
		if fastest > time.Second {
			t.Errorf("%+v: answered after %v", r, fastest)
		}
	}
}

// Pipelined requests are answered in order.
func TestPipelinedRequests(t *testing.T) {
	t.Parallel()
	w := startForRefusals(t)
	for range 20 {
		c := w.dial(t)
		all := ""
		want := []int{200, 401, 200, 404, 200}
		for _, status := range want {
			switch status {
			case 401:
				all += refusals[0].header(c, "Content-Length: 4\r\n") + "body"
			case 404:
				all += refusals[3].header(c, "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n"
			default:
				all += c.header("") + "body"
			}
		}
		c.send(0, all)
		for i := range want {
			if status, _ := c.answer(); status != want[i] {
				t.Fatalf("answer %d: status %d, want %d", i, status, want[i])
			}
		}
	}
}
