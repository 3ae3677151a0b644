package quarantine

import (
	"slices"
	"time"

	"fulmardeal"
)

// Probes of quarantined parts. Each may end another endpoint, so they are rare.
const (
	firstProbe  = time.Minute // from the verdict to the first probe; the interval doubles with each failure
	maxInterval = time.Hour   // between two probes
	maxVerdicts = 1024
)

// verdict quarantines a set of parts: requests with all of them.
type verdict struct {
	service   string
	parts     []string
	keys      []partKey // of parts
	weights   []int64   // versions of the weights with which endpoints crashed
	crashes   int
	probes    int // that failed
	serial    int64
	released  bool
	since     time.Time
	changed   time.Time
	nextProbe time.Time
}

// Change is a verdict that was passed, changed or released.
type Change struct {
	Quarantine fulmardeal.Quarantine
	Own        bool // by this entry, which has to store it
}

// verdicts holds all verdicts.
type verdicts struct {
	byKey   map[partKey]*verdict // by the hash of the parts
	byPart  map[partKey][]*verdict
	changes []Change
	edition int // rises with each change of what match returns
}

func newVerdicts() verdicts {
	return verdicts{byKey: make(map[partKey]*verdict), byPart: make(map[partKey][]*verdict)}
}

func (s *verdicts) empty() bool { return len(s.byKey) == 0 }

// setKey returns a hash of a set of parts, which doesn't depend on their order.
func setKey(keys []partKey) partKey {
	var out partKey
	for _, key := range keys {
		out += key
	}
	return out
}

// match returns a verdict on a request with the given parts, or nil if there is none. The caller
// must hold t.mu.
func (t *Table) match(keys []partKey) *verdict {
	var set map[partKey]bool
	var seen []*verdict
	for _, key := range keys {
		for _, v := range t.verdicts.byPart[key] {
			if v.released || slices.Contains(seen, v) {
				continue
			}
			seen = append(seen, v)
			if set == nil {
				set = keySet(keys)
			}
			if t.evidence.applies(v, set) {
				return v
			}
		}
	}
	return nil
}

// applies reports whether a verdict applies to a request with the given parts: to one with all
// parts of the verdict, apart from those that answers have shown to be sound since.
func (e *evidence) applies(v *verdict, parts map[partKey]bool) bool {
	missing, blamed := false, false
	for _, key := range v.keys {
		switch {
		case parts[key]:
			blamed = blamed || !e.soundSince(v, key)
		case !e.soundSince(v, key):
			return false
		default:
			missing = true
		}
	}
	return blamed || !missing
}

// soundSince reports whether an answer has shown a part of a verdict to be sound after it was
// passed.
func (e *evidence) soundSince(v *verdict, key partKey) bool {
	return slices.ContainsFunc(e.proofs(key), func(b proof) bool { return slices.Contains(v.weights, b.weights) && b.at.After(v.since) })
}

func containsAll(all, some []partKey) bool {
	set := keySet(all)
	return !slices.ContainsFunc(some, func(key partKey) bool { return !set[key] })
}

// put adds a verdict, or replaces the one on the same parts.
func (s *verdicts) put(v *verdict) {
	key := setKey(v.keys)
	s.drop(key)
	if len(s.byKey) >= maxVerdicts {
		s.drop(s.leastImportant())
	}
	s.byKey[key] = v
	s.edition++
	for _, k := range v.keys {
		s.byPart[k] = append(s.byPart[k], v)
	}
}

// leastImportant returns the key of the oldest verdict, of the released ones if there are
// any.
func (s *verdicts) leastImportant() partKey {
	var key partKey
	var least *verdict
	for k, v := range s.byKey {
		if least == nil || v.released && !least.released || v.released == least.released && v.since.Before(least.since) {
			key, least = k, v
		}
	}
	return key
}

func (s *verdicts) drop(key partKey) {
	old := s.byKey[key]
	if old == nil {
		return
	}
	delete(s.byKey, key)
	s.edition++
	for _, k := range old.keys {
		if s.byPart[k] = slices.DeleteFunc(s.byPart[k], func(v *verdict) bool { return v == old }); len(s.byPart[k]) == 0 {
			delete(s.byPart, k)
		}
	}
}

// update counts a change of a verdict.
func (s *verdicts) update(now time.Time, v *verdict) {
	v.serial++
	v.changed = now
	v.nextProbe = now.Add(probeInterval(v.probes))
	s.changes = append(s.changes, Change{Quarantine: v.quarantine(), Own: true})
}

// probeFailed records that a probe of the verdict on a set of parts ended an endpoint.
func (s *verdicts) probeFailed(now time.Time, set partKey) {
	v := s.byKey[set]
	if v == nil || v.released {
		return
	}
	v.probes++
	v.crashes++
	s.update(now, v)
}

func probeInterval(probes int) time.Duration {
	return min(firstProbe<<min(max(0, probes), 8), maxInterval)
}

// condemn passes a verdict if the crashes suffice for one that applies to the request. It
// returns the verdict, or nil. The caller must hold t.mu.
func (t *Table) condemn(now time.Time, p *Permit) *verdict {
	t.judgeLosses(now)
	needed := t.lossRate(p.service).crashesNeeded()
	judged := make(map[uint64]bool) // by the crashes that parts have in common
	for _, key := range p.parts {
		if len(t.evidence.byPart[key]) < needed {
			continue
		}
		blamed := t.blamed(now, key)
		blamed = slices.DeleteFunc(blamed, func(c *crash) bool { return now.Sub(c.at) < settleTime })
		if successive(blamed) < needed {
			continue
		}
		group := uint64(0)
		for _, c := range blamed {
			group += c.id
		}
		if judged[group] {
			continue
		}
		judged[group] = true
		if v := t.judge(now, p, blamed, needed); v != nil && !t.evidence.soundWith(v, p.weights) {
			return v
		}
	}
	return nil
}

// judge passes a verdict on the parts that crashes have in common, if they are to blame and the
// request has them all.
func (t *Table) judge(now time.Time, p *Permit, blamed []*crash, needed int) *verdict {
	common := t.evidence.common(blamed)
	blamed = t.unexplained(now, blamed, common)
	if len(blamed) == 0 {
		return nil
	}
	needed += t.moreCrashesNeeded(slices.MinFunc(blamed, func(a, b *crash) int { return a.at.Compare(b.at) }).at)
	if successive(blamed) < needed || !containsAll(p.parts, common) {
		return nil
	}
	if !t.evidence.conclusive(blamed, common, needed) || t.dispensable(common) {
		return nil
	}
	var weights []int64
	for _, c := range blamed {
		if !slices.Contains(weights, c.weights) {
			weights = append(weights, c.weights)
		}
	}
	return t.pass(now, p, common, weights, len(blamed))
}

// maxEndpointsCompared is the number of endpoints, those that crashed last, that dispensable
// looks at.
const maxEndpointsCompared = 64

// dispensable reports whether the crashes of all endpoints can be explained by fewer parts if the
// given ones, which some requests have in common, are not to blame. Where several parts crash
// endpoints, a sound one that many requests have is often lost beside them, more often than each
// of them is.
func (t *Table) dispensable(common []partKey) bool {
	shared := keySet(common)
	seen := make(map[uint64]bool)
	var all, without [][]partKey // other parts that may be to blame, by endpoint; without: of endpoints that had no request with the given parts
	for _, c := range slices.Backward(t.evidence.crashes) {
		if len(seen) >= maxEndpointsCompared {
			break
		}
		if seen[c.endpoint] || t.judged(c.endpoint) {
			continue
		}
		seen[c.endpoint] = true
		involved := false
		var others, begun []partKey
		for _, o := range t.evidence.byEnd[c.endpoint] {
			blames := t.evidence.blames(o)
			involved = involved || containsAll(blames, common)
			for _, key := range blames {
				switch {
				case shared[key] || key == o.parts[len(o.parts)-1]:
				case o.begun:
					begun = append(begun, key)
				default:
					others = append(others, key)
				}
			}
		}
		if len(others) == 0 {
			others = begun
		}
		switch {
		case len(others) == 0 && involved:
			return false
		case len(others) == 0:
			continue
		case !involved:
			without = append(without, others)
		}
		all = append(all, others)
	}
	most := maxEndpointsCompared
	return causes(all, most) < 1+causes(without, most)
}

// blamed returns the crashes that the part may have caused, without those of endpoints that
// were running a request to which a verdict applies.
func (t *Table) blamed(now time.Time, key partKey) []*crash {
	return slices.DeleteFunc(t.evidence.blamed(now, key), func(c *crash) bool { return t.judged(c.endpoint) })
}

// judged reports whether an endpoint that crashed was running a request to which a verdict applies.
func (t *Table) judged(endpoint uint64) bool {
	edition := [2]int{t.verdicts.edition, t.evidence.edition}
	if t.judgements.edition != edition {
		t.judgements.edition, t.judgements.byEnd = edition, make(map[uint64]bool)
	}
	judged, known := t.judgements.byEnd[endpoint]
	if !known {
		judged = slices.ContainsFunc(t.evidence.byEnd[endpoint], func(o *crash) bool { return t.match(o.parts) != nil })
		t.judgements.byEnd[endpoint] = judged
	}
	return judged
}

// unexplained returns the crashes that no other part explains as well. An endpoint that
// crashes takes all its requests along, but one of them has caused it: a part that met with
// at least as many crashes, on the same endpoint, is the more likely cause. Parts in common
// are those that all requests with the part have. Where answers have begun on all parts of a
// request, another part on which none has, and with which two endpoints crashed, is also more likely;
// a part on which answers have begun is never more likely than one on which none has.
func (t *Table) unexplained(now time.Time, blamed []*crash, common []partKey) []*crash {
	count, shared := successive(blamed), keySet(common)
	stronger := make(map[partKey]bool)
	for _, c := range blamed {
		for _, o := range t.evidence.byEnd[c.endpoint] {
			for _, other := range t.evidence.blames(o) {
				if _, known := stronger[other]; !known && !shared[other] {
					stronger[other] = successive(t.blamed(now, other)) >= count
				}
			}
		}
	}
	// explains reports whether another request at the same endpoint explains the crash.
	explains := func(o, c *crash) bool {
		if o.begun && !c.begun {
			return false
		}
		return slices.ContainsFunc(t.evidence.blames(o), func(other partKey) bool {
			if stronger[other] {
				return true
			}
			return c.begun && !o.begun && !shared[other] && other != o.parts[len(o.parts)-1] && successive(t.blamed(now, other)) > 1
		})
	}
	return slices.DeleteFunc(slices.Clone(blamed), func(c *crash) bool {
		return slices.ContainsFunc(t.evidence.byEnd[c.endpoint], func(o *crash) bool { return explains(o, c) })
	})
}

// pass passes a verdict on parts of a request, unless there is one.
func (t *Table) pass(now time.Time, p *Permit, keys []partKey, weights []int64, crashes int) *verdict {
	v := t.verdicts.byKey[setKey(keys)]
	if v != nil && !v.released {
		return v
	}
	next := &verdict{service: p.service, keys: keys, weights: weights, crashes: crashes, since: now}
	for _, key := range keys {
		next.parts = append(next.parts, p.name(key))
	}
	if v != nil {
		next.serial, next.probes = v.serial, v.probes
	}
	t.verdicts.put(next)
	t.verdicts.update(now, next)
	t.changed = now
	return next
}

// release ends the verdict on a request that was answered. The caller must hold t.mu.
func (t *Table) release(now time.Time, p *Permit) {
	v := t.match(p.parts)
	if v == nil || !slices.Contains(v.weights, p.weights) {
		return
	}
	v.released = true
	t.verdicts.edition++
	t.verdicts.update(now, v)
	t.evidence.forget(v.keys)
	t.changed = now
}

// released reports whether a verdict on parts of a crash was released after it. Such a
// crash is no evidence any more. The caller must hold t.mu.
func (t *Table) released(c *crash) bool {
	for _, key := range c.parts {
		for _, v := range t.verdicts.byPart[key] {
			if v.released && !c.at.After(v.changed) && containsAll(c.parts, v.keys) {
				return true
			}
		}
	}
	return false
}

// mayProbe reports whether this entry may send a request to find out whether its parts
// are sound again. The caller must hold t.mu.
func (t *Table) mayProbe(now time.Time, v *verdict, keys []partKey) bool {
	if rank, _ := t.rank(now, setKey(v.keys)); rank > 0 || now.Before(v.nextProbe) {
		return false
	}
	return !slices.ContainsFunc(keys, func(key partKey) bool { return t.tried(now, key) })
}

// soundWith reports whether endpoints crashed with other versions of the weights only,
// and answers with this one have shown all the parts to be sound.
func (e *evidence) soundWith(v *verdict, weights int64) bool {
	if slices.Contains(v.weights, weights) {
		return false
	}
	return !slices.ContainsFunc(v.keys, func(key partKey) bool {
		return !slices.ContainsFunc(e.proofs(key), func(b proof) bool { return b.weights == weights })
	})
}

// soundElsewhere reports whether there is a version for which soundWith is true.
func (e *evidence) soundElsewhere(v *verdict) bool {
	return slices.ContainsFunc(e.proofs(v.keys[0]), func(b proof) bool { return e.soundWith(v, b.weights) })
}

func (v *verdict) quarantine() fulmardeal.Quarantine {
	return fulmardeal.Quarantine{
		Service: v.service, Parts: slices.Clone(v.parts), Weights: slices.Clone(v.weights), Crashes: v.crashes,
		Probes: v.probes, Serial: v.serial, Released: v.released, Since: v.since,
	}
}

// Apply applies a verdict that another entry has reported or stored, if it is newer.
func (t *Table) Apply(now time.Time, q fulmardeal.Quarantine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(now, q)
}

func (t *Table) apply(now time.Time, q fulmardeal.Quarantine) {
	if q.Service == "" || len(q.Parts) == 0 {
		return
	}
	v := &verdict{
		service: q.Service, parts: q.Parts, weights: q.Weights, crashes: q.Crashes, probes: q.Probes, serial: q.Serial, released: q.Released,
		since: q.Since, changed: now, nextProbe: now.Add(probeInterval(q.Probes)),
	}
	for _, part := range q.Parts {
		v.keys = append(v.keys, keyOf(q.Service, part))
	}
	if known := t.verdicts.byKey[setKey(v.keys)]; known != nil {
		tie := known.serial == v.serial && known.released && !v.released
		if known.serial >= v.serial && !tie {
			return
		}
	}
	t.verdicts.put(v)
	if v.released {
		t.evidence.forget(v.keys)
	}
	t.verdicts.changes = append(t.verdicts.changes, Change{Quarantine: v.quarantine()})
	t.changed = now
}

// Changes returns the changes of verdicts since the last call.
func (t *Table) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.verdicts.changes
	t.verdicts.changes = nil
	return out
}

// Quarantines returns all verdicts that are in force.
func (t *Table) Quarantines() []fulmardeal.Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fulmardeal.Quarantine
	for _, v := range t.verdicts.byKey {
		if !v.released {
			out = append(out, v.quarantine())
		}
	}
	slices.SortFunc(out, func(a, b fulmardeal.Quarantine) int { return a.Since.Compare(b.Since) })
	return out
}
