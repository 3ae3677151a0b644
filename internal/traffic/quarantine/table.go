// Package quarantine finds out which part of a prompt crashes endpoints, and keeps
// requests with that part away from them. It holds what one entry knows, from its own
// requests and from the reports of other entries, and sends nothing itself.
//
// It works as a group test. When an endpoint crashes, the suspects are the parts of the
// requests that it had not answered. An answer that ends, or goes on for long, clears the parts of
// its request. Requests with a suspect part are sent one at a time, and a part that is left
// after several crashes, one after the other, is quarantined.
package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times and limits of a table.
const (
	// trialTTL is how long a trial keeps other requests with its parts back, ProofTime at
	// least.
	trialTTL = 2 * time.Second

	// trialDelay is how long the other entries leave the trials of a suspect to the
	// entry that saw the crash. It covers a trial and its report.
	trialDelay = 300 * time.Millisecond

	// settleTime is how long after a crash all entries report the requests that they lost
	// there. Which of them caused it can't be judged before.
	settleTime = 150 * time.Millisecond

	// reportTransit is the time until the other entries know of a trial.
	reportTransit = 60 * time.Millisecond

	// manyEnded is the number of crashed endpoints from which on entries take turns in trying
	// the part that is to blame.
	manyEnded = 3

	// maxTrialDelay limits the wait of the entries that come last.
	maxTrialDelay = 3 * time.Second

	// suspectRetry is the Retry-After of a request that is kept back during a trial.
	suspectRetry = 300 * time.Millisecond

	// peerTTL is how long after its last report another entry counts as live.
	peerTTL = 3 * time.Second
)

// Options configures a Table.
type Options struct {
	Entry string // name of this entry
	Seed  uint64
}

// Table holds the evidence and the verdicts. It is safe for concurrent use.
type Table struct {
	options Options

	mu         sync.Mutex
	rng        *rand.Rand
	evidence   evidence
	trials     map[partKey]*trial // of this entry
	peers      map[string]*peer   // by name of the other entry
	verdicts   verdicts
	judgements judgements
	baseline   map[string]*lossRate // by service
	losses     []loss               // ordinary requests that were lost a moment ago
	endings    []ending
	reporting  reporting
	sections   sections
	crashed    []uint64  // endpoints that have crashed as other entries have reported, until they are fetched
	changed    time.Time // when something changed that other entries should know at once
}

// judgements are the results of judged for one edition of the verdicts and of the evidence. With
// prompts of hundreds of parts, the same endpoints are looked at for each part of each request.
type judgements struct {
	edition [2]int
	byEnd   map[uint64]bool // by the hash of the endpoint's id
}

// partKey identifies a part of the prompts of one service.
type partKey uint64

func keyOf(service, part string) partKey { return partKey(hashPair(service, part)) }

func hashPair(a, b string) uint64 {
	var h xxhash.Digest
	_, _ = h.WriteString(a) // a Digest never returns an error
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(b)
	return h.Sum64()
}

func keysOf(service string, parts []string) []partKey {
	out := make([]partKey, len(parts))
	for i, part := range parts {
		out[i] = keyOf(service, part)
	}
	return out
}

// trial is a request with a suspect part that is in progress.
type trial struct {
	began time.Time
}

// peer is what another entry has reported last.
type peer struct {
	heard  time.Time
	trials map[partKey]time.Time // when each trial began
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{
		options:  o,
		rng:      rand.New(rand.NewPCG(o.Seed, 7)),
		evidence: newEvidence(),
		trials:   make(map[partKey]*trial),
		peers:    make(map[string]*peer),
		verdicts: newVerdicts(),
		baseline: make(map[string]*lossRate),
	}
}

// Reason says why a request is kept from endpoints.
type Reason string

// Reasons.
const (
	ReasonQuarantined Reason = "quarantined" // its prompt has a part that crashes endpoints
	ReasonSuspect     Reason = "suspect"     // a request with a suspect part is in progress
)

// HeldError is the error for a request that may not be sent to an endpoint.
type HeldError struct {
	Reason     Reason
	Parts      []string      // the parts because of which it is held
	RetryAfter time.Duration // when the caller may come back
}

func (e *HeldError) Error() string { return "request held back: " + string(e.Reason) }

// Check tells before an endpoint is selected whether a request with the given parts may
// be sent to any endpoint. It returns the versions of the weights that must not serve it,
// or a *HeldError.
func (t *Table) Check(now time.Time, service string, parts []string) ([]int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.verdicts.empty() && len(t.evidence.crashes) == 0 {
		return nil, nil
	}
	keys := keysOf(service, parts)
	v := t.match(keys)
	switch {
	case v == nil:
		return nil, t.tryAll(now, t.suspects(now, keys), parts, keys)
	case t.mayProbe(now, v, keys):
		return nil, nil
	case t.evidence.soundElsewhere(v):
		return v.weights, nil
	}
	return nil, t.held(now, v)
}

// Enter asks to send a request with the given parts to an endpoint with a version of the
// weights. The last part is that of the request itself. The caller must call Done on the
// permit. The error is a *HeldError.
func (t *Table) Enter(now time.Time, service string, parts []string, weights int64) (*Permit, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &Permit{table: t, service: service, names: parts, parts: keysOf(service, parts), weights: weights}
	if v := t.match(p.parts); v != nil && !t.evidence.soundWith(v, weights) {
		if !t.mayProbe(now, v, p.parts) {
			return nil, t.held(now, v)
		}
		t.startTrial(now, p, v.keys)
		p.probed = setKey(v.keys)
		return p, nil
	}
	if v := t.condemn(now, p); v != nil {
		return nil, t.held(now, v)
	}
	suspects := t.suspects(now, p.parts)
	if err := t.tryAll(now, suspects, parts, p.parts); err != nil {
		return nil, err
	}
	t.startTrial(now, p, suspects)
	return p, nil
}

// tryAll returns a *HeldError if one of the suspects must not be tried now. keys are the
// keys of the parts.
func (t *Table) tryAll(now time.Time, suspects []partKey, parts []string, keys []partKey) error {
	for _, key := range suspects {
		if !t.mayTry(now, key) {
			retry := suspectRetry + time.Duration(t.rng.Int64N(int64(suspectRetry)))
			return &HeldError{Reason: ReasonSuspect, Parts: []string{parts[slices.Index(keys, key)]}, RetryAfter: retry}
		}
	}
	return nil
}

// held returns the error for a request that a verdict keeps from endpoints.
func (t *Table) held(now time.Time, v *verdict) *HeldError {
	return &HeldError{Reason: ReasonQuarantined, Parts: v.parts, RetryAfter: max(v.nextProbe.Sub(now), firstProbe)}
}

// suspects returns the parts that requests have to be tried for one at a time. A part on
// which answers have begun, before or since, is suspect from its second crash on.
func (t *Table) suspects(now time.Time, parts []partKey) []partKey {
	var out []partKey
	for _, key := range parts {
		blamed := t.blamed(now, key)
		if len(blamed) == 0 {
			continue
		}
		if successive(blamed) > 1 {
			out = append(out, key)
			continue
		}
		last := blamed[len(blamed)-1]
		begun := t.evidence.lastBegun(begunPart{part: key, weights: last.weights})
		if !t.evidence.known(key, blamed[0].at, blamed[0].weights) && begun.Before(last.at) {
			out = append(out, key)
		}
	}
	return out
}

// mayTry reports whether a request with a suspect part may be sent now. Only one at a
// time may be in progress, at all entries. The entry that saw the last crash comes first,
// the others follow in an order that they all compute.
func (t *Table) mayTry(now time.Time, key partKey) bool {
	if t.tried(now, key) {
		return false
	}
	last := t.evidence.last(key)
	if last == nil {
		return true
	}
	if now.Sub(last.at) < settleTime && successive(t.blamed(now, key)) >= minCrashes {
		return false // a verdict may be due
	}
	if t.ended(now, key) >= manyEnded {
		return t.hasTurn(now, last)
	}
	if last.own {
		return true
	}
	rank, _ := t.rank(now, partKey(last.id))
	delay := min(trialDelay*time.Duration(1+rank), maxTrialDelay)
	return now.Sub(last.at) >= delay
}

// ended returns how many endpoints crashed with the part to blame.
func (t *Table) ended(now time.Time, key partKey) int {
	var endpoints []uint64
	for _, c := range t.blamed(now, key) {
		if !slices.Contains(endpoints, c.endpoint) {
			endpoints = append(endpoints, c.endpoint)
		}
	}
	return len(endpoints)
}

// hasTurn reports whether it is this entry's turn to try a part that has ended many endpoints:
// first that of the entry that saw the last crash, then that of the others, one after the other
// and over again. The order depends on the crash, which the parts of a prompt that nobody knows
// have in common: one that depended on the part would give no entry the turn of all of them.
// Designed for callers at all entries that send the part all the time: without
// turns, all entries would try it at the same moment when endpoints are back.
func (t *Table) hasTurn(now time.Time, last *crash) bool {
	elapsed := now.Sub(last.at)
	if elapsed < trialDelay {
		return last.own
	}
	rank, live := t.rank(now, partKey(last.id))
	turns := min(live, int(maxTrialDelay/trialDelay))
	turn := int(elapsed/trialDelay-1) % turns
	return turn == rank%turns && elapsed%trialDelay < trialDelay-reportTransit
}

// tried reports whether a trial of the part is in progress at any entry.
func (t *Table) tried(now time.Time, key partKey) bool {
	if own := t.trials[key]; own != nil && now.Sub(own.began) < trialTTL {
		return true
	}
	for _, p := range t.peers {
		if began, ok := p.trials[key]; ok && now.Sub(began) < trialTTL {
			return true
		}
	}
	return false
}

// rank returns the position of this entry in the order of the live entries that is valid
// for a crash or a verdict, and how many there are. The entries need not agree on it: it only spreads
// their trials.
func (t *Table) rank(now time.Time, key partKey) (rank, live int) {
	score := func(entry string) uint64 { return xxhash.Sum64String(entry) ^ uint64(key) }
	own := score(t.options.Entry)
	live = 1
	for name, p := range t.peers {
		if now.Sub(p.heard) > peerTTL {
			continue
		}
		live++
		if score(name) < own {
			rank++
		}
	}
	return rank, live
}

// startTrial records that a request tries suspect parts.
func (t *Table) startTrial(now time.Time, p *Permit, keys []partKey) {
	for _, key := range keys {
		x := &trial{began: now}
		t.trials[key] = x
		if p.trials == nil {
			p.trials = make(map[partKey]*trial)
		}
		p.trials[key] = x
		if key != p.parts[len(p.parts)-1] { // no other request has the last part
			t.changed = now
		}
	}
}
