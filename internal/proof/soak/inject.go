package soak

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// reportLag is how old an engine's report may be.
const reportLag = 300 * time.Millisecond

// rackStep is such that one in so many endpoints survives FaultRack.
const rackStep = 3

// inject causes a fault and returns when the fault has ended. It does not wait for the
// end of the faults of single processes and endpoints that FaultKillAll, FaultRack and
// FaultPowerAll consist of.
func (d *deployment) inject(fault Fault) {
	switch fault.Kind {
	case FaultKill, FaultTerminate, FaultPause, FaultReload, FaultCutStore, FaultMuteStore, FaultLimitStore, FaultDenyStore, FaultHangStore,
		FaultNamePaused, FaultNameMuted, FaultNameKilled:
		d.injectMember(fault)
	case FaultStoreDown, FaultStoreSilent, FaultStoreSlow, FaultStoreLossy:
		d.injectStore(fault)
	case FaultConfiguration:
		d.changeConfiguration(fault.Target)
	case FaultPublishVersion:
		d.publishVersion()
	case FaultEvacuate:
		d.evacuate(fault)
	case FaultRestoreStore:
		d.restoreStore(fault)
	case FaultKillAll:
		for i := range d.fleet.members {
			go d.injectMember(Fault{Kind: FaultKill, For: fault.For, Target: i})
		}
	case FaultSilentAll:
		var silences sync.WaitGroup
		for i := range d.endpoints {
			silences.Go(func() { d.injectEndpoint(Fault{Kind: FaultSilent, For: fault.For, Target: i}) })
		}
		silences.Wait()
	case FaultNameSeries:
		d.publishSeries()
	case FaultLeavers:
		d.leavers(fault)
	case FaultOddRecords:
		d.writeOddRecords(fault)
	case FaultPoison:
		d.poison(fault)
	case FaultRack:
		for i := range d.endpoints {
			if i%rackStep != 0 {
				go d.injectEndpoint(Fault{Kind: FaultCrash, Target: i})
			}
		}
	case FaultPowerAll:
		for i := range d.endpoints {
			go d.injectEndpoint(Fault{Kind: FaultPowerLoss, Target: i})
		}
		d.inject(Fault{Kind: FaultKillAll, For: fault.For})
	default:
		d.injectEndpoint(fault)
	}
}

// injectMember causes a fault of a process. It does nothing if another fault of the
// process is in progress.
func (d *deployment) injectMember(f Fault) {
	m := d.fleet.members[f.Target]
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
		d.fleet.terminate(f.Target)
		time.Sleep(processRestartDelay)
		d.checker.Restarted(m.settings.Name)
		return
	case FaultReload:
		d.fleet.signal(f.Target, syscall.SIGHUP, false)
		return
	}
	if mode, link := storeMode(f.Kind); link {
		end := d.checker.DisturbLink(m.settings.Name)
		defer end()
		d.cutStore(f, mode)
		return
	}
	end := d.checker.Disturb(m.settings.Name)
	defer end()
	switch f.Kind {
	case FaultKill:
		d.fleet.kill(f.Target)
	case FaultPause:
		d.pause(f, func() {})
	case FaultNamePaused:
		d.pause(f, d.publishVersion)
	case FaultNameKilled:
		time.AfterFunc(processRestartDelay/2, d.publishVersion)
		d.fleet.kill(f.Target)
	case FaultMuteStore:
		d.storeProxies[f.Target].Mute()
	case FaultNameMuted:
		d.storeProxies[f.Target].Mute()
		d.publishVersion()
	}
}

// pause stops a process for the duration of the fault, and calls do meanwhile.
func (d *deployment) pause(f Fault, do func()) {
	d.fleet.signal(f.Target, syscall.SIGSTOP, false)
	do()
	time.Sleep(f.For)
	d.fleet.signal(f.Target, syscall.SIGCONT, false)
}

// injectStore causes a fault of the store for all processes. If faults of the store
// overlap, the mode of the fault that began last stays until all of them have ended.
func (d *deployment) injectStore(f Fault) {
	mode := map[Kind]site.Mode{FaultStoreDown: site.ModeDown, FaultStoreSilent: site.ModeSilent, FaultStoreSlow: site.ModeSlow, FaultStoreLossy: site.ModeLossy}[f.Kind]
	end := d.checker.Disturb(scopeAll)
	defer end()
	d.mu.Lock()
	d.storeModes = append(d.storeModes, mode)
	d.store.SetMode(mode)
	d.mu.Unlock()
	time.Sleep(f.For)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeModes = d.storeModes[1:]
	if len(d.storeModes) == 0 {
		d.store.SetMode(site.ModeHealthy)
	}
}

// restoreAge is the age of the backup from which the store is restored, and
// restoreOutage how long it is away meanwhile, and until operators have written again
// what it lost. Endpoints do so with their heartbeats.
const (
	restoreAge    = 2 * time.Second
	restoreOutage = 300 * time.Millisecond
)

// restoreStore restores the store from a backup. Operators write nothing else before
// they have written again what was lost.
func (d *deployment) restoreStore(f Fault) {
	end := d.checker.Disturb(scopeAll)
	defer end()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.SetMode(site.ModeSilent)
	time.Sleep(restoreOutage)
	lost := d.store.Restore(min(f.For, restoreAge))
	d.store.SetMode(site.ModeHealthy)
	if n := len(d.storeModes); n > 0 {
		d.store.SetMode(d.storeModes[n-1])
	}
	time.Sleep(restoreOutage)
	d.store.Append(string(platform.TopicOperator), lost[string(platform.TopicOperator)])
}

// injectEndpoint causes a fault of an endpoint. It does nothing if another fault of
// the endpoint is in progress.
func (d *deployment) injectEndpoint(f Fault) {
	d.mu.Lock()
	busy := d.busy[f.Target]
	d.busy[f.Target] = true
	d.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.busy[f.Target] = false
	}()
	if d.injectUndisturbing(f) {
		return
	}
	reg, _ := d.endpoints[f.Target].Registration()
	disturb := d.checker.Disturb
	if f.Kind.disturbsLink() {
		disturb = d.checker.DisturbLink
	}
	end := disturb(reg.Address)
	defer end()
	d.injectDisturbing(f, reg)
}

// injectUndisturbing causes a fault of an endpoint, or the part of it, that leaves all
// guarantees in force. It reports whether that was all.
func (d *deployment) injectUndisturbing(f Fault) bool {
	e := d.endpoints[f.Target]
	switch f.Kind {
	case FaultLeave:
		e.Leave()
		time.Sleep(boundDrain + drainExtra)
	case FaultShed:
		e.SetFault(site.FaultShed)
		time.Sleep(f.For)
		e.SetFault(site.FaultNone)
		return true
	case FaultSilent:
		e.Silence(f.For)
		time.Sleep(f.For)
		return true
	case FaultRevert:
		e.Revert()
		return true
	case FaultNeed:
		end := d.checker.limit(e, f.limitRate())
		e.SetLimit(fulmardeal.RateLimit{Kind: fulmardeal.LimitNamed, Rate: f.limitRate()})
		time.Sleep(f.For)
		end()
		e.SetLimit(fulmardeal.RateLimit{})
		return true
	}
	return false
}

// answerFaults are the faults of endpoints that last for a while.
var answerFaults = map[Kind]site.Fault{
	FaultRepeat:     site.FaultRepeat,
	FaultErrorText:  site.FaultErrorText,
	FaultSecondHead: site.FaultSecondHead,
	FaultSlow:       site.FaultSlow,
	FaultCutAnswers: site.FaultTruncate,
	FaultHang:       site.FaultHang,
	FaultEndless:    site.FaultEndless,
}

// linkFaults are the faults of the connections to an endpoint that last for a while.
var linkFaults = map[Kind]site.ProxyFaults{
	FaultDelay:        {Delay: 30 * time.Millisecond},
	FaultHoldRequests: {HoldToTarget: true},
	FaultHoldAnswers:  {HoldToCaller: true},
	FaultRefuse:       {ResetNew: true},
}

// injectDisturbing causes a fault that excuses what it disturbs.
func (d *deployment) injectDisturbing(f Fault, reg fulmardeal.Registration) {
	e, proxy := d.endpoints[f.Target], d.endpointProxies[f.Target]
	if fault, is := answerFaults[f.Kind]; is {
		e.SetFault(fault)
		time.Sleep(f.For)
		e.SetFault(site.FaultNone)
		return
	}
	if faults, is := linkFaults[f.Kind]; is {
		proxy.SetFaults(faults)
		time.Sleep(f.For)
		proxy.SetFaults(site.ProxyFaults{})
		return
	}
	switch f.Kind {
	case FaultCrash, FaultPowerLoss, FaultLeave:
		d.restartEndpoint(f.Target, f.Kind == FaultPowerLoss)
	case FaultDrain:
		e.Drain()
		// The endpoint announces that it is draining with its next heartbeat.
		time.Sleep(heartbeatInterval + 100*time.Millisecond)
		d.checker.Draining(reg.ID)
		time.Sleep(boundDrain + drainExtra)
		d.restartEndpoint(f.Target, false)
	case FaultMute:
		proxy.Mute()
	case FaultReset:
		proxy.Reset()
	case FaultSameID, FaultSameIDFirst:
		d.restartAs(f.Target, f.Kind == FaultSameIDFirst)
	case FaultStale:
		e.Stale(endpointRestartDelay+f.For, endpointRestartDelay+reportLag)
		d.restartAs(f.Target, true)
		time.Sleep(f.For)
	}
}

func (d *deployment) restartEndpoint(i int, powerLoss bool) {
	d.restart(i, powerLoss, func() {})
}

// restartAs crashes an engine, which restarts under the same id; with version 1 of the weights
// loaded and staged, or with nothing loaded.
func (d *deployment) restartAs(i int, preloaded bool) {
	d.restart(i, false, func() { d.endpoints[i].KeepID(preloaded) })
}

// restart crashes an endpoint and starts it again; prepare is called between.
func (d *deployment) restart(i int, powerLoss bool, prepare func()) {
	proxy := d.endpointProxies[i]
	// The instance refuses connections while its process is gone. One without power
	// doesn't reply; the proxy then accepts and resets them.
	err := proxy.SetListening(powerLoss)
	d.endpoints[i].Crash(powerLoss)
	proxy.Reset()
	time.Sleep(endpointRestartDelay)
	prepare()
	if err := errors.Join(err, d.endpoints[i].Start(), proxy.SetListening(true)); err != nil {
		d.checker.recordUnattributed(GuaranteeRecovery, "simulated endpoint %d could not be restarted: %v", i, err)
	}
}
