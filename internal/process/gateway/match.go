package gateway

import (
	"net/http"

	"fulmardeal"
)

// isAnswer reports whether an endpoint's response is the answer to the caller's request.
// Endpoints repeat the request's id in their answers, but may write a response that
// belongs to no request, or to an earlier one. Such a response says nothing about whether
// this request runs. If the request has no id, its refusals can't be told from others; only
// the one for the missing id itself, whose status promises the caller nothing, is accepted.
func (c *call) isAnswer(status int, r fulmardeal.ResponseMetadata) bool {
	if r.AttemptID != c.metadata.AttemptID {
		return false
	}
	return r.AttemptID != "" || !r.NotRun || status == http.StatusBadRequest
}

const headerContentEncoding = "Content-Encoding"

// isEncoded reports whether a response has a content encoding. Callers ask for none, so its
// body is not that of an endpoint, whatever the encoding.
func isEncoded(h http.Header) bool { return len(h[headerContentEncoding]) > 0 }

// promisesNotRun reports whether a status tells the caller that its request has not run
// and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
