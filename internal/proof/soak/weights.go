package soak

import (
	"slices"
	"time"

	"fulmardeal/internal/standin/site"
)

// checkWeights records a violation if the endpoint serves an old version of the weights for
// an undisturbed entry, although a newer one was published and boundWeights have passed
// since, in one stretch in which no fault affected the store or a link. Faults of processes
// and of endpoints excuse only the entry that they affect. c.mu must be held.
func (c *Checker) checkWeights(r *request, a site.ReceivedRequest) {
	if !c.undisturbed(r.sent, entryScope(r.entry)) || c.justRestarted(r.sent, entryScope(r.entry)) {
		return
	}
	for _, published := range c.published {
		if published.version > a.Version && c.longestStretch(published.at, a.Time) > boundWeights {
			c.record(GuaranteeWeightsVersion, a.Attempt, "%s started it on version %d, %v after version %d was published, sent %v before to entry %d", a.Endpoint.ID, a.Version,
				a.Time.Sub(published.at), published.version, a.Time.Sub(r.sent), r.entry)
			return
		}
	}
}

// longestStretch returns the length of the longest part of an interval in which no link was
// affected by a fault, nor the store in the settleTime before. c.mu must be held.
func (c *Checker) longestStretch(from, to time.Time) time.Duration {
	faults := slices.DeleteFunc(slices.Clone(c.disturbances), func(d disturbance) bool { return !d.link && d.scope != scopeAll })
	slices.SortFunc(faults, func(a, b disturbance) int { return a.from.Compare(b.from) })
	var longest time.Duration
	for _, d := range faults {
		end := d.to
		switch {
		case end.IsZero():
			end = to
		case d.scope == scopeAll:
			end = end.Add(settleTime)
		}
		if !end.After(from) {
			continue
		}
		if d.from.After(to) {
			break
		}
		longest = max(longest, d.from.Sub(from))
		from = end
	}
	return max(longest, to.Sub(from))
}
