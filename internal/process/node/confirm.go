package node

import (
	"time"

	"fulmardeal"
)

// neverConfirmed is the confirmation age of a configuration that has never been
// confirmed.
const neverConfirmed = -1

// How a configuration is confirmed: a process that has lost contact can't know
// whether its data centre has been taken out of service in the meantime. Its
// configuration is confirmed as the
// newest when the log answers a read, or when a peer with a confirmed
// configuration replies; PeerMessage.Age is the age of the peer's confirmation.
// While the log is down no change can be accepted, so a process in the log's
// region that reaches another data centre counts as confirmed too.
//
// A confirmation dates from the start of the exchange that brought it, so a
// delayed reply can't confirm an old configuration.

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

// recordConfirmed records that the configuration was the newest one at a time.
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

// colocatedWithLog reports whether a failure to read the log means that the log
// is down rather than that the link to it is: the process is in the log's
// region, or no such region is set.
func (n *Node) colocatedWithLog() bool {
	home := n.options.Settings.Home
	return home == "" || home == n.options.Settings.Region
}

// provesConnected reports whether contact with a member shows that this data
// centre isn't cut off: the member is in another data centre, or there is no
// other.
func (n *Node) provesConnected(in fulmardeal.Instance) bool {
	c := n.store.Current()
	if c != nil && len(c.DataCentres()) < 2 {
		return true
	}
	return in.DataCentre != n.options.Settings.DataCentre
}
