// Package control benchmarks the control plane: how long a configuration change
// takes to be in force on all nodes, and how much CPU time, memory and network
// traffic a node spends on control as the numbers of members, customers and
// models grow.
//
// The nodes are production code, many in one process over in-memory connections.
// The log and the instance directory are stand-ins.
package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/process/node"
	"fulmardeal/internal/process/settings"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/standin/network"
	"fulmardeal/internal/standin/platform"
)

const (
	dataCentres       = 6                     // number of data centres of a fleet
	regions           = 3                     // number of regions of a fleet
	startTimeout      = 60 * time.Second      // timeout for a fleet to start
	activationTimeout = 60 * time.Second      // timeout for a change to be in force on all nodes
	pollInterval      = 10 * time.Millisecond // time between two checks of the nodes' versions
	joinBatch         = 32                    // number of nodes that are started before a pause of pollInterval
)

// meter counts the bytes on the connections that the nodes dial.
type meter struct {
	fulmardeal.Network
	sent     atomic.Int64
	received atomic.Int64
}

func (m *meter) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := m.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, meter: m}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}

// fleet is a set of nodes in this process, with the log and the directory that they
// share.
type fleet struct {
	log        *platform.Log
	directory  *platform.Directory
	meter      *meter
	invariants *invariant.Recorder
	nodes      []*node.Node
	cleanups   []func()
	stop       context.CancelFunc
	nodeGroup  errgroup.Group    // runs the nodes
	version    fulmardeal.Offset // version of the configuration that resulted from the last change
}

// baseConfiguration returns a configuration with the given numbers of customers
// and models.
func baseConfiguration(customers, models int) configuration.Document {
	d := configuration.Document{
		Service: []configuration.ServiceEntry{{Name: "llm", Kind: configuration.ServiceModel, Limit: 16, Cold: 4}},
		Traffic: []configuration.TrafficEntry{{Name: "all"}},
	}
	for i := range dataCentres {
		d.DataCentre = append(d.DataCentre, configuration.DataCentreEntry{
			Name:   fmt.Sprintf("dc%d", i),
			Region: fmt.Sprintf("region%d", i%regions),
		})
	}
	for i := range customers {
		name := fmt.Sprintf("customer%d", i)
		d.Customer = append(d.Customer, configuration.CustomerEntry{Name: name, Key: configuration.HashKey(name)})
	}
	for i := range models {
		name := fmt.Sprintf("model%d", i)
		d.Model = append(d.Model, configuration.ModelEntry{
			Name: name, Version: "v1", Digest: configuration.HashKey(name), At: "service=llm", Replicas: 4,
		})
	}
	return d
}

// start starts a fleet and waits until the configuration is in force on all
// nodes.
func start(ctx context.Context, members int, d configuration.Document) (*fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	f := &fleet{
		log:        platform.NewLog(0),
		directory:  platform.NewDirectory(0, time.Minute),
		meter:      &meter{Network: &network.Memory{}},
		invariants: &invariant.Recorder{},
		stop:       stop,
	}
	if _, err := f.apply(ctx, "site", d); err != nil {
		stop()
		return nil, err
	}
	for i := range members {
		if err := f.add(ctx, i); err != nil {
			f.close()
			return nil, err
		}
		if i%joinBatch == 0 {
			time.Sleep(pollInterval)
		}
	}
	if _, err := f.await(ctx, startTimeout); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// add starts the i-th node.
func (f *fleet) add(ctx context.Context, i int) error {
	dc := i % dataCentres
	n, cleanup, err := node.New(node.Options{
		Settings: settings.Process{
			Name:       fmt.Sprintf("node%d", i),
			DataCentre: fmt.Sprintf("dc%d", dc),
			Region:     fmt.Sprintf("region%d", dc%regions),
			Listen:     fmt.Sprintf("node%d:0", i),
			Home:       "region0",
		},
		Role:       fulmardeal.RoleAgent,
		Network:    f.meter,
		Log:        f.log,
		Directory:  f.directory,
		Logger:     slog.New(slog.DiscardHandler),
		Invariants: f.invariants,
		Seed:       uint64(i + 1),
	})
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	f.cleanups = append(f.cleanups, cleanup)
	f.nodeGroup.Go(func() error { return n.Run(ctx) })
	return nil
}

func (f *fleet) close() {
	f.stop()
	_ = f.nodeGroup.Wait() // nodes return no error when their context is cancelled
	var g errgroup.Group
	for _, c := range f.cleanups {
		g.Go(func() error { c(); return nil })
	}
	_ = g.Wait() // the functions return no error
}

// apply appends a change to the log and returns the resulting version. The change is
// based on the last version.
func (f *fleet) apply(ctx context.Context, id string, d configuration.Document) (fulmardeal.Offset, error) {
	body, err := configuration.EncodeChange(id, f.version, d)
	if err != nil {
		return 0, err
	}
	version, err := f.log.Append(ctx, configuration.Stream, body)
	if err == nil {
		f.version = version
	}
	return version, err
}

// await waits until the last version is in force on every node, and returns the
// time that each node took since the call. It returns an error after the timeout.
func (f *fleet) await(ctx context.Context, timeout time.Duration) ([]time.Duration, error) {
	startTime := time.Now()
	out := make([]time.Duration, len(f.nodes))
	pending := len(f.nodes)
	for pending > 0 {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if time.Since(startTime) > timeout {
			return nil, fmt.Errorf("%d of %d nodes do not have version %d in force after %v", pending, len(f.nodes), f.version, timeout)
		}
		for i, n := range f.nodes {
			if out[i] == 0 && n.Store().Version() >= f.version {
				out[i] = max(time.Since(startTime), 1)
				pending--
			}
		}
		time.Sleep(pollInterval)
	}
	return out, nil
}

// usage is the CPU time that the process has used and the bytes that the fleet has
// sent and received, from their start until takenAt.
type usage struct {
	cpu      time.Duration
	sent     int64
	received int64
	takenAt  time.Time
}

func (f *fleet) usage() usage {
	var r syscall.Rusage
	// Getrusage with RUSAGE_SELF fails only if the pointer is invalid.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return usage{cpu: cpu, sent: f.meter.sent.Load(), received: f.meter.received.Load(), takenAt: time.Now()}
}

// liveHeapBytes returns the size of the live heap in bytes, after a garbage
// collection.
func liveHeapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Settings configures a run.
type Settings struct {
	Seed     uint64        // not used: the nodes' seeds are fixed
	Duration time.Duration // length of each cost measurement
	Output   io.Writer     // receives each result as a line
}
