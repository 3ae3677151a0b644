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

// Cause is a kind of fault.
type Cause string

// The faults.
const (
	CauseKill       Cause = "kill"       // of an entry or agent, which is started again
	CauseTerminate  Cause = "terminate"  // the same, by SIGTERM
	CausePause      Cause = "pause"      // by SIGSTOP and SIGCONT
	CauseReload     Cause = "reload"     // SIGHUP
	CauseStoreDown  Cause = "store-down" // for all
	CauseStoreMute  Cause = "store-mute"
	CauseStoreSlow  Cause = "store-slow"
	CauseStoreLossy Cause = "store-lossy"
	CauseCutStore   Cause = "cut-store"     // between the store and one process
	CauseCrash      Cause = "crash"         // of an endpoint, which starts again
	CausePower      Cause = "power"         // the same, and what it had staged is lost
	CauseDrain      Cause = "drain"         // of an endpoint, which starts again
	CauseSlow       Cause = "slow"          // an endpoint
	CauseCutAnswers Cause = "cut-answers"   // of an endpoint
	CauseHang       Cause = "hang"          // an endpoint
	CauseDelay      Cause = "delay"         // on the way to an endpoint
	CauseReset      Cause = "reset"         // connections to an endpoint
	CauseOneWay     Cause = "one-way"       // nothing reaches an endpoint
	CauseOtherWay   Cause = "other-way"     // nothing comes from an endpoint
	CauseRefuse     Cause = "refuse"        // an endpoint's new connections are reset
	CauseConfig     Cause = "configuration" // the operator moves a route or takes a key
	CauseEvacuate   Cause = "evacuate"      // a data centre
	CauseName       Cause = "name"          // a version of the weights
	CauseAll        Cause = "kill-all"      // of entries and agents at once
)

// aim is what a cause may strike.
type aim int

const (
	aimNothing aim = iota
	aimProcess
	aimEndpoint
	aimDataCentre
	aimChange // of the configuration: a route to move, or a key to take
)

// causes are the faults with what they strike and how often they are drawn.
var causes = []struct {
	cause  Cause
	aim    aim
	weight int
}{
	{CauseKill, aimProcess, 4},
	{CauseTerminate, aimProcess, 4},
	{CausePause, aimProcess, 4},
	{CauseReload, aimProcess, 1},
	{CauseStoreDown, aimNothing, 2},
	{CauseStoreMute, aimNothing, 2},
	{CauseStoreSlow, aimNothing, 1},
	{CauseStoreLossy, aimNothing, 2},
	{CauseCutStore, aimProcess, 3},
	{CauseCrash, aimEndpoint, 4},
	{CausePower, aimEndpoint, 2},
	{CauseDrain, aimEndpoint, 4},
	{CauseSlow, aimEndpoint, 2},
	{CauseCutAnswers, aimEndpoint, 3},
	{CauseHang, aimEndpoint, 2},
	{CauseDelay, aimEndpoint, 2},
	{CauseReset, aimEndpoint, 3},
	{CauseOneWay, aimEndpoint, 3},
	{CauseOtherWay, aimEndpoint, 3},
	{CauseRefuse, aimEndpoint, 2},
	{CauseConfig, aimChange, 4},
	{CauseEvacuate, aimDataCentre, 2},
	{CauseName, aimNothing, 3},
	{CauseAll, aimNothing, 1},
}

// Fault is one disturbance.
type Fault struct {
	At     time.Duration // from the start
	For    time.Duration
	Cause  Cause
	Target int // index of what it strikes
}

func (f Fault) String() string {
	return fmt.Sprintf("at=%s for=%s cause=%s target=%d", f.At, f.For, f.Cause, f.Target)
}

// Targets of CauseConfig. Those before ChangeKey are routes to move.
const (
	ChangeRead = iota
	ChangeOrder
	ChangeKey
)

// PlanError says which line of a plan is wrong.
type PlanError struct {
	File  string
	Line  int
	Cause string
}

func (e *PlanError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Cause) }

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
		f, cause := parseFault(line, s)
		if cause != "" {
			return nil, &PlanError{File: file, Line: i + 1, Cause: cause}
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
		case "cause":
			f.Cause = Cause(value)
		case "target":
			f.Target, err = strconv.Atoi(value)
		default:
			return f, fmt.Sprintf("%q is not at, for, cause or target", name)
		}
		if err != nil {
			return f, fmt.Sprintf("%s: %v", name, err)
		}
	}
	for _, c := range causes {
		if c.cause != f.Cause {
			continue
		}
		if most := s.targets(c.aim); f.Target < 0 || f.Target >= most {
			return f, fmt.Sprintf("target %d of %d", f.Target, most)
		}
		return f, ""
	}
	return f, fmt.Sprintf("no cause is called %q", f.Cause)
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

// targets returns how many things an aim may strike.
func (s Shape) targets(a aim) int {
	switch a {
	case aimProcess:
		return s.Entries + s.Engines
	case aimEndpoint:
		return s.Engines + s.Plain
	case aimDataCentre:
		return s.DataCentres
	case aimChange:
		return ChangeKey + 1
	}
	return 1
}

// Plan draws the faults of a run: the same for the same seed, shape and length.
// Faults overlap, and some come in series.
func Plan(seed uint64, s Shape, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for _, c := range causes {
		total += c.weight
	}
	var out []Fault
	for at := meanPause; at < length; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
		draw, i := random.IntN(total), 0
		for draw >= causes[i].weight {
			draw -= causes[i].weight
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
				Cause:  causes[i].cause,
				Target: random.IntN(s.targets(causes[i].aim)),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}
