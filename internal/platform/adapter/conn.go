package adapter

import (
	"context"
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"fulmardeal/internal/link/connection"
)

// staleConnError reports that an idle connection has been closed by the server, or that
// the server has sent something that answers no request. Nothing was sent.
type staleConnError struct {
	address string
}

func (e *staleConnError) Error() string { return "stale connection to " + e.address }

// requestConn is a connection that sends no request while input is unread: the client
// would take that input for the response.
type requestConn struct {
	net.Conn
	answered bool // the last operation was a read
}

func (c *requestConn) Read(p []byte) (int, error) {
	c.answered = true
	return c.Conn.Read(p)
}

func (c *requestConn) Write(p []byte) (int, error) {
	if c.answered && !connection.Quiet(c.Conn) {
		return 0, &staleConnError{address: c.RemoteAddr().String()}
	}
	c.answered = false
	return c.Conn.Write(p)
}

// send sends a request, on another connection if an idle one has turned out to be stale.
func send(ctx context.Context, client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) error {
	by := deadline(ctx)
	for {
		err := client.DoDeadline(req, resp, by)
		var stale *staleConnError
		if !errors.As(err, &stale) {
			return err
		}
	}
}
