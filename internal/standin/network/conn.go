package network

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// queued is the maximum number of segments in transit in one direction.
const queued = 64

// conn is a connection that passes through the simulated links. The process
// that dialled holds one end of a net.Pipe; two goroutines copy the bytes
// between its other end and the real connection.
type conn struct {
	net.Conn // the end of the pipe that the dialling process uses
	from, to Site
	silent   atomic.Bool
	stalled  atomic.Int64 // nothing is delivered before this time, in nanoseconds since the epoch
	fabric   *Fabric
}

// parcel is a segment in transit.
type parcel struct {
	data []byte
	due  time.Time // earliest time of delivery
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

// Close closes the local end. The remote end is closed once the segments in
// transit have been delivered to it. If the connection is silent, the remote end
// does not learn of the close.
func (c *conn) Close() error {
	c.fabric.mu.Lock()
	delete(c.fabric.conns, c)
	c.fabric.mu.Unlock()
	return c.Conn.Close()
}

// stall delays the delivery of the segments in transit until d has passed.
func (c *conn) stall(d time.Duration) { c.stalled.Store(time.Now().Add(d).UnixNano()) }

// pump copies bytes from src to dst, at the rate and latency of the links
// between the sites.
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

// lost reports whether bytes sent now are dropped. A connection that has dropped
// bytes stays silent, because the stream can't continue after a gap.
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

// deliver writes each segment to dst when it is due, and closes dst after the
// last one unless the connection is silent.
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
