package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/fleet/feed"
	"fulmardeal/internal/proof/script"
)

// TestSecondAttemptTakesTurn runs testdata/attempts.txt: a slot for a second attempt
// must be reserved by the rules for all requests, at nobody's expense, and without a
// refusal that nobody gets.
func TestSecondAttemptTakesTurn(t *testing.T) { runAttemptScript(t, "testdata/attempts.txt") }

// TestSilenceFreesSlot runs testdata/silences.txt: a silent endpoint is avoided, but its
// slot stays taken until the request ends, and is freed once.
func TestSilenceFreesSlot(t *testing.T) { runAttemptScript(t, "testdata/silences.txt") }

func runAttemptScript(t *testing.T, path string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait() // for the queued requests
		defer cancel()
		s := &attemptScript{
			ctx:          ctx,
			table:        New(Options{DataCentre: "a", Region: "r", Regions: map[string]string{"a": "r", "b": "s"}, Bounds: fulmardeal.Bounds{VersionSwitch: 8 * time.Second}}),
			reservations: make(map[string]*Reservation),
			queued:       make(map[string]chan string),
		}
		spec := &fulmardeal.EngineSpec{Slots: 1, Stride: 5, Step: 9, ReadRate: 20000, Layers: 1, Models: []fulmardeal.EngineModel{{Name: "m"}}}
		s.apply(fulmardeal.Change{Key: "config", Catalogue: &fulmardeal.Catalogue{
			Version:  1,
			Services: []fulmardeal.Service{{Name: "llm", Engine: spec}, {Name: "shop", ColdRate: 2}},
		}})
		script.Run(t, path, s.step)
	})
}

// attemptScript is the state of a script of first and second attempts. Engines have one
// slot, and endpoints of the service shop may get two requests per second while cold.
type attemptScript struct {
	ctx           context.Context
	table         *Table
	view          catalogue.Table
	offset        fulmardeal.Position
	requests      int // number of requests so far
	registrations []fulmardeal.Registration
	reservations  map[string]*Reservation
	queued        map[string]chan string // results of the requests in the queue
}

// fields are the options of a line, in the form NAME=VALUE.
type fields map[string]string

func parseFields(words []string) fields {
	f := make(fields)
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		f[name] = value
	}
	return f
}

// number returns a number, or the default if it isn't given.
func (f fields) number(name string, otherwise float64) float64 {
	if v, given := f[name]; given {
		return scriptNumber(v)
	}
	return otherwise
}

// seconds returns a duration given in seconds, or the default if it isn't given.
func (f fields) seconds(name string, otherwise float64) time.Duration {
	return time.Duration(f.number(name, otherwise) * float64(time.Second))
}

// list returns the comma-separated elements of a value.
func (f fields) list(name string) []string {
	if f[name] == "" {
		return nil
	}
	return strings.Split(f[name], ",")
}

func (f fields) service() string {
	if s := f["service"]; s != "" {
		return s
	}
	return "llm"
}

func (s *attemptScript) apply(c fulmardeal.Change) {
	s.offset++
	c.Offset = s.offset
	s.view.Apply(time.Now(), feed.Batch{Changes: []fulmardeal.Change{c}})
	s.refresh()
}

func (s *attemptScript) refresh() {
	s.table.Refresh(time.Now(), s.registrations, s.view.View())
}

// step runs one line of the script.
func (s *attemptScript) step(words []string) error {
	switch words[0] {
	case "endpoint": // ID [service=NAME] [dc=NAME] [weights=VERSION] [cold=SECONDS]
		s.register(words[1], parseFields(words[2:]))
	case "gone": // ID...
		s.registrations = slices.DeleteFunc(s.registrations, func(r fulmardeal.Registration) bool { return slices.Contains(words[1:], r.ID) })
		s.refresh()
	case "restart": // ID, which the endpoint keeps
		i := slices.IndexFunc(s.registrations, func(r fulmardeal.Registration) bool { return r.ID == words[1] })
		s.registrations[i].Born = time.Now()
		s.refresh()
	case "evacuate": // DATACENTRE
		s.apply(fulmardeal.Change{Key: "evacuate/" + words[1], Evacuation: words[1]})
	case "return": // DATACENTRE
		s.apply(fulmardeal.Change{Key: "evacuate/" + words[1], Gone: true})
	case "publish": // VERSION
		s.apply(fulmardeal.Change{Key: "version/m", Naming: &fulmardeal.Publication{Model: "m", Version: int64(scriptNumber(words[1]))}})
	case "peer": // [service=NAME] queued=NUMBER: the queue of another entry
		f := parseFields(words[1:])
		loads := []EndpointLoad{{Hash: queueHash(f.service()), Running: int(f.number("queued", 0))}}
		s.table.ApplyReport(time.Now(), "peer", "r", LoadReport{Loads: loads})
	case "wait": // SECONDS
		time.Sleep(time.Duration(scriptNumber(words[1]) * float64(time.Second)))
		s.table.Tick(time.Now())
		synctest.Wait()
	case "try", "reserve": // NAME [OPTION]... RESULT
		return s.reserve(words)
	case "queue": // NAME [OPTION]...
		s.enqueue(words[1], s.request(words[2:]))
	default:
		return s.stepReservation(words)
	}
	return nil
}

// stepReservation runs a line about a reservation, or one that compares the table's
// state.
func (s *attemptScript) stepReservation(words []string) error {
	switch words[0] {
	case "queued": // NAME...: the requests in the queue
		return s.expectQueued(words[1:])
	case "result": // NAME RESULT: of a request that was queued
		return compare(<-s.queued[words[1]], words[2])
	case "refusals": // NUMBER: the refusals that other entries are told of
		return compare(fmt.Sprint(len(s.table.Report().Refused)), words[1])
	case "state": // ID running=NUMBER prompts=TOKENS suspect=BOOL
		return s.expectState(words)
	}
	r := s.reservations[words[1]]
	if r == nil {
		return fmt.Errorf("no such reservation")
	}
	switch words[0] {
	case "event": // NAME
		r.RecordEvent()
	case "silent": // NAME
		r.RecordSilence()
	case "leaving": // NAME
		r.ApplyNotice(Notice{Leaving: true})
	case "pause": // NAME SECONDS
		r.ApplyNotice(Notice{Pause: time.Duration(scriptNumber(words[2]) * float64(time.Second))})
	case "release": // NAME served|failed|full|mismatch|cancelled
		outcomes := map[string]Outcome{"served": OutcomeServed, "failed": OutcomeFailed, "full": OutcomeFull, "mismatch": OutcomeMismatch, "cancelled": OutcomeCancelled}
		r.Release(outcomes[words[2]])
		synctest.Wait()
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

func (s *attemptScript) register(id string, f fields) {
	r := fulmardeal.Registration{ID: id, Service: f.service(), Address: "10.0.0.1:" + id, DataCentre: "a", Slots: 1, ColdLeft: f.seconds("cold", 0)}
	if dc := f["dc"]; dc != "" {
		r.DataCentre = dc
	}
	if r.Service == "llm" {
		r.Engine, r.Spans = true, []fulmardeal.Span{{To: 1, Version: int64(f.number("weights", 1))}}
	}
	s.registrations = append(s.registrations, r)
	s.refresh()
}

// request returns the request that the options describe: sent AGE seconds ago, with
// LEFT seconds left. Requests without the option CONTENT have different contents.
func (s *attemptScript) request(words []string) *Request {
	f := parseFields(words)
	now := time.Now()
	_, resumed := f["resumed"]
	s.requests++
	r := &Request{
		Service:         f.service(),
		Tried:           f.list("tried"),
		RequiredWeights: int64(f.number("weights", 0)),
		PromptTokens:    int(f.number("prompt", 0)),
		Fingerprint:     uint64(f.number("content", float64(1000+s.requests))),
		Sent:            now.Add(-f.seconds("age", 0)),
		Deadline:        now.Add(f.seconds("left", 10)),
		Objective:       time.Second,
		Resumed:         resumed,
	}
	if homes := f.list("homes"); homes != nil {
		r.HomeRegions = [][]string{homes}
	}
	return r
}

// reserve runs a line that reserves a slot, as a first or as a second attempt. Neither
// may take any time.
func (s *attemptScript) reserve(words []string) error {
	last := len(words) - 1
	req := s.request(words[2:last])
	start := time.Now()
	var got string
	if words[0] == "try" {
		got = "none"
		if r, ok := s.table.TryReserve(req); ok {
			s.reservations[words[1]] = r
			got = r.Endpoint().ID()
		}
	} else {
		got = s.result(words[1], req)
	}
	if took := time.Since(start); took != 0 {
		return fmt.Errorf("took %v", took)
	}
	return compare(got, words[last])
}

// result reserves a slot for a first attempt and returns its endpoint, or the reason
// for the refusal.
func (s *attemptScript) result(name string, req *Request) string {
	r, err := s.table.Reserve(s.ctx, req)
	var refused *RefusedError
	if errors.As(err, &refused) {
		return "refused=" + string(refused.Reason)
	}
	s.reservations[name] = r
	return r.Endpoint().ID()
}

// enqueue reserves a slot for a first attempt that is expected to wait.
func (s *attemptScript) enqueue(name string, req *Request) {
	results := make(chan string, 1)
	s.queued[name] = results
	go func() { results <- s.result(name, req) }()
	synctest.Wait()
}

func (s *attemptScript) expectQueued(names []string) error {
	_, waiting := s.table.Counts()
	if waiting != len(names) {
		return fmt.Errorf("%d requests are queued", waiting)
	}
	for _, name := range names {
		if len(s.queued[name]) > 0 {
			return fmt.Errorf("%s is not queued: %s", name, <-s.queued[name])
		}
	}
	return nil
}

func (s *attemptScript) expectState(words []string) error {
	now := time.Now()
	for _, g := range s.table.services {
		for _, e := range g.endpoints {
			if e.id == words[1] {
				got := fmt.Sprintf("running=%d prompts=%d suspect=%v", e.inProgress, e.pendingTokens, e.isSuspect(now))
				return compare(got, strings.Join(words[2:], " "))
			}
		}
	}
	return fmt.Errorf("no such endpoint")
}

func compare(got, want string) error {
	if got != want {
		return fmt.Errorf("got %s", got)
	}
	return nil
}
