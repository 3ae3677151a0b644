package gateway_test

import (
	"io"
	"net/http"
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
