package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// departing is a caller that closes its connection.
type departing struct {
	send, leave string
	id, next    string // ids of its request and of the one that it may send afterwards
	conn        *connection
	left        time.Time
}

var departureIDs struct {
	sync.Mutex
	n int
}

func newDepartureID() string {
	departureIDs.Lock()
	defer departureIDs.Unlock()
	departureIDs.n++
	return fmt.Sprintf("d%07x", departureIDs.n)
}

// request returns the header of a request.
func (s *departureSite) request(c *connection, id, prefix string, length int) string {
	c.calls++
	key := "Authorization: Token k1\r\n"
	if s.path == "/public/" {
		key = ""
	}
	if prefix != "" {
		key += "X-Fulmardeal-Prompt-Prefix: " + prefix + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sX-Fulmardeal-Attempt-Id: %s\r\nX-Fulmardeal-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", s.path, key, id, length)
}

// call connects a caller and sends its request.
func (s *departureSite) call(send, leave string) {
	c := &departing{send: send, leave: leave, id: newDepartureID(), next: newDepartureID(), conn: s.gateway.dial(s.t)}
	s.mu.Lock()
	s.callers = append(s.callers, c)
	s.mu.Unlock()
	if s.point == "write" {
		if err := c.conn.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			s.t.Fatal(err)
		}
	}
	body := "body"
	if s.point == "body" {
		body = "bo"
	}
	prefix := ""
	if s.point == "suspect" {
		prefix = "bad:40," + c.id + ":10"
	}
	request := s.request(c.conn, c.id, prefix, 4) + body
	if send == "pipelined" {
		request += s.request(c.conn, c.next, prefix, 4) + "body"
	}
	c.conn.send(0, request)
}

// Sizes of bodies: one that fills several buffers, but not the receive window, and one that
// doesn't fit there.
const (
	longBody = 40 << 10
	hugeBody = 16 << 20
)

// sendMore sends what the caller sends after its request.
func (s *departureSite) sendMore(c *departing) {
	switch c.send {
	case "byte":
		c.conn.send(0, "P")
	case "line":
		c.conn.send(0, "\r\n")
	case "request":
		c.conn.send(0, s.request(c.conn, c.next, "", 4)+"body")
	case "huge":
		go c.conn.send(0, s.request(c.conn, c.next, "", hugeBody)+strings.Repeat("x", hugeBody))
		time.Sleep(10 * time.Millisecond)
	case "long":
		c.conn.send(0, s.request(c.conn, c.next, "", longBody)+strings.Repeat("x", longBody))
	}
}

// close closes the connection.
func (s *departureSite) close(c *departing) {
	tcp := c.conn.Conn.(*net.TCPConn)
	if c.leave != "unread" && c.leave != "half" && s.point == "event" {
		buf := make([]byte, 64<<10)
		if _, err := tcp.Read(buf); err != nil { // net/http may have sent the events in several parts
			s.t.Error(err)
		}
	}
	var err error
	switch c.leave {
	case "reset":
		if err = tcp.SetLinger(0); err == nil {
			err = tcp.Close()
		}
	case "half":
		err = tcp.CloseWrite()
	default:
		err = tcp.Close()
	}
	c.left = time.Now()
	if err != nil {
		s.t.Error(err)
	}
}
