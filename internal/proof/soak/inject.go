package soak

import (
	"syscall"
	"time"

	"fulmardeal/internal/standin/site"
)

// inject makes a fault happen, and returns when it has ended.
func (w *world) inject(f Fault) {
	switch f.Kind {
	case FaultKill, FaultTerminate, FaultPause, FaultReload, FaultCutStore:
		w.injectMember(f)
	case FaultStoreDown, FaultStoreMute, FaultStoreSlow, FaultStoreLossy:
		w.injectStore(f)
	case FaultConfig:
		w.change(f.Target)
	case FaultName:
		w.name()
	case FaultEvacuate:
		w.evacuate(f)
	case FaultAll:
		for i := range w.fleet.members {
			go w.injectMember(Fault{Kind: FaultKill, For: f.For, Target: i})
		}
	default:
		w.injectEndpoint(f)
	}
}

// injectMember strikes a process, unless another fault has it.
func (w *world) injectMember(f Fault) {
	m := w.fleet.members[f.Target]
	m.mu.Lock()
	if m.busy {
		m.mu.Unlock()
		return
	}
	m.busy = true
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.busy = false
		m.mu.Unlock()
	}()
	switch f.Kind {
	case FaultTerminate: // planned work, which excuses nothing
		w.fleet.terminate(f.Target)
		time.Sleep(restartAfter)
		return
	case FaultReload:
		w.fleet.signal(f.Target, syscall.SIGHUP, false)
		return
	}
	end := w.checker.Disturb(m.site.Name)
	defer end()
	switch f.Kind {
	case FaultKill:
		w.fleet.signal(f.Target, syscall.SIGKILL, true)
		time.Sleep(restartAfter)
	case FaultPause:
		w.fleet.signal(f.Target, syscall.SIGSTOP, false)
		time.Sleep(f.For)
		w.fleet.signal(f.Target, syscall.SIGCONT, false)
	case FaultCutStore:
		w.toStore[f.Target].SetFaults(site.ProxyFaults{HoldToTarget: true, HoldToCaller: true})
		time.Sleep(f.For)
		w.toStore[f.Target].SetFaults(site.ProxyFaults{})
	}
}

// injectStore disturbs the store for all. When faults overlap, the last one
// holds until all have ended.
func (w *world) injectStore(f Fault) {
	mode := map[Kind]site.Mode{FaultStoreDown: site.ModeDown, FaultStoreMute: site.ModeSilent, FaultStoreSlow: site.ModeSlow, FaultStoreLossy: site.ModeLossy}[f.Kind]
	end := w.checker.Disturb(scopeAll)
	defer end()
	w.mu.Lock()
	w.modes = append(w.modes, mode)
	w.store.SetMode(mode)
	w.mu.Unlock()
	time.Sleep(f.For)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.modes = w.modes[1:]
	if len(w.modes) == 0 {
		w.store.SetMode(site.ModeHealthy)
	}
}

// injectEndpoint strikes an endpoint, unless another fault has it.
func (w *world) injectEndpoint(f Fault) {
	w.mu.Lock()
	taken := w.busy[f.Target]
	w.busy[f.Target] = true
	w.mu.Unlock()
	if taken {
		return
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy[f.Target] = false
	}()
	e, way := w.endpoints[f.Target], w.ways[f.Target]
	r, _ := e.Registration()
	end := w.checker.Disturb(r.Address)
	defer end()
	hold := func(r site.ProxyFaults) {
		way.SetFaults(r)
		time.Sleep(f.For)
		way.SetFaults(site.ProxyFaults{})
	}
	ail := func(t site.Fault) {
		e.SetFault(t)
		time.Sleep(f.For)
		e.SetFault(site.FaultNone)
	}
	switch f.Kind {
	case FaultCrash, FaultPower:
		w.restart(f.Target, f.Kind == FaultPower)
	case FaultDrain:
		e.Drain()
		time.Sleep(beat + 100*time.Millisecond) // the notice goes out with the next beat
		w.checker.Left(r.ID)
		time.Sleep(boundDrain + drainExtra)
		w.restart(f.Target, false)
	case FaultSlow:
		ail(site.FaultSlow)
	case FaultCutAnswers:
		ail(site.FaultTruncate)
	case FaultHang:
		ail(site.FaultHang)
	case FaultDelay:
		hold(site.ProxyFaults{Delay: 30 * time.Millisecond})
	case FaultReset:
		way.Reset()
	case FaultOneWay:
		hold(site.ProxyFaults{HoldToTarget: true})
	case FaultOtherWay:
		hold(site.ProxyFaults{HoldToCaller: true})
	case FaultRefuse:
		hold(site.ProxyFaults{ResetNew: true})
	}
}

func (w *world) restart(i int, power bool) {
	w.endpoints[i].Crash(power)
	w.ways[i].Reset()
	time.Sleep(restartLate)
	if err := w.endpoints[i].Start(); err != nil {
		w.checker.violation(PromiseRecovery, "the stand-in of endpoint %d did not start again: %v", i, err)
	}
}
