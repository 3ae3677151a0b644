package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The faults.
const (
	FaultKill           Kind = "kill"       // SIGKILL of an entry or agent, which is restarted
	FaultTerminate      Kind = "terminate"  // SIGTERM of an entry or agent, which is restarted
	FaultPause          Kind = "pause"      // SIGSTOP of an entry or agent, later SIGCONT
	FaultReload         Kind = "reload"     // SIGHUP of an entry or agent
	FaultStoreDown      Kind = "store-down" // the store fails for all processes
	FaultStoreSilent    Kind = "store-mute" // the store accepts connections and does not answer
	FaultStoreSlow      Kind = "store-slow"
	FaultStoreLossy     Kind = "store-lossy"   // the store executes all calls and loses every third answer
	FaultCutStore       Kind = "cut-store"     // one process loses its connection to the store
	FaultCrash          Kind = "crash"         // an endpoint crashes and restarts
	FaultPowerLoss      Kind = "power"         // an endpoint crashes, loses its staged weights and restarts
	FaultDrain          Kind = "drain"         // an endpoint drains and restarts
	FaultSlow           Kind = "slow"          // an endpoint takes five times as long for each request
	FaultCutAnswers     Kind = "cut-answers"   // an endpoint truncates every third answer
	FaultHang           Kind = "hang"          // an endpoint leaves every third request unanswered
	FaultDelay          Kind = "delay"         // latency of an endpoint's connections
	FaultReset          Kind = "reset"         // an endpoint's open connections are reset
	FaultHoldRequests   Kind = "one-way"       // data to an endpoint is held back
	FaultHoldAnswers    Kind = "other-way"     // data from an endpoint is held back
	FaultRefuse         Kind = "refuse"        // an endpoint's new connections are reset
	FaultConfiguration  Kind = "configuration" // the operator moves a route or revokes a key
	FaultEvacuate       Kind = "evacuate"      // the operator takes a data centre out of service
	FaultPublishVersion Kind = "name"          // the operator publishes a version of the weights
	FaultKillAll        Kind = "kill-all"      // SIGKILL of all entries and agents at once
	FaultRestoreStore   Kind = "restore"       // the store comes back from a backup; what it lost is written again
	FaultLeave          Kind = "leave"         // an endpoint says in its responses only that it leaves, and restarts
	FaultShed           Kind = "shed"          // an endpoint refuses all requests and asks for a pause
	FaultEndless        Kind = "endless"       // every third answer of an endpoint never ends
	FaultSilent         Kind = "silent"        // a sound endpoint sends nothing for a while and then goes on
	FaultSilentAll      Kind = "silent-all"    // all endpoints without another fault are silent at once
	FaultPoison         Kind = "poison"        // callers send requests with a part that crashes each engine that begins to answer it
	FaultRack           Kind = "rack"          // most endpoints crash at once and restart
	FaultPowerAll       Kind = "power-all"     // all processes are killed and all endpoints lose power at once

	FaultMuteStore   Kind = "mute-store"  // a process's open connections to the store go silent for good; new ones work
	FaultMute        Kind = "mute"        // the same for the connections to an endpoint
	FaultLimitStore  Kind = "limit-store" // the store answers one process with 429
	FaultDenyStore   Kind = "deny-store"  // the store answers one process with 503
	FaultHangStore   Kind = "hang-store"  // the store leaves one process without answers
	FaultNamePaused  Kind = "name-paused" // a version is published while a process is stopped by SIGSTOP
	FaultNameMuted   Kind = "name-muted"  // a version is published just after a process's connections to the store go silent
	FaultNameKilled  Kind = "name-killed" // a version is published just before a process starts again
	FaultNameSeries  Kind = "name-series" // versions are published one after another
	FaultSameID      Kind = "same-id"     // an engine crashes and restarts under the same id, with nothing loaded
	FaultSameIDFirst Kind = "same-id-v1"  // the same, with version 1 loaded and staged
	FaultStale       Kind = "stale"       // an engine's registration and report are old, and it crashes and restarts under the same id
	FaultRevert      Kind = "revert"      // an engine takes the weights of before again
	FaultRepeat      Kind = "repeat"      // an endpoint writes an earlier refusal once more on a kept connection
	FaultErrorText   Kind = "error-text"  // an engine cuts streams, and answers resumed ones with the text of an error
	FaultSecondHead  Kind = "second-head" // an engine cuts streams, and writes a second response into resumed ones
	FaultLeavers     Kind = "leavers"     // callers leave in the middle of requests that last long
	FaultOddRecords  Kind = "odd-records" // another writer's invalid records are among the registrations
	FaultNeed        Kind = "need"        // an endpoint names a limit of requests per second
)

// targetKind is the kind of target that a fault affects.
type targetKind int

const (
	targetNothing targetKind = iota
	targetProcess
	targetEndpoint
	targetEngine
	targetDataCentre
	targetChange // a change of the configuration: a route to move, or a key to revoke
)

// kindInfo is a kind of fault with its target and its relative frequency.
type kindInfo struct {
	kind       Kind
	targetKind targetKind
	weight     int
}

// kinds lists the faults.
var kinds = []kindInfo{
	{FaultKill, targetProcess, 4},
	{FaultTerminate, targetProcess, 4},
	{FaultPause, targetProcess, 4},
	{FaultReload, targetProcess, 1},
	{FaultStoreDown, targetNothing, 2},
	{FaultStoreSilent, targetNothing, 2},
	{FaultStoreSlow, targetNothing, 1},
	{FaultStoreLossy, targetNothing, 2},
	{FaultCutStore, targetProcess, 3},
	{FaultCrash, targetEndpoint, 4},
	{FaultPowerLoss, targetEndpoint, 2},
	{FaultDrain, targetEndpoint, 4},
	{FaultSlow, targetEndpoint, 2},
	{FaultCutAnswers, targetEndpoint, 3},
	{FaultHang, targetEndpoint, 2},
	{FaultDelay, targetEndpoint, 2},
	{FaultReset, targetEndpoint, 3},
	{FaultHoldRequests, targetEndpoint, 3},
	{FaultHoldAnswers, targetEndpoint, 3},
	{FaultRefuse, targetEndpoint, 2},
	{FaultConfiguration, targetChange, 4},
	{FaultEvacuate, targetDataCentre, 2},
	{FaultPublishVersion, targetNothing, 3},
	{FaultKillAll, targetNothing, 1},
	{FaultRestoreStore, targetNothing, 2},
	{FaultLeave, targetEndpoint, 3},
	{FaultShed, targetEndpoint, 3},
	{FaultEndless, targetEndpoint, 2},
	{FaultSilent, targetEndpoint, 6},
	{FaultSilentAll, targetNothing, 2},
	{FaultPoison, targetNothing, 4},
	{FaultRack, targetNothing, 2},
	{FaultPowerAll, targetNothing, 1},
	{FaultMuteStore, targetProcess, 3},
	{FaultMute, targetEndpoint, 3},
	{FaultLimitStore, targetProcess, 1},
	{FaultDenyStore, targetProcess, 1},
	{FaultHangStore, targetProcess, 1},
	{FaultNamePaused, targetProcess, 2},
	{FaultNameMuted, targetProcess, 2},
	{FaultNameKilled, targetProcess, 2},
	{FaultNameSeries, targetNothing, 1},
	{FaultSameID, targetEngine, 2},
	{FaultSameIDFirst, targetEngine, 2},
	{FaultStale, targetEngine, 2},
	{FaultRevert, targetEngine, 2},
	{FaultRepeat, targetEndpoint, 2},
	{FaultErrorText, targetEngine, 2},
	{FaultSecondHead, targetEngine, 2},
	{FaultLeavers, targetNothing, 4},
	{FaultOddRecords, targetNothing, 2},
	{FaultNeed, targetEndpoint, 6},
}

// Fault is one fault of a plan.
type Fault struct {
	At     time.Duration // time of the fault, since the start of the plan
	For    time.Duration
	Kind   Kind
	Target int // index of the affected process, endpoint, data centre or change
}

func (f Fault) String() string {
	return fmt.Sprintf("at=%s for=%s kind=%s target=%d", f.At, f.For, f.Kind, f.Target)
}

// Targets of FaultConfiguration. Those before ChangeKey are routes to move.
const (
	ChangeRead = iota
	ChangeOrder
	ChangeKey
)

// PlanError reports an invalid line of a plan.
type PlanError struct {
	File   string
	Line   int
	Reason string
}

func (e *PlanError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// ReadPlan reads a plan in the format that a run prints, with one fault per
// line, and sorts it by time. Lines that begin with # are comments.
func ReadPlan(file string, s Shape) ([]Fault, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var out []Fault
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		f, reason := parseFault(line, s)
		if reason != "" {
			return nil, &PlanError{File: file, Line: i + 1, Reason: reason}
		}
		out = append(out, f)
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out, nil
}

// parseFault parses one line of a plan. reason is empty if the line is valid.
func parseFault(line string, s Shape) (f Fault, reason string) {
	for _, field := range strings.Fields(line) {
		name, value, _ := strings.Cut(field, "=")
		var err error
		switch name {
		case "at":
			f.At, err = time.ParseDuration(value)
		case "for":
			f.For, err = time.ParseDuration(value)
		case "kind":
			f.Kind = Kind(value)
		case "target":
			f.Target, err = strconv.Atoi(value)
		default:
			return f, fmt.Sprintf("unknown key %q: expected at, for, kind or target", name)
		}
		if err != nil {
			return f, fmt.Sprintf("%s: %v", name, err)
		}
	}
	for _, k := range kinds {
		if k.kind != f.Kind {
			continue
		}
		if count := s.targetCount(k.targetKind); f.Target < 0 || f.Target >= count {
			return f, fmt.Sprintf("target %d is out of range: there are %d", f.Target, count)
		}
		if (f.Kind == FaultSilent || f.Kind == FaultSilentAll) && f.For > maxSilence {
			return f, fmt.Sprintf("a sound endpoint is silent for %v at most", maxSilence)
		}
		return f, ""
	}
	return f, fmt.Sprintf("unknown fault kind %q", f.Kind)
}

// Distribution of the faults of a plan.
const (
	meanInterval = 700 * time.Millisecond // mean of the exponentially distributed time between faults
	minDuration  = 200 * time.Millisecond // minimum length of a fault; also the time between faults of a series
	maxDuration  = 4 * time.Second
	seriesLength = 3 // faults of the same kind in a series
	seriesOdds   = 6 // one fault in this many begins a series
	calmStep     = 3

	// A sound endpoint may be silent for a second or so.
	minSilence = 800 * time.Millisecond
	maxSilence = 2500 * time.Millisecond
)

// Requests with a poisoned part come for so long that the bounds on them apply.
const (
	minPoison = 5 * time.Second
	maxPoison = 9 * time.Second
)

// Callers that leave come for so long that enough of them leave.
const (
	minLeavers = 2 * time.Second
	maxLeavers = 6 * time.Second
)

// Endpoints name a limit for so long that the bound on it applies.
const (
	minNeed = 6 * time.Second
	maxNeed = 14 * time.Second
)

// durations returns the minimum and the maximum length of a fault.
func (k Kind) durations() (shortest, longest time.Duration) {
	switch k {
	case FaultSilent, FaultSilentAll:
		return minSilence, maxSilence
	case FaultPoison:
		return minPoison, maxPoison
	case FaultLeavers:
		return minLeavers, maxLeavers
	case FaultNeed:
		return minNeed, maxNeed
	}
	return minDuration, maxDuration
}

// Shape is the size of the system under test.
type Shape struct {
	Entries     int
	Engines     int // model engines, each with an agent
	Plain       int // endpoints without agents
	DataCentres int
}

// targetCount returns the number of possible targets of a kind.
func (s Shape) targetCount(kind targetKind) int {
	switch kind {
	case targetProcess:
		return s.Entries + s.Engines
	case targetEndpoint:
		return s.Engines + s.Plain
	case targetEngine:
		return s.Engines
	case targetDataCentre:
		return s.DataCentres
	case targetChange:
		return ChangeKey + 1
	}
	return 1
}

// Plan generates the faults of a run. The same seed, shape and length give the
// same plan. Faults may overlap, and some occur in series. One seed in calmStep has no
// faults of links nor of the store, which excuse old weights.
func Plan(seed uint64, s Shape, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := slices.Clone(kinds)
	if seed%calmStep == 0 {
		kinds = slices.DeleteFunc(kinds, func(k kindInfo) bool { return k.kind.disturbsLink() || k.kind.disturbsStore() })
	}
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	var out []Fault
	for at := meanInterval; at < length; at += time.Duration(random.ExpFloat64() * float64(meanInterval)) {
		draw, i := random.IntN(total), 0
		for draw >= kinds[i].weight {
			draw -= kinds[i].weight
			i++
		}
		n := 1
		if random.IntN(seriesOdds) == 0 {
			n = seriesLength
		}
		shortest, longest := kinds[i].kind.durations()
		for k := range n {
			out = append(out, Fault{
				At:     (at + time.Duration(k)*minDuration).Round(time.Millisecond),
				For:    (shortest + time.Duration(random.Float64()*float64(longest-shortest))).Round(time.Millisecond),
				Kind:   kinds[i].kind,
				Target: random.IntN(s.targetCount(kinds[i].targetKind)),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}
