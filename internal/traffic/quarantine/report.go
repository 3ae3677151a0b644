package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fulmardeal"
)

// Intervals and limits of reports.
const (
	// A change is reported at once and repeatCount times more, since reports may be lost.
	repeatCount    = 2
	repeatInterval = 50 * time.Millisecond

	// While there is anything to report, it is repeated at refreshInterval, or less often
	// where there are many entries.
	refreshInterval  = time.Second
	refreshPerEntry  = 40 * time.Millisecond
	singleReportTime = 5 * time.Second // how long a crash is reported that none of its parts shares with another one

	recentCrash = time.Second // age up to which a crash says that the endpoint isn't there now

	maxReportedCrashes  = 24   // the latest
	maxReportedParts    = 2048 // of all crashes, unless the latest has more; the other crashes take turns
	maxReportedTrials   = 256
	maxReportedProofs   = 1024 // the latest
	maxReportedVerdicts = 64

	maxPartsPerCrash = 4096 // as many as a prompt may have
)

// Report is what an entry tells the others. Times are given as ages.
type Report struct {
	Entry    string
	Partial  bool // continues a report: Trials is not the whole list
	Trials   []ReportedTrial
	Verdicts []fulmardeal.Quarantine
	Crashes  []ReportedCrash
	Proofs   []ReportedProof
}

// ReportedTrial is a request with a suspect part that is in progress.
type ReportedTrial struct {
	Part uint64 // hash of the service and the part
	Age  time.Duration
}

// ReportedCrash is a request that an endpoint had not answered when it crashed, or a section of
// its parts: reports are sent in datagrams.
type ReportedCrash struct {
	ID       uint64 // hash of the endpoint's id and the request's
	Endpoint uint64 // hash of the endpoint's id
	Total    int    // number of parts of the request that may be to blame
	First    int    // how many of them are before the section
	Parts    []uint64
	Weights  int64
	Begun    bool          // answers have begun on all parts but the last one
	SentAge  time.Duration // since the request was sent
	Age      time.Duration // since the crash
}

// ReportedProof is the latest answer that showed a part to be sound.
type ReportedProof struct {
	Part    uint64
	Weights int64
	Age     time.Duration
}

// reporting is the state of an entry's reports.
type reporting struct {
	last    time.Time
	change  time.Time // the change that the last report contained
	repeats int       // how often it has been repeated
	turn    int       // number of crashes that have had their turn
}

// Report returns what the other entries should be told now, or false if there is nothing
// or it isn't time.
func (t *Table) Report(now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed.IsZero() {
		return Report{}, false
	}
	refresh := max(refreshInterval, time.Duration(len(t.peers))*refreshPerEntry)
	s := &t.reporting
	switch {
	case t.changed.After(s.change):
		s.change, s.repeats = t.changed, 0
	case s.repeats < repeatCount && now.Sub(s.last) >= repeatInterval:
		s.repeats++
	case now.Sub(s.last) < refresh:
		return Report{}, false
	}
	s.last = now
	t.evidence.expire(now)
	r := Report{Entry: t.options.Entry}
	// Of many trials, entries report the same parts first, so that they agree on what is tried.
	for _, key := range slices.Sorted(maps.Keys(t.trials)) {
		if len(r.Trials) < maxReportedTrials {
			r.Trials = append(r.Trials, ReportedTrial{Part: uint64(key), Age: now.Sub(t.trials[key].began)})
		}
	}
	mentioned := make(map[partKey]bool)
	for _, v := range t.verdicts.byKey {
		if v.released && now.Sub(v.changed) > crashRetention {
			continue
		}
		r.Verdicts = append(r.Verdicts, v.quarantine())
		for _, key := range v.keys {
			mentioned[key] = true
		}
	}
	slices.SortFunc(r.Verdicts, func(a, b fulmardeal.Quarantine) int { return b.Since.Compare(a.Since) })
	r.Verdicts = r.Verdicts[:min(len(r.Verdicts), maxReportedVerdicts)]
	for _, c := range t.reportable(now) {
		x := ReportedCrash{ID: c.id, Endpoint: c.endpoint, Total: len(c.parts), Weights: c.weights, Begun: c.begun, SentAge: now.Sub(c.sent), Age: now.Sub(c.at)}
		for _, key := range c.parts {
			x.Parts = append(x.Parts, uint64(key))
			mentioned[key] = true
		}
		r.Crashes = append(r.Crashes, x)
	}
	for key := range mentioned {
		for _, b := range t.evidence.proofs(key) {
			r.Proofs = append(r.Proofs, ReportedProof{Part: uint64(key), Weights: b.weights, Age: now.Sub(b.at)})
		}
	}
	slices.SortFunc(r.Proofs, func(a, b ReportedProof) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part)) })
	r.Proofs = r.Proofs[:min(len(r.Proofs), maxReportedProofs)]
	return r, len(r.Trials)+len(r.Verdicts)+len(r.Crashes) > 0 || s.repeats < repeatCount
}

// reportable returns the crashes for the next report: the latest ones, or, if they have too many
// parts for one report, the very latest and some others in turn.
func (t *Table) reportable(now time.Time) []*crash {
	var out []*crash
	parts := 0
	for _, c := range slices.Backward(t.evidence.crashes) {
		if len(out) >= maxReportedCrashes {
			break
		}
		if now.Sub(c.at) <= singleReportTime || t.evidence.repeated(c) {
			out = append(out, c)
			parts += len(c.parts)
		}
	}
	if parts <= maxReportedParts || len(out) < 2 {
		return out
	}
	latest, others := out[0], out[1:]
	out, parts = []*crash{latest}, len(latest.parts)
	for range others {
		c := others[t.reporting.turn%len(others)]
		if parts += len(c.parts); parts > maxReportedParts {
			break
		}
		out = append(out, c)
		t.reporting.turn++
	}
	if len(out) == 1 && len(latest.parts) > maxReportedParts/2 {
		// Two long prompts don't fit into one report.
		if t.reporting.turn++; t.reporting.turn%2 == 0 {
			out[0] = others[t.reporting.turn/2%len(others)]
		}
	}
	return out
}

// repeated reports whether another crash has a part of this one to blame.
func (e *evidence) repeated(c *crash) bool {
	return slices.ContainsFunc(c.parts, func(key partKey) bool { return len(e.byPart[key]) > 1 && e.blamesPart(c, key) })
}

// ApplyReport applies a report of another entry.
func (t *Table) ApplyReport(now time.Time, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[r.Entry]
	if p == nil {
		p = &peer{}
		t.peers[r.Entry] = p
	}
	p.heard = now
	if !r.Partial {
		p.trials = make(map[partKey]time.Time, len(r.Trials))
	}
	for _, x := range r.Trials {
		p.trials[partKey(x.Part)] = now.Add(-x.Age)
	}
	for name, o := range t.peers {
		if now.Sub(o.heard) > crashRetention {
			delete(t.peers, name)
		}
	}
	for _, q := range r.Verdicts {
		t.apply(now, q)
	}
	proved := make(map[uint64]bool, len(r.Proofs))
	for _, x := range r.Proofs {
		proved[x.Part] = true
	}
	for _, x := range r.Crashes {
		if t.evidence.byID[x.ID] != nil {
			continue
		}
		c := t.sections.join(now, x)
		if c != nil && x.Age <= crashRetention && !t.released(c) && t.evidence.add(now, c) {
			if x.Age < recentCrash && len(t.crashed) < maxCrashes {
				t.crashed = append(t.crashed, x.Endpoint)
			}
			// Proofs of this entry are news if the other one knows of none.
			if slices.ContainsFunc(c.parts, func(key partKey) bool { return !proved[uint64(key)] && len(t.evidence.proofs(key)) > 0 }) {
				t.changed = now
			}
		}
	}
	for _, x := range r.Proofs {
		t.evidence.recordProof(partKey(x.Part), proof{weights: x.Weights, at: now.Add(-x.Age)})
	}
}

// maxSections is the number of crashes of which only some sections have arrived that are kept.
const maxSections = 16

// sections holds reported crashes that are not complete. What is missing of one isn't known, so
// it is no evidence before. The zero value is empty.
type sections struct {
	crashes map[uint64]*partialCrash // by id
}

type partialCrash struct {
	parts   []partKey
	missing int
	arrived time.Time // the last section
}

// join adds a section. It returns the crash once it is complete.
func (s *sections) join(now time.Time, x ReportedCrash) *crash {
	if x.Total <= 0 || x.Total > maxPartsPerCrash || x.First < 0 || len(x.Parts) == 0 || len(x.Parts) > x.Total || x.First > x.Total-len(x.Parts) {
		return nil
	}
	c := &crash{id: x.ID, endpoint: x.Endpoint, weights: x.Weights, begun: x.Begun, sent: now.Add(-x.SentAge), at: now.Add(-x.Age)}
	p := s.crashes[x.ID]
	if p == nil || len(p.parts) != x.Total {
		p = &partialCrash{parts: make([]partKey, x.Total), missing: x.Total}
	}
	p.arrived = now
	for i, part := range x.Parts {
		if p.parts[x.First+i] == 0 && part != 0 {
			p.parts[x.First+i] = partKey(part)
			p.missing--
		}
	}
	if p.missing == 0 {
		delete(s.crashes, x.ID)
		c.parts = p.parts
		return c
	}
	if s.crashes == nil {
		s.crashes = make(map[uint64]*partialCrash)
	}
	s.crashes[x.ID] = p
	if len(s.crashes) > maxSections {
		oldest := x.ID
		for id, o := range s.crashes {
			if o.arrived.Before(s.crashes[oldest].arrived) {
				oldest = id
			}
		}
		delete(s.crashes, oldest)
	}
	return nil
}

// CrashedEndpoints returns the hashes of the ids of endpoints that have crashed just now, as
// other entries have reported since the last call.
func (t *Table) CrashedEndpoints() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.crashed
	t.crashed = nil
	return out
}
