package gateway

import (
	"cmp"
	"net"
	"time"

	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/traffic/forward"
)

// Limits on what the connections of callers, other entries and the load balancer may make
// an entry hold, beside those of package ledger.
const (
	// defaultStall is how long a caller may take nothing of an answer. The system of a caller that
	// reads slowly makes room only when a large part of its buffer has been read, which takes
	// a minute at 2 KB/s.
	defaultStall = 2 * time.Minute

	maxPeerCalls     = 64              // calls in progress on the connection of another entry, which has a few
	readinessTimeout = 5 * time.Second // for receiving a probe of the load balancer, and for its answer
)

// openBudgets sets what callers and endpoints may make the entry hold. The returned function
// closes the connections to endpoints.
func (g *Gateway) openBudgets(limitHeap func(bytes int64) int64) func() {
	s := g.settings
	g.capacity = ledger.Capacity{Memory: s.MemoryLimit, Fds: s.MaxFds}
	g.ledger = ledger.New(ledger.Limits{
		Bytes: cmp.Or(s.Callers.Bytes, g.capacity.Bytes()),
		Stall: cmp.Or(s.Callers.Stall, defaultStall),
		Log:   g.log,
		Count: g.stats.recordClosed,
	})
	g.heap = g.ledger.Heap(int64(heapLimitFraction*float64(s.MemoryLimit)), limitHeap)
	pool, closePool := forward.NewPool(maxBufferedBytes(s.MemoryLimit))
	g.pool, g.bodies = pool, forward.NewBudget(maxBodiesBytes(s.MemoryLimit))
	g.pool.Buffer().SetRelief(func() bool { return g.ledger.MakeRoom(ledger.Answer) })
	g.bodies.SetRelief(func() bool { return g.ledger.MakeRoom(ledger.Body) })
	return closePool
}

// listenCallers returns the listener for callers, whose connections have accounts.
func (g *Gateway) listenCallers() net.Listener {
	return g.ledger.Listen(g.callerListener, "callers", cmp.Or(g.settings.Callers.Conns, g.capacity.Conns(ledger.CallersFraction)))
}
