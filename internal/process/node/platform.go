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

// Limits of a node's use of the log.
const (
	readersPerDataCentre = 2 // processes in a data centre that read the log

	// noContactTimeout is the time without contact to any peer after which a
	// process reads the log itself.
	noContactTimeout = 5 * time.Second

	// A new snapshot is written once there are snapshotRecords records since
	// the last snapshot, or once the last snapshot is older than snapshotAge.
	// The log retains records for days, so that many attempts to write a
	// snapshot may fail before the last one expires.
	snapshotRecords = 1000 // number of records
	snapshotAge     = time.Hour
)

// announce announces this instance to the platform's directory.
func (n *Node) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := n.options.Directory.Announce(ctx, n.Instance()); err != nil {
		n.log.Debug("announcing this instance to the directory failed", "err", err)
	}
}

// refreshMembers merges the platform's list of instances into the membership
// table when that is due, and joins through a member when this process has just
// started.
//
// The list is long, so only the log readers of a data centre fetch it often and
// gossip its changes. Other processes fetch it rarely, unless they have no peer to
// get updates from. A process that has not joined yet fetches it at every call.
func (n *Node) refreshMembers(ctx context.Context) {
	interval := idleListInterval
	if n.isLogReader() || len(n.members.Partners(1)) == 0 {
		interval = listInterval
	}
	n.mu.Lock()
	due := !n.joined || time.Since(n.lastList) >= interval
	joined := n.joined
	n.mu.Unlock()
	if !due {
		return
	}
	listCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	all, err := n.options.Directory.List(listCtx)
	if err != nil {
		n.log.Debug("listing the directory's instances failed", "err", err)
		return
	}
	n.members.MergePlatformList(time.Now(), all)
	n.mu.Lock()
	n.lastList = time.Now()
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

// Settled reports whether this process knows the other members well enough to
// make decisions that depend on who they are. It does if it joined some time ago,
// or if it has found no peer for so long that there is probably none.
func (n *Node) Settled(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joined && now.Sub(n.joinTime) > joinSettleTime || now.Sub(n.startTime) > noPeerSettleTime
}

// readLog reads the log, and writes a snapshot when that is due, if this process
// is a log reader.
func (n *Node) readLog(ctx context.Context) {
	if !n.isLogReader() {
		return
	}
	n.fetch(ctx)
	n.writeSnapshot(ctx)
}

// isLogReader reports whether this process reads the log: it is one of its data
// centre's readers, has no configuration yet, or has lost contact with all
// peers.
func (n *Node) isLogReader() bool {
	if n.store.Version() == 0 {
		return true
	}
	sinceContact, known := n.members.SinceContact(time.Now())
	if !known || sinceContact > noContactTimeout {
		return true
	}
	for _, in := range n.dataCentreReaders() {
		if in.Incarnation == n.incarnation {
			return true
		}
	}
	return false
}

// dataCentreReaders returns the log readers of this data centre. All processes
// with the same members compute the same readers.
func (n *Node) dataCentreReaders() []fulmardeal.Instance {
	return n.candidatesFor("log", readersPerDataCentre, func(in fulmardeal.Instance) bool {
		return in.DataCentre == n.options.Settings.DataCentre
	})
}

// candidatesFor returns up to limit members that match and rank first for a job.
// The result is cached until the members change.
func (n *Node) candidatesFor(job string, limit int, match func(fulmardeal.Instance) bool) []fulmardeal.Instance {
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
	c = candidates{version: version, list: slices.Clone(all[:min(limit, len(all))])}
	n.mu.Lock()
	n.candidates[job] = c
	n.mu.Unlock()
	return c.list
}

// fetch reads the log's records after the version in force.
func (n *Node) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	started := time.Now()
	err := configuration.ReadLog(ctx, n.options.Log, n.store)
	var trimmed *fulmardeal.TrimmedError
	recordsExpired := errors.As(err, &trimmed)
	n.recordLogState(err, recordsExpired)
	if err == nil {
		n.recordConfirmed(started)
	}
}

// recordLogState records whether the log can be read, and whether the records that
// this process needs have expired.
func (n *Node) recordLogState(err error, recordsExpired bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	down := err != nil && !recordsExpired
	if down != n.logDown {
		n.log.Warn("log availability changed", "down", down, "err", err)
	}
	n.logDown, n.recordsExpired = down, recordsExpired
}

// writeSnapshot appends a snapshot of the configuration state to the log, well
// before the log's records expire. Only the process that ranks first among all
// members writes it. A duplicate snapshot is harmless.
func (n *Node) writeSnapshot(ctx context.Context) {
	if !n.store.SnapshotDue(time.Now(), snapshotRecords, snapshotAge) {
		return
	}
	writer := n.candidatesFor("snapshot", 1, func(fulmardeal.Instance) bool { return true })
	if len(writer) == 0 || writer[0].Incarnation != n.incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	body := n.store.State().Canonical()
	if _, err := n.options.Log.Append(ctx, configuration.Stream, body); err != nil {
		n.log.Warn("appending a snapshot to the log failed", "err", err)
	}
}
