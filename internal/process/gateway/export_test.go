package gateway

import "net"

// WrapCallerListener replaces the listener for callers. Call it before Run.
func (g *Gateway) WrapCallerListener(wrap func(net.Listener) net.Listener) {
	g.callerListener = wrap(g.callerListener)
}
