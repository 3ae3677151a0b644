package node

import (
	"time"

	"fulmardeal"
)

// neverConfirmed is the confirmation age of a configuration that has never been
// confirmed.
const neverConfirmed = -1

// A process that has lost contact can't know whether its data centre has been
// taken out of service in the meantime. It therefore needs a recent confirmation
// that its configuration is the newest. A confirmation is a reply of the log to a
// read, or a message of a peer whose own configuration is confirmed;
// PeerMessage.Age is the age of the peer's confirmation. While the log is down no
// change can be accepted. A process in the log's region that can't read the log
// but reaches another data centre therefore counts as confirmed too.
//
// A confirmation is dated to the start of the exchange that brought it. Otherwise
// a delayed reply could confirm a configuration that is no longer the newest.

// Confirmed reports whether the last confirmation is at most MaxConfirmationAge
// old.
func (n *Node) Confirmed(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.lastTick) > pauseThreshold {
		return false // the process was paused and hasn't confirmed since
	}
	return now.Sub(n.confirmed) <= MaxConfirmationAge
}

// confirmationAge returns how long ago the configuration was confirmed, or
// neverConfirmed.
func (n *Node) confirmationAge(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.confirmed.IsZero() {
		return neverConfirmed
	}
	return now.Sub(n.confirmed)
}

// recordConfirmed records that the configuration was the newest one at the given
// time. An earlier time than the recorded one has no effect.
func (n *Node) recordConfirmed(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.After(n.confirmed) {
		n.confirmed = at
	}
}

// confirmFrom derives a confirmation from a peer's message in an exchange that
// began at started.
func (n *Node) confirmFrom(started time.Time, m PeerMessage) {
	if m.Age >= 0 {
		n.recordConfirmed(started.Add(-m.Age))
	}
	if n.colocatedWithLog() && n.provesConnected(m.From.Instance) {
		n.recordConfirmed(started)
	}
}

// colocatedWithLog reports whether the process is in the log's region, or no such
// region is set. If so, a failure to read the log means that the log is down;
// otherwise it may be only the link to the log.
func (n *Node) colocatedWithLog() bool {
	home := n.options.Settings.Home
	return home == "" || home == n.options.Settings.Region
}

// provesConnected reports whether contact with a member shows that this data
// centre isn't cut off. It does if the member is in another data centre, or if
// there is only one data centre.
func (n *Node) provesConnected(in fulmardeal.Instance) bool {
	c := n.store.Current()
	if c != nil && len(c.DataCentres()) < 2 {
		return true
	}
	return in.DataCentre != n.options.Settings.DataCentre
}
