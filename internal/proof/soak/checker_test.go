package soak

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// fixture is a Checker with one request, and its arrival at an endpoint.
type fixture struct {
	*Checker
	req     *request
	arrival site.ReceivedRequest
}

func newFixture(kind fulmardeal.Kind, resumable bool) *fixture {
	f := &fixture{Checker: NewChecker(map[string]string{"a": "region-a", "b": "region-b"})}
	route := &fulmardeal.Route{Name: "x", Kind: kind, Resumable: resumable, Attempts: 2, Timeout: 2 * time.Second,
		Shares: []fulmardeal.Share{{Service: servicePlain, Weight: 1}}}
	f.req = &request{attempt: "c1", route: route, customer: &fulmardeal.Customer{Name: "florist"}, key: "f1", method: "POST", path: "/x/1",
		body: []byte("hello"), sent: time.Now(), deadline: 4 * time.Second}
	f.arrival = site.ReceivedRequest{Endpoint: fulmardeal.Registration{ID: "e1", Address: "10.0.0.1:1", Service: servicePlain, DataCentre: "a"}, Method: "POST", Path: "/x/1",
		Body: []byte("hello"), Attempt: "c1", Forward: fulmardeal.ForwardMetadata{Customer: "florist"}}
	return f
}

// run lets the request arrive at the endpoint and run there.
func (f *fixture) run() {
	f.arrival.Time = time.Now()
	if f.arrival.Forward.Deadline == 0 {
		f.arrival.Forward.Deadline = f.req.deadline - time.Since(f.req.sent)
	}
	f.RequestReceived(f.arrival)
	f.RequestStarted(f.arrival)
}

// notice lets the endpoint tell the entry that it leaves, or ask it for a pause.
func (f *fixture) notice(pause time.Duration) { f.NoticeSent(f.arrival, pause == 0, pause) }

// pausedRequests lets requests arrive within a pause.
func (f *fixture) pausedRequests(n int) {
	f.notice(10 * time.Second)
	time.Sleep(time.Second)
	f.receive(n)
}

// limited lets the endpoint name a limit of 1 request a second, and requests arrive some time
// afterwards.
func (f *fixture) limited(after time.Duration, n int) {
	f.addLimit(f.arrival.Endpoint, 1)
	f.requests[f.req.attempt] = f.req
	f.LimitSent(f.arrival, 1)
	f.req.deadline = time.Minute
	time.Sleep(after)
	f.receive(n)
}

// receive lets the request reach the endpoint several times.
func (f *fixture) receive(n int) {
	f.arrival.Time = time.Now()
	for range n {
		f.RequestReceived(f.arrival)
	}
}

// delay waits and sends the request only then.
func (f *fixture) delay(d time.Duration) {
	time.Sleep(d)
	f.req.sent = time.Now()
}

// poisoned lets endpoints crash on a part of the request's prompt, and the request arrive
// some times afterwards.
func (f *fixture) poisoned(crashes int, after time.Duration, arrivals int) {
	f.req.poison = "dead-1"
	for range crashes {
		f.crashed(f.arrival)
	}
	f.delay(after)
	f.arrival.Forward.Deadline = f.req.deadline
	f.receive(arrivals)
}

func (f *fixture) respond(status int, signature string, body string, err error) {
	h := http.Header{}
	if signature != "" {
		platform.PeerCodec{}.SetResponseMetadata(h, fulmardeal.ResponseMetadata{Running: -1}, signature)
	}
	f.responseReceived(f.req, &http.Response{StatusCode: status, Header: h}, []byte(body), err, false)
}

func (f *fixture) respondOK(body string) {
	f.respond(http.StatusOK, site.Signature("c1", "e1", []byte(body)), body, nil)
}

func (f *fixture) respondStream(events ...string) {
	text := ""
	for _, e := range events {
		text += e
	}
	f.respond(http.StatusOK, site.Signature("c1", f.req.runs[0], nil), text, nil)
}

// events returns a range of the stream's events, as the endpoint sends them.
func events(endpoint string, from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += string(site.Event("c1", endpoint, i))
	}
	return text
}

// TestChecker breaks one guarantee at a time and expects a violation of exactly that
// guarantee. Behaviour that is just within a guarantee must give no violation.
func TestChecker(t *testing.T) {
	const once, read, stream = fulmardeal.KindAtMostOnce, fulmardeal.KindIdempotent, fulmardeal.KindStream
	tests := []struct {
		name   string
		kind   fulmardeal.Kind
		do     func(f *fixture)
		breaks Guarantee // guarantee that is violated; empty for none
	}{
		{"run once", once, func(f *fixture) { f.run(); f.respondOK("x") }, ""},
		{"within a limit", once, func(f *fixture) { f.limited(settleTime+time.Second, 11) }, ""},
		{"above a limit", once, func(f *fixture) { f.limited(settleTime+time.Second, 12) }, GuaranteeLimit},
		{"before a limit is kept", once, func(f *fixture) { f.limited(settleTime-time.Second, 20) }, ""},
		{"above a limit, entry disturbed", once, func(f *fixture) {
			f.limited(time.Second, 0)
			f.Disturb(entryScope(0))
			time.Sleep(settleTime)
			f.receive(20)
		}, ""},
		{"run twice", once, func(f *fixture) { f.run(); f.run() }, GuaranteeAtMostOnce},
		{"read twice", read, func(f *fixture) { f.run(); f.run(); f.respondOK("x") }, ""},
		{"refused, ran before", once, func(f *fixture) { f.run(); f.respond(503, "", "", nil) }, GuaranteeTrueRefusal},
		{"refused, runs after", once, func(f *fixture) { f.respond(429, "", "", nil); f.run() }, GuaranteeTrueRefusal},
		{"refused, arrived only", once, func(f *fixture) {
			f.arrival.Time = time.Now()
			f.RequestReceived(f.arrival)
			f.respond(503, "", "", nil)
		}, ""},
		{"failed, ran before", once, func(f *fixture) { f.Disturb("10.0.0.1:1"); f.run(); f.respond(502, "", "", nil) }, ""},
		{"answer of another run", once, func(f *fixture) { f.run(); f.respond(200, site.Signature("c1", "e2", []byte("x")), "x", nil) }, GuaranteeWholeAnswer},
		{"answer without an end", once, func(f *fixture) { f.run(); f.respond(200, site.Signature("c1", "e1", []byte("xy")), "x", nil) }, GuaranteeWholeAnswer},
		{"stream", stream, func(f *fixture) { f.run(); f.respondStream(events("e1", 1, 12)) }, ""},
		{"stream without an event", stream, func(f *fixture) { f.run(); f.respondStream(events("e1", 1, 5), events("e1", 7, 12)) }, GuaranteeWholeStream},
		{"stream with an event twice", stream, func(f *fixture) { f.run(); f.respondStream(events("e1", 1, 5), events("e1", 5, 12)) }, GuaranteeWholeStream},
		{"stream that ends early", stream, func(f *fixture) { f.run(); f.respondStream(events("e1", 1, 11)) }, GuaranteeWholeStream},
		{"stream of two runs", stream, func(f *fixture) { f.run(); f.respondStream(events("e1", 1, 5), events("e2", 6, 12)) }, GuaranteeWholeStream},
		{"stream resumed", stream, func(f *fixture) {
			f.req.route.Resumable = true
			f.run()
			f.arrival.Endpoint.ID = "e2"
			f.run()
			f.respondStream(events("e1", 1, 5), events("e2", 6, 12))
		}, ""},
		{"another path", read, func(f *fixture) { f.arrival.Path = "/x/2"; f.run() }, GuaranteeUnchanged},
		{"another body", read, func(f *fixture) { f.arrival.Body = nil; f.run() }, GuaranteeUnchanged},
		{"the key", read, func(f *fixture) { f.arrival.Key = "f1"; f.run() }, GuaranteeUnchanged},
		{"another customer", read, func(f *fixture) { f.arrival.Forward.Customer = "printer"; f.run() }, GuaranteeUnchanged},
		{"an attempt of nobody", read, func(f *fixture) { f.arrival.Attempt = "c2"; f.run() }, GuaranteeUnchanged},
		{"another service", read, func(f *fixture) { f.arrival.Endpoint.Service = serviceOther; f.run() }, GuaranteeRoute},
		{"away from home", read, func(f *fixture) { f.req.route.Homes = []string{"region-b"}; f.run() }, GuaranteeHome},
		{"away from the customer's home", read, func(f *fixture) { f.req.customer.Homes = []string{"region-b"}; f.run() }, GuaranteeHome},
		{"at home", read, func(f *fixture) { f.req.route.Homes = []string{"region-a"}; f.run() }, ""},
		{"key taken long ago", read, func(f *fixture) { f.KeyRevoked("f1"); f.delay(5100 * time.Millisecond); f.run() }, GuaranteeRevokedKey},
		{"key taken long ago, by an entry that is cut off", read, func(f *fixture) { f.Disturb("entry-0"); f.KeyRevoked("f1"); f.delay(5100 * time.Millisecond); f.run() }, GuaranteeRevokedKey},
		{"key taken just now", read, func(f *fixture) { f.KeyRevoked("f1"); f.delay(4900 * time.Millisecond); f.run() }, ""},
		{"moved long ago", read, func(f *fixture) { f.Rerouted("x", serviceOther, 2); f.delay(2100 * time.Millisecond); f.run() }, GuaranteeConfiguration},
		{"moved long ago, cut off", read, func(f *fixture) {
			f.Disturb("entry-0")
			f.Rerouted("x", serviceOther, 2)
			f.delay(2100 * time.Millisecond)
			f.run()
		}, ""},
		{"moved just now", read, func(f *fixture) { f.Rerouted("x", serviceOther, 2); f.delay(1900 * time.Millisecond); f.run() }, ""},
		{"moved and there", read, func(f *fixture) { f.Rerouted("x", serviceOther, 2); f.arrival.Endpoint.Service = serviceOther; f.run() }, ""},
		{"out for long", read, func(f *fixture) { f.Evacuated("a"); f.delay(5100 * time.Millisecond); f.run() }, GuaranteeEvacuated},
		{"out just now", read, func(f *fixture) { f.Evacuated("a"); f.delay(4900 * time.Millisecond); f.run() }, ""},
		{"out and back", read, func(f *fixture) { back := f.Evacuated("a"); f.delay(5100 * time.Millisecond); back(); f.run() }, ""},
		{"leaves since long", read, func(f *fixture) { f.Draining("e1"); f.delay(2100 * time.Millisecond); f.run() }, GuaranteeDrained},
		{"leaves since just now", read, func(f *fixture) { f.Draining("e1"); f.delay(1900 * time.Millisecond); f.run() }, ""},
		{"leaves since long, after a fault", read, func(f *fixture) { f.Disturb("entry-0")(); f.Draining("e1"); f.delay(2900 * time.Millisecond); f.run() }, ""},
		{"leaves since long, long after a fault", read, func(f *fixture) {
			f.Disturb("entry-0")()
			time.Sleep(settleTime)
			f.Draining("e1")
			f.delay(2100 * time.Millisecond)
			f.run()
		}, GuaranteeDrained},
		{"told long ago that it leaves", read, func(f *fixture) { f.notice(0); f.delay(2100 * time.Millisecond); f.run() }, GuaranteeDrained},
		{"told long ago, the store disturbed", read, func(f *fixture) { f.Disturb(scopeAll); f.notice(0); f.delay(2100 * time.Millisecond); f.run() }, GuaranteeDrained},
		{"told just now that it leaves", read, func(f *fixture) { f.notice(0); f.delay(1900 * time.Millisecond); f.run() }, ""},
		{"told another entry that it leaves", read, func(f *fixture) { f.notice(0); f.req.entry = 1; f.delay(2100 * time.Millisecond); f.run() }, ""},
		{"told before a restart that it leaves", read, func(f *fixture) { f.notice(0); f.Restarted("entry-0"); f.delay(2100 * time.Millisecond); f.run() }, ""},
		{"paused, three requests", read, func(f *fixture) { f.pausedRequests(3) }, GuaranteePaused},
		{"paused, three requests, the store disturbed", read, func(f *fixture) { f.Disturb(scopeAll); f.pausedRequests(3) }, GuaranteePaused},
		{"paused, two requests", read, func(f *fixture) { f.pausedRequests(2) }, ""},
		{"paused, requests on their way", read, func(f *fixture) {
			f.notice(10 * time.Second)
			f.receive(9)
		}, ""},
		{"paused, the entry frozen", read, func(f *fixture) { f.Disturb("entry-0")(); f.pausedRequests(3) }, ""},
		{"old weights", read, func(f *fixture) { f.Published(2); f.arrival.Version = 1; f.delay(8100 * time.Millisecond); f.run() }, GuaranteeWeightsVersion},
		{"old weights, in time", read, func(f *fixture) { f.Published(2); f.arrival.Version = 1; f.delay(7900 * time.Millisecond); f.run() }, ""},
		{"old weights, an endpoint disturbed", read, func(f *fixture) { f.runOld(f.Disturb, "endpoint-3", 0, 8100*time.Millisecond) }, GuaranteeWeightsVersion},
		{"old weights, a process out of touch before", read, func(f *fixture) { f.runOld(f.Disturb, "entry-0", 0, 8100*time.Millisecond) }, GuaranteeWeightsVersion},
		{"old weights, the entry out of touch", read, func(f *fixture) { f.runOld(f.Disturb, "entry-0", 6*time.Second, 2500*time.Millisecond) }, ""},
		{"old weights, another entry out of touch", read, func(f *fixture) { f.runOld(f.Disturb, "entry-1", 6*time.Second, 2500*time.Millisecond) }, GuaranteeWeightsVersion},
		{"old weights, the entry just restarted", read, func(f *fixture) {
			f.Published(2)
			f.arrival.Version = 1
			f.delay(5600 * time.Millisecond)
			f.Restarted("entry-0")
			f.delay(2900 * time.Millisecond)
			f.run()
		}, ""},
		{"old weights, the entry restarted before", read, func(f *fixture) {
			f.Published(2)
			f.arrival.Version = 1
			f.Restarted("entry-0")
			f.delay(8100 * time.Millisecond)
			f.run()
		}, GuaranteeWeightsVersion},
		{"old weights, another entry just restarted", read, func(f *fixture) {
			f.Published(2)
			f.arrival.Version = 1
			f.delay(8100 * time.Millisecond)
			f.Restarted("entry-1")
			f.run()
		}, GuaranteeWeightsVersion},
		{"old weights, a link disturbed", read, func(f *fixture) { f.runOld(f.DisturbLink, "endpoint-3", time.Second, 7900*time.Millisecond) }, ""},
		{"old weights, long after a link was disturbed", read, func(f *fixture) { f.runOld(f.DisturbLink, "endpoint-3", time.Second, 8100*time.Millisecond) }, GuaranteeWeightsVersion},
		{"old weights, long before a link was disturbed", read, func(f *fixture) { f.runOld(f.DisturbLink, "endpoint-3", 8100*time.Millisecond, time.Second) }, GuaranteeWeightsVersion},
		{"old weights, the store disturbed", read, func(f *fixture) { f.runOld(f.Disturb, scopeAll, 0, 10900*time.Millisecond) }, ""},
		{"old weights, long after the store was disturbed", read, func(f *fixture) { f.runOld(f.Disturb, scopeAll, 0, 11100*time.Millisecond) }, GuaranteeWeightsVersion},
		{"wrong weights", read, func(f *fixture) { f.arrival.Version, f.arrival.Incomplete = 1, true; f.run() }, GuaranteeIntactWeights},
		{"cold", read, func(f *fixture) { f.arriveWhileCold(36, time.Second) }, GuaranteeColdRate},
		{"cold, at its rate", read, func(f *fixture) { f.arriveWhileCold(35, time.Second) }, ""},
		{"warm", read, func(f *fixture) { f.arriveWhileCold(40, 0) }, ""},
		{"many repeats", read, func(f *fixture) { f.arriveAgain(25) }, GuaranteeRetryBudget},
		{"some repeats", read, func(f *fixture) { f.arriveAgain(18) }, ""},
		{"too much time", read, func(f *fixture) { f.arrival.Forward.Deadline = 4600 * time.Millisecond; f.run() }, GuaranteeDeadline},
		{"no answer", read, func(f *fixture) {
			for range minLateAnswers {
				f.req.sent = time.Now()
				time.Sleep(3100 * time.Millisecond)
				f.requestFailed(f.req, errors.New("timeout"), false)
			}
		}, GuaranteeAnswered},
		{"401 for a valid key", read, func(f *fixture) { f.respond(401, "", "", nil) }, GuaranteeAdmitted},
		{"401 for a key that was taken", read, func(f *fixture) { f.KeyRevoked("f1"); f.respond(401, "", "", nil) }, ""},
		{"cut in quiet", once, func(f *fixture) { f.run(); f.requestFailed(f.req, errors.New("EOF"), false) }, GuaranteeGraceful},
		{"cut beside a fault", once, func(f *fixture) { f.Disturb("entry-0"); f.run(); f.requestFailed(f.req, errors.New("EOF"), false) }, ""},
		{"cut within the answer in quiet", once, func(f *fixture) { f.run(); f.respond(200, "", "x", errors.New("EOF")) }, GuaranteeGraceful},
		{"cut beside another endpoint's fault", once, func(f *fixture) { f.Disturb("10.0.0.9:1"); f.run(); f.respond(200, "", "x", errors.New("EOF")) }, GuaranteeUnbroken},
		{"stream cut, its endpoint silent, the store disturbed", stream, func(f *fixture) {
			f.Disturb(scopeAll)
			f.run()
			time.Sleep(1300 * time.Millisecond)
			f.respond(200, "", events("e1", 1, 4), errors.New("unexpected EOF"))
		}, GuaranteeUnbroken},
		{"502, its endpoint silent, another entry killed", read, func(f *fixture) {
			f.Disturb("entry-1")
			f.run()
			time.Sleep(800 * time.Millisecond)
			f.respond(502, "", "", nil)
		}, GuaranteeUnbroken},
		{"504 when the time is up", read, func(f *fixture) {
			f.run()
			time.Sleep(2 * time.Second)
			f.respond(504, "", "", nil)
		}, ""},
		{"502, reached no endpoint", read, func(f *fixture) { f.respond(502, "", "", nil) }, ""},
		{"cut beside a fault of its endpoint", stream, func(f *fixture) { f.Disturb("10.0.0.1:1"); f.run(); f.respond(200, "", "x", errors.New("EOF")) }, ""},
		{"stream cut, a second endpoint broke off before its first event", stream, func(f *fixture) { f.cutAfterSecond("e1") }, GuaranteeUnbroken},
		{"stream cut, resumed at a second endpoint that broke off", stream, func(f *fixture) { f.cutAfterSecond("e2") }, ""},
		{"no answer begun, a second endpoint broke off", stream, func(f *fixture) { f.cutAfterSecond("") }, GuaranteeUnbroken},
		{"no answer beside another endpoint's fault", once, func(f *fixture) { f.Disturb("endpoint-1"); f.run(); f.requestFailed(f.req, errors.New("EOF"), false) }, GuaranteeUnbroken},
		{"no answer, its endpoint crashed", once, func(f *fixture) { f.Disturb("10.0.0.1:1"); f.run(); f.requestFailed(f.req, errors.New("EOF"), false) }, GuaranteeUnbroken},
		{"poisoned, long after the fifth crash", stream, func(f *fixture) { f.poisoned(5, 3100*time.Millisecond, 4) }, GuaranteeQuarantined},
		{"poisoned, as many as are tolerated", stream, func(f *fixture) { f.poisoned(5, 3100*time.Millisecond, 3) }, ""},
		{"poisoned, soon after the fifth crash", stream, func(f *fixture) { f.poisoned(5, 2900*time.Millisecond, 9) }, ""},
		{"poisoned, after the fourth crash", stream, func(f *fixture) { f.poisoned(4, 10*time.Second, 9) }, ""},
		{"poisoned, by an entry that was killed", stream, func(f *fixture) {
			f.Disturb("entry-0")
			f.poisoned(5, 10*time.Second, 9)
		}, ""},
		{"poisoned, the endpoint disturbed", stream, func(f *fixture) {
			f.Disturb("10.0.0.1:1")
			f.poisoned(5, 3100*time.Millisecond, 4)
		}, GuaranteeQuarantined},
		{"sound, refused for its parts", stream, func(f *fixture) { f.respond(503, "", "quarantined\n", nil) }, GuaranteeSound},
		{"poisoned, refused for its parts", stream, func(f *fixture) {
			f.req.poison = "dead-1"
			f.respond(503, "", "quarantined\n", nil)
		}, ""},
		{"gone, runs on", read, func(f *fixture) { f.leave(2*time.Second, 600*time.Millisecond) }, GuaranteeGone},
		{"gone, the stream runs on", stream, func(f *fixture) { f.leave(2*time.Second, 600*time.Millisecond) }, GuaranteeGone},
		{"gone, an order runs on", once, func(f *fixture) { f.leave(2*time.Second, 600*time.Millisecond) }, ""},
		{"gone, dropped in time", read, func(f *fixture) { f.leave(2*time.Second, 400*time.Millisecond) }, ""},
		{"gone, never dropped", read, func(f *fixture) { f.leave(2*time.Second, 0) }, GuaranteeGone},
		{"gone, would have ended as soon", read, func(f *fixture) { f.leave(300*time.Millisecond, 600*time.Millisecond) }, ""},
		{"gone, one of four runs on", read, func(f *fixture) {
			for range 3 {
				f.leave(2*time.Second, 400*time.Millisecond)
				f.another()
			}
			f.leave(2*time.Second, 600*time.Millisecond)
		}, ""},
		{"gone, two of four run on", read, func(f *fixture) {
			for i := range 4 {
				f.leave(2*time.Second, 400*time.Millisecond+time.Duration(i%2)*200*time.Millisecond)
				f.another()
			}
		}, GuaranteeGone},
		{"gone, runs on, the entry disturbed", read, func(f *fixture) { f.Disturb("entry-0")(); f.leave(2*time.Second, 600*time.Millisecond) }, ""},
		{"gone, runs on, its endpoint disturbed", read, func(f *fixture) { f.Disturb("10.0.0.1:1")(); f.leave(2*time.Second, 600*time.Millisecond) }, ""},
		{"gone, runs on, another endpoint disturbed", read, func(f *fixture) { f.Disturb("10.0.0.9:1")(); f.leave(2*time.Second, 600*time.Millisecond) }, GuaranteeGone},
		{"gone, runs on, the entry disturbed long after", read, func(f *fixture) {
			f.leave(2*time.Second, 600*time.Millisecond)
			f.Disturb("entry-0")
		}, GuaranteeGone},
		{"gone, four arrive later", once, func(f *fixture) { f.arriveAfterLeaving(4, 600*time.Millisecond) }, GuaranteeGone},
		{"gone, three arrive later", once, func(f *fixture) { f.arriveAfterLeaving(3, 600*time.Millisecond) }, ""},
		{"gone, four arrive in time", once, func(f *fixture) { f.arriveAfterLeaving(4, 400*time.Millisecond) }, ""},
		{"stream with an error's text within", stream, func(f *fixture) {
			f.run()
			f.respondStream(events("e1", 1, 5), "internal error\n\n", events("e1", 6, 12))
		}, GuaranteeWholeStream},
		{"stream with comments", stream, func(f *fixture) { f.run(); f.respondStream(":x\n", events("e1", 1, 12)) }, ""},
		{"stream with an error's head, broken off", stream, func(f *fixture) {
			f.Disturb("10.0.0.1:1")
			f.run()
			f.respond(200, "", events("e1", 1, 5)+"HTTP/1.1 500 Internal Server Error\r\n", errors.New("unexpected EOF"))
		}, GuaranteeWholeStream},
		{"caller left", once, func(f *fixture) { f.run(); f.requestFailed(f.req, errors.New("EOF"), true) }, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(tc.kind, false)
				f.requestSent(f.req)
				tc.do(f)
				_, violations := f.Verdict()
				broken := func(v Violation) bool { return v.Guarantee == tc.breaks }
				if tc.breaks == "" && len(violations) > 0 || tc.breaks != "" && (len(violations) == 0 || slices.ContainsFunc(violations, func(v Violation) bool { return !broken(v) })) {
					t.Errorf("violations %v, want only %q", violations, tc.breaks)
				}
			})
		})
	}
}

// runOld publishes a version, disturbs a scope some time later for a moment, and lets the
// request run on the version before some time after that.
func (f *fixture) runOld(disturb func(string) func(), scope string, before, after time.Duration) {
	f.Published(2)
	time.Sleep(before)
	disturb(scope)()
	f.arrival.Version = 1
	f.delay(after)
	f.run()
}

// leave lets the request begin a run of the given length, and its caller leave. The run ends
// some time later, or never if end is 0.
func (f *fixture) leave(length, end time.Duration) {
	f.arrival.Expected = length
	f.req.sent = time.Now()
	f.run()
	f.callerLeft(f.req)
	if end > 0 {
		time.Sleep(end)
		f.RequestEnded(f.arrival)
	}
}

// another replaces the request by another one.
func (f *fixture) another() {
	r := &request{}
	*r = *f.req
	r.attempt += "+"
	r.left, r.runs, r.spans, r.arrivals = time.Time{}, nil, nil, nil
	f.req, f.arrival.Attempt = r, r.attempt
	f.requestSent(r)
}

// arriveAfterLeaving lets requests whose callers have left reach the endpoint some time later.
func (f *fixture) arriveAfterLeaving(n int, after time.Duration) {
	for range n {
		f.callerLeft(f.req)
		time.Sleep(after)
		f.receive(1)
		f.another()
	}
}

// cutAfterSecond lets the request reach a second endpoint too, which is disturbed, and
// cuts the answer after an event of the given endpoint.
func (f *fixture) cutAfterSecond(source string) {
	f.run()
	f.Disturb("10.0.0.2:1")
	f.arrival.Endpoint.ID, f.arrival.Endpoint.Address = "e2", "10.0.0.2:1"
	f.receive(1)
	body := ""
	if source != "" {
		body = events(source, 1, 1)
	}
	f.respond(200, "", body, errors.New("unexpected EOF"))
}

// arriveWhileCold lets n requests arrive within a second at an endpoint whose
// cold phase has the given time left.
func (f *fixture) arriveWhileCold(n int, cold time.Duration) {
	f.arrival.Endpoint.ColdLeft = cold
	for i := range n {
		r := *f.req
		r.attempt, r.sent = strconv.Itoa(i), time.Now()
		f.requestSent(&r)
		f.arrival.Attempt = r.attempt
		f.run()
		time.Sleep(20 * time.Millisecond)
	}
}

// arriveAgain lets the request arrive n more times after the first.
func (f *fixture) arriveAgain(n int) {
	for range 1 + n {
		f.arrival.Time, f.arrival.Forward.Deadline = time.Now(), time.Millisecond
		f.RequestReceived(f.arrival)
	}
}

// TestPlan checks that a plan is reproducible from its seed, that its targets
// exist, and that all kinds of faults occur.
func TestPlan(t *testing.T) {
	shape := Shape{Entries: 2, Engines: 3, Plain: 4, DataCentres: 2}
	seen := make(map[Kind]bool)
	for seed := range uint64(20) {
		a, b := Plan(seed, shape, time.Minute), Plan(seed, shape, time.Minute)
		if !slices.Equal(a, b) {
			t.Fatalf("two plans of seed %d differ", seed)
		}
		for i, f := range a {
			seen[f.Kind] = true
			if calm := seed%calmStep == 0; calm && (f.Kind.disturbsLink() || f.Kind.disturbsStore()) {
				t.Errorf("seed %d: %v, want no fault of a link or of the store", seed, f)
			}
			if shortest, longest := f.Kind.durations(); f.For < shortest || f.For > longest {
				t.Errorf("seed %d: %v, want a length of %v to %v", seed, f, shortest, longest)
			}
			if f.Target < 0 || f.Target >= 7 || f.For < minDuration || i > 0 && f.At < a[i-1].At {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	if len(seen) != len(kinds) {
		t.Errorf("only %d of %d kinds of faults occur in 20 plans", len(seen), len(kinds))
	}
}
