package ledger

import (
	"math"
	"runtime/debug"
	"syscall"
)

// Capacity is what a process may use. The zero value stands for no known limits.
type Capacity struct {
	Memory int64 // bytes
	Fds    int   // descriptors
}

// Parts of a capacity.
const (
	bytesFraction = 0.2       // of the memory, for all connections that others open
	defaultBytes  = 256 << 20 // the same without a limit
	reservedFds   = 200       // for files; sockets have the others
	minConns      = 8         // of a listener
	defaultFds    = 8192      // without a limit

	goHeapFraction = 0.75 // of the memory, which the limit of the Go runtime is for
)

// CurrentCapacity returns what the environment grants this process: the limit of the Go
// runtime's memory and that of descriptors.
func CurrentCapacity() Capacity {
	var c Capacity
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		c.Memory = int64(float64(limit) / goHeapFraction)
	}
	var fds syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &fds) == nil {
		c.Fds = int(min(fds.Cur, math.MaxInt32))
	}
	return c
}

// HeapLimit returns the limit of the Go runtime's memory, or 0 for none.
func (c Capacity) HeapLimit() int64 { return int64(goHeapFraction * float64(c.Memory)) }

// Bytes returns how much memory all connections that others open may take.
func (c Capacity) Bytes() int64 {
	if c.Memory <= 0 {
		return defaultBytes
	}
	return int64(bytesFraction * float64(c.Memory))
}

// Conns returns how many connections a listener may have, as a part of all sockets.
func (c Capacity) Conns(fraction float64) int {
	fds := c.Fds
	if fds <= 0 {
		fds = defaultFds
	}
	return max(minConns, int(fraction*float64(fds-reservedFds)))
}

// Fractions of a process's sockets for its listeners. The others are left for the
// connections that the process opens itself.
const (
	CallersFraction = 0.5
	PeersFraction   = 0.1
	MonitorFraction = 0.02 // also for the listener of the load balancer's probes
)
