package site

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Rule is what a proxy does to the connections through it.
type Rule struct {
	Delay    time.Duration // of each piece that is read
	HoldTo   bool          // nothing reaches the target
	HoldFrom bool          // nothing reaches the caller
	Refuse   bool          // new connections are reset
}

// pollHeld is how often a held connection looks whether it may go on.
const pollHeld = 10 * time.Millisecond

// pieceSize is how much a proxy reads at once.
const pieceSize = 16 << 10 // bytes

// dialTarget bounds a proxy's own connection, which goes over loopback.
const dialTarget = time.Second

// Proxy passes connections on to a target, and disturbs them on request.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	rule  Rule
	conns map[net.Conn]struct{}
	done  bool
}

// NewProxy listens on an address for connections to a target. The returned
// function ends them all.
func NewProxy(listen, target string) (*Proxy, func(), error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, p.close, nil
}

// Set changes what is done to all connections, open ones too.
func (p *Proxy) Set(r Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule = r
}

// Reset resets the connections that are open.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *Proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	p.done = true
	p.mu.Unlock()
	p.Reset()
}

func (p *Proxy) now() (Rule, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rule, p.done
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pollHeld)
			continue
		}
		if r, _ := p.now(); r.Refuse {
			reset(c)
			continue
		}
		go p.pass(c)
	}
}

// pass carries one connection until either end closes it.
func (p *Proxy) pass(caller net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, dialTarget)
	if err != nil {
		reset(caller)
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.carry(target, caller, func(r Rule) bool { return r.HoldTo }) })
	both.Go(func() { p.carry(caller, target, func(r Rule) bool { return r.HoldFrom }) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	p.mu.Unlock()
}

// carry copies one direction. What is held goes on when the rule ends, as bytes
// do that TCP sends again.
func (p *Proxy) carry(to, from net.Conn, held func(Rule) bool) {
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		r, done := p.now()
		for held(r) && !done {
			time.Sleep(pollHeld)
			r, done = p.now()
		}
		time.Sleep(r.Delay)
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
		if c, is := to.(*net.TCPConn); is {
			_ = c.CloseWrite() // the other end may have closed it already
		}
		return
	}
}
