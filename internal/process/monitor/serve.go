package monitor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"fulmardeal/internal/link/ledger"
)

// requestTimeout is the timeout for reading a request and for writing its
// response.
const requestTimeout = 5 * time.Second

// Path is a path that a process serves beside its metrics and state dump.
type Path struct {
	Name  string
	Serve http.HandlerFunc // for GET; it doesn't change the process's state
}

// Serve serves a process's metrics under /metrics, its state dump under /dump and
// further paths, and writes the state dump to w on SIGQUIT, until the context ends. If
// the address is empty, it serves nothing over HTTP. The ledger accounts for the
// connections.
func Serve(ctx context.Context, address string, l *ledger.Ledger, maxConns int, reporter *Reporter, dump func() any, w io.Writer, paths ...Path) error {
	quit := make(chan os.Signal, 1)
	signal.Notify(quit, syscall.SIGQUIT)
	defer signal.Stop(quit)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-quit:
				writeDump(w, dump())
			}
		}
	}()
	if address == "" {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(rw http.ResponseWriter, _ *http.Request) { reporter.Write(rw) })
	mux.HandleFunc("GET /dump", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/json")
		writeDump(rw, dump())
	})
	for _, p := range paths {
		mux.HandleFunc("GET "+p.Name, p.Serve)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("serve metrics on %s: %w", address, err)
	}
	s := &http.Server{Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(l.Listen(listener, "metrics", maxConns)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics on %s: %w", address, err)
	}
	return nil
}

func writeDump(w io.Writer, state any) {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(state); err != nil {
		fmt.Fprintf(w, "state can't be written: %v\n", err)
	}
}
