package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Permit allows one attempt at one endpoint.
type Permit struct {
	table           *Table
	service         string
	names           []string
	parts           []partKey // in the order of names
	weights         int64
	trials          map[partKey]*trial // the suspect parts that it tries
	probed          partKey            // hash of the parts whose verdict it probes; 0 for none
	begun, answered bool
}

// ProofTime is how long after its beginning an answer shows that the parts of its request are
// sound. A whole answer shows it at its end.
const ProofTime = 2 * time.Second

// Crash is the end of an endpoint that had not ended its answer to a request.
type Crash struct {
	Endpoint string    // id of the endpoint's incarnation
	Attempt  string    // id of the request
	Sent     time.Time // when the request was sent
	Begun    bool      // the endpoint had begun to answer
}

// name returns the id of a part of the request.
func (p *Permit) name(key partKey) string {
	for i, k := range p.parts {
		if k == key {
			return p.names[i]
		}
	}
	return ""
}

// Suspect reports whether the request tries a suspect part.
func (p *Permit) Suspect() bool { return len(p.trials) > 0 }

// Condemned reports whether the request must be withdrawn, because a verdict on its parts
// has been passed since.
func (p *Permit) Condemned() bool {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.answered || p.probed != 0 || t.verdicts.empty() {
		return false
	}
	v := t.match(p.parts)
	return v != nil && !t.evidence.soundWith(v, p.weights)
}

// Known reports whether answers have shown lately that all parts are sound which other requests
// may have, with the version of the weights.
func (p *Permit) Known(now time.Time) bool {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	return p.known(now)
}

// known is Known with the table's lock held.
func (p *Permit) known(now time.Time) bool {
	for _, key := range p.parts[:max(0, len(p.parts)-1)] {
		if !p.table.evidence.known(key, now, p.weights) {
			return false
		}
	}
	return true
}

// Begun records that the endpoint has begun to answer. It ends the trials of parts that have met
// with one crash only: requests with a new part that was lost with its endpoint don't have to
// wait for a whole answer.
func (p *Permit) Begun(now time.Time) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.begun {
		return
	}
	p.begun = true
	for _, key := range p.parts[:max(0, len(p.parts)-1)] {
		t.evidence.recordBegun(begunPart{part: key, weights: p.weights}, now)
	}
	if p.probed != 0 {
		return
	}
	for key := range p.trials {
		if successive(t.blamed(now, key)) < 2 {
			p.endTrial(now, key)
		}
	}
}

// Answered records that the endpoint has ended its answer, or has gone on with it for
// ProofTime, which clears the parts. A mere beginning doesn't: a part may crash an endpoint
// anywhere within an answer.
func (p *Permit) Answered(now time.Time) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.answered {
		return
	}
	p.answered = true
	t.lossRate(p.service).record(false)
	for i, key := range p.parts {
		// The last part comes once, so it is recorded only while it is suspect.
		if i == len(p.parts)-1 && !t.evidence.mentions(key) {
			continue
		}
		if t.evidence.recordProof(key, proof{weights: p.weights, at: now}) {
			t.changed = now
		}
	}
	t.release(now, p)
	p.endTrials(now)
}

// Crashed records that the endpoint crashed before it had ended its answer. It has no effect
// after Answered.
func (p *Permit) Crashed(now time.Time, c Crash) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.answered || len(p.parts) == 0 {
		return
	}
	endpoint := xxhash.Sum64String(c.Endpoint)
	if p.known(now) {
		t.addEnding(ending{endpoint: endpoint, at: now})
		if c.Begun {
			return
		}
		t.addLoss(loss{service: p.service, endpoint: endpoint, at: now})
	}
	parts, begun := t.evidence.suspicious(now, p.parts, p.weights)
	t.evidence.add(now, &crash{
		id: hashPair(c.Endpoint, c.Attempt), endpoint: endpoint, parts: parts, weights: p.weights, begun: begun,
		sent: c.Sent, at: now, own: true,
	})
	t.changed = now
	if p.probed != 0 {
		t.verdicts.probeFailed(now, p.probed)
	}
}

// Done ends the attempt. Further calls have no effect.
func (p *Permit) Done(now time.Time) {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.endTrials(now)
}

// endTrials lets other requests with the same parts be tried. The caller must hold the
// table's lock.
func (p *Permit) endTrials(now time.Time) {
	for key := range p.trials {
		p.endTrial(now, key)
	}
}

// endTrial is endTrials for one part.
func (p *Permit) endTrial(now time.Time, key partKey) {
	t := p.table
	if t.trials[key] == p.trials[key] {
		delete(t.trials, key)
		if key != p.parts[len(p.parts)-1] {
			t.changed = now
		}
	}
	delete(p.trials, key)
}

// suspicious returns the parts of a request that may be to blame for a crash, each once: those that
// no answer has shown to be sound lately, and the last one, which is the request's own. If
// answers have begun on some of them and on others not, it returns only these; begun is true
// if answers have begun on all.
func (e *evidence) suspicious(now time.Time, parts []partKey, weights int64) (out []partKey, begun bool) {
	last := parts[len(parts)-1]
	seen := map[partKey]bool{last: true}
	var answers, none []partKey
	for _, key := range parts {
		switch {
		case seen[key] || e.known(key, now, weights):
		case !e.lastBegun(begunPart{part: key, weights: weights}).IsZero():
			answers = append(answers, key)
		default:
			none = append(none, key)
		}
		seen[key] = true
	}
	if len(none) == 0 && len(answers) > 0 {
		return append(answers, last), true
	}
	return append(none, last), false
}
