package network

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// maxQueuedSegments is the maximum number of segments in transit in one
// direction.
const maxQueuedSegments = 64

// conn is a connection that passes through the simulated links. The process
// that dialled holds one end of a net.Pipe; two goroutines copy the bytes
// between its other end and the real connection.
type conn struct {
	net.Conn     // the end of the pipe that the dialling process uses
	from, to     Site
	silent       atomic.Bool
	stalledUntil atomic.Int64 // nothing is delivered before this time, in nanoseconds since the Unix epoch
	fabric       *Fabric
}

// segment is a block of bytes in transit.
type segment struct {
	data []byte
	due  time.Time // earliest time of delivery
}

func (f *Fabric) wrap(raw net.Conn, from, to Site) net.Conn {
	local, remote := net.Pipe()
	c := &conn{Conn: local, from: from, to: to, fabric: f}
	f.mu.Lock()
	f.conns[c] = true
	f.mu.Unlock()
	go c.forward(remote, raw, from, to)
	go c.forward(raw, remote, to, from)
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
func (c *conn) stall(d time.Duration) { c.stalledUntil.Store(time.Now().Add(d).UnixNano()) }

// forward copies bytes from src to dst, at the rate and latency of the links
// between the sites.
func (c *conn) forward(src, dst net.Conn, from, to Site) {
	path := c.fabric.path(from, to)
	latency := c.fabric.latency(from, to)
	queue := make(chan segment, maxQueuedSegments)
	go c.deliver(dst, queue)
	defer close(queue)
	buf := make([]byte, segmentBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !c.dropped(from, to) {
			c.fabric.transmit(path, n)
			queue <- segment{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(latency)}
		}
		if err != nil {
			return
		}
	}
}

// dropped reports whether bytes sent now are dropped. After a connection has dropped
// bytes it drops all later ones as well, because a byte stream must not have a gap.
func (c *conn) dropped(from, to Site) bool {
	if c.silent.Load() {
		return true
	}
	if c.fabric.partitioned(from, to) {
		c.silence()
		return true
	}
	return false
}

// deliver writes each segment to dst when it is due, and closes dst after the
// last one unless the connection is silent.
func (c *conn) deliver(dst net.Conn, queue <-chan segment) {
	failed := false
	for s := range queue {
		if d := time.Until(s.due); d > 0 {
			time.Sleep(d)
		}
		if d := time.Until(time.Unix(0, c.stalledUntil.Load())); d > 0 {
			time.Sleep(d)
		}
		if failed {
			continue
		}
		if _, err := dst.Write(s.data); err != nil && err != io.ErrClosedPipe {
			failed = true
		}
	}
	if !c.silent.Load() {
		dst.Close()
	}
}
