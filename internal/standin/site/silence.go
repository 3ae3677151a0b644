package site

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// lastWritePeriod is how long after the start of a silence a connection's next write still
// gets out, for every second connection. Events and bodies are sent in two writes, so that
// a silence also begins within them.
const lastWritePeriod = 30 * time.Millisecond

// silence is an interval in which an endpoint neither reads nor sends anything. The zero
// value is over.
type silence struct {
	mu          sync.Mutex
	from, until time.Time
	lastWrites  int // of connections, within lastWritePeriod of the start of any silence
}

// Silence makes the endpoint's process silent for a while, on all its connections. It
// loses nothing: it reads what has arrived, and sends what it was about to send, when the
// silence is over. Its registration is still renewed.
func (e *Endpoint) Silence(d time.Duration) {
	s := &e.silence
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.from, s.until = now, now.Add(d)
}

// wait waits until the silence is over.
func (s *silence) wait() {
	for {
		s.mu.Lock()
		left := time.Until(s.until)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// passes reports whether a write of a connection that begins now gets out in spite of the
// silence. last is the start of the silence in which this was last asked for the
// connection.
func (s *silence) passes(last *time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.from) > lastWritePeriod || last.Equal(s.from) {
		return false
	}
	*last = s.from
	s.lastWrites++
	return s.lastWrites%2 == 0
}

// silentListener is the listener of an endpoint that may fall silent.
type silentListener struct {
	net.Listener
	silence *silence
}

func (l silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: c, silence: l.silence}, nil
}

// silentConn is a connection of an endpoint that may fall silent.
type silentConn struct {
	net.Conn
	silence *silence

	mu       sync.Mutex
	received time.Time // when the first bytes since the last write arrived; zero if none have
	last     time.Time // start of the last silence that began before a write
	refusal  []byte    // that FaultRepeat writes once more; nil for none
}

// Read returns what was read when the silence is over.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n > 0 && c.received.IsZero() {
		c.received = time.Now()
	}
	c.mu.Unlock()
	if n > 0 { // net/http also ends reads, and must then read on at once
		c.silence.wait()
	}
	return n, err
}

// Write sends the bytes when the silence is over.
func (c *silentConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.received = time.Time{}
	passes := c.silence.passes(&c.last)
	c.mu.Unlock()
	if !passes {
		c.silence.wait()
	}
	return c.Conn.Write(p)
}

// connKey is the key of a request's silentConn in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// receivedAt returns when a request arrived, even if a silent endpoint read it later.
func receivedAt(r *http.Request) time.Time {
	c, _ := r.Context().Value(connKey{}).(*silentConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}
