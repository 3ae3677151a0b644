package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// A response with a content encoding is not the endpoint's body: nothing of it must reach the
// caller, and the request is tried elsewhere if it may be.
func TestEncodedResponseIsNoAnswer(t *testing.T) {
	const wrong = "\x1f\x8b\x08\x00 wrong"
	refuse := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Fulmardeal-Not-Run", "1")
		rw.Header().Set("Content-Encoding", "gzip")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	sound := func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, "/stream/") {
			_, _ = io.WriteString(rw, "id: 1\ndata: whole\n\n")
			return
		}
		_, _ = io.WriteString(rw, "whole")
	}
	for _, path := range []string{"/read/1", "/order/1", "/stream/1"} {
		for _, status := range []int{200, 201, 404, 500} {
			for _, encoding := range [][]string{{"gzip"}, {"identity"}, {""}, {"", "br"}} {
				name := fmt.Sprintf("%s %d %q", path, status, encoding)
				encoded := func(rw http.ResponseWriter, _ *http.Request) {
					rw.Header()["Content-Encoding"] = encoding
					rw.WriteHeader(status)
					_, _ = io.WriteString(rw, wrong)
				}
				// In data centre "a", which is nearer, the first of the two endpoints.
				w := startGateway(t, func(w *testGateway) {
					w.endpoint("i-1", "shop", "a", encoded)
					w.endpoint("i-2", "shop", "b", sound)
				})
				r := w.call("POST", path, nil)
				want := http.StatusOK
				if path == "/order/1" {
					want = http.StatusBadGateway
				}
				if r.status != want || r.err != nil || strings.Contains(r.body, "wrong") || r.header.Get("Content-Encoding") != "" ||
					want == http.StatusOK && !strings.Contains(r.body, "whole") || want != http.StatusOK && r.header.Get("X-Fulmardeal-Response-Stamp") != "" {
					t.Errorf("%s: %d %q, stamp %q, %v", name, r.status, r.body, r.header.Get("X-Fulmardeal-Response-Stamp"), r.err)
				}
				if n := w.runs(r.id); path == "/order/1" && n != 1 {
					t.Errorf("%s: reached endpoints %d times", name, n)
				}
				w.kill()
			}
		}
	}

	// A refusal promises that the request has not run, whatever its body.
	w := startGateway(t, func(w *testGateway) { w.endpoint("i-1", "shop", "a", refuse) })
	if r := w.call("POST", "/order/1", nil); r.status != http.StatusServiceUnavailable || r.header.Get("Content-Encoding") != "" {
		t.Errorf("refusal: %d, encoding %q", r.status, r.header.Get("Content-Encoding"))
	}
}
