package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
)

// The callers of FaultLeavers. Their requests last so long that endpoints would still be at
// work boundGone after they have left, and end within the timeout of their route.
const (
	leaverCount    = 8
	leaverInterval = 60 * time.Millisecond // between two requests of one of them
	lateAfter      = 30 * time.Millisecond // from the request to what comes late
	minStay        = 20 * time.Millisecond // from the request to the caller's close
	maxStay        = 350 * time.Millisecond
	plainWork      = 1300 * time.Millisecond // of a request to a plain endpoint
	streamWork     = 2 * time.Second
	unreadPadding  = 200 << 10 // bytes before each event of a stream that its caller doesn't read
	unreadBuffer   = 4 << 10   // bytes that the system receives for such a caller
)

// leaver is a way to leave: what the caller sends after its request, how it closes its
// connection, and whether it has read until then.
type leaver struct {
	after string // "" for nothing, a byte, a line end, or "next" for the next request
	late  bool   // after is sent when the entry has read the request
	close string // "fin", "rst" or "half"
	reads bool
}

func (l leaver) String() string {
	return fmt.Sprintf("by %s after %q, late %t, reading %t", l.close, l.after, l.late, l.reads)
}

// newLeaver draws a way to leave.
func newLeaver(random *rand.Rand) leaver {
	return leaver{
		after: []string{"", "x", "\r\n", "next"}[random.IntN(4)],
		close: []string{"fin", "rst", "half"}[random.IntN(3)],
		late:  random.IntN(3) > 0,
		reads: random.IntN(4) > 0,
	}
}

// leavers lets callers leave in the middle of requests.
func (d *deployment) leavers(f Fault) {
	d.mu.Lock()
	d.leaving++
	batch := d.leaving
	d.mu.Unlock()
	var callers sync.WaitGroup
	defer callers.Wait()
	until := time.Now().Add(f.For)
	for i := range leaverCount {
		c := newCaller(d, i, uint64(f.At))
		c.name = fmt.Sprintf("leave-%d-%d", batch, i)
		callers.Go(func() {
			for time.Now().Before(until) {
				c.sendAndLeave(newLeaver(c.random))
				time.Sleep(leaverInterval)
			}
		})
	}
}

// sendAndLeave sends a request on a new connection and closes it in the middle of the request.
func (c *caller) sendAndLeave(l leaver) {
	c.entry = c.deployment.fleet.pickEntry(-1, c.random)
	route := &c.deployment.routes[c.random.IntN(len(c.deployment.routes))]
	checker := c.deployment.checker
	var data, after bytes.Buffer
	requests := []*request{c.nextOf(route, l, &data)}
	if l.after == "next" {
		requests = append(requests, c.nextOf(route, l, &after))
	} else {
		after.WriteString(l.after)
	}
	if !l.late {
		_, _ = after.WriteTo(&data) // a Buffer takes all writes
	}
	for _, r := range requests {
		r.sent, r.leave = time.Now(), l.String()
		checker.requestSent(r)
	}
	r := requests[0]
	conn, err := net.DialTimeout("tcp", c.deployment.fleet.entryAddress(c.entry), dialTimeout)
	if err != nil {
		checker.requestFailed(r, err, false)
		return
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok && !l.reads {
		_ = tcp.SetReadBuffer(unreadBuffer) // a hint
	}
	_, err = conn.Write(data.Bytes())
	if l.late && err == nil {
		time.Sleep(lateAfter)
		_, err = conn.Write(after.Bytes())
	}
	if err != nil {
		checker.requestLeft()
		return
	}
	stay := minStay + time.Duration(c.random.Float64()*float64(maxStay-minStay))
	if !l.reads {
		time.Sleep(stay)
	} else if ended := readFor(conn, stay); ended {
		checker.requestLeft() // refused or broken off, which the checks of other callers cover
		return
	}
	for _, r := range requests {
		checker.callerLeft(r)
	}
	checker.requestLeft()
	leave(conn, l.close)
}

// nextOf appends the next request on a route to data, and returns it.
func (c *caller) nextOf(route *fulmardeal.Route, l leaver, data *bytes.Buffer) *request {
	c.sent++
	r := c.newRequest(route)
	work := site.Work{Time: plainWork}
	if route.Kind == fulmardeal.KindStream {
		work.Time = streamWork
		if !l.reads {
			work.Padding = unreadPadding
		}
	}
	r.path += "&" + work.Query()
	r.sent = time.Now()
	if err := c.encode(context.Background(), r).Write(data); err != nil {
		panic(err) // a Buffer takes all writes
	}
	return r
}

// successStart begins the answer to a request that goes on.
var successStart = []byte("HTTP/1.1 200")

// readFor reads for a while, and reports whether the connection or the request has ended
// meanwhile.
func readFor(conn net.Conn, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d)) // a closed connection fails to be read
	buf, first := make([]byte, unreadBuffer), true
	for {
		n, err := conn.Read(buf)
		if first && n > 0 && !bytes.HasPrefix(buf[:n], successStart) {
			return true
		}
		first = first && n == 0
		if err != nil {
			timeout, ok := err.(net.Error)
			return !ok || !timeout.Timeout()
		}
	}
}

// leave closes a connection in one of the ways of leaver. After a half-close, the caller stays
// for boundGone and longer.
func leave(conn net.Conn, how string) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	switch how { // errors mean that the entry has closed the connection already
	case "rst":
		_ = tcp.SetLinger(0)
	case "half":
		_ = tcp.CloseWrite()
		time.Sleep(2 * boundGone)
	}
}
