package entry

import (
	"net"
	"syscall"
	"time"

	"fulmardeal/internal/link/connection"
)

// watchCaller calls leave when the caller closes its connection, or its side of it. The
// returned function ends the watch. Call it before anything else is read from the
// connection, whose read deadline it removes.
func watchCaller(c net.Conn, leave func()) (stop func()) {
	socket, ok := c.(syscall.Conn)
	if !ok || c.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	ended := make(chan struct{})
	stopping := make(chan struct{})
	go func() {
		defer close(ended)
		_ = connection.AwaitHangUp(socket, nil) // never nil
		select {
		case <-stopping:
		default:
			leave()
		}
	}()
	return func() {
		close(stopping)
		// Failures mean that the connection has been closed, which ends the watch too.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-ended
		_ = c.SetReadDeadline(time.Time{})
	}
}
