// Package network emulates the links between sites for tests and experiments on
// one host: it adds latency, bandwidth limits shared by many connections, and
// faults to real connections.
//
// It shapes connections, not packets, and is not a discrete-event simulator: the
// production code runs over it unchanged, in real time or in the virtual time of
// testing/synctest.
package network

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fulmardeal"
)

// Site is the location of a process.
type Site struct {
	Instance   string
	DataCentre string
	Region     string
}

// LinkProfile holds the latency and the bandwidth of the links. Rates are in
// bytes per second; 0 means unlimited.
type LinkProfile struct {
	DataCentreLatency  time.Duration // one-way latency within a data centre
	RegionLatency      time.Duration // one-way latency between data centres of a region
	InterRegionLatency time.Duration // one-way latency between regions
	InterRegionRate    float64       // rate between two regions, in each direction, shared by all connections
	InstanceRate       float64       // rate of one instance's link, in each direction
}

// segmentBytes is the maximum size of a segment, and of one read.
const segmentBytes = 8 << 10

// link is one direction of a network link. All connections over it share its rate.
type link struct {
	name      string
	limiter   *rate.Limiter // bytes per second
	sentBytes int64
}

// partition is a network partition between two data centres, regions or
// instances.
type partition struct {
	a, b string // names of the data centres, regions or instances
}

// Fabric emulates the network between sites. It is safe for concurrent use.
type Fabric struct {
	transport fulmardeal.Network
	profile   LinkProfile

	mu         sync.Mutex
	sites      map[string]Site // by address
	links      map[string]*link
	partitions []partition
	conns      map[*conn]bool
}

// New returns a fabric whose connections are made by transport.
func New(transport fulmardeal.Network, p LinkProfile) *Fabric {
	return &Fabric{
		transport: transport,
		profile:   p,
		sites:     make(map[string]Site),
		links:     make(map[string]*link),
		conns:     make(map[*conn]bool),
	}
}

// At returns the network as seen by a process at the site.
func (f *Fabric) At(s Site) fulmardeal.Network { return &siteNetwork{fabric: f, site: s} }

// Partition partitions two data centres, regions or instances from each other.
// Open connections between them stay open, but drop what is sent and stay
// silent from then on.
func (f *Fabric) Partition(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitions = append(f.partitions, partition{a: a, b: b})
}

// Heal ends all partitions. Connections that have dropped bytes stay silent.
func (f *Fabric) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitions = nil
}

// Blackhole makes the open connections for which match returns true drop everything
// sent from now on, without closing them. New connections are not affected. It
// returns the number of affected connections.
func (f *Fabric) Blackhole(match func(from, to Site) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.conns {
		if match(c.from, c.to) {
			c.silence()
			n++
		}
	}
	return n
}

// Stall delays delivery for the duration d on the open connections for which match
// returns true. Bytes in transit are delivered after that, even if the sender has
// closed the connection in the meantime.
func (f *Fabric) Stall(d time.Duration, match func(from, to Site) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if match(c.from, c.to) {
			c.stall(d)
		}
	}
}

// SentBytes returns the number of bytes sent from one region to another.
func (f *Fabric) SentBytes(from, to string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, known := f.links["far/"+from+"/"+to]; known {
		return l.sentBytes
	}
	return 0
}

func (f *Fabric) partitioned(a, b Site) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.partitions {
		if matches(a, p.a) && matches(b, p.b) || matches(a, p.b) && matches(b, p.a) {
			return true
		}
	}
	return false
}

func matches(s Site, name string) bool {
	return s.DataCentre == name || s.Region == name || s.Instance == name
}

func (f *Fabric) latency(a, b Site) time.Duration {
	switch {
	case a.Region != b.Region:
		return f.profile.InterRegionLatency
	case a.DataCentre != b.DataCentre:
		return f.profile.RegionLatency
	}
	return f.profile.DataCentreLatency
}

// path returns the shared links between two sites, in the direction from a to b.
func (f *Fabric) path(a, b Site) []*link {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*link
	if f.profile.InstanceRate > 0 && a.Instance != b.Instance {
		out = f.instanceLinks(out, a, b)
	}
	if a.Region != b.Region {
		out = append(out, f.link("far/"+a.Region+"/"+b.Region, f.profile.InterRegionRate))
	}
	return out
}

// instanceLinks appends the uplink of a's instance and the downlink of b's. A
// site without an instance has no link of its own. The caller holds f.mu.
func (f *Fabric) instanceLinks(out []*link, a, b Site) []*link {
	if a.Instance != "" {
		out = append(out, f.link("up/"+a.Instance, f.profile.InstanceRate))
	}
	if b.Instance != "" {
		out = append(out, f.link("down/"+b.Instance, f.profile.InstanceRate))
	}
	return out
}

// link returns the link with the name, and creates it if needed. The caller
// holds f.mu.
func (f *Fabric) link(name string, bytesPerSecond float64) *link {
	l, known := f.links[name]
	if !known {
		limit := rate.Inf
		if bytesPerSecond > 0 {
			limit = rate.Limit(bytesPerSecond)
		}
		l = &link{name: name, limiter: rate.NewLimiter(limit, 2*segmentBytes)}
		f.links[name] = l
	}
	return l
}

// transmit counts n bytes as sent over the links, and blocks until the slowest link
// has capacity for them.
func (f *Fabric) transmit(path []*link, n int) {
	now := time.Now()
	var delay time.Duration
	f.mu.Lock()
	for _, l := range path {
		l.sentBytes += int64(n)
		delay = max(delay, l.limiter.ReserveN(now, n).DelayFrom(now))
	}
	f.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// Transmit counts n bytes as sent from one site to another, and blocks for as long
// as the links between the sites need to transfer them. It is for services that do
// not connect through the fabric.
func (f *Fabric) Transmit(a, b Site, n int) {
	path := f.path(a, b)
	for n > 0 {
		f.transmit(path, min(n, segmentBytes))
		n -= segmentBytes
	}
}

// siteNetwork is the network as seen from one site.
type siteNetwork struct {
	fabric *Fabric
	site   Site
}

var errPartitioned = errors.New("no route: network partition")

// Dial connects to an address. If a partition separates the sites, it blocks
// until ctx is done.
func (n *siteNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	f := n.fabric
	f.mu.Lock()
	to := f.sites[address]
	f.mu.Unlock()
	if f.partitioned(n.site, to) {
		<-ctx.Done() // packets to the other side of a partition are dropped, not rejected
		return nil, errPartitioned
	}
	raw, err := f.transport.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return f.wrap(raw, n.site, to), nil
}

// Listen opens a listener and records that its address is at this site.
func (n *siteNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.fabric.transport.Listen(address)
	if err != nil {
		return nil, err
	}
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	n.fabric.sites[l.Addr().String()] = n.site
	return l, nil
}
