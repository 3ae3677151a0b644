package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is the latest load report of another entry.
type peer struct {
	region     string // empty if unknown
	lastReport time.Time
	loads      map[uint64]peerLoad // by hash of the endpoint's id, by queueHash of the service, or by that of a class
	withinPart map[string]int      // queued requests of customers within their part, by service
}

// peerLoadTTL is how long after its last report another entry's load still
// counts. An entry that is silent for longer has stopped or is partitioned.
const peerLoadTTL = time.Second

// EndpointLoad is an entry's load on one endpoint, the length of its queue for one
// service, or the work time that an endpoint reported to it.
type EndpointLoad struct {
	Hash          uint64 // hash of the endpoint's id, queueHash of the service or that of one of its classes, or workHash of the endpoint's id
	Running       int    // requests in progress, queued ones that can still be served on time, or hundredths of the usual work time
	PendingTokens int    // prompt tokens of the requests whose first event has not arrived, the age of the work time in ms, or queued requests of customers above their part
}

// LoadReport is the load report that an entry sends to the other entries.
type LoadReport struct {
	Loads   []EndpointLoad
	Refused []RefusedRequest
}

// Report returns this entry's load on the endpoints, the lengths of its queues,
// and the requests that it refused recently.
func (t *Table) Report() LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	report := LoadReport{Refused: t.refusals.recentRefusals(now)}
	for name, g := range t.services {
		if n := g.queue.countOnTime(now); n > 0 {
			report.Loads = append(report.Loads, EndpointLoad{Hash: queueHash(name), Running: n})
			report.Loads = appendOverPart(report.Loads, now, name, &g.queue)
			report.Loads = g.queue.appendClasses(report.Loads, now)
		}
		for _, e := range g.endpoints {
			if e.inProgress > 0 {
				report.Loads = append(report.Loads, EndpointLoad{Hash: e.hash, Running: e.inProgress, PendingTokens: e.pendingTokens})
			}
		}
	}
	report.Loads = t.appendEgress(now, t.appendWorkTimes(now, report.Loads))
	return report
}

// ApplyReport applies a load report of another entry, which is in the given region.
func (t *Table) ApplyReport(now time.Time, entry, region string, report LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range report.Refused {
		t.refusals.record(now, r.Fingerprint, now.Add(-r.Age))
	}
	p := &peer{region: region, lastReport: now, loads: make(map[uint64]peerLoad, len(report.Loads))}
	for _, l := range report.Loads {
		if t.applyWorkTime(now, l) {
			continue
		}
		p.loads[l.Hash] = peerLoad{inProgress: l.Running, pendingTokens: l.PendingTokens}
	}
	p.withinPart = t.queuedWithinPart(now, entry, p)
	t.replacePeer(entry, p)
	t.heard[region] = now
	t.expirePeers(now)
	for _, g := range t.services {
		t.assignQueued(now, g)
	}
}

// ApplyCrashes records that other entries have found the processes of endpoints to have ended.
// The endpoints are given by the hashes of their ids.
func (t *Table) ApplyCrashes(hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.services {
		for _, e := range g.endpoints {
			if slices.Contains(hashes, e.hash) {
				e.recordCrash()
			}
		}
	}
}

// replacePeer replaces the latest report of another entry, by none if p is nil, and
// keeps the sums of all reports. With many entries, adding up all reports at each
// selection would take most of an entry's processor time. The caller must hold t.mu.
func (t *Table) replacePeer(entry string, p *peer) {
	if old := t.peers[entry]; old != nil {
		for hash, l := range old.loads {
			t.addPeerLoad(old.region, hash, peerLoad{inProgress: -l.inProgress, pendingTokens: -l.pendingTokens})
		}
		if old.region == t.options.Region {
			t.regionPeers--
		}
		t.addWithinPart(old.withinPart, -1)
	}
	if p == nil {
		delete(t.peers, entry)
		return
	}
	t.peers[entry] = p
	if p.region == t.options.Region {
		t.regionPeers++
	}
	t.addWithinPart(p.withinPart, 1)
	for hash, l := range p.loads {
		t.addPeerLoad(p.region, hash, l)
	}
}

func (t *Table) addPeerLoad(region string, hash uint64, l peerLoad) {
	addLoad(t.peerLoads, hash, l)
	if region == t.options.Region {
		addLoad(t.regionLoads, hash, l)
	}
}

func addLoad(loads map[uint64]peerLoad, hash uint64, l peerLoad) {
	sum := loads[hash]
	sum.inProgress += l.inProgress
	sum.pendingTokens += l.pendingTokens
	if sum == (peerLoad{}) {
		delete(loads, hash)
		return
	}
	loads[hash] = sum
}

// expirePeers removes the reports of entries that have been silent for
// peerLoadTTL. The caller must hold t.mu.
func (t *Table) expirePeers(now time.Time) {
	for entry, p := range t.peers {
		if now.Sub(p.lastReport) > peerLoadTTL {
			t.replacePeer(entry, nil)
		}
	}
}

// countOnTime returns how many requests queued for a service, at this and other
// entries, can still be served on time.
func (t *Table) countOnTime(now time.Time, service string, g *group) int {
	return g.queue.countOnTime(now) + t.peerLoads[queueHash(service)].inProgress
}

// ReportIntervals says how often load reports arrive.
type ReportIntervals struct {
	SameRegion   time.Duration // between two reports of an entry in this region
	OtherRegions time.Duration // between two reports of an entry in another region
}

// SetReportIntervals sets how often load reports arrive, and so how much of what
// other entries send this one doesn't know of.
func (t *Table) SetReportIntervals(i ReportIntervals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.intervals = i
	t.fairness.SetReportInterval(i.SameRegion)
}

// entriesInRegion returns the number of entries of this region, including this one.
func (t *Table) entriesInRegion() int { return 1 + t.regionPeers }

// contenders returns how many entries have requests queued for a service, in this
// region, including this entry, and in other regions.
func (t *Table) contenders(now time.Time, service string, g *group) (sameRegion, otherRegions int) {
	if len(g.queue.waiters) > 0 {
		sameRegion = 1
	}
	hash := queueHash(service)
	for _, p := range t.peers {
		switch {
		case now.Sub(p.lastReport) > peerLoadTTL || p.loads[hash].inProgress <= 0:
		case p.region == t.options.Region:
			sameRegion++
		default:
			otherRegions++
		}
	}
	return sameRegion, otherRegions
}

// queueHash returns the hash under which a load report gives the length of a
// service's queue, in the same list as the loads of endpoints.
func queueHash(service string) uint64 { return xxhash.Sum64String("line/" + service) }
