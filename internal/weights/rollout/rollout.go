// Package rollout decides what becomes of several versions of a model that are on their
// way at the same time: whose chunks go first on the links, which versions are not
// fetched, and which one an engine skips.
//
// It only makes decisions, from what agents know of each other. Agents that know the same
// decide the same, so that nobody has to be asked.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Estimates of how long things take, if nothing better is known. They are compared with each
// other and with the time that a version may still be used, so they need not be exact.
const (
	copyTime     = 3 * time.Second
	spreadTime   = 600 * time.Millisecond
	loadTime     = 2500 * time.Millisecond // an engine finishes its work and loads a version
	idleLoadTime = 400 * time.Millisecond  // one without work loads it
	never        = time.Hour

	// keptUnknown is the share of a version that the origin may still have to send for
	// the version to be completed before a newer one, if that one is in time
	// nevertheless: an insurance against an origin that goes away.
	keptUnknown = 0.5

	// minGain is the time that it must save to change engines twice.
	minGain = 500 * time.Millisecond

	// stageMissing is the share of a version that may still be missing when it is staged.
	stageMissing = 0.5

	// manifestTime is how long a newer version without a manifest may keep an older one
	// back. After it, the newer one counts as unavailable.
	manifestTime = time.Second

	// stuckTime is how long a version may get no further before an engine that serves
	// nothing loads an older one that it has.
	stuckTime = time.Second
)

// Version is a version that is on its way, as an agent knows it.
type Version struct {
	Number  int64
	Named   time.Time // when it was published
	End     time.Time // until when entries use it; zero if no newer one was published
	Started bool      // its manifest is there
	Whole   bool      // this agent holds all chunks
	Unknown float64   // share of the chunks that no known agent holds
	Missing float64   // share of the chunks that this agent doesn't hold
	Moved   time.Time // when Unknown or Missing last fell; zero if that isn't known
	Times   Times
}

// Times is how long the distribution of a version takes; zero times are unknown.
type Times struct {
	Copy   time.Duration // the origin sends all of it
	Link   time.Duration // all of it passes this agent's link
	Spread time.Duration // the last chunk that the origin sends reaches all agents
}

// draw returns how long the origin takes to send what is unknown.
func (v *Version) draw() time.Duration {
	return time.Duration(v.Unknown * float64(cmp.Or(v.Times.Copy, copyTime)))
}

func (v *Version) spread() time.Duration { return cmp.Or(v.Times.Spread, spreadTime) }

// Inputs is what one decision is based on.
type Inputs struct {
	Now        time.Time
	Held       int64     // version that the engine holds, 0 for none
	HeldEnd    time.Time // until when entries use it; zero if no newer one was published
	OriginAway bool      // no agent reaches the origin
	Late       bool      // the engine is in the later half of the order of changes
	Versions   []Version // newer than the held one, in ascending order
}

// Choice is a decision.
type Choice struct {
	First  int64   // version whose chunks go first; 0 if there is none
	Paused []int64 // versions of which nothing is fetched now
	Skip   []int64 // versions that the engine doesn't load, though it may hold all chunks
	Stage  int64   // version that is staged in the engine while it arrives, in place of others; 0 if none is
}

// Decide decides for one agent.
func Decide(in Inputs) Choice {
	if len(in.Versions) == 0 {
		return Choice{}
	}
	newest := in.Versions[len(in.Versions)-1]
	c := Choice{First: newest.Number}
	older, is := in.bestOlder()
	if !is {
		return c
	}
	// An engine that skips the older version still helps to draw what is unknown of it.
	if in.comesFirst(older, newest) && (older.Unknown > 0 || !in.skips(older, newest)) {
		c.First = older.Number
	}
	for _, v := range in.Versions[:len(in.Versions)-1] {
		skipped := newest.Whole || in.skips(v, newest)
		if skipped {
			c.Skip = append(c.Skip, v.Number)
		}
		wanted := v.Number == c.First || v.Number == older.Number && v.Unknown == 0 && !skipped
		if !v.Whole && !wanted {
			c.Paused = append(c.Paused, v.Number)
		}
	}
	c.Stage = in.staged(newest, &c)
	return c
}

// staged returns the number of the newest version if it may take the place of older ones in
// the engine's staging area, which has room for one: most of it has arrived, it goes first, and
// the engine won't load any of these.
func (in *Inputs) staged(newest Version, c *Choice) int64 {
	if !newest.Started || newest.Missing > stageMissing || c.First != newest.Number {
		return 0
	}
	for _, v := range in.Versions[:len(in.Versions)-1] {
		dropped := v.Missing > newest.Missing && (c.Skips(v.Number) || c.Pauses(v.Number))
		if !dropped && in.until(v.End) > loadTime {
			return 0
		}
	}
	return newest.Number
}

// bestOlder returns the version before the newest one that needs least of the origin,
// the newer one of two that need the same.
func (in *Inputs) bestOlder() (Version, bool) {
	var best Version
	for _, v := range in.Versions[:len(in.Versions)-1] {
		if v.Started && (best.Number == 0 || v.Unknown <= best.Unknown) {
			best = v
		}
	}
	return best, best.Number != 0
}

// until returns how long a version is still used.
func (in *Inputs) until(end time.Time) time.Duration {
	if end.IsZero() {
		return never
	}
	return max(0, end.Sub(in.Now))
}

// heldUntil returns how long the engine still serves what it holds.
func (in *Inputs) heldUntil() time.Duration {
	if in.Held == 0 {
		return 0
	}
	return in.until(in.HeldEnd)
}

// arrival returns after how long a version will have reached all agents, if the origin
// is there.
func (in *Inputs) arrival(v Version) time.Duration {
	switch {
	case v.Whole:
		return 0
	case !v.Started && in.Now.Sub(v.Named) > manifestTime:
		return never
	}
	own := time.Duration(v.Missing * float64(v.Times.Link))
	return max(v.draw()+v.spread(), own)
}

// gap returns for how long no engine serves if a version that arrives after some time
// replaces one that is used for another time. If it arrives early enough, engines change in turn.
func gap(arrival, used time.Duration) time.Duration {
	if arrival < used {
		return max(0, arrival+loadTime-used)
	}
	return max(arrival-used+idleLoadTime, loadTime)
}

// stuck reports whether a version has got no further for some time.
func (in *Inputs) stuck(v Version) bool {
	return !v.Whole && !v.Moved.IsZero() && in.Now.Sub(v.Moved) > stuckTime
}

// waitsForOrigin reports whether a version can't arrive before the origin returns.
func (in *Inputs) waitsForOrigin(v Version) bool { return in.OriginAway && v.Unknown > 0 }

// comesFirst reports whether the older of two versions is to be completed before the
// newer one. That delays the newer one, and every engine changes twice; it is worth it if
// there is less time in which no engine serves. While the origin is away, versions that
// wait for it are compared as if it returned now: whatever comes first then, some agents
// have to ask for.
func (in *Inputs) comesFirst(older, newest Version) bool {
	if older.Whole || newest.Whole {
		return false
	}
	heldEnd, olderEnd := in.heldUntil(), in.until(older.End)
	olderAt, newestAt := in.arrival(older), in.arrival(newest)
	if in.waitsForOrigin(newest) && !in.waitsForOrigin(older) {
		newestAt = never
	}
	switch {
	case olderAt >= olderEnd:
		return false
	case newestAt >= never:
		return true
	}
	bothAt := older.draw() + newestAt
	if older.Unknown <= keptUnknown && bothAt+older.spread() <= heldEnd {
		return true
	}
	usedAt := heldEnd + gap(olderAt, heldEnd)
	if olderAt < heldEnd {
		usedAt = olderAt + loadTime
	}
	if usedAt >= olderEnd {
		return false // nobody will load it
	}
	return gap(olderAt, heldEnd)+gap(bothAt, olderEnd)+minGain <= gap(newestAt, heldEnd)
}

// skips reports whether the engine waits for the newest version instead of loading an
// older one. An engine in the later half of the order does if it is out of service no
// longer for it than for a change; in the earlier half, whose engines serve while the
// others change, only if the newest version is about to be there.
func (in *Inputs) skips(older, newest Version) bool {
	arrival := in.arrival(newest)
	switch {
	case arrival >= never || in.waitsForOrigin(newest):
		return false // nothing else will be servable
	case in.until(older.End) <= loadTime:
		return true
	case older.Whole && in.heldUntil() == 0 && in.stuck(newest):
		return false
	case !in.Late:
		return arrival <= newest.spread()
	}
	return arrival-in.heldUntil() <= loadTime
}

// Skips reports whether the engine doesn't load a version.
func (c *Choice) Skips(number int64) bool { return slices.Contains(c.Skip, number) }

// Pauses reports whether nothing of a version is fetched.
func (c *Choice) Pauses(number int64) bool { return slices.Contains(c.Paused, number) }
