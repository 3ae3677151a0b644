package request

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/standin/network"
	"fulmardeal/internal/standin/platform"
	"fulmardeal/internal/traffic/admission"
	"fulmardeal/internal/traffic/attempt"
	"fulmardeal/internal/traffic/choice"
	"fulmardeal/internal/traffic/claim"
)

const site = `
[[datacentre]]
name = "a"
region = "r"
[[service]]
name = "shop"
kind = "plain"
limit = 8
cold = 8
warm = "0s"
[[customer]]
name = "noor"
key = "512638fbf5ea0358b9c1ca411c5b3e2457ea7ff1c807800fd6939a17468487e5"
[[traffic]]
name = "all"
customers = ""
endpoints = ""
`

// ledger records the runs of each order at all endpoints.
type ledger struct {
	mu    sync.Mutex
	runs  map[string]int
	first map[string]time.Time
}

func (l *ledger) run(order string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[order]++
	if _, ran := l.first[order]; !ran {
		l.first[order] = time.Now()
	}
}

// ranBefore reports whether an order had run before the given time.
func (l *ledger) ranBefore(order string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first, ran := l.first[order]
	return ran && first.Before(at)
}

func (l *ledger) count(order string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[order]
}

// manner is how an endpoint handles a call.
type manner int

const (
	mannerGood   manner = iota
	mannerUnsent        // refuses the connection
	mannerLost          // runs the call, but the answer is lost
	mannerCut           // runs the call, but the answer is cut off
)

// endpoint is a fake plain service that records each call and echoes its body.
type endpoint struct {
	ledger  *ledger
	took    time.Duration
	manners func() manner
}

func (e *endpoint) Call(ctx context.Context, c fulmardeal.Call) (fulmardeal.Answer, error) {
	m := e.manners()
	if m == mannerUnsent {
		return fulmardeal.Answer{}, &fulmardeal.UnsentError{Address: "endpoint", Cause: errors.New("refused")}
	}
	e.ledger.run(string(c.Body))
	t := time.NewTimer(e.took)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return fulmardeal.Answer{}, ctx.Err()
	}
	if m == mannerLost {
		return fulmardeal.Answer{}, errors.New("connection reset")
	}
	a := fulmardeal.Answer{Status: 200, Body: io.NopCloser(bytes.NewReader(c.Body))}
	if m == mannerCut {
		a.Body = io.NopCloser(io.MultiReader(bytes.NewReader(c.Body[:1]), broken{}))
	}
	return a, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (e *endpoint) Cancel(context.Context, string) error { return nil }

func (e *endpoint) Load(context.Context) (fulmardeal.Load, error) { return fulmardeal.Load{}, nil }

// open is an attempt.Guard that refuses nothing.
type open struct{}

func (open) Refuse(attempt.Task) *attempt.Refusal { return nil }

func (open) Serving(context.Context) (fulmardeal.Version, string, error) {
	return fulmardeal.Version{}, "", nil
}

// agent is the part of an agent that serves requests.
type agent struct {
	site    network.Site
	in      fulmardeal.Instance
	table   *attempt.Table
	cleanup func()
}

// world is a small cluster of agents and entries, connected by links that can
// fail, in virtual time.
type world struct {
	fabric  *network.Fabric
	ledger  *ledger
	book    *invariant.Book
	log     *platform.Log
	config  *configuration.Configuration
	agents  []*agent
	routers []*Router
	tables  []*choice.Table
	closers []func()
}

func newWorld(agents, entries int, took time.Duration, manners func() manner, unguarded bool) (*world, error) {
	doc, err := configuration.ParseDocument("site", []byte(site))
	if err != nil {
		return nil, err
	}
	w := &world{
		fabric: network.New(&network.Memory{}, network.Shape{Near: time.Millisecond}),
		ledger: &ledger{runs: make(map[string]int), first: make(map[string]time.Time)},
		book:   &invariant.Book{},
		log:    platform.NewLog(0),
		config: configuration.State{}.With(doc).Evaluate(),
	}
	for i := range agents {
		if err := w.addAgent(i, took, manners, unguarded); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		w.addEntry(i)
	}
	w.refresh()
	return w, nil
}

func (w *world) addAgent(i int, took time.Duration, manners func() manner, unguarded bool) error {
	name := fmt.Sprintf("agent%d", i)
	s := network.Site{Instance: name, DataCentre: "a", Region: "r"}
	server, closeServer, err := connection.Listen(w.fabric.At(s), name+":0")
	if err != nil {
		return err
	}
	l := admission.NewLimiter(w.book, admission.Settings{Limit: 8, Cold: 8}, time.Now())
	e := &endpoint{ledger: w.ledger, took: took, manners: manners}
	t := attempt.NewTable(name, e, l, open{}, w.book)
	if unguarded {
		t.Unguard()
	}
	if err := server.Register(attempt.ServiceName, attempt.NewService(t)); err != nil {
		return err
	}
	go func() { _ = server.Serve() }()
	in := fulmardeal.Instance{Name: name, Incarnation: name, Role: fulmardeal.RoleAgent,
		Address: server.Address(), DataCentre: "a", Region: "r", Service: "shop"}
	w.agents = append(w.agents, &agent{site: s, in: in, table: t, cleanup: closeServer})
	w.closers = append(w.closers, closeServer)
	return nil
}

func (w *world) addEntry(i int) {
	name := fmt.Sprintf("entry%d", i)
	s := network.Site{Instance: name, DataCentre: "a", Region: "r"}
	pool, closePool := connection.NewPool(w.fabric.At(s), 16)
	t := choice.NewTable(name, "a", "r", choice.PolicyOurs, uint64(i+1))
	version := func() fulmardeal.Offset { return 1 }
	r := NewRouter(t, pool, claim.NewBook(w.log), version, slog.New(slog.DiscardHandler))
	w.tables = append(w.tables, t)
	w.routers = append(w.routers, r)
	w.closers = append(w.closers, closePool)
}

func (w *world) refresh() {
	m := membership.NewTable(fulmardeal.Instance{Incarnation: "self", Role: fulmardeal.RoleEntry}, 1)
	for _, a := range w.agents {
		m.Hear(time.Now(), []membership.News{{Instance: a.in, Beat: 1}})
	}
	for _, t := range w.tables {
		t.Refresh(m.Members(), w.config)
	}
}

// tick does the periodic work of the agents' processes: it cancels attempts that
// are no longer read, and drops old answers.
func (w *world) tick() {
	for _, a := range w.agents {
		a.table.Tick(time.Now())
	}
}

func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

func (w *world) request(order, key string, safe bool) Request {
	c, _ := w.config.Customer("noor")
	s, _ := w.config.Service("shop")
	return Request{Customer: c, Service: s, Method: "POST", Path: "/shop/orders", Body: []byte(order), Key: key, Safe: safe}
}

// Fault settings of the platform's log.
var (
	down = platform.Faults{Down: true}
	up   = platform.Faults{}
)
