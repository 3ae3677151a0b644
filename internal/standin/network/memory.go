package network

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// Memory is a transport within one process that uses net.Pipe instead of
// sockets, so that tests can run in the virtual time of testing/synctest.
// Addresses are arbitrary names. The zero value is ready to use.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*listener
	lastPort  int
}

var errRefused = errors.New("connection refused")

// Dial connects to a listener of this transport.
func (m *Memory) Dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	l, known := m.listeners[address]
	m.mu.Unlock()
	if !known {
		return nil, errRefused
	}
	local, remote := net.Pipe()
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Listen opens a listener at the address. It replaces a port of 0 by an unused one.
func (m *Memory) Listen(address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners = make(map[string]*listener)
	}
	if host, port, err := net.SplitHostPort(address); err == nil && port == "0" {
		m.lastPort++
		address = fmt.Sprintf("%s:%d", host, m.lastPort)
	}
	if _, taken := m.listeners[address]; taken {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &listener{memory: m, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// listener accepts connections to one address.
type listener struct {
	memory  *Memory
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.memory.mu.Lock()
		delete(l.memory.listeners, l.address)
		l.memory.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// address implements net.Addr.
type address string

func (address) Network() string { return "memory" }

func (a address) String() string { return string(a) }
