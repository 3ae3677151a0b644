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
	FaultKill       Kind = "kill"       // of an entry or agent, which is started again
	FaultTerminate  Kind = "terminate"  // the same, by SIGTERM
	FaultPause      Kind = "pause"      // by SIGSTOP and SIGCONT
	FaultReload     Kind = "reload"     // SIGHUP
	FaultStoreDown  Kind = "store-down" // for all
	FaultStoreMute  Kind = "store-mute"
	FaultStoreSlow  Kind = "store-slow"
	FaultStoreLossy Kind = "store-lossy"
	FaultCutStore   Kind = "cut-store"     // between the store and one process
	FaultCrash      Kind = "crash"         // of an endpoint, which starts again
	FaultPower      Kind = "power"         // the same, and what it had staged is lost
	FaultDrain      Kind = "drain"         // of an endpoint, which starts again
	FaultSlow       Kind = "slow"          // an endpoint
	FaultCutAnswers Kind = "cut-answers"   // of an endpoint
	FaultHang       Kind = "hang"          // an endpoint
	FaultDelay      Kind = "delay"         // on the way to an endpoint
	FaultReset      Kind = "reset"         // connections to an endpoint
	FaultOneWay     Kind = "one-way"       // nothing reaches an endpoint
	FaultOtherWay   Kind = "other-way"     // nothing comes from an endpoint
	FaultRefuse     Kind = "refuse"        // an endpoint's new connections are reset
	FaultConfig     Kind = "configuration" // the operator moves a route or takes a key
	FaultEvacuate   Kind = "evacuate"      // a data centre
	FaultName       Kind = "name"          // a version of the weights
	FaultAll        Kind = "kill-all"      // of entries and agents at once
)

// targetKind says what a fault may strike.
type targetKind int

const (
	targetNothing targetKind = iota
	targetProcess
	targetEndpoint
	targetDataCentre
	targetChange // of the configuration: a route to move, or a key to take
)

// kinds are the kinds of faults, with what they may strike and how often they
// are drawn.
var kinds = []struct {
	kind       Kind
	targetKind targetKind
	weight     int
}{
	{FaultKill, targetProcess, 4},
	{FaultTerminate, targetProcess, 4},
	{FaultPause, targetProcess, 4},
	{FaultReload, targetProcess, 1},
	{FaultStoreDown, targetNothing, 2},
	{FaultStoreMute, targetNothing, 2},
	{FaultStoreSlow, targetNothing, 1},
	{FaultStoreLossy, targetNothing, 2},
	{FaultCutStore, targetProcess, 3},
	{FaultCrash, targetEndpoint, 4},
	{FaultPower, targetEndpoint, 2},
	{FaultDrain, targetEndpoint, 4},
	{FaultSlow, targetEndpoint, 2},
	{FaultCutAnswers, targetEndpoint, 3},
	{FaultHang, targetEndpoint, 2},
	{FaultDelay, targetEndpoint, 2},
	{FaultReset, targetEndpoint, 3},
	{FaultOneWay, targetEndpoint, 3},
	{FaultOtherWay, targetEndpoint, 3},
	{FaultRefuse, targetEndpoint, 2},
	{FaultConfig, targetChange, 4},
	{FaultEvacuate, targetDataCentre, 2},
	{FaultName, targetNothing, 3},
	{FaultAll, targetNothing, 1},
}

// Fault is one disturbance.
type Fault struct {
	At     time.Duration // from the start
	For    time.Duration
	Kind   Kind
	Target int // index of what it strikes
}

func (f Fault) String() string {
	return fmt.Sprintf("at=%s for=%s kind=%s target=%d", f.At, f.For, f.Kind, f.Target)
}

// Targets of FaultConfig. Those before ChangeKey are routes to move.
const (
	ChangeRead = iota
	ChangeOrder
	ChangeKey
)

// PlanError says which line of a plan is wrong.
type PlanError struct {
	File   string
	Line   int
	Reason string
}

func (e *PlanError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// ReadPlan reads faults as a run prints them, a line each. Lines that begin with
// # are comments.
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

// parseFault returns one fault, or what is wrong with the line.
func parseFault(line string, s Shape) (f Fault, wrong string) {
	for _, word := range strings.Fields(line) {
		name, value, _ := strings.Cut(word, "=")
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
			return f, fmt.Sprintf("%q is not at, for, kind or target", name)
		}
		if err != nil {
			return f, fmt.Sprintf("%s: %v", name, err)
		}
	}
	for _, k := range kinds {
		if k.kind != f.Kind {
			continue
		}
		if most := s.targets(k.targetKind); f.Target < 0 || f.Target >= most {
			return f, fmt.Sprintf("target %d of %d", f.Target, most)
		}
		return f, ""
	}
	return f, fmt.Sprintf("no fault is called %q", f.Kind)
}

const (
	meanPause = 700 * time.Millisecond // between two faults of a plan
	leastFor  = 200 * time.Millisecond
	mostFor   = 4 * time.Second
	seriesOf  = 3 // faults of the same kind in quick succession, now and then
	seriesOdd = 6 // one fault in so many begins a series
)

// Shape is the size of the system under test.
type Shape struct {
	Entries     int
	Engines     int // each with an agent
	Plain       int // endpoints without agents
	DataCentres int
}

// targets returns how many things an targetKind may inject.
func (s Shape) targets(a targetKind) int {
	switch a {
	case targetProcess:
		return s.Entries + s.Engines
	case targetEndpoint:
		return s.Engines + s.Plain
	case targetDataCentre:
		return s.DataCentres
	case targetChange:
		return ChangeKey + 1
	}
	return 1
}

// Plan draws the faults of a run: the same for the same seed, shape and length.
// Faults overlap, and some come in series.
func Plan(seed uint64, s Shape, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	var out []Fault
	for at := meanPause; at < length; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
		draw, i := random.IntN(total), 0
		for draw >= kinds[i].weight {
			draw -= kinds[i].weight
			i++
		}
		n := 1
		if random.IntN(seriesOdd) == 0 {
			n = seriesOf
		}
		for k := range n {
			out = append(out, Fault{
				At:     (at + time.Duration(k)*leastFor).Round(time.Millisecond),
				For:    (leastFor + time.Duration(random.Float64()*float64(mostFor-leastFor))).Round(time.Millisecond),
				Kind:   kinds[i].kind,
				Target: random.IntN(s.targets(kinds[i].targetKind)),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}
