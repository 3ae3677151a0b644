package gateway

import (
	"io"
	"net/http"
	"time"
)

// Limits on reading the rest of a body whose request has been refused.
const (
	maxDiscardedBytes = 16 << 20
	discardTimeout    = time.Second
)

// discardBody reads the rest of a refused request's body. Many callers send a whole
// body before they read the answer. net/http discards 256 KB; if more is left, it resets
// the connection half a second after the answer, and waits without a limit for less.
// It sends a short answer when the handler has returned, so that the caller gets the
// refusal as soon as its body has been read.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == http.NoBody || r.Header.Get("Expect") != "" {
		return // a caller that expects 100 Continue sends no body now
	}
	// Failures need no action: the caller has disconnected or is too slow, and net/http
	// ends the connection after the answer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
}
