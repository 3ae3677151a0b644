package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fulmardeal"
)

// Parameters of endpoint selection.
const (
	// Endpoints count as equally fast if their predictions exceed the lowest one
	// by at most tieMarginPerEntry times the number of entries of this region. One of
	// them is drawn at random. Entries do not see each other's sends at once: without
	// the draw, the more entries there are, the more of them would select the
	// same engine.
	tieMarginPerEntry = 10 * time.Millisecond

	// failurePenalty is added to a prediction in proportion to the endpoint's
	// failure rate. It is about the time that a retry takes.
	failurePenalty = 400 * time.Millisecond

	// nonEngineQueuePerSlot is how many requests may wait per slot at an endpoint
	// that is not an engine.
	nonEngineQueuePerSlot = 1.0

	// remoteStalenessShare is the part of the interval between reports of other
	// regions by which an engine there counts as slower than predicted. In large
	// fleets these reports are rare, because the links between regions are narrow,
	// and all entries that look for a free slot find the same one.
	remoteStalenessShare = 0.25

	// maxFreshInterval is the longest interval between reports at which the last free
	// slot of an engine may be taken.
	maxFreshInterval = 100 * time.Millisecond

	// supersededMargin is how long before the end of the permitted use of
	// superseded weights an engine with these weights gets its last request. What
	// has not started startMargin before the end is withdrawn, so it should have
	// been sent long enough before to start at a loaded engine.
	supersededMargin = 1300 * time.Millisecond

	// startMargin is how long before that end a request that has not started
	// yet is withdrawn. It covers the time until the engine sees the connection
	// closed, and the delay with which this entry learned of the new version.
	startMargin = 400 * time.Millisecond
)

// Request describes a request and its constraints on endpoints.
type Request struct {
	Service         string
	HomeRegions     [][]string // one list of permitted regions from the route, one from the customer; an empty list permits all
	PromptTokens    int
	RequiredWeights int64         // version of the weights; 0 permits any
	AvoidedWeights  []int64       // versions of the weights that must not serve it
	Tried           []string      // ids of endpoints that must not be tried again
	Resumed         bool          // the caller already has part of the response; the rest is still to be generated
	Fingerprint     uint64        // hash of the content, equal for a retry of the same request
	Sent            time.Time     // when the caller sent the request; for a resumed response, the time of the resumption
	Deadline        time.Time     // deadline of the complete response
	Objective       time.Duration // time allowed from the caller's first attempt until the response or its first event
	Customer        string        // empty if the request needs no key
	Rank            int           // of the customer, or else of the route; 0 is the most urgent
}

// peerLoad is the load of other entries on one endpoint.
type peerLoad struct {
	inProgress    int
	pendingTokens int
}

// fleetState is the input of endpoint selection besides the endpoints.
type fleetState struct {
	now           time.Time
	entries       int // live entries, including this one
	regionEntries int // of these, the ones in this region
	region        string
	intervals     ReportIntervals
	peerLoads     map[uint64]peerLoad          // loads of all other entries, as in Table
	outOfService  func(dataCentre string) bool // data centres that operators took out of service
	weightsUsable func(weights int64) bool     // whether engines may still serve this version of the weights

	// contenders and remoteContenders are how many entries of this and of other
	// regions have queued requests. They share the free slots of an engine: when it
	// gains many, such as after a restart, each entry would otherwise fill them all
	// before it learns of the others' sends.
	contenders       int
	remoteContenders int

	// limitAllows reports whether an endpoint's limit allows another request now; nil if no
	// endpoint has one. passedOver counts the endpoints with a free slot for which it doesn't.
	limitAllows func(e *Endpoint) bool
	passedOver  int

	byWorkTime bool // endpoints that are no engines are ranked by the work times that they report
}

// contendersFor returns how many entries share the free slots of an endpoint. Entries
// prefer the endpoints of their region, so an endpoint there is shared with the
// entries of the region only.
func (f *fleetState) contendersFor(e *Endpoint) int {
	if e.region == f.region {
		return f.contenders
	}
	return f.contenders + f.remoteContenders
}

// reportDelay returns the time until all entries that share an endpoint know that one
// of them sent it a request.
func (f *fleetState) reportDelay(e *Endpoint) time.Duration {
	if e.region == f.region {
		return max(minReportDelay, f.intervals.SameRegion+maxReportTransit)
	}
	return max(minReportDelay, f.intervals.OtherRegions+maxReportTransit)
}

// staleness returns how long ago the last report of another entry that uses the
// endpoint may have been sent.
func (f *fleetState) staleness(e *Endpoint) time.Duration {
	if e.region == f.region {
		return f.intervals.SameRegion
	}
	return f.intervals.OtherRegions
}

// eligible reports whether an endpoint may serve the request at all, now or
// when it has free capacity.
func eligible(f *fleetState, e *Endpoint, req *Request) bool {
	r := &e.registration
	if e.isLeaving() || f.outOfService(r.DataCentre) || slices.Contains(req.Tried, r.ID) {
		return false
	}
	for _, homes := range req.HomeRegions {
		if len(homes) > 0 && !slices.Contains(homes, e.region) {
			return false
		}
	}
	if e.engine() == nil {
		return true
	}
	if e.weights == 0 || e.heartbeatsDue > 0 || req.RequiredWeights != 0 && e.weights != req.RequiredWeights || slices.Contains(req.AvoidedWeights, e.weights) {
		return false
	}
	return f.weightsUsable(e.weights)
}

// hasCapacity reports whether an endpoint can start the request at once, and may be sent
// another one.
func hasCapacity(f *fleetState, e *Endpoint, req *Request, rng *rand.Rand) bool {
	if !hasFreeSlot(f, e, req, rng) {
		return false
	}
	if f.limitAllows != nil && !f.limitAllows(e) {
		f.passedOver++
		return false
	}
	return true
}

// hasFreeSlot reports whether an endpoint can start the request at once.
func hasFreeSlot(f *fleetState, e *Endpoint, req *Request, rng *rand.Rand) bool {
	now := f.now
	if e.isPaused(now) || now.Before(e.fullUntil) || now.Before(e.mismatchUntil) || now.Before(e.loadingUntil) {
		return false
	}
	slots := e.slots()
	if slots == 0 {
		return true
	}
	n := e.inProgress + f.peerLoads[e.hash].inProgress
	if e.engine() == nil {
		return float64(n) < f.mayQueue(e)
	}
	if req.Resumed {
		return n < slots+resumedExtraSlots // the engine admits resumed requests before its waiting ones
	}
	// Requests that wait inside an engine can no longer be reordered. So an
	// engine gets no more requests than it has slots, and no more prompts than
	// it processes within maxPromptBacklog.
	free := min(slots-n, promptsWithinBacklog(e.engine(), e.pendingTokens+f.peerLoads[e.hash].pendingTokens, req.PromptTokens))
	if e.region != f.region && f.staleness(e) > maxFreshInterval {
		free-- // others in its region take it before their reports arrive
	}
	contenders := f.contendersFor(e)
	return free > 0 && (contenders == 0 || e.mayTakeSlot(now, free, contenders, f.reportDelay(e), rng))
}

// resumedExtraSlots is how many resumed requests an engine may get beyond its
// slots. They wait in the engine until a slot becomes free, which takes about two
// passes.
const resumedExtraSlots = 2

// maxPromptBacklog limits the unprocessed prompts at one engine, measured as the
// time to process them. An engine processes prompts one after the other. If an
// engine whose slots are all free, such as after a restart, got requests for all
// of them at once, the last of these would get its first event a second late.
const maxPromptBacklog = 250 * time.Millisecond

// promptsWithinBacklog returns how many more prompts of the given size an engine
// may get. It returns at least one while the backlog is below maxPromptBacklog,
// even if that prompt exceeds it.
func promptsWithinBacklog(s *fulmardeal.EngineSpec, pendingTokens, promptTokens int) int {
	if s.ReadRate <= 0 {
		return math.MaxInt32
	}
	remaining := maxPromptBacklog.Seconds()*s.ReadRate - float64(pendingTokens)
	if remaining <= 0 {
		return 0
	}
	return 1 + int(remaining)/max(1, promptTokens)
}

// predict returns the predicted time to the first event at an endpoint, plus
// penalties for network delay, lag and failures.
func predict(f *fleetState, e *Endpoint, req *Request) time.Duration {
	others := f.peerLoads[e.hash]
	cost := e.networkDelay + f.remotePenalty(e) + e.currentLag(f.now) + time.Duration(e.failureRate*float64(failurePenalty))
	s := e.engine()
	if s == nil {
		return cost + predictPlain(f, e, e.inProgress+others.inProgress)
	}
	return cost + predictFirstEvent(s, e.inProgress+others.inProgress, e.pendingTokens+others.pendingTokens, req.PromptTokens)
}

// remotePenalty returns the time by which an endpoint in another region counts as
// slower, because little is known of its load.
func (f *fleetState) remotePenalty(e *Endpoint) time.Duration {
	if e.region == f.region {
		return 0
	}
	return time.Duration(remoteStalenessShare * float64(f.intervals.OtherRegions))
}

// nonEngineLatency is the assumed latency of an endpoint that is not an engine.
// It only serves to rank endpoints by load.
const nonEngineLatency = 60 * time.Millisecond

// typicalContext is the assumed context length of a request in progress, in
// tokens, in predictions of step times.
const typicalContext = 1000

// predictFirstEvent predicts the time to the first event at an engine with the
// given numbers of requests in progress and pending prompt tokens. An engine
// works in passes: between the generation steps of the requests in its slots it
// processes the pending prompts.
func predictFirstEvent(s *fulmardeal.EngineSpec, inProgress, pendingTokens, promptTokens int) time.Duration {
	n := float64(min(inProgress, s.Slots))
	step := s.Step + n*(s.PerSequence+s.PerContext*typicalContext/1000)
	pass := float64(max(1, s.Stride)) * step
	promptTime := 0.0
	if s.ReadRate > 0 {
		promptTime = float64(pendingTokens+promptTokens) / s.ReadRate * 1000
	}
	currentPass := pass / 2 // mean remaining time of the engine's current pass
	if inProgress == 0 {
		currentPass = 0
	}
	return time.Duration(min(currentPass+promptTime+pass, maxPrediction) * float64(time.Millisecond))
}

// maxPrediction is the longest predicted time, in ms. Engines for which it is longer, by
// their specification, can still be compared.
const maxPrediction = 1e9

// selectEndpoint returns the endpoint with free capacity that is predicted to
// respond soonest, with near ties broken at random. Designed for steady load on
// unequally loaded engines, for bursts in which several entries send without seeing
// each other's sends, and for a peak at which dozens of entries in several regions
// look for the last free slots. It returns nil if no endpoint has free
// capacity; found then tells whether any endpoint is eligible at all.
func selectEndpoint(f *fleetState, endpoints []*Endpoint, req *Request, rng *rand.Rand) (best *Endpoint, found bool) {
	best, found = pickEndpoint(f, endpoints, req, rng)
	if best == nil && found {
		best = lastResort(f, endpoints, req, rng)
	}
	return best, found
}

// pickEndpoint is like selectEndpoint, but returns no endpoint that is suspect.
func pickEndpoint(f *fleetState, endpoints []*Endpoint, req *Request, rng *rand.Rand) (best *Endpoint, found bool) {
	fastest := time.Duration(math.MaxInt64)
	predicted := make([]time.Duration, len(endpoints))
	for i, e := range endpoints {
		predicted[i] = -1
		if !eligible(f, e, req) {
			continue
		}
		found = true
		if e.isSuspect(f.now) || !hasCapacity(f, e, req, rng) {
			continue
		}
		predicted[i] = predict(f, e, req)
		fastest = min(fastest, predicted[i])
	}
	limit := fastest + time.Duration(f.regionEntries)*tieMarginPerEntry
	if f.byWorkTime {
		best = drawFaster(endpoints, predicted, limit+workTimeMargin, rng)
	} else {
		best = drawTied(endpoints, predicted, limit, rng)
	}
	return best, found
}

// drawTied draws one of the endpoints with a prediction of at most limit.
func drawTied(endpoints []*Endpoint, predicted []time.Duration, limit time.Duration, rng *rand.Rand) (best *Endpoint) {
	n := 0
	for i, e := range endpoints {
		if predicted[i] < 0 || predicted[i] > limit {
			continue
		}
		n++
		if rng.IntN(n) == 0 {
			best = e
		}
	}
	return best
}

// lastResort returns the endpoint to try if all eligible endpoints are suspect or paused:
// the one with free capacity that stops being suspect first. Otherwise it returns
// nil. Trying a suspect endpoint is then the only way to serve anything, and to
// detect that endpoints work again.
func lastResort(f *fleetState, endpoints []*Endpoint, req *Request, rng *rand.Rand) *Endpoint {
	var best *Endpoint
	for _, e := range endpoints {
		if !eligible(f, e, req) || e.isPaused(f.now) {
			continue
		}
		if !e.isSuspect(f.now) {
			return nil // an endpoint is healthy and only lacks capacity
		}
		if hasCapacity(f, e, req, rng) && (best == nil || e.suspectEnd().Before(best.suspectEnd())) {
			best = e
		}
	}
	return best
}
