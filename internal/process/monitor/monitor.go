// Package monitor serves a process's metrics, liveness, readiness and state
// dump over HTTP, and writes the state dump on SIGQUIT. It doesn't change the
// process's state.
package monitor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/process/node"
)

// reportInterval is the interval at which the metrics are updated.
const reportInterval = time.Second

// idleTimeout is how long a connection may be idle.
const idleTimeout = time.Minute

// Gauge is a metric that is specific to a role.
type Gauge struct {
	Name  string
	Value float64
}

// Monitor serves the metrics and the state of one process.
type Monitor struct {
	node     *node.Node
	gauges   func() []Gauge
	reporter *Reporter
	scope    tally.Scope
	listener net.Listener
	server   *fasthttp.Server
}

// New opens the monitor's listener, or none if the address is empty. gauges
// returns the metrics of the process's role. The returned function releases the
// monitor's resources.
func New(address string, n *node.Node, gauges func() []Gauge) (*Monitor, func(), error) {
	m := &Monitor{node: n, gauges: gauges, reporter: NewReporter()}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "fulmardeal", Reporter: m.reporter, Separator: "_"}, reportInterval)
	m.scope = scope
	cleanup := func() { closer.Close() }
	if address == "" {
		return m, cleanup, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	m.listener = n.Listen(l, "metrics", ledger.MonitorFraction)
	m.server = &fasthttp.Server{
		Handler: m.handle, NoDefaultServerHeader: true, Logger: discardLogger{},
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout,
	}
	return m, func() {
		cleanup()
		l.Close()
	}, nil
}

// discardLogger discards the log lines of fasthttp.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// Run serves requests until the context ends, and writes the state dump to w on
// SIGQUIT.
func (m *Monitor) Run(ctx context.Context, w io.Writer) error {
	quit := make(chan os.Signal, 1)
	signal.Notify(quit, syscall.SIGQUIT)
	defer signal.Stop(quit)
	if m.server != nil {
		go func() {
			// Serve returns an error when the listener is closed.
			_ = m.server.Serve(m.listener)
		}()
	}
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		m.collect()
		select {
		case <-ctx.Done():
			return nil
		case <-quit:
			data, err := m.dump()
			if err == nil {
				fmt.Fprintf(w, "%s\n", data)
			}
		case <-t.C:
		}
	}
}

func (m *Monitor) dump() ([]byte, error) { return json.MarshalIndent(m.node.Dump(), "", "  ") }

// collect updates the metrics.
func (m *Monitor) collect() {
	d := m.node.Dump()
	m.scope.Gauge("version").Update(float64(d.Version))
	m.scope.Gauge("members").Update(float64(len(d.Members)))
	m.scope.Gauge("breaches").Update(float64(d.Breaches))
	m.scope.Gauge("ready").Update(boolValue(d.Ready))
	m.scope.Gauge("confirmed").Update(boolValue(d.Confirmed))
	m.scope.Gauge("closed").Update(float64(m.node.Closed()))
	for _, g := range m.gauges() {
		m.scope.Gauge(g.Name).Update(g.Value)
	}
}

func boolValue(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

func (m *Monitor) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/live":
		ctx.SetBodyString("alive\n")
	case "/ready":
		ready, reason := m.node.Ready()
		if !ready {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		ctx.SetBodyString(reason + "\n")
	case "/metrics":
		m.reporter.Write(ctx)
	case "/dump":
		data, err := m.dump()
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(data)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
