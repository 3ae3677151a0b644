package gateway

import "net"

// WrapCallerListener replaces the listener for callers. Call it before Run.
func (g *Gateway) WrapCallerListener(wrap func(net.Listener) net.Listener) {
	g.callerListener = wrap(g.callerListener)
}

// Ready reports whether the load balancer would send requests to this entry.
func (g *Gateway) Ready() bool {
	ready, _ := g.ready()
	return ready
}

// Buffered returns how many bytes of responses and of callers' bodies are buffered.
func (g *Gateway) Buffered() (responses, bodies int64) {
	return g.pool.Buffer().Used(), g.bodies.Used()
}

// Connections returns how many connections have an account.
func (g *Gateway) Connections() int { return g.ledger.State().Connections }
