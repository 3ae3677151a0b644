package request

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/standin/network"
	"fulmardeal/internal/traffic/admission"
	"fulmardeal/internal/traffic/attempt"
	"fulmardeal/internal/traffic/choice"
)

// frozenNetwork is the network of a process that freezes once: from the given time on,
// and for the given duration, it neither reads nor writes on any connection, old or new.
type frozenNetwork struct {
	fulmardeal.Network
	from     time.Time
	duration time.Duration
}

func (n *frozenNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	return &frozenListener{Listener: l, network: n}, err
}

// wait returns when the process isn't frozen.
func (n *frozenNetwork) wait() {
	if now := time.Now(); !now.Before(n.from) {
		time.Sleep(n.from.Add(n.duration).Sub(now))
	}
}

type frozenListener struct {
	net.Listener
	network *frozenNetwork
}

func (l *frozenListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &frozenConn{Conn: c, network: l.network}, err
}

type frozenConn struct {
	net.Conn
	network *frozenNetwork
}

func (c *frozenConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.wait()
	return n, err
}

func (c *frozenConn) Write(p []byte) (int, error) {
	c.network.wait()
	return c.Conn.Write(p)
}

// pausingEngine is a fake engine that takes 100 ms for each of tokenCount parts of its
// response. It is silent once, and may refuse requests or break their responses off.
type pausingEngine struct {
	name      string
	silentAt  time.Duration // after the start of a run
	silence   time.Duration
	refuses   bool
	breaksOff bool // after half of the response
	runs      atomic.Int64
}

func (e *pausingEngine) Call(_ context.Context, c fulmardeal.Call) (fulmardeal.Answer, error) {
	e.runs.Add(1)
	r := &pausingReader{engine: e, stream: c.Path == streamPath, started: time.Now()}
	a := fulmardeal.Answer{Status: 200, Body: r}
	if r.stream {
		a.Header = []fulmardeal.Field{{Name: "Content-Type", Value: "text/event-stream"}}
	}
	if e.silentAt == 0 {
		r.pause()
	}
	return a, nil
}

func (e *pausingEngine) Cancel(context.Context, string) error { return nil }

func (e *pausingEngine) Load(context.Context) (fulmardeal.Load, error) {
	return fulmardeal.Load{}, nil
}

func (e *pausingEngine) Check(attempt.Task) *attempt.Refusal {
	if e.refuses {
		return &attempt.Refusal{Reason: attempt.ReasonFull, After: time.Second}
	}
	return nil
}

func (e *pausingEngine) Serving(context.Context) (fulmardeal.Version, string, error) {
	return verse, verse.Name, nil
}

const streamPath = "/v1/completions"

// pausingReader is the body of a response of a pausingEngine.
type pausingReader struct {
	engine  *pausingEngine
	stream  bool
	started time.Time
	paused  bool
	at      int
}

func (r *pausingReader) pause() {
	if !r.paused && time.Since(r.started) >= r.engine.silentAt {
		r.paused = true
		time.Sleep(r.engine.silence)
	}
}

func (r *pausingReader) Read(p []byte) (int, error) {
	if r.engine.breaksOff && r.at == tokenCount/2 {
		return 0, io.ErrUnexpectedEOF
	}
	if r.at > tokenCount || !r.stream && r.at == tokenCount {
		return 0, io.EOF
	}
	r.pause()
	r.at++
	if r.at > tokenCount {
		return copy(p, "data: [DONE]\n\n"), nil
	}
	time.Sleep(100 * time.Millisecond)
	if r.stream {
		return copy(p, fmt.Sprintf("data: {\"choices\":[{\"text\":\"w%d\"}]}\n\n", r.at)), nil
	}
	return copy(p, fmt.Sprintf("%d ", r.at)), nil
}

func (r *pausingReader) Close() error { return nil }

// silenceCase is a request during which its endpoint or its agent is silent.
type silenceCase struct {
	kind    string        // stream, lookup or order
	silent  string        // endpoint or agent
	at      time.Duration // after the request was sent
	silence time.Duration
	second  string // none, refuses, breaks off, good, or retries used up
}

func (tc silenceCase) name() string {
	return fmt.Sprintf("%s/%s silent after %v for %v/second endpoint: %s", tc.kind, tc.silent, tc.at, tc.silence, tc.second)
}

// run sends the request and returns the response, how often it ran, and the error with
// which it ended.
func (tc silenceCase) run(t *testing.T) (response string, runs int64, err error) {
	first := &pausingEngine{name: "a"}
	frozen := &frozenNetwork{from: time.Now().Add(tc.at)}
	if tc.silent == "endpoint" {
		first.silentAt, first.silence = tc.at, tc.silence
	} else {
		frozen.duration = tc.silence
	}
	engines := []*pausingEngine{first}
	if tc.second != "none" {
		engines = append(engines, &pausingEngine{name: "b", refuses: tc.second == "refuses", breaksOff: tc.second == "breaks off"})
	}
	s, closeSystem := newPausingSystem(t, engines, frozen, 8)
	defer closeSystem()
	for tc.second == "retries used up" && s.router.retries.Withdraw() {
	}
	response, err = s.send(tc.kind)
	for _, e := range engines {
		runs += e.runs.Load()
	}
	return response, runs, err
}

// pausingSystem is one entry and the agents of a few pausingEngines.
type pausingSystem struct {
	config *configuration.Configuration
	router *Router
}

// newPausingSystem returns a system whose entry keeps connections to poolSize agents.
// The load balancer picks engines[0] first, whose agent uses the given network.
func newPausingSystem(t *testing.T, engines []*pausingEngine, first *frozenNetwork, poolSize int) (*pausingSystem, func()) {
	fabric := network.New(&network.Memory{}, network.LinkProfile{DataCentreLatency: time.Millisecond})
	doc, err := configuration.ParseDocument("site", []byte(strings.Replace(site, `kind = "plain"`, `kind = "model"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	c := configuration.State{}.WithChange(doc).Evaluate()
	members := membership.NewTable(fulmardeal.Instance{Incarnation: "self", Role: fulmardeal.RoleEntry}, 1)
	var closers []func()
	for i, e := range engines {
		n := fabric.At(network.Site{Instance: e.name, DataCentre: "a", Region: "r"})
		if i == 0 {
			first.Network = n
			n = first
		}
		server, closeServer, err := connection.Listen(n, e.name+":0")
		if err != nil {
			t.Fatal(err)
		}
		closers = append(closers, closeServer)
		l := admission.NewLimiter(nil, admission.Settings{Limit: 8, ColdLimit: 8}, time.Now())
		table := attempt.NewTable(e.name, e, l, e, &invariant.Recorder{})
		if err := server.Register(attempt.ServiceName, attempt.NewService(table)); err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve() }()
		in := fulmardeal.Instance{Name: e.name, Incarnation: e.name, Role: fulmardeal.RoleAgent,
			Address: server.Address(), DataCentre: "a", Region: "r", Service: "shop"}
		members.Merge(time.Now(), []membership.MemberUpdate{{Instance: in, Beat: 1, Serving: verse}})
	}
	pool, closePool := connection.NewPool(fabric.At(network.Site{Instance: "entry", DataCentre: "a", Region: "r"}), poolSize)
	balancer := choice.NewTable("entry", "a", "r", choice.PolicyLeastRequests, 1)
	balancer.Refresh(members.Members(), c)
	r := NewRouter(balancer, pool, nil, func() fulmardeal.Offset { return 1 }, slog.New(slog.DiscardHandler))
	return &pausingSystem{config: c, router: r}, func() {
		closePool()
		for _, f := range closers {
			f()
		}
		time.Sleep(time.Minute) // let the links deliver what is in transit
	}
}

// send sends a stream, a lookup or an order, and returns its response and the error with
// which it ended.
func (s *pausingSystem) send(kind string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	customer, _ := s.config.Customer("noor")
	service, _ := s.config.Service("shop")
	q := Request{Customer: customer, Service: service, Model: "verse", Method: "POST", Path: "/shop/orders", Safe: kind != "order"}
	if kind == "stream" {
		q.Path = streamPath
	}
	reply, err := s.router.Do(ctx, q)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	var out bytes.Buffer
	out.Write(reply.Data())
	for !reply.Done() {
		if err := reply.Next(ctx); err != nil {
			return out.String(), err
		}
		out.Write(reply.Data())
	}
	if strings.HasSuffix(out.String(), "data: [DONE]\n\n") {
		return eventTexts(out.String()), nil
	}
	return out.String(), nil
}

// wholeResponses holds the complete response to each kind of request.
var wholeResponses = map[string]string{
	"stream": "w1 w2 w3 w4 w5 w6 w7 w8 w9 w10",
	"lookup": "1 2 3 4 5 6 7 8 9 10 ",
	"order":  "1 2 3 4 5 6 7 8 9 10 ",
}

// A sound endpoint or agent that is silent for up to 2 s and goes on ends no request,
// whether or not another endpoint could take it.
func TestSilenceEndsNoRequest(t *testing.T) {
	for _, kind := range []string{"stream", "lookup", "order"} {
		for _, silent := range []string{"endpoint", "agent"} {
			for _, at := range []time.Duration{0, time.Millisecond, 450 * time.Millisecond, 950 * time.Millisecond} {
				for _, silence := range []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second} {
					for _, second := range []string{"none", "refuses", "breaks off", "good", "retries used up"} {
						tc := silenceCase{kind: kind, silent: silent, at: at, silence: silence, second: second}
						t.Run(tc.name(), func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) {
								response, runs, err := tc.run(t)
								if err != nil || response != wholeResponses[kind] {
									t.Errorf("response %q ended with error %v, want all of it", response, err)
								}
								if kind == "order" && runs != 1 {
									t.Errorf("order ran %d times, want once", runs)
								}
							})
						})
					}
				}
			}
		}
	}
}

// An order that is sent again with its key, and finds the first one in progress, gets
// its response also if the agent is silent when it is asked about the first one.
func TestSilenceEndsNoRepeatedOrder(t *testing.T) {
	faults := map[string]func(f *network.Fabric, match func(_, to network.Site) bool){
		"agent silent for 1.3s": func(f *network.Fabric, match func(_, to network.Site) bool) {
			f.Stall(1300*time.Millisecond, match)
		},
		"connection dead": func(f *network.Fabric, match func(_, to network.Site) bool) {
			f.Blackhole(match)
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, err := newCluster(1, 2, 3*time.Second, func() behaviour { return behaviourGood }, false)
				if err != nil {
					t.Fatal(err)
				}
				defer func() {
					c.close()
					time.Sleep(time.Minute) // let the links deliver what is in transit
				}()
				warmUp := order{entry: 1, body: "warm-up"} // opens the second entry's connection
				if r := c.send(warmUp); r.err != nil {
					t.Fatal(r.err)
				}
				first, again := order{key: "key", body: "key"}, order{at: time.Second, entry: 1, key: "key", body: "key"}
				var orders sync.WaitGroup
				results := make([]result, 2)
				orders.Go(func() { results[0] = c.send(first) })
				orders.Go(func() { results[1] = c.send(again) })
				time.Sleep(time.Second - time.Millisecond)
				inject(c.fabric, func(from, to network.Site) bool { return from.Instance == "entry1" && to.Instance == "agent0" })
				orders.Wait()
				for _, r := range results {
					if r.err != nil || r.response != "key" {
						t.Errorf("entry %d: response %q, error %v; want the response of the order", r.order.entry, r.response, r.err)
					}
				}
				if n := c.ledger.count("key"); n != 1 {
					t.Errorf("order ran %d times, want once", n)
				}
			})
		})
	}
}

// A request outlasts that the entry uses more connections than its pool holds.
func TestFullPoolEndsNoRequest(t *testing.T) {
	for kind, want := range wholeResponses {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := []*pausingEngine{{name: "a"}, {name: "b"}, {name: "c"}}
				s, closeSystem := newPausingSystem(t, engines, &frozenNetwork{}, 1)
				defer closeSystem()
				var requests sync.WaitGroup
				for i := range engines {
					requests.Go(func() {
						time.Sleep(time.Duration(i) * 250 * time.Millisecond)
						if response, err := s.send(kind); err != nil || response != want {
							t.Errorf("request %d: response %q ended with error %v, want all of it", i, response, err)
						}
					})
				}
				requests.Wait()
				for _, e := range engines {
					if n := e.runs.Load(); n != 1 {
						t.Errorf("endpoint %s ran %d requests, want one", e.name, n)
					}
				}
			})
		})
	}
}
