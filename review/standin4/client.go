package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a client that keeps its connection.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// reply is what a client got for a request. The error says that there was no answer, or not
// all of it.
type reply struct {
	status int // 0 if no answer began
	header http.Header
	body   []byte
	err    error
}

// message returns the bytes of a request with a key and more headers.
func message(method, target, id, key string, body []byte, headers ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Fulmardeal-Attempt-Id: %s\r\nX-Fulmardeal-Deadline-Ms: 6000\r\nAuthorization: Token %s\r\n", method, target, hostName, id, key)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// call sends a request and waits for the answer. It opens a connection if there is none.
func (c *client) call(request []byte) reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return reply{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var r reply
	_ = c.conn.SetDeadline(time.Now().Add(7 * time.Second)) // fails only if it has been closed
	if _, r.err = c.conn.Write(request); r.err != nil {
		c.close()
		return r
	}
	method, _, _ := bytes.Cut(request, []byte(" "))
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: string(method)})
	if err != nil {
		r.err = err
		c.close()
		return r
	}
	r.status, r.header = answer.StatusCode, answer.Header
	r.body, r.err = io.ReadAll(answer.Body)
	if r.err != nil || answer.Close {
		c.close()
	}
	return r
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
