package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of what endpoints report of themselves.
const (
	// workTimeWeight is the weight of one report in the mean work time, and
	// workTimeHalfLife the time in which half of the mean's difference from the usual
	// work time is forgotten: endpoints share their instances with others, which come
	// and go several times a second.
	workTimeWeight   = 0.7
	workTimeHalfLife = 200 * time.Millisecond

	// A work time outside these limits counts as the limit. No endpoint gets all requests
	// because it reports a low one, or none because it reports a high one.
	minWorkTime = 0.5
	maxWorkTime = 4

	// workTimeMargin is how much longer than at the fastest endpoint a request may take at
	// one that is drawn: an endpoint of the lowest work time still shares with usual ones.
	workTimeMargin = nonEngineLatency / 2

	// workTimeTie is the difference of predictions below which either of two endpoints is
	// drawn. It is less than another request in progress adds at an endpoint of ten slots.
	workTimeTie = 5 * time.Millisecond

	// workTimeFresh is how long a reported work time is worth passing on to other entries.
	workTimeFresh = 300 * time.Millisecond

	// maxWorkTimesPerReport limits the work times in one load report.
	maxWorkTimesPerReport = 30

	// unseenHalfLife is the time in which half of the requests that an endpoint reported,
	// and no entry told of, are forgotten.
	unseenHalfLife = 100 * time.Millisecond

	// workReportTTL is how long after the last report of a work time a service's endpoints
	// count as such that report it.
	workReportTTL = 10 * time.Second
)

// ReportedLoad is what an endpoint's response says of the endpoint's load.
type ReportedLoad struct {
	Running  int     // requests in progress
	Waiting  int     // requests in the endpoint's queue
	Slots    int     // number of requests that the endpoint runs concurrently
	WorkTime float64 // how long work takes now, relative to its usual time; 0 if not given
}

// RecordLoad records the load that the endpoint's response reports.
func (r *Reservation) RecordLoad(l ReportedLoad) {
	if !(l.WorkTime > 0) {
		return
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now, e := time.Now(), r.endpoint
	r.group.workReported = now
	if e.engine() != nil {
		return // its first events come no later when it reports a longer work time
	}
	e.work.record(now, l.WorkTime)
	e.work.heard, e.work.heardAt = l.WorkTime, now
	known := e.inProgress + t.peerLoads[e.hash].inProgress
	e.work.unseen, e.work.unseenAt = float64(max(0, min(l.Running+l.Waiting-known, maxUnseen))), now
}

// maxUnseen limits the requests at an endpoint that no entry told of.
const maxUnseen = 64

// workTime is what is known of how long work takes at an endpoint that is not an engine,
// relative to its usual time. The zero value stands for the usual time.
type workTime struct {
	excess float64   // mean of what was reported, less the usual time, as of at
	at     time.Time // time of the latest report, of any entry

	heard   float64 // latest work time in a response to this entry
	heardAt time.Time

	unseen   float64 // requests that the endpoint reported and no entry told of, as of unseenAt
	unseenAt time.Time
}

// record adds a work time that the endpoint reported at a time.
func (w *workTime) record(at time.Time, reported float64) {
	if !at.After(w.at) {
		return
	}
	excess := max(minWorkTime, min(reported, maxWorkTime)) - 1
	previous := w.now(at) - 1
	w.excess, w.at = previous+workTimeWeight*(excess-previous), at
}

// now returns the mean work time, relative to the usual time. It approaches 1 while
// nothing is reported: otherwise an endpoint that is avoided would never be tried again.
func (w *workTime) now(now time.Time) float64 {
	return 1 + w.excess*halved(now.Sub(w.at), workTimeHalfLife)
}

// unseenNow returns the estimated number of requests at the endpoint of which no entry
// has told.
func (w *workTime) unseenNow(now time.Time) float64 {
	return w.unseen * halved(now.Sub(w.unseenAt), unseenHalfLife)
}

// halved returns the part that is left after a time, of which each half-life halves it.
func halved(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, d)) / float64(halfLife))
}

// reportsWorkTime reports whether the service's endpoints say how long work takes.
func (g *group) reportsWorkTime(now time.Time) bool {
	return !g.workReported.IsZero() && now.Sub(g.workReported) < workReportTTL
}

// ranksByWorkTime reports whether the service's endpoints are ranked by how long work takes.
// Where none has said so, they are ranked by the requests in progress alone.
func (g *group) ranksByWorkTime(now time.Time) bool {
	return g.reportsWorkTime(now) && len(g.endpoints) > 0 && g.endpoints[0].engine() == nil
}

// mayQueue returns how many requests an endpoint that is not an engine may hold. One whose
// work takes longer holds fewer that wait, so that these wait no longer.
func (f *fleetState) mayQueue(e *Endpoint) float64 {
	queue := nonEngineQueuePerSlot
	if f.byWorkTime {
		queue /= max(1, e.work.now(f.now))
	}
	return float64(e.slots()) * (1 + queue)
}

// predictPlain predicts how long a request takes at an endpoint that is not an engine, with
// n requests in progress. The prediction only serves to rank endpoints.
func predictPlain(f *fleetState, e *Endpoint, n int) time.Duration {
	slots := float64(max(1, e.slots()))
	if !f.byWorkTime {
		return time.Duration(float64(n) / slots * float64(nonEngineLatency))
	}
	load := 1 + (float64(n)+e.work.unseenNow(f.now))/slots
	return time.Duration(load * e.work.now(f.now) * float64(nonEngineLatency))
}

// drawFaster draws two of the endpoints with a prediction, which may be the same one, and
// returns the faster of them. Designed for endpoints whose instances slow down for a part
// of a second: all entries hear at about the same time which endpoint is fastest, and would
// all send to that one. Of n endpoints that are not far apart, the one that all hold to be
// fastest gets less than 2/n of the requests, and the slowest still gets 1/n² of them.
func drawFaster(endpoints []*Endpoint, predicted []time.Duration, limit time.Duration, rng *rand.Rand) *Endpoint {
	var candidates []int
	for i := range endpoints {
		if predicted[i] >= 0 && predicted[i] <= limit {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	a, b := candidates[rng.IntN(len(candidates))], candidates[rng.IntN(len(candidates))]
	if predicted[b] < predicted[a]-workTimeTie {
		a = b
	}
	return endpoints[a]
}

// workHash returns the hash under which a load report gives an endpoint's work time.
func workHash(id string) uint64 { return xxhash.Sum64String("work/" + id) }

// appendWorkTimes appends the work times that endpoints have lately reported to this entry:
// an entry alone hears from an endpoint too rarely to know how it does.
func (t *Table) appendWorkTimes(now time.Time, loads []EndpointLoad) []EndpointLoad {
	var fresh []EndpointLoad
	for _, g := range t.services {
		if !g.ranksByWorkTime(now) {
			continue
		}
		for _, e := range g.endpoints {
			if age := now.Sub(e.work.heardAt); age < workTimeFresh {
				fresh = append(fresh, EndpointLoad{Hash: e.workHash, Running: int(math.Round(e.work.heard * workTimeUnit)), PendingTokens: int(age.Milliseconds())})
			}
		}
	}
	if len(fresh) > maxWorkTimesPerReport {
		slices.SortFunc(fresh, func(a, b EndpointLoad) int { return cmp.Compare(a.PendingTokens, b.PendingTokens) })
		fresh = fresh[:maxWorkTimesPerReport]
	}
	return append(loads, fresh...)
}

// workTimeUnit is the number by which a load report gives the usual work time.
const workTimeUnit = 100

// plainEndpoint is an endpoint that is not an engine, with its service.
type plainEndpoint struct {
	group    *group
	endpoint *Endpoint
}

// indexPlain collects the endpoints that are not engines. The caller must hold t.mu.
func (t *Table) indexPlain() {
	t.plain = make(map[uint64]plainEndpoint)
	for _, g := range t.services {
		for _, e := range g.endpoints {
			if e.engine() == nil {
				t.plain[e.workHash] = plainEndpoint{group: g, endpoint: e}
			}
		}
	}
}

// applyWorkTime applies an entry of another entry's load report if it is the work time of a
// known endpoint. The caller must hold t.mu.
func (t *Table) applyWorkTime(now time.Time, l EndpointLoad) bool {
	p, known := t.plain[l.Hash]
	if known && l.Running > 0 {
		p.group.workReported = now
		p.endpoint.work.record(now.Add(-time.Duration(l.PendingTokens)*time.Millisecond), float64(l.Running)/workTimeUnit)
	}
	return known
}
