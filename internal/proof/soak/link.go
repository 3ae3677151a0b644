package soak

import (
	"time"

	"fulmardeal/internal/standin/site"
)

// disturbsLink reports whether a fault is one of a link of an endpoint or a process.
// Connections that are reset or go silent are none.
func (k Kind) disturbsLink() bool {
	switch k {
	case FaultDelay, FaultHoldRequests, FaultHoldAnswers, FaultRefuse:
		return true
	}
	_, link := storeMode(k)
	return link
}

// disturbsStore reports whether a fault is one of the store for all processes.
func (k Kind) disturbsStore() bool {
	switch k {
	case FaultStoreDown, FaultStoreSilent, FaultStoreSlow, FaultStoreLossy, FaultRestoreStore:
		return true
	}
	return false
}

// storeMode returns the mode of the store for one process with a fault, and whether the fault
// is one of the process's way to the store.
func storeMode(k Kind) (site.Mode, bool) {
	switch k {
	case FaultCutStore:
		return site.ModeHealthy, true
	case FaultLimitStore:
		return site.ModeLimited, true
	case FaultDenyStore:
		return site.ModeDown, true
	case FaultHangStore:
		return site.ModeSilent, true
	}
	return site.ModeHealthy, false
}

// cutStore holds back what passes between a process and the store, or lets the store answer
// the process in the given mode.
func (d *deployment) cutStore(f Fault, mode site.Mode) {
	if f.Kind == FaultCutStore {
		d.storeProxies[f.Target].SetFaults(site.ProxyFaults{HoldToTarget: true, HoldToCaller: true})
		defer d.storeProxies[f.Target].SetFaults(site.ProxyFaults{})
	}
	d.storeViews[f.Target].SetMode(mode)
	defer d.storeViews[f.Target].SetMode(site.ModeHealthy)
	time.Sleep(f.For)
}
