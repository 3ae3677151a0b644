package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
)

// Bounds of a node's use of the log.
const (
	readers = 2 // processes of a data centre that read the log

	// A process that isn't a reader looks at the log only when it has heard
	// no peer for so long.
	lonelyAfter = 5 * time.Second

	// snapshotAfter is the number of records after which, and snapshotAge the
	// age at which, the state is written anew. The log keeps records for
	// days; the age leaves room for many failed tries.
	snapshotAfter = 1000
	snapshotAge   = time.Hour
)

func (n *Node) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := n.options.Directory.Announce(ctx, n.Instance()); err != nil {
		n.log.Debug("not announced", "err", err)
	}
}

// list joins the platform's list of instances, and joins the others through
// one of them when this process has just started. The readers of a data centre
// look often, and what they find travels as news; the list is long, so the
// others look rarely, unless they have nobody to hear news from. A process that
// has just started looks at every turn.
func (n *Node) list(ctx context.Context) {
	every := listRarely
	if n.reader() || len(n.members.Partners(1)) == 0 {
		every = listEvery
	}
	n.mu.Lock()
	due := !n.joined || time.Since(n.listed) >= every
	joined := n.joined
	n.mu.Unlock()
	if !due {
		return
	}
	listCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	all, err := n.options.Directory.List(listCtx)
	if err != nil {
		n.log.Debug("instances not listed", "err", err)
		return
	}
	n.members.MergePlatformList(time.Now(), all)
	n.mu.Lock()
	n.listed = time.Now()
	n.mu.Unlock()
	if joined && n.store.Version() > 0 {
		return
	}
	for _, in := range n.members.RandomAlive(fanout) {
		if n.join(ctx, in) && n.store.Version() > 0 {
			return
		}
	}
}

// Settled reports whether this process knows the others well enough to decide
// what only one of them should do: another has told it of all that it knows,
// or there seems to be no other.
func (n *Node) Settled(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joined && now.Sub(n.joinedAt) > settleAfter || now.Sub(n.started) > aloneAfter
}

// read reads the log when this process is one of its data centre's readers, or
// hears nobody who could be.
func (n *Node) read(ctx context.Context) {
	if !n.reader() {
		return
	}
	n.fetch(ctx)
	n.snapshot(ctx)
}

func (n *Node) reader() bool {
	if n.store.Version() == 0 {
		return true
	}
	silent, known := n.members.SinceContact(time.Now())
	if !known || silent > lonelyAfter {
		return true
	}
	for _, in := range n.dataCentreReaders() {
		if in.Incarnation == n.incarnation {
			return true
		}
	}
	return false
}

// dataCentreReaders returns this data centre's readers of the log, which
// everybody works out alike.
func (n *Node) dataCentreReaders() []fulmardeal.Instance {
	return n.first("log", readers, func(in fulmardeal.Instance) bool {
		return in.DataCentre == n.options.Settings.DataCentre
	})
}

// first returns the first candidates for a job among the members that match.
// They are worked out again only when the members have changed.
func (n *Node) first(job string, most int, match func(fulmardeal.Instance) bool) []fulmardeal.Instance {
	version := n.members.Version()
	n.mu.Lock()
	c, known := n.candidates[job]
	n.mu.Unlock()
	if known && c.version == version {
		return c.list
	}

	var all []fulmardeal.Instance
	for _, m := range n.members.Members() {
		if m.State() == membership.Alive && match(m.Instance()) {
			all = append(all, m.Instance())
		}
	}
	slices.SortFunc(all, func(a, b fulmardeal.Instance) int {
		return cmp.Compare(membership.Score(job, b.Incarnation), membership.Score(job, a.Incarnation))
	})
	c = candidates{version: version, list: slices.Clone(all[:min(most, len(all))])}
	n.mu.Lock()
	n.candidates[job] = c
	n.mu.Unlock()
	return c.list
}

// fetch reads what the log has after the version in force.
func (n *Node) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	begun := time.Now()
	err := configuration.ReadLog(ctx, n.options.Log, n.store)
	var trimmed *fulmardeal.TrimmedError
	expired := errors.As(err, &trimmed)
	n.noteLog(err, expired)
	if err == nil {
		n.confirm(begun)
	}
}

func (n *Node) noteLog(err error, expired bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	down := err != nil && !expired
	if down != n.logDown {
		n.log.Warn("log reading changed", "down", down, "err", err)
	}
	n.logDown, n.expired = down, expired
}

// snapshot writes the state into the stream well before its records expire.
// The first candidate of all processes does it; a second one does no harm.
func (n *Node) snapshot(ctx context.Context) {
	if !n.store.SnapshotDue(time.Now(), snapshotAfter, snapshotAge) {
		return
	}
	writer := n.first("snapshot", 1, func(fulmardeal.Instance) bool { return true })
	if len(writer) == 0 || writer[0].Incarnation != n.incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	body := n.store.State().Canonical()
	if _, err := n.options.Log.Append(ctx, configuration.Stream, body); err != nil {
		n.log.Warn("snapshot not written", "err", err)
	}
}
