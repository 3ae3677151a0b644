package gateway

import "time"

// refreshTable applies the registrations and the configuration in force to the table. Both
// are followed concurrently: what one follower has read must not be replaced by an older
// state that the other one took before.
func (g *Gateway) refreshTable(now time.Time) {
	g.refreshing.Lock()
	defer g.refreshing.Unlock()
	g.table.Refresh(now, g.roster.List(), g.catalogue.View())
}

// addSuspended records that the instance was suspended for d.
func (g *Gateway) addSuspended(now time.Time, d time.Duration) {
	g.catalogue.AddSuspended(d)
	g.refreshTable(now)
}
