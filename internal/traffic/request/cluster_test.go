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

// behaviour is how an endpoint handles a call.
type behaviour int

const (
	behaviourGood   behaviour = iota
	behaviourUnsent           // refuses the connection
	behaviourLost             // runs the call, but the response is lost
	behaviourCut              // runs the call, but the response is truncated
)

// endpoint is a fake endpoint of a service without a model. It records each call
// and echoes its body.
type endpoint struct {
	ledger      *ledger
	serviceTime time.Duration
	behave      func() behaviour
}

func (e *endpoint) Call(ctx context.Context, c fulmardeal.Call) (fulmardeal.Answer, error) {
	b := e.behave()
	if b == behaviourUnsent {
		return fulmardeal.Answer{}, &fulmardeal.UnsentError{Address: "endpoint", Cause: errors.New("refused")}
	}
	e.ledger.run(string(c.Body))
	t := time.NewTimer(e.serviceTime)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return fulmardeal.Answer{}, ctx.Err()
	}
	if b == behaviourLost {
		return fulmardeal.Answer{}, errors.New("connection reset")
	}
	a := fulmardeal.Answer{Status: 200, Body: io.NopCloser(bytes.NewReader(c.Body))}
	if b == behaviourCut {
		a.Body = io.NopCloser(io.MultiReader(bytes.NewReader(c.Body[:1]), failingReader{}))
	}
	return a, nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (e *endpoint) Cancel(context.Context, string) error { return nil }

func (e *endpoint) Load(context.Context) (fulmardeal.Load, error) { return fulmardeal.Load{}, nil }

// allowAll is an attempt.Guard that refuses nothing.
type allowAll struct{}

func (allowAll) Check(attempt.Task) *attempt.Refusal { return nil }

func (allowAll) Serving(context.Context) (fulmardeal.Version, string, error) {
	return fulmardeal.Version{}, "", nil
}

// agent is the part of an agent that serves requests.
type agent struct {
	site    network.Site
	in      fulmardeal.Instance
	table   *attempt.Table
	cleanup func()
}

// cluster is a few agents and entries, connected by simulated links that can fail.
// It must be created and used in a synctest bubble, whose time is virtual.
type cluster struct {
	fabric  *network.Fabric
	ledger  *ledger
	book    *invariant.Recorder
	log     *platform.Log
	config  *configuration.Configuration
	agents  []*agent
	routers []*Router
	tables  []*choice.Table
	closers []func()
}

func newCluster(agents, entries int, serviceTime time.Duration, behave func() behaviour, withoutFence bool) (*cluster, error) {
	doc, err := configuration.ParseDocument("site", []byte(site))
	if err != nil {
		return nil, err
	}
	c := &cluster{
		fabric: network.New(&network.Memory{}, network.LinkProfile{DataCentreLatency: time.Millisecond}),
		ledger: &ledger{runs: make(map[string]int), first: make(map[string]time.Time)},
		book:   &invariant.Recorder{},
		log:    platform.NewLog(0),
		config: configuration.State{}.WithChange(doc).Evaluate(),
	}
	for i := range agents {
		if err := c.addAgent(i, serviceTime, behave, withoutFence); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		c.addEntry(i)
	}
	c.refresh()
	return c, nil
}

func (c *cluster) addAgent(i int, serviceTime time.Duration, behave func() behaviour, withoutFence bool) error {
	name := fmt.Sprintf("agent%d", i)
	s := network.Site{Instance: name, DataCentre: "a", Region: "r"}
	server, closeServer, err := connection.Listen(c.fabric.At(s), name+":0")
	if err != nil {
		return err
	}
	l := admission.NewLimiter(c.book, admission.Settings{Limit: 8, ColdLimit: 8}, time.Now())
	e := &endpoint{ledger: c.ledger, serviceTime: serviceTime, behave: behave}
	t := attempt.NewTable(name, e, l, allowAll{}, c.book)
	if withoutFence {
		t.DisableFencing()
	}
	if err := server.Register(attempt.ServiceName, attempt.NewService(t)); err != nil {
		return err
	}
	go func() { _ = server.Serve() }()
	in := fulmardeal.Instance{Name: name, Incarnation: name, Role: fulmardeal.RoleAgent,
		Address: server.Address(), DataCentre: "a", Region: "r", Service: "shop"}
	c.agents = append(c.agents, &agent{site: s, in: in, table: t, cleanup: closeServer})
	c.closers = append(c.closers, closeServer)
	return nil
}

func (c *cluster) addEntry(i int) {
	name := fmt.Sprintf("entry%d", i)
	s := network.Site{Instance: name, DataCentre: "a", Region: "r"}
	pool, closePool := connection.NewPool(c.fabric.At(s), 16)
	t := choice.NewTable(name, "a", "r", choice.PolicyTwoChoices, uint64(i+1))
	version := func() fulmardeal.Offset { return 1 }
	r := NewRouter(t, pool, claim.NewRegistry(c.log), version, slog.New(slog.DiscardHandler))
	c.tables = append(c.tables, t)
	c.routers = append(c.routers, r)
	c.closers = append(c.closers, closePool)
}

func (c *cluster) refresh() {
	m := membership.NewTable(fulmardeal.Instance{Incarnation: "self", Role: fulmardeal.RoleEntry}, 1)
	for _, a := range c.agents {
		m.Merge(time.Now(), []membership.MemberUpdate{{Instance: a.in, Beat: 1}})
	}
	for _, t := range c.tables {
		t.Refresh(m.Members(), c.config)
	}
}

// tick does the periodic work of the agents: it cancels attempts that are no longer
// read, and removes expired responses.
func (c *cluster) tick() {
	for _, a := range c.agents {
		a.table.Tick(time.Now())
	}
}

func (c *cluster) close() {
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
}

func (c *cluster) request(order, key string, safe bool) Request {
	customer, _ := c.config.Customer("noor")
	service, _ := c.config.Service("shop")
	return Request{Customer: customer, Service: service, Method: "POST", Path: "/shop/orders", Body: []byte(order), Key: key, Safe: safe}
}

// Settings of the platform's log: unavailable and available.
var (
	logDown = platform.Faults{Down: true}
	logUp   = platform.Faults{}
)
