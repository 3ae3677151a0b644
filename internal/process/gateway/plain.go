package gateway

import (
	"net/http"
	"strconv"

	"fulmardeal/internal/link/ledger"
)

// endpointResponse is a complete response of an endpoint.
type endpointResponse struct {
	status int
	header http.Header
	body   []byte
}

// maxPlainBytes is the maximum size of a response that is buffered.
const maxPlainBytes = 8 << 20 // bytes

// writeResponse sends an endpoint's response to the caller unchanged.
func (c *call) writeResponse(response *endpointResponse) {
	if c.progress.started {
		c.breakOff()
	}
	h := c.writer.Header()
	for name, values := range c.gateway.codec.ResponseHeader(response.header) {
		h[name] = values
	}
	suppressDefaultHeaders(h)
	h["Content-Length"] = []string{strconv.Itoa(len(response.body))}
	c.writer.WriteHeader(response.status)
	// A failed write means that the caller has disconnected.
	_, _ = c.writer.Write(response.body)
}

// suppressDefaultHeaders keeps net/http from adding a Content-Type or Date that
// the endpoint didn't send.
func suppressDefaultHeaders(h http.Header) {
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil
	}
	if _, set := h["Date"]; !set {
		h["Date"] = nil
	}
}

// freeBuffered releases the responses that were buffered for the request.
func (c *call) freeBuffered() {
	for _, body := range c.buffered {
		c.gateway.pool.Free(body)
	}
	c.caller.count(ledger.Answer, 0)
}
