package gateway

import (
	"fmt"
	"net/netip"

	"fulmardeal"
	"fulmardeal/internal/fleet/feed"
)

// OwnAddressError reports a registration at an address on which this entry itself listens.
// Requests that are sent there would return to it.
type OwnAddressError struct {
	ID      string
	Address string
}

func (e *OwnAddressError) Error() string {
	return fmt.Sprintf("registration %s: address: %s is this entry's own", e.ID, e.Address)
}

// isOwn reports whether an address is one on which this entry listens.
func (g *Gateway) isOwn(address string) bool {
	s := &g.settings
	if address == s.CallerAddress || address == s.ReadinessAddress {
		return true
	}
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().String() == s.IP && int(a.Port()) >= s.PortRange[0] && int(a.Port()) <= s.PortRange[1]
}

// withoutOwn returns a batch in which the registrations at addresses of this entry are
// faults, like those that can't be decoded.
func (g *Gateway) withoutOwn(b feed.Batch) feed.Batch {
	changes := make([]fulmardeal.Change, len(b.Changes))
	var faults []fulmardeal.Change
	for i, c := range b.Changes {
		if r := c.Registration; r != nil && g.isOwn(r.Address) {
			c = fulmardeal.Change{Key: c.Key, Offset: c.Offset, Fault: &OwnAddressError{ID: r.ID, Address: r.Address}}
			faults = append(faults, c)
		}
		changes[i] = c
	}
	g.faults.Record(feedRegistrations, faults)
	b.Changes = changes
	return b
}
