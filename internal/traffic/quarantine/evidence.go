package quarantine

import (
	"slices"
	"time"
)

// Retention of the evidence.
const (
	crashRetention = 10 * time.Minute
	clearRetention = 5 * time.Second // of a crash whose parts have all been cleared, so that other entries learn it
	maxCrashes     = 256
	maxCrashParts  = 1 << 16     // of all crashes together; the oldest crashes are given up first, as a whole
	soundRetention = time.Minute // how long an answer speaks for the parts of its request
	maxSoundParts  = 1 << 14     // parts per generation of sound
	expireInterval = 200 * time.Millisecond
)

// crash is one request that an endpoint had not answered when it crashed.
type crash struct {
	id       uint64    // hash of the endpoint's id and the request's
	endpoint uint64    // hash of the endpoint's id
	parts    []partKey // see suspicious; complete, the last one is the request's own
	sorted   []partKey // the same, in the order of their values
	weights  int64     // version of the endpoint's weights
	begun    bool      // answers have begun on all parts but the last one, so that they are less likely to be to blame
	sent     time.Time
	at       time.Time // of the crash
	own      bool      // seen by this entry
	cleared  time.Time // when all parts had been cleared; zero before
}

func (c *crash) has(key partKey) bool {
	_, found := slices.BinarySearch(c.sorted, key)
	return found
}

// proof is the latest answer that showed a part to be sound.
type proof struct {
	weights int64
	at      time.Time
}

// evidence holds crashes, and answers that show parts to be sound.
type evidence struct {
	crashes []*crash             // in the order of their time
	byID    map[uint64]*crash    // the same, by id
	expired time.Time            // when crashes were last removed
	byPart  map[partKey][]*crash // the same, by part
	byEnd   map[uint64][]*crash  // the same, by endpoint
	parts   int                  // of all crashes together
	edition int                  // rises with each change of crashes

	// sound and soundBefore hold the latest proofs of each part, one for each version
	// of the weights. When sound is full, it becomes soundBefore.
	sound, soundBefore map[partKey][]proof

	// begun and begunBefore hold the parts on which answers have begun, in the same way.
	begun, begunBefore map[begunPart]time.Time // when an answer on it began last
}

// begunPart is a part on which an answer has begun with a version of the weights.
type begunPart struct {
	part    partKey
	weights int64
}

// recordBegun records that an answer has begun on a part. It proves nothing, but a part on which
// none ever has is more likely to be to blame.
func (e *evidence) recordBegun(b begunPart, at time.Time) {
	if len(e.begun) >= maxSoundParts {
		e.begun, e.begunBefore = make(map[begunPart]time.Time), e.begun
	}
	e.begun[b] = at
}

// lastBegun returns when an answer began last on a part, or the zero time if none has.
func (e *evidence) lastBegun(b begunPart) time.Time {
	if at, ok := e.begun[b]; ok {
		return at
	}
	return e.begunBefore[b]
}

func newEvidence() evidence {
	return evidence{byID: make(map[uint64]*crash), byEnd: make(map[uint64][]*crash), byPart: make(map[partKey][]*crash), sound: make(map[partKey][]proof), begun: make(map[begunPart]time.Time)}
}

// mentions reports whether a crash involves the part.
func (e *evidence) mentions(key partKey) bool { return len(e.byPart[key]) > 0 }

// proofs returns the latest proofs of a part, one for each version of the weights.
func (e *evidence) proofs(key partKey) []proof {
	if b, ok := e.sound[key]; ok {
		return b
	}
	return e.soundBefore[key]
}

// recordProof records that an answer showed a part to be sound. It reports whether that is news to the other
// entries, because the part was to blame for a crash.
func (e *evidence) recordProof(key partKey, b proof) bool {
	if len(e.sound) >= maxSoundParts {
		e.sound, e.soundBefore = make(map[partKey][]proof), e.sound
	}
	news := slices.ContainsFunc(e.byPart[key], func(c *crash) bool {
		return c.weights == b.weights && !b.at.Before(c.at) && e.blamesPart(c, key)
	})
	list := e.proofs(key)
	i := slices.IndexFunc(list, func(o proof) bool { return o.weights == b.weights })
	if i < 0 {
		list = append(slices.Clone(list), b)
	} else if b.at.After(list[i].at) {
		list[i] = b
	}
	e.sound[key] = list
	return news
}

// known reports whether an answer showed the part to be sound, with a version of the weights, since
// soundRetention before the given time.
func (e *evidence) known(key partKey, at time.Time, weights int64) bool {
	return slices.ContainsFunc(e.proofs(key), func(b proof) bool { return b.weights == weights && at.Sub(b.at) < soundRetention })
}

// clears reports whether an answer on the part began after the crash, with the same
// weights.
func (e *evidence) clears(key partKey, c *crash) bool {
	return clears(e.proofs(key), c)
}

// clears reports whether one of the proofs of a part clears it of a crash.
func clears(proofs []proof, c *crash) bool {
	return slices.ContainsFunc(proofs, func(b proof) bool { return b.weights == c.weights && !b.at.Before(c.at) })
}

// add adds a crash unless it is known.
func (e *evidence) add(now time.Time, c *crash) bool {
	e.expire(now)
	if e.byID[c.id] != nil {
		return false
	}
	e.byID[c.id] = c
	e.edition++
	e.byEnd[c.endpoint] = append(e.byEnd[c.endpoint], c)
	e.parts += len(c.parts)
	for len(e.crashes) > 0 && (len(e.crashes) >= maxCrashes || e.parts > maxCrashParts) {
		e.remove(e.crashes[0])
	}
	c.sorted = slices.Sorted(slices.Values(c.parts))
	i, _ := slices.BinarySearchFunc(e.crashes, c.at, func(o *crash, at time.Time) int { return o.at.Compare(at) })
	e.crashes = slices.Insert(e.crashes, i, c)
	for _, key := range c.parts {
		e.byPart[key] = append(e.byPart[key], c)
	}
	return true
}

func (e *evidence) remove(c *crash) {
	e.edition++
	e.parts -= len(c.parts)
	delete(e.byID, c.id)
	if e.byEnd[c.endpoint] = slices.DeleteFunc(e.byEnd[c.endpoint], func(o *crash) bool { return o == c }); len(e.byEnd[c.endpoint]) == 0 {
		delete(e.byEnd, c.endpoint)
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(o *crash) bool { return o == c })
	for _, key := range c.parts {
		if e.byPart[key] = slices.DeleteFunc(e.byPart[key], func(o *crash) bool { return o == c }); len(e.byPart[key]) == 0 {
			delete(e.byPart, key)
		}
	}
}

// forget removes the crashes that involve all the given parts.
func (e *evidence) forget(keys []partKey) {
	for _, c := range slices.Clone(e.byPart[keys[0]]) {
		if !slices.ContainsFunc(keys, func(key partKey) bool { return !c.has(key) }) {
			e.remove(c)
		}
	}
}

// expire removes crashes that are old, or whose parts have been cleared.
func (e *evidence) expire(now time.Time) {
	if now.Sub(e.expired) < expireInterval {
		return
	}
	e.expired = now
	for _, c := range slices.Clone(e.crashes) {
		if c.cleared.IsZero() && !slices.ContainsFunc(c.parts, func(key partKey) bool { return !e.clears(key, c) }) {
			c.cleared = now
		}
		if now.Sub(c.at) > crashRetention || !c.cleared.IsZero() && now.Sub(c.cleared) > clearRetention {
			e.remove(c)
		}
	}
}

// blames returns the parts that may have caused the crash: those that have not been
// cleared since. If no answer has shown some of them to be sound lately, only these.
func (e *evidence) blames(c *crash) []partKey {
	var uncleared, unknown []partKey
	for _, key := range c.parts {
		if e.clears(key, c) {
			continue
		}
		uncleared = append(uncleared, key)
		if !e.known(key, c.at, c.weights) {
			unknown = append(unknown, key)
		}
	}
	if len(unknown) > 0 {
		return unknown
	}
	return uncleared
}

// blamesPart reports whether blames returns the part, without looking at the others if
// possible: most parts have been cleared.
func (e *evidence) blamesPart(c *crash, key partKey) bool {
	switch {
	case e.clears(key, c) || !c.has(key):
		return false
	case !e.known(key, c.at, c.weights):
		return true
	}
	// The last part comes first: no other request has it, so that it is mostly unknown.
	for _, other := range slices.Backward(c.parts) {
		if !e.known(other, c.at, c.weights) && !e.clears(other, c) {
			return false
		}
	}
	return true
}

// blamed returns the crashes that the part may have caused.
func (e *evidence) blamed(now time.Time, key partKey) []*crash {
	crashes := e.byPart[key]
	if len(crashes) == 0 {
		return nil
	}
	var out []*crash
	proofs := e.proofs(key)
	for _, c := range crashes {
		if now.Sub(c.at) <= crashRetention && !clears(proofs, c) && e.blamesPart(c, key) {
			out = append(out, c)
		}
	}
	return out
}

// common returns the parts that all crashes may have been caused by, in the order of the first
// crash's prompt.
func (e *evidence) common(crashes []*crash) []partKey {
	out := e.blames(crashes[0])
	for _, c := range crashes[1:] {
		blames := keySet(e.blames(c))
		out = slices.DeleteFunc(out, func(key partKey) bool { return !blames[key] })
	}
	return out
}

// maxCauses is the number of parts that may crash endpoints at the same time. It is one less where
// the parts in common follow other ones in most prompts: what many requests share, such as a
// template, is at the beginning of their prompts.
const maxCauses = 4

// conclusive reports whether crashes show that the parts which they have in common are to blame,
// and not several other parts, each of which some of them have. A crash whose request had
// no other suspicious part than its own one leaves no other cause. The others count as one for each
// other part that would have to be to blame: more than maxCauses show that it is none of them.
func (e *evidence) conclusive(crashes []*crash, common []partKey, needed int) bool {
	shared := keySet(common)
	var alone []*crash
	var others [][]partKey
	following := 0
	for _, c := range crashes {
		var rest []partKey
		follows := false
		for _, key := range e.blames(c) {
			switch {
			case shared[key]:
				follows = follows || len(rest) > 0
			case key != c.parts[len(c.parts)-1]:
				rest = append(rest, key)
			}
		}
		if len(rest) == 0 {
			alone = append(alone, c)
		} else {
			others = append(others, rest)
		}
		if follows {
			following++
		}
	}
	if successive(alone) >= needed {
		return true
	}
	limit := maxCauses
	if 2*following > len(crashes) {
		limit--
	}
	return successive(alone)+causes(others, limit+1) > limit
}

// causes returns how many parts it takes, about, to have one of each of the lists, but no more than
// the given number.
func causes(lists [][]partKey, most int) int {
	count := 0
	for lists = slices.Clone(lists); len(lists) > 0 && count < most; count++ {
		seen := make(map[partKey]int)
		frequent := lists[0][0]
		for _, keys := range lists {
			for _, key := range keys {
				if seen[key]++; seen[key] > seen[frequent] {
					frequent = key
				}
			}
		}
		lists = slices.DeleteFunc(lists, func(keys []partKey) bool { return slices.Contains(keys, frequent) })
	}
	return count
}

func keySet(keys []partKey) map[partKey]bool {
	out := make(map[partKey]bool, len(keys))
	for _, key := range keys {
		out[key] = true
	}
	return out
}

// last returns the latest crash that involves the part, or nil if there is none.
func (e *evidence) last(key partKey) *crash {
	var out *crash
	for _, c := range e.byPart[key] {
		if out == nil || c.at.After(out.at) {
			out = c
		}
	}
	return out
}

// successive returns how many of the crashes happened one after the other, so that each
// of their requests was sent after the crash before. Requests that were in progress at
// the same time don't add up: many endpoints may end at the same moment for a reason that
// has nothing to do with them.
func successive(crashes []*crash) int {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	count := 0
	var end time.Time
	for _, c := range sorted {
		if count == 0 || !c.sent.Before(end) {
			count++
			end = c.at
		}
	}
	return count
}
