// Package network has stand-ins of the links between sites: real connections
// with latency, shared rates and faults put between.
//
// It is for tests and trials on one host. It shapes whole connections, not
// packets, and is no simulator: what runs over it is the system's own code in
// real or in virtual time.
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

// Site is where a process stands.
type Site struct {
	Instance   string
	DataCentre string
	Region     string
}

// Shape is what the links are like. Rates are in bytes a second; 0 is no
// bound.
type Shape struct {
	Near     time.Duration // one way, inside a data centre
	Region   time.Duration // one way, between data centres of a region
	Far      time.Duration // one way, between regions
	FarRate  float64       // each way between two regions, shared by all
	NodeRate float64       // each way, of one instance
}

// segment is the most that is passed on at once, in bytes.
const segment = 8 << 10

// link is one direction of a shared link.
type link struct {
	name    string
	limiter *rate.Limiter
	carried int64
}

// cut is a pair of places between which nothing passes.
type cut struct {
	a, b string // data centre or region names
}

// Fabric connects sites. It is safe for concurrent use.
type Fabric struct {
	transport fulmardeal.Network
	shape     Shape

	mu    sync.Mutex
	sites map[string]Site // by address
	links map[string]*link
	cuts  []cut
	conns map[*conn]bool
}

// New returns a fabric over a transport.
func New(transport fulmardeal.Network, s Shape) *Fabric {
	return &Fabric{
		transport: transport,
		shape:     s,
		sites:     make(map[string]Site),
		links:     make(map[string]*link),
		conns:     make(map[*conn]bool),
	}
}

// At returns the network as a process at the site sees it.
func (f *Fabric) At(s Site) fulmardeal.Network { return &view{fabric: f, site: s} }

// Cut stops everything between two data centres or regions. Connections that
// are open stay open and go silent.
func (f *Fabric) Cut(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = append(f.cuts, cut{a: a, b: b})
}

// Heal ends all cuts. Connections that went silent stay silent.
func (f *Fabric) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = nil
}

// Silence makes the open connections that match go silent for good; new ones
// work.
func (f *Fabric) Silence(match func(from, to Site) bool) int {
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

// Stall holds back for a time what is on its way over the open connections that
// match. It arrives late, also when the connection has been given up meanwhile.
func (f *Fabric) Stall(d time.Duration, match func(from, to Site) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if match(c.from, c.to) {
			c.stall(d)
		}
	}
}

// Carried returns the bytes that have crossed between two regions, one way.
func (f *Fabric) Carried(from, to string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, known := f.links["far/"+from+"/"+to]; known {
		return l.carried
	}
	return 0
}

func (f *Fabric) isCut(a, b Site) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.cuts {
		if at(a, c.a) && at(b, c.b) || at(a, c.b) && at(b, c.a) {
			return true
		}
	}
	return false
}

func at(s Site, name string) bool {
	return s.DataCentre == name || s.Region == name || s.Instance == name
}

func (f *Fabric) latency(a, b Site) time.Duration {
	switch {
	case a.Region != b.Region:
		return f.shape.Far
	case a.DataCentre != b.DataCentre:
		return f.shape.Region
	}
	return f.shape.Near
}

// path returns the links from one site to another.
func (f *Fabric) path(a, b Site) []*link {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*link
	if f.shape.NodeRate > 0 && a.Instance != b.Instance {
		out = f.nodeLinks(out, a, b)
	}
	if a.Region != b.Region {
		out = append(out, f.link("far/"+a.Region+"/"+b.Region, f.shape.FarRate))
	}
	return out
}

// nodeLinks adds the links of the instances. A site without an instance has
// none of its own. The lock is held.
func (f *Fabric) nodeLinks(out []*link, a, b Site) []*link {
	if a.Instance != "" {
		out = append(out, f.link("up/"+a.Instance, f.shape.NodeRate))
	}
	if b.Instance != "" {
		out = append(out, f.link("down/"+b.Instance, f.shape.NodeRate))
	}
	return out
}

// link returns the link of a name. The lock is held.
func (f *Fabric) link(name string, bytesPerSecond float64) *link {
	l, known := f.links[name]
	if !known {
		limit := rate.Inf
		if bytesPerSecond > 0 {
			limit = rate.Limit(bytesPerSecond)
		}
		l = &link{name: name, limiter: rate.NewLimiter(limit, 2*segment)}
		f.links[name] = l
	}
	return l
}

// carry takes n bytes over the links and waits as long as that needs.
func (f *Fabric) carry(path []*link, n int) {
	now := time.Now()
	var longest time.Duration
	f.mu.Lock()
	for _, l := range path {
		l.carried += int64(n)
		longest = max(longest, l.limiter.ReserveN(now, n).DelayFrom(now))
	}
	f.mu.Unlock()
	if longest > 0 {
		time.Sleep(longest)
	}
}

// Carry takes n bytes from one site to another, for services that are not
// connected through the fabric.
func (f *Fabric) Carry(a, b Site, n int) {
	path := f.path(a, b)
	for n > 0 {
		f.carry(path, min(n, segment))
		n -= segment
	}
}

// view is the network of one site.
type view struct {
	fabric *Fabric
	site   Site
}

var errCut = errors.New("no route")

// Dial opens a connection.
func (v *view) Dial(ctx context.Context, address string) (net.Conn, error) {
	f := v.fabric
	f.mu.Lock()
	to := f.sites[address]
	f.mu.Unlock()
	if f.isCut(v.site, to) {
		<-ctx.Done() // packets to a place that is cut off vanish
		return nil, errCut
	}
	raw, err := f.transport.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return f.wrap(raw, v.site, to), nil
}

// Listen opens a listener at the site.
func (v *view) Listen(address string) (net.Listener, error) {
	l, err := v.fabric.transport.Listen(address)
	if err != nil {
		return nil, err
	}
	v.fabric.mu.Lock()
	defer v.fabric.mu.Unlock()
	v.fabric.sites[l.Addr().String()] = v.site
	return l, nil
}
