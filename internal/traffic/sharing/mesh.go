package sharing

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/fleet/feed"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/traffic/dispatch"
	"fulmardeal/internal/traffic/quarantine"
)

// Intervals, timeouts and limits of a mesh.
const (
	// reportInterval is the shortest interval between load reports. An entry
	// sends about two requests in that time at the peak load of the small
	// deployments.
	reportInterval = 20 * time.Millisecond

	// reportIntervalPerEntry lengthens the interval with the number of entries of the
	// region, so that an entry receives at most 250 datagrams per second from them.
	// Reports of other regions are limited by crossRegionRate.
	reportIntervalPerEntry = 4 * time.Millisecond

	// crossRegionRate limits the load reports that all entries of a region
	// together send to other regions, in bytes per second. It is 4 % of a link
	// of 21 Mbit/s between regions. That link also carries the store's traffic,
	// weights and requests.
	crossRegionRate = 100e3

	// maxCrossRegionInterval is the longest interval between reports to other
	// regions: an entry's load no longer counts after 1 s without a report.
	maxCrossRegionInterval = 800 * time.Millisecond

	// listInterval is how often the list of announced entries is read again. New
	// entries contact the others at once; reading the list again serves to find
	// entries that were removed during a network partition.
	listInterval = 10 * time.Second

	// restoredListInterval is how often an entry reads the list in its first seconds if
	// the store was restored before: the list may lack entries that announce themselves
	// again.
	restoredListInterval = 300 * time.Millisecond

	// eraCheckInterval is how often an entry looks whether the store was restored
	// from a backup and may lack its announcement. Entries that start then find the
	// others by their announcements.
	eraCheckInterval = 250 * time.Millisecond

	// listRetryDelay is the delay after a failure to announce this entry or to
	// read the list of entries.
	listRetryDelay = 300 * time.Millisecond

	// agentUpdateInterval is how often an entry sends updates to its agents.
	// New versions are sent at once.
	agentUpdateInterval = time.Second

	// An entry that has just started sends updates more often: when all
	// processes start at once, agents have nothing to do until the first
	// update.
	startupUpdateInterval = 120 * time.Millisecond
	startupPeriod         = 4 * time.Second

	// updateSenders is how many entries send updates to one agent. If all did,
	// the cost of updates would grow with entries times agents. One would not be
	// enough, because some entries may be down.
	updateSenders = 3

	// localUpdateSenders is how many of the updateSenders entries are in the
	// agent's data centre, if it has enough entries. Senders in other data
	// centres still reach the agent when the local ones fail or are cut off.
	localUpdateSenders = 2

	// readerTimeout is how long after its last report an entry still counts as
	// a reader of the store. Entries report several times per second.
	readerTimeout = 2 * time.Second

	// peerTimeout is how long after its last report an entry is forgotten. It
	// then gets no reports until it reports again or is found in the list of
	// entries.
	peerTimeout = 10 * time.Second
)

// Announcer publishes the address on which this entry listens.
type Announcer interface {
	Announce(ctx context.Context, name, address, dataCentre string) error

	// Era returns the highest known era of the store. A store of a later era may lack
	// an announcement of an earlier one.
	Era() int64
}

// Options configures a Mesh.
type Options struct {
	Name       string
	DataCentre string            // data centre of this entry
	Regions    map[string]string // region of each data centre
	Listen     string            // host and port of this entry
	Table      *dispatch.Table
	Quarantine *quarantine.Table // nil if evidence isn't shared
	EntryFeed  fulmardeal.Feed   // yields the announcements of entries, quarantines, and whether keys are required
	Announcer  Announcer
	Targets    func() []catalogue.Target // what the engines are to serve
	Agents     func() []Agent            // all agents known to this entry
	AgentPort  uint16                    // UDP port on which agents listen for updates
	Keyed      func(stored bool)         // called when the list has been read, with whether it says that keys are required; may be nil
	Log        *slog.Logger
	Faults     *feed.FaultLog // for records of EntryFeed; nil if they are not logged
}

// feedEntries is the name of EntryFeed in log lines.
const feedEntries = "entries"

// Mesh exchanges load reports with the other entries and sends updates to
// agents.
type Mesh struct {
	options Options
	conn    *net.UDPConn

	mu             sync.Mutex
	peers          map[string]*peerEntry  // by UDP address of the entry
	partialReports map[string]*reportPart // reports received in part, by name of the sending entry
	heard          map[string]heardEntry  // by UDP address of the entry: when its last report arrived
	listed         chan struct{}          // closed once the list of entries has been read
}

// peerEntry is another entry, to which this entry sends load reports.
type peerEntry struct {
	address    *net.UDPAddr
	name       string    // of its last load report
	dataCentre string    // empty until known
	lastReport time.Time // when its last report arrived, or when it was found in the list of entries
}

// NewMesh opens the mesh's UDP socket. The returned function closes it.
func NewMesh(o Options) (*Mesh, func(), error) {
	a, err := net.ResolveUDPAddr("udp4", o.Listen)
	if err != nil {
		return nil, nil, err
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, nil, err
	}
	m := &Mesh{options: o, conn: c, peers: make(map[string]*peerEntry), partialReports: make(map[string]*reportPart), heard: make(map[string]heardEntry), listed: make(chan struct{})}
	return m, func() { c.Close() }, nil
}

// Run announces this entry, sends reports and updates, and receives datagrams
// until ctx is done.
func (m *Mesh) Run(ctx context.Context) error {
	go m.receive()
	go m.maintainList(ctx)
	go m.updateAgentsPeriodically(ctx)
	go m.exchangeLimits(ctx)
	go m.exchangeUse(ctx)
	t := time.NewTimer(reportInterval)
	defer t.Stop()
	var nextCrossRegion time.Time // when the next report to other regions is due
	var intervals dispatch.ReportIntervals
	for sequence := uint64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		sameRegion, otherRegions := m.peersByRegion(time.Now())
		to := sameRegion
		parts := encodeReport(m.options.Name, m.options.DataCentre, sequence, m.options.Table.Report())
		if now := time.Now(); !now.Before(nextCrossRegion) {
			to = append(to, otherRegions...)
			intervals.OtherRegions = crossRegionInterval(1+len(sameRegion), len(otherRegions), parts)
			nextCrossRegion = now.Add(intervals.OtherRegions)
		}
		m.sendAll(parts, to)
		if q := m.options.Quarantine; q != nil {
			if report, due := q.Report(time.Now()); due {
				m.sendAll(encodeQuarantineReport(report), slices.Concat(sameRegion, otherRegions))
			}
		}
		intervals.SameRegion = max(reportInterval, time.Duration(len(sameRegion))*reportIntervalPerEntry)
		m.options.Table.SetReportIntervals(intervals)
		t.Reset(intervals.SameRegion)
	}
}

// crossRegionInterval returns the interval until the next report to other
// regions, for the given numbers of entries in this and in other regions. At that
// interval, all entries of this region together send crossRegionRate. The interval
// is capped at maxCrossRegionInterval, also where that exceeds the rate.
func crossRegionInterval(own, others int, parts [][]byte) time.Duration {
	size := 0
	for _, b := range parts {
		size += len(b)
	}
	seconds := float64(own) * float64(others) * float64(size) / crossRegionRate
	return min(maxCrossRegionInterval, time.Duration(seconds*float64(time.Second)))
}

// peersByRegion returns the addresses of the other entries in this region and
// in other regions. It removes entries that have timed out.
func (m *Mesh) peersByRegion(now time.Time) (sameRegion, otherRegions []*net.UDPAddr) {
	region := m.options.Regions[m.options.DataCentre]
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, p := range m.peers {
		switch {
		case now.Sub(p.lastReport) > peerTimeout:
			delete(m.peers, key)
		case m.options.Regions[p.dataCentre] == region:
			sameRegion = append(sameRegion, p.address)
		default:
			otherRegions = append(otherRegions, p.address)
		}
	}
	return sameRegion, otherRegions
}

// sendAll sends the parts of a report to other entries.
func (m *Mesh) sendAll(parts [][]byte, to []*net.UDPAddr) {
	for _, b := range parts {
		for _, a := range to {
			// Not retried: later reports replace this one.
			_, _ = m.conn.WriteToUDP(b, a)
		}
	}
}

// Listed returns a channel that is closed once the list of entries has been
// read for the first time.
func (m *Mesh) Listed() <-chan struct{} { return m.listed }

// StoreReaders returns the addresses of the entries that read the store on behalf
// of this data centre, and whether this entry is one of them. All entries of the
// data centre compute the same order.
func (m *Mesh) StoreReaders(limit int) (addresses []string, included bool) {
	now := time.Now()
	candidates := []string{m.options.Listen}
	m.mu.Lock()
	for address, p := range m.peers {
		if p.dataCentre == m.options.DataCentre && now.Sub(p.lastReport) <= readerTimeout {
			candidates = append(candidates, address)
		}
	}
	m.mu.Unlock()
	order := membership.Order("reader/"+m.options.DataCentre, candidates)
	order = order[:min(limit, len(order))]
	return order, slices.Contains(order, m.options.Listen)
}

// Peers returns the addresses of the other known entries, those of this data centre first.
func (m *Mesh) Peers() []string {
	var near, far []string
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		if p.dataCentre == m.options.DataCentre {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return append(near, far...)
}

// entryAddresses returns the addresses of all known entries, including this
// one.
func (m *Mesh) entryAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	if own, err := netip.ParseAddrPort(m.options.Listen); err == nil {
		out = append(out, own)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		a := p.address.AddrPort()
		out = append(out, netip.AddrPortFrom(a.Addr().Unmap(), a.Port()))
	}
	return out
}

func (m *Mesh) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := m.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			continue // such as an ICMP error for a peer's closed port
		}
		if err := m.handle(from, buf[:n]); err != nil {
			m.options.Log.Warn("datagram dropped", "from", from.String(), "err", err)
		}
	}
}

func (m *Mesh) handle(from *net.UDPAddr, data []byte) error {
	now := time.Now()
	switch data[0] {
	case kindEngineStatus:
		status, err := decodeEngineStatus(data[1:])
		if err != nil {
			return err
		}
		m.options.Log.Info("engine told", "endpoint", status.Address, "weights", status.Weights, "loading", status.Loading)
		m.options.Table.ApplyEngineStatus(now, status.Address, status.Weights, status.Loading)
		return nil
	case kindReport:
		part, err := decodeReport(data[1:])
		if err != nil {
			return err
		}
		m.recordPeer(now, from, part.dataCentre)
		m.recordName(from, part.entry)
		m.recordHeard(now, from.String(), part.dataCentre)
		if report, complete := m.assemble(part); complete {
			m.options.Table.ApplyReport(now, part.entry, m.options.Regions[part.dataCentre], report)
		}
		return nil
	case kindLimitNotices, kindLimitRequest, kindGrant:
		return m.handleLimit(now, from, data)
	case kindUse:
		return m.handleUse(now, from, data)
	}
	if data[0] == kindQuarantine && m.options.Quarantine != nil {
		report, err := decodeQuarantineReport(data[1:])
		if err != nil {
			return err
		}
		m.options.Quarantine.ApplyReport(now, report)
		m.options.Table.ApplyCrashes(m.options.Quarantine.CrashedEndpoints())
		return nil
	}
	return &DatagramError{Reason: "unknown kind"}
}

// assemble joins the parts of a report. It reports false until all parts have
// arrived in order; a report whose parts arrive out of order is dropped.
func (m *Mesh) assemble(p reportPart) (dispatch.LoadReport, bool) {
	if p.parts == 1 {
		return p.report, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	assembled := m.partialReports[p.entry]
	if assembled == nil || assembled.sequence != p.sequence || assembled.part+1 != p.part {
		if p.part == 0 {
			m.partialReports[p.entry] = &p
		}
		return dispatch.LoadReport{}, false
	}
	assembled.part = p.part
	assembled.report.Loads = append(assembled.report.Loads, p.report.Loads...)
	assembled.report.Refused = append(assembled.report.Refused, p.report.Refused...)
	return assembled.report, p.part+1 == p.parts
}

func (m *Mesh) recordPeer(now time.Time, a *net.UDPAddr, dataCentre string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := a.String()
	if p := m.peers[key]; p != nil {
		p.lastReport, p.dataCentre = now, dataCentre
		return
	}
	m.peers[key] = &peerEntry{address: a, dataCentre: dataCentre, lastReport: now}
	m.options.Log.Info("entry discovered", "address", key)
}

// maintainList announces this entry and reads the list of entries periodically.
func (m *Mesh) maintainList(ctx context.Context) {
	announced, listed := false, false
	var announcedEra int64
	var nextRead time.Time
	started := time.Now()
	for ctx.Err() == nil {
		// The era is read first: if the store is restored during the call, the entry
		// announces itself once more.
		if era := m.options.Announcer.Era(); !announced || era > announcedEra {
			err := m.options.Announcer.Announce(ctx, m.options.Name, m.options.Listen, m.options.DataCentre)
			if err != nil {
				m.options.Log.Warn("cannot announce the address of this entry", "err", err)
				nextRead = time.Time{}
			} else {
				m.options.Log.Info("address of this entry announced", "era", era)
			}
			announced, announcedEra = err == nil, era
		}
		delay := eraCheckInterval + time.Duration(rand.Int64N(int64(eraCheckInterval/2)))
		if now := time.Now(); !now.Before(nextRead) {
			nextRead = now.Add(listInterval)
			if m.options.Announcer.Era() > 0 && now.Sub(started) < startupPeriod {
				nextRead = now.Add(restoredListInterval)
			}
			if err := m.readList(ctx); err != nil {
				m.options.Log.Warn("cannot read the list of entries", "err", err)
				nextRead, delay = time.Time{}, listRetryDelay
			} else if !listed {
				listed = true
				close(m.listed)
			}
		}
		if !announced {
			delay = listRetryDelay
		}
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// readList reads the list of announced entries and adds those that are not known
// yet.
func (m *Mesh) readList(ctx context.Context) error {
	changes, _, err := m.options.EntryFeed.Newest(ctx)
	if err != nil {
		return err
	}
	m.options.Faults.Record(feedEntries, changes)
	if m.options.Keyed != nil {
		m.options.Keyed(slices.ContainsFunc(changes, func(c fulmardeal.Change) bool { return c.Keyed }))
	}
	for _, c := range changes {
		if c.Quarantine != nil && m.options.Quarantine != nil {
			m.options.Quarantine.Apply(time.Now(), *c.Quarantine)
		}
		if c.Address == "" {
			continue // a record of another kind; an empty address would resolve to one of no host
		}
		a, err := net.ResolveUDPAddr("udp4", c.Address)
		if err != nil || a.IP.To4() == nil || a.Port == 0 || a.String() == m.options.Listen {
			continue // this entry, or not an address
		}
		m.mu.Lock()
		_, known := m.peers[a.String()]
		m.mu.Unlock()
		if !known {
			m.recordPeer(time.Now(), a, c.DataCentre)
		}
	}
	return nil
}

// PeerCount returns the number of other known entries.
func (m *Mesh) PeerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}
