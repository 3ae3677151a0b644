package site

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ProxyFaults holds the faults that a proxy injects into its connections.
type ProxyFaults struct {
	Delay        time.Duration // delay of the bytes of each read, in both directions
	HoldToTarget bool          // hold back the bytes to the target
	HoldToCaller bool          // hold back the bytes to the caller
	ResetNew     bool          // reset new connections
}

// heldPollInterval is how often a connection whose bytes are held back checks whether
// the fault has ended. It is also the pause after a failed accept.
const heldPollInterval = 10 * time.Millisecond

const readBufferBytes = 16 << 10

// dialTimeout is the timeout for connecting to the target, which is on loopback.
const dialTimeout = time.Second

// Proxy is a TCP proxy that forwards connections to a target and can inject
// faults into them.
type Proxy struct {
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener // nil while new connections are refused
	faults   ProxyFaults
	conns    map[net.Conn]*mute
	closed   bool
}

// mute is set once a connection forwards nothing more, in either direction.
type mute struct{ atomic.Bool }

// NewProxy listens on an address and forwards its connections to target. The
// returned function stops the proxy and resets all connections.
func NewProxy(listen, target string) (*Proxy, func(), error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{address: listen, target: target, listener: l, conns: make(map[net.Conn]*mute)}
	go p.acceptLoop(l)
	return p, p.close, nil
}

// SetListening makes the proxy refuse new connections, as an instance does whose process
// has ended, or accept them again.
func (p *Proxy) SetListening(listening bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || listening == (p.listener != nil):
		return nil
	case !listening:
		err := p.listener.Close()
		p.listener = nil
		return err
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = l
	go p.acceptLoop(l)
	return nil
}

// SetFaults replaces the faults of all connections, including open ones.
func (p *Proxy) SetFaults(f ProxyFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Mute makes all open connections silent for good: they stay open, and bytes on them get
// nowhere. New connections work.
func (p *Proxy) Mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.conns {
		m.Store(true)
	}
}

func (p *Proxy) close() {
	p.mu.Lock()
	if p.listener != nil {
		p.listener.Close()
	}
	p.closed = true
	p.mu.Unlock()
	p.Reset()
}

// current returns the current faults, and whether the proxy has been closed.
func (p *Proxy) current() (ProxyFaults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.closed
}

func (p *Proxy) acceptLoop(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(heldPollInterval)
			continue
		}
		if f, _ := p.current(); f.ResetNew {
			reset(c)
			continue
		}
		go p.forward(c)
	}
}

// forward forwards one connection in both directions until it ends.
func (p *Proxy) forward(caller net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	p.mu.Lock()
	var muted mute
	p.conns[caller], p.conns[target] = &muted, &muted
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.relay(target, caller, &muted, func(f ProxyFaults) bool { return f.HoldToTarget }) })
	directions.Go(func() { p.relay(caller, target, &muted, func(f ProxyFaults) bool { return f.HoldToCaller }) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	p.mu.Unlock()
}

// relay copies bytes in one direction. Bytes that are held back are delivered
// when the fault ends, as if TCP had retransmitted them.
func (p *Proxy) relay(to, from net.Conn, muted *mute, isHeld func(ProxyFaults) bool) {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := from.Read(buf)
		f, closed := p.current()
		for isHeld(f) && !closed {
			time.Sleep(heldPollInterval)
			f, closed = p.current()
		}
		time.Sleep(f.Delay)
		if muted.Load() && !closed {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			reset(to)
			return
		}
		if c, ok := to.(*net.TCPConn); ok {
			_ = c.CloseWrite() // fails only if the connection is closed already
		}
		return
	}
}
