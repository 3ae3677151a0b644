package connection

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/link/ledger"
)

// Server accepts connections and dispatches their calls to registered services.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	log      *slog.Logger
	limits   ServerLimits

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
	done   sync.WaitGroup
}

// ServerLimits are what the server's peers may make it hold.
type ServerLimits struct {
	Ledger *ledger.Ledger // accounts of the connections; nil for a ledger of the server's own
	Conns  int            // connections; 0 for defaultConns
	Calls  int            // calls in progress on each connection; 0 for defaultCalls
}

// Limits of a server that has been set none. No peer of the system meets them.
const (
	defaultConns = 16 << 10
	defaultCalls = 1 << 10
	defaultBytes = 1 << 30 // of all calls in progress
)

// Listen creates a server that listens on address, and returns it with a function
// that stops it. Call Register for each service, then Serve.
func Listen(network fulmardeal.Network, address string) (*Server, func(), error) {
	l, err := network.Listen(address)
	if err != nil {
		return nil, nil, err
	}
	s := &Server{listener: l, rpc: rpc.NewServer(), log: slog.New(slog.DiscardHandler)}
	if err := s.Register("Heartbeat", Heartbeat{}); err != nil {
		l.Close()
		return nil, nil, err
	}
	return s, s.close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Register adds a service under the given net/rpc name.
func (s *Server) Register(name string, service any) error { return s.rpc.RegisterName(name, service) }

// SetLog sets the log to which Serve reports failures to accept a connection. It must be
// called before Serve.
func (s *Server) SetLog(log *slog.Logger) { s.log = log }

// SetLimits sets the server's limits. It must be called before Serve.
func (s *Server) SetLimits(l ServerLimits) { s.limits = l }

// Serve accepts connections until the server is closed.
func (s *Server) Serve() error {
	l := s.limits
	if l.Ledger == nil {
		l.Ledger = ledger.New(ledger.Limits{Bytes: defaultBytes, Stall: serverIOTimeout, Log: s.log})
	}
	maxCalls := cmp.Or(l.Calls, defaultCalls)
	listener := l.Ledger.Listen(NewRetryingListener(s.listener, s.log), "peers", cmp.Or(l.Conns, defaultConns))
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || err != nil && s.isClosed() {
			return nil
		}
		if err != nil {
			return err
		}
		if !s.track(conn) {
			return nil // the server was closed meanwhile, and track closed conn
		}
		go func() {
			defer s.done.Done()
			account := ledger.AccountOf(conn)
			s.rpc.ServeCodec(newServerCodec(deadlineConn{Conn: &limitedConn{Conn: conn, account: account}}, conn, account, maxCalls))
			s.untrack(conn)
		}()
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return false
	}
	s.conns = append(s.conns, conn)
	s.done.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.conns {
		if c == conn {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			return
		}
	}
}

// Stop closes the listener, which makes Serve return, and all connections, and
// waits for their calls in progress.
func (s *Server) Stop() { s.close() }

func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	conns := append([]net.Conn(nil), s.conns...)
	s.mu.Unlock()
	s.listener.Close()
	for _, c := range conns {
		c.Close()
	}
	s.done.Wait()
}

// deadlineConn fails a read or write that takes longer than serverIOTimeout,
// which makes the server close the connection.
type deadlineConn struct {
	net.Conn
}

func (c deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(serverIOTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(serverIOTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// TCP is a fulmardeal.Network over TCP. The zero value is ready to use.
type TCP struct{}

func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }
