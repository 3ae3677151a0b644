package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"

	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/link/ledger"
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

// count sets what a part of the caller's account holds.
func (c *callerConn) count(p ledger.Part, bytes int) {
	if c != nil {
		c.account.Set(p, int64(bytes))
	}
}

// reserve sets what a part of the caller's account holds, and reports whether it fits.
func (c *callerConn) reserve(p ledger.Part, bytes int) bool {
	return c == nil || c.account.Reserve(p, int64(bytes))
}

// behindBytes is what may have been written to a caller that takes its answer.
const behindBytes = 32 << 10

// behind reports whether the caller leaves much of its answer in the socket. What its
// endpoint sends then lies in the connection to that.
func (c *callerConn) behind() bool { return c != nil && c.account.Size(ledger.Sent) > behindBytes }

// hasLeft reports whether the caller has closed the connection or its side of it.
func (c *callerConn) hasLeft() bool { return c != nil && connection.HungUp(c.TCPConn) }

// errCallerLeft is the error for a request that wasn't sent because its caller had left.
var errCallerLeft = errors.New("the caller has left")

// checkCaller ends the request and returns an error if the caller has left. net/http learns
// of it in another goroutine, which may be late, above all if the connection was closed
// before the request was read.
func (c *call) checkCaller() error {
	if !c.caller.hasLeft() {
		return nil
	}
	c.leave()
	return errCallerLeft
}

// logEarly logs that the caller has sent something after its request, such as its next
// one, before the answer.
func (c *call) logEarly() {
	if c.caller.sentEarly() {
		c.log.Info("caller sent more before its answer", "events", c.progress.events, "sends", c.sends)
	}
}

// awaitClose waits until the caller has closed its connection, or its side of it, or until
// the read deadline. It never returns nil, and reads nothing.
func (c *callerConn) awaitClose() error {
	return connection.AwaitHangUp(c.TCPConn, func() {
		c.early.Store(true)
		c.account.SetEarly(true)
	})
}

// Limits on what is read from a connection before it is closed.
const (
	maxUnreadBytes  = 256 << 10
	unreadReadBytes = 4 << 10 // per call
)

// discardUnread reads what the caller has sent too early. A close with unread bytes would
// reset the connection, and the caller might lose the answer.
func (c *callerConn) discardUnread() {
	if !c.early.Load() {
		return
	}
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return
	}
	buf := make([]byte, unreadReadBytes)
	// A failure means that the connection has been closed.
	_ = raw.Control(func(fd uintptr) {
		for range maxUnreadBytes / unreadReadBytes {
			if n, err := syscall.Read(int(fd), buf); n <= 0 || err != nil {
				return
			}
		}
	})
}
