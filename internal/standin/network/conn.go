package network

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// queued bounds the segments that are on their way in one direction.
const queued = 64

// conn is a connection with its links between. The process that dialled has
// one end of a pair of pipes; two pumps move the bytes to and from the real
// connection.
type conn struct {
	net.Conn // the end that the dialling process uses
	from, to Site
	silent   atomic.Bool
	stalled  atomic.Int64 // until then nothing is delivered, nanoseconds since the epoch
	fabric   *Fabric
}

// parcel is a segment on its way.
type parcel struct {
	data []byte
	due  time.Time
}

func (f *Fabric) wrap(raw net.Conn, from, to Site) net.Conn {
	near, far := net.Pipe()
	c := &conn{Conn: near, from: from, to: to, fabric: f}
	f.mu.Lock()
	f.conns[c] = true
	f.mu.Unlock()
	go c.pump(far, raw, from, to)
	go c.pump(raw, far, to, from)
	return c
}

func (c *conn) silence() { c.silent.Store(true) }

// Close closes the near end. The far end is closed once it has got what is on
// its way; that of a silent connection isn't told.
func (c *conn) Close() error {
	c.fabric.mu.Lock()
	delete(c.fabric.conns, c)
	c.fabric.mu.Unlock()
	return c.Conn.Close()
}

// stall holds back what is on its way for a time.
func (c *conn) stall(d time.Duration) { c.stalled.Store(time.Now().Add(d).UnixNano()) }

// pump moves bytes from one end to the other over the links.
func (c *conn) pump(src, dst net.Conn, from, to Site) {
	path := c.fabric.path(from, to)
	latency := c.fabric.latency(from, to)
	way := make(chan parcel, queued)
	go c.deliver(dst, way)
	defer close(way)
	buf := make([]byte, segment)
	for {
		n, err := src.Read(buf)
		if n > 0 && !c.lost(from, to) {
			c.fabric.carry(path, n)
			way <- parcel{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(latency)}
		}
		if err != nil {
			return
		}
	}
}

// lost reports whether what is sent now vanishes. A connection that has lost
// bytes is silent for good.
func (c *conn) lost(from, to Site) bool {
	if c.silent.Load() {
		return true
	}
	if c.fabric.isCut(from, to) {
		c.silence()
		return true
	}
	return false
}

// deliver hands segments on when they are due, and closes the far end after
// the last one.
func (c *conn) deliver(dst net.Conn, way <-chan parcel) {
	broken := false
	for p := range way {
		if d := time.Until(p.due); d > 0 {
			time.Sleep(d)
		}
		if d := time.Until(time.Unix(0, c.stalled.Load())); d > 0 {
			time.Sleep(d)
		}
		if broken {
			continue
		}
		if _, err := dst.Write(p.data); err != nil && err != io.ErrClosedPipe {
			broken = true
		}
	}
	if !c.silent.Load() {
		dst.Close()
	}
}
