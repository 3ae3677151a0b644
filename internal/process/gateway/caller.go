package gateway

import (
	"context"
	"net"
	"net/http"
)

// callerConnKey is the key of a callerConn in the contexts of its requests.
type callerConnKey struct{}

// withCallerConn adds the connection of a caller to the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnOf returns the connection on which a request came, or nil if the server's
// listener isn't a callerListener.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// sentEarly reports whether the caller has sent anything after a request, before its
// answer.
func (c *callerConn) sentEarly() bool { return c != nil && c.early.Load() }

// logEarly logs that the caller has sent something after its request, such as its next
// one, before the answer.
func (c *call) logEarly() {
	if c.caller.sentEarly() {
		c.caller.early.Store(false)
		c.log.Info("caller sent more before its answer", "events", c.progress.events, "sends", c.sends)
	}
}
