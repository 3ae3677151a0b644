package soak

import (
	"syscall"
	"time"

	"fulmardeal/internal/standin/site"
)

// inject causes a fault and returns when it has ended.
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

// injectMember causes a fault of a process, unless another one is in progress
// there.
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
	case FaultTerminate: // a planned stop, during which all guarantees hold
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
		w.toStore[f.Target].Set(site.Rule{HoldTo: true, HoldFrom: true})
		time.Sleep(f.For)
		w.toStore[f.Target].Set(site.Rule{})
	}
}

// injectStore causes a fault of the store for all processes. If faults overlap,
// the mode of the last one remains until all have ended.
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
		w.store.SetMode(site.ModeSound)
	}
}

// injectEndpoint causes a fault of an endpoint, unless another one is in
// progress there.
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
	hold := func(r site.Rule) {
		way.Set(r)
		time.Sleep(f.For)
		way.Set(site.Rule{})
	}
	ail := func(t site.Trouble) {
		e.SetTrouble(t)
		time.Sleep(f.For)
		e.SetTrouble(site.TroubleNone)
	}
	switch f.Kind {
	case FaultCrash, FaultPower:
		w.restart(f.Target, f.Kind == FaultPower)
	case FaultDrain:
		e.Drain()
		time.Sleep(beat + 100*time.Millisecond) // the endpoint announces it with its next heartbeat
		w.checker.Left(r.ID)
		time.Sleep(boundDrain + drainExtra)
		w.restart(f.Target, false)
	case FaultSlow:
		ail(site.TroubleSlow)
	case FaultCutAnswers:
		ail(site.TroubleCut)
	case FaultHang:
		ail(site.TroubleHang)
	case FaultDelay:
		hold(site.Rule{Delay: 30 * time.Millisecond})
	case FaultReset:
		way.Reset()
	case FaultOneWay:
		hold(site.Rule{HoldTo: true})
	case FaultOtherWay:
		hold(site.Rule{HoldFrom: true})
	case FaultRefuse:
		hold(site.Rule{Refuse: true})
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
