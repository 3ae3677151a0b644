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

// scene is a checker with a request of a kind on its way.
type scene struct {
	*Checker
	r *request
	a site.ReceivedRequest
}

func newScene(kind fulmardeal.Kind, resumable bool) *scene {
	s := &scene{Checker: NewChecker(map[string]string{"a": "region-a", "b": "region-b"})}
	route := &fulmardeal.Route{Name: "x", Kind: kind, Resumable: resumable, Attempts: 2, Timeout: 2 * time.Second,
		Shares: []fulmardeal.Share{{Service: servicePlain, Weight: 1}}}
	s.r = &request{attempt: "c1", route: route, customer: &fulmardeal.Customer{Name: "florist"}, key: "f1", method: "POST", path: "/x/1",
		body: []byte("hello"), sent: time.Now(), deadline: 4 * time.Second}
	s.a = site.ReceivedRequest{Endpoint: fulmardeal.Registration{ID: "e1", Service: servicePlain, DataCentre: "a"}, Method: "POST", Path: "/x/1",
		Body: []byte("hello"), Attempt: "c1", Forward: fulmardeal.Forward{Customer: "florist"}}
	return s
}

// run lets the request arrive and run.
func (s *scene) run() {
	s.a.Time = time.Now()
	if s.a.Forward.Deadline == 0 {
		s.a.Forward.Deadline = s.r.deadline - time.Since(s.r.sent)
	}
	s.RequestReceived(s.a)
	s.RequestStarted(s.a)
}

// later sends the request only now.
func (s *scene) later(d time.Duration) {
	time.Sleep(d)
	s.r.sent = time.Now()
}

func (s *scene) answer(status int, signature string, body string, err error) {
	h := http.Header{}
	if signature != "" {
		platform.Counterpart{}.WriteReply(h, fulmardeal.Reply{Running: -1}, signature)
	}
	s.answered(s.r, &http.Response{StatusCode: status, Header: h}, []byte(body), err, false)
}

func (s *scene) serve(body string) {
	s.answer(http.StatusOK, site.Signature("c1", "e1", []byte(body)), body, nil)
}

func (s *scene) stream(events ...string) {
	text := ""
	for _, e := range events {
		text += e
	}
	s.answer(http.StatusOK, site.Signature("c1", s.r.runs[0], nil), text, nil)
}

// events returns events of an endpoint.
func events(endpoint string, from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += string(site.Event("c1", endpoint, i))
	}
	return text
}

// TestChecker breaks each promise alone, and does what is nearest to breaking it.
func TestChecker(t *testing.T) {
	const once, read, stream = fulmardeal.KindOnce, fulmardeal.KindIdempotent, fulmardeal.KindStream
	tests := []struct {
		name   string
		kind   fulmardeal.Kind
		do     func(s *scene)
		breaks Promise // empty for none
	}{
		{"run once", once, func(s *scene) { s.run(); s.serve("x") }, ""},
		{"run twice", once, func(s *scene) { s.run(); s.run() }, PromiseOnce},
		{"read twice", read, func(s *scene) { s.run(); s.run(); s.serve("x") }, ""},
		{"refused, ran before", once, func(s *scene) { s.run(); s.answer(503, "", "", nil) }, PromiseRefusal},
		{"refused, runs after", once, func(s *scene) { s.answer(429, "", "", nil); s.run() }, PromiseRefusal},
		{"refused, arrived only", once, func(s *scene) { s.a.Time = time.Now(); s.RequestReceived(s.a); s.answer(503, "", "", nil) }, ""},
		{"failed, ran before", once, func(s *scene) { s.run(); s.answer(502, "", "", nil) }, ""},
		{"answer of another run", once, func(s *scene) { s.run(); s.answer(200, site.Signature("c1", "e2", []byte("x")), "x", nil) }, PromiseWhole},
		{"answer without an end", once, func(s *scene) { s.run(); s.answer(200, site.Signature("c1", "e1", []byte("xy")), "x", nil) }, PromiseWhole},
		{"stream", stream, func(s *scene) { s.run(); s.stream(events("e1", 1, 12)) }, ""},
		{"stream without an event", stream, func(s *scene) { s.run(); s.stream(events("e1", 1, 5), events("e1", 7, 12)) }, PromiseOrder},
		{"stream with an event twice", stream, func(s *scene) { s.run(); s.stream(events("e1", 1, 5), events("e1", 5, 12)) }, PromiseOrder},
		{"stream that ends early", stream, func(s *scene) { s.run(); s.stream(events("e1", 1, 11)) }, PromiseOrder},
		{"stream of two runs", stream, func(s *scene) { s.run(); s.stream(events("e1", 1, 5), events("e2", 6, 12)) }, PromiseOrder},
		{"stream resumed", stream, func(s *scene) {
			s.r.route.Resumable = true
			s.run()
			s.a.Endpoint.ID = "e2"
			s.run()
			s.stream(events("e1", 1, 5), events("e2", 6, 12))
		}, ""},
		{"another path", read, func(s *scene) { s.a.Path = "/x/2"; s.run() }, PromiseUnchanged},
		{"another body", read, func(s *scene) { s.a.Body = nil; s.run() }, PromiseUnchanged},
		{"the key", read, func(s *scene) { s.a.Key = "f1"; s.run() }, PromiseUnchanged},
		{"another customer", read, func(s *scene) { s.a.Forward.Customer = "printer"; s.run() }, PromiseUnchanged},
		{"an attempt of nobody", read, func(s *scene) { s.a.Attempt = "c2"; s.run() }, PromiseUnchanged},
		{"another service", read, func(s *scene) { s.a.Endpoint.Service = serviceOther; s.run() }, PromiseRoute},
		{"away from home", read, func(s *scene) { s.r.route.Homes = []string{"region-b"}; s.run() }, PromiseHome},
		{"away from the customer's home", read, func(s *scene) { s.r.customer.Homes = []string{"region-b"}; s.run() }, PromiseHome},
		{"at home", read, func(s *scene) { s.r.route.Homes = []string{"region-a"}; s.run() }, ""},
		{"key taken long ago", read, func(s *scene) { s.Taken("f1"); s.later(5100 * time.Millisecond); s.run() }, PromiseRevoked},
		{"key taken long ago, by an entry that is cut off", read, func(s *scene) { s.Disturb("entry-0"); s.Taken("f1"); s.later(5100 * time.Millisecond); s.run() }, PromiseRevoked},
		{"key taken just now", read, func(s *scene) { s.Taken("f1"); s.later(4900 * time.Millisecond); s.run() }, ""},
		{"moved long ago", read, func(s *scene) { s.Moved("x", serviceOther, 2); s.later(2100 * time.Millisecond); s.run() }, PromiseConfig},
		{"moved long ago, cut off", read, func(s *scene) {
			s.Disturb("entry-0")
			s.Moved("x", serviceOther, 2)
			s.later(2100 * time.Millisecond)
			s.run()
		}, ""},
		{"moved just now", read, func(s *scene) { s.Moved("x", serviceOther, 2); s.later(1900 * time.Millisecond); s.run() }, ""},
		{"moved and there", read, func(s *scene) { s.Moved("x", serviceOther, 2); s.a.Endpoint.Service = serviceOther; s.run() }, ""},
		{"out for long", read, func(s *scene) { s.Evacuated("a"); s.later(5100 * time.Millisecond); s.run() }, PromiseEvacuated},
		{"out just now", read, func(s *scene) { s.Evacuated("a"); s.later(4900 * time.Millisecond); s.run() }, ""},
		{"out and back", read, func(s *scene) { back := s.Evacuated("a"); s.later(5100 * time.Millisecond); back(); s.run() }, ""},
		{"leaves since long", read, func(s *scene) { s.Left("e1"); s.later(2100 * time.Millisecond); s.run() }, PromiseDrained},
		{"leaves since just now", read, func(s *scene) { s.Left("e1"); s.later(1900 * time.Millisecond); s.run() }, ""},
		{"leaves since long, after a fault", read, func(s *scene) { s.Disturb("entry-0")(); s.Left("e1"); s.later(2900 * time.Millisecond); s.run() }, ""},
		{"leaves since long, long after a fault", read, func(s *scene) {
			s.Disturb("entry-0")()
			time.Sleep(boundContact)
			s.Left("e1")
			s.later(2100 * time.Millisecond)
			s.run()
		}, PromiseDrained},
		{"old weights", read, func(s *scene) { s.Named(2); s.a.Version = 1; s.later(8100 * time.Millisecond); s.run() }, PromiseWeights},
		{"old weights, in time", read, func(s *scene) { s.Named(2); s.a.Version = 1; s.later(7900 * time.Millisecond); s.run() }, ""},
		{"old weights, something disturbed", read, func(s *scene) {
			s.Named(2)
			s.Disturb("endpoint-3")()
			s.a.Version = 1
			s.later(8100 * time.Millisecond)
			s.run()
		}, ""},
		{"wrong weights", read, func(s *scene) { s.a.Version, s.a.Incomplete = 1, true; s.run() }, PromiseIntact},
		{"cold", read, func(s *scene) { s.flood(36, time.Second) }, PromiseCold},
		{"cold, at its rate", read, func(s *scene) { s.flood(35, time.Second) }, ""},
		{"warm", read, func(s *scene) { s.flood(40, 0) }, ""},
		{"many repeats", read, func(s *scene) { s.repeat(25) }, PromiseRepeats},
		{"some repeats", read, func(s *scene) { s.repeat(18) }, ""},
		{"too much time", read, func(s *scene) { s.a.Forward.Deadline = 4600 * time.Millisecond; s.run() }, PromiseDeadline},
		{"no answer", read, func(s *scene) {
			for range mostLate {
				s.r.sent = time.Now()
				time.Sleep(3100 * time.Millisecond)
				s.unanswered(s.r, errors.New("timeout"), false)
			}
		}, PromiseAnswered},
		{"401 for a valid key", read, func(s *scene) { s.answer(401, "", "", nil) }, PromiseAdmitted},
		{"401 for a key that was taken", read, func(s *scene) { s.Taken("f1"); s.answer(401, "", "", nil) }, ""},
		{"cut in quiet", once, func(s *scene) { s.run(); s.unanswered(s.r, errors.New("EOF"), false) }, PromiseGraceful},
		{"cut beside a fault", once, func(s *scene) { s.Disturb("endpoint-1"); s.run(); s.unanswered(s.r, errors.New("EOF"), false) }, ""},
		{"cut within the answer in quiet", once, func(s *scene) { s.run(); s.answer(200, "", "x", errors.New("EOF")) }, PromiseGraceful},
		{"caller left", once, func(s *scene) { s.run(); s.unanswered(s.r, errors.New("EOF"), true) }, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene(tc.kind, false)
				s.send(s.r)
				tc.do(s)
				_, violations := s.Verdict()
				broken := func(b Violation) bool { return b.Promise == tc.breaks }
				if tc.breaks == "" && len(violations) > 0 || tc.breaks != "" && (len(violations) == 0 || slices.ContainsFunc(violations, func(b Violation) bool { return !broken(b) })) {
					t.Errorf("violations %v, want only %q", violations, tc.breaks)
				}
			})
		})
	}
}

// flood lets requests arrive within a second at an endpoint that is cold for a
// time.
func (s *scene) flood(n int, cold time.Duration) {
	s.a.Endpoint.ColdLeft = cold
	for i := range n {
		r := *s.r
		r.attempt, r.sent = strconv.Itoa(i), time.Now()
		s.send(&r)
		s.a.Attempt = r.attempt
		s.run()
		time.Sleep(20 * time.Millisecond)
	}
}

// repeat lets requests that a cold endpoint doesn't see arrive again.
func (s *scene) repeat(n int) {
	for range 1 + n {
		s.a.Time, s.a.Forward.Deadline = time.Now(), time.Millisecond
		s.RequestReceived(s.a)
	}
}

// TestPlan checks that a plan follows from its seed alone, and strikes what
// exists.
func TestPlan(t *testing.T) {
	shape := Shape{Entries: 2, Engines: 3, Plain: 4, DataCentres: 2}
	seen := make(map[Kind]bool)
	for seed := range uint64(20) {
		a, b := Plan(seed, shape, time.Minute), Plan(seed, shape, time.Minute)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		for i, f := range a {
			seen[f.Kind] = true
			if f.Target < 0 || f.Target >= 7 || f.For < leastFor || i > 0 && f.At < a[i-1].At {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	if len(seen) != len(kinds) {
		t.Errorf("only %d of %d kinds come in 20 plans", len(seen), len(kinds))
	}
}
