package gateway_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// heldListener returns no connection while its lock is held.
type heldListener struct {
	net.Listener
	mu sync.RWMutex
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.RLock()
	defer l.mu.RUnlock()
	return c, err
}

// rawEndpoint is an endpoint whose backlog holds a single connection.
type rawEndpoint struct {
	t        *testing.T
	address  string
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

func newRawEndpoint(t *testing.T) *rawEndpoint {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	e := &rawEndpoint{t: t, address: l.Addr().String(), listener: l}
	t.Cleanup(func() {
		l.Close()
		e.breakConns()
	})
	return e
}

// fill fills the backlog, so that connections are no longer accepted.
func (e *rawEndpoint) fill() {
	for range 10 {
		c, err := net.DialTimeout("tcp", e.address, 50*time.Millisecond)
		if err != nil {
			return
		}
		e.t.Cleanup(func() { c.Close() })
	}
	e.t.Error("the backlog takes any number of connections")
}

func (e *rawEndpoint) accept() (net.Conn, *http.Request, error) {
	c, err := e.listener.Accept()
	if err != nil {
		return nil, nil, err
	}
	e.mu.Lock()
	e.conns = append(e.conns, c)
	e.mu.Unlock()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return c, r, err
}

// serve records the requests that arrive, without an answer. At the point "crash" it accepts
// as many connections as there will be callers.
func (e *rawEndpoint) serve(s *departureSite) {
	for n := 0; s.point != "crash" || n < len(s.sends)*len(s.leaves); n++ {
		c, r, err := e.accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a connection that fills the backlog
		}
		stop := s.arrive(r.Header.Get("X-Fulmardeal-Attempt-Id"))
		go func() {
			_, _ = io.Copy(io.Discard, c) // until the connection ends
			stop()
		}()
	}
}

// breakOff fills the backlog and ends all connections without an answer.
func (e *rawEndpoint) breakOff() {
	e.fill()
	e.breakConns()
}

func (e *rawEndpoint) breakConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.Close()
	}
}

// crash ends the endpoint when it has received a request.
func (e *rawEndpoint) crash() {
	if _, _, err := e.accept(); err != nil {
		e.t.Error(err)
	}
	e.listener.Close()
	e.breakConns()
}

// serveConns listens until the end of the test, calls serve for each connection, and returns the
// address.
func serveConns(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}
