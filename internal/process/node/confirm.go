package node

import (
	"time"

	"fulmardeal"
)

// never is the age of a configuration that was never confirmed.
const never = -1

// A process can't know by itself whether its data centre has been taken out
// since it last heard. It knows when the log has answered, or when it hears
// from a process that knows: Age in a greeting is how old that knowledge is.
// While the log is down nothing new can be accepted, so a process that stands
// in the log's region and hears from another data centre counts as one that
// knows. What is known ages by the time that an exchange took, so a word that
// was long under way confirms nothing.

// Confirmed reports whether the configuration has lately been confirmed.
func (n *Node) Confirmed(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.ticked) > frozenAfter {
		return false // paused until just now
	}
	return now.Sub(n.confirmed) <= CutoffAfter
}

// age returns how long ago the configuration was confirmed.
func (n *Node) age(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.confirmed.IsZero() {
		return never
	}
	return now.Sub(n.confirmed)
}

// confirm notes that the configuration was the newest at a time.
func (n *Node) confirm(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.After(n.confirmed) {
		n.confirmed = at
	}
}

// confirmBy takes over what the other end of an exchange knows.
func (n *Node) confirmBy(begun time.Time, g Greeting) {
	if g.Age >= 0 {
		n.confirm(begun.Add(-g.Age))
	}
	if n.root() && n.outside(g.From.Instance) {
		n.confirm(begun)
	}
}

// root reports whether this process may take the log for down when it can't
// read it: it stands where the log does, or nobody has said where that is.
func (n *Node) root() bool {
	home := n.options.Settings.Home
	return home == "" || home == n.options.Settings.Region
}

// outside reports whether word from a member shows that this process isn't cut
// off: the member stands in another data centre, if there is another.
func (n *Node) outside(in fulmardeal.Instance) bool {
	c := n.store.Current()
	if c != nil && len(c.DataCentres()) < 2 {
		return true
	}
	return in.DataCentre != n.options.Settings.DataCentre
}
