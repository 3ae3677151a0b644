package connection

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"
)

// Pauses before an accept is repeated. The pause doubles from the first to the second
// while accepts go on failing.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// RetryingListener is a listener that outlasts a lack of descriptors or memory. Other
// listeners return such an error, and a server that ends with it takes the connections
// along on which requests are in progress.
type RetryingListener struct {
	net.Listener
	log *slog.Logger
}

// NewRetryingListener returns a RetryingListener that accepts from l.
func NewRetryingListener(l net.Listener, log *slog.Logger) *RetryingListener {
	return &RetryingListener{Listener: l, log: log}
}

// Accept waits for the next connection. It returns an error only if a further accept
// would fail too, for example because the listener has been closed.
func (l *RetryingListener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return conn, err
		}
		l.log.Warn("cannot accept a connection", "address", l.Addr().String(), "retry", pause, "err", err)
		time.Sleep(pause)
		pause = min(2*pause, maxAcceptPause)
	}
}

// isTemporary reports whether an accept failed because the process or its host lacks a
// resource, which others release, or because of the accepted connection alone.
func isTemporary(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED:
		return true
	}
	return false
}
