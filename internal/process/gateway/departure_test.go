package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/script"
)

const (
	departureWork    = 2500 * time.Millisecond // an endpoint's work on a request
	departureBound   = 500 * time.Millisecond  // from a close until nothing goes on or begins for the caller
	departureSlots   = 64
	registrationTime = 250 * time.Millisecond // an entry reads the registrations every 100 ms
	afterDeparture   = 50 * time.Millisecond  // from the close until what the request waited for happens
)

// departure is one line of testdata/departures.txt.
type departure struct {
	point, path   string
	sends, leaves []string
}

// stay is one request at an endpoint.
type stay struct{ arrived, ended time.Time }

// departureSite is a gateway with the endpoints of a case.
type departureSite struct {
	departure
	t       *testing.T
	gateway *testGateway
	callers []*departing
	hold    *heldListener
	raw     *rawEndpoint
	refuse  chan struct{} // closed when the endpoint is to refuse the requests
	opened  chan struct{} // closed afterDeparture after the callers have left

	mu    sync.Mutex
	stays map[string][]*stay // by attempt id
}

// arrive records the arrival of a request at an endpoint. The returned function records
// its end.
func (s *departureSite) arrive(id string) (stop func()) {
	v := &stay{arrived: time.Now()}
	s.mu.Lock()
	s.stays[id] = append(s.stays[id], v)
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		v.ended = time.Now()
		s.mu.Unlock()
	}
}

// arrivals returns how many of the callers' requests have reached endpoints n times.
func (s *departureSite) arrivals(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, c := range s.callers {
		if len(s.stays[c.id]) >= n {
			count++
		}
	}
	return count
}

// isOpen reports whether what the requests wait for has happened.
func (s *departureSite) isOpen() bool {
	select {
	case <-s.opened:
		return true
	default:
		return false
	}
}

// serve is the work of an endpoint, which looks at its connection all the time.
func (s *departureSite) serve(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("X-Fulmardeal-Attempt-Id")
	if !strings.HasPrefix(id, "d") { // a call by which the test looks for free slots
		events(rw, 1, 3, 3)
		return
	}
	defer s.arrive(id)()
	if s.point == "retry" && !s.isOpen() {
		<-s.refuse
		rw.Header().Set("X-Fulmardeal-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch s.point {
	case "event":
		events(rw, 1, 3, 3)
	case "write":
		for i := 1; r.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 32<<10)); err != nil {
				return
			}
			_ = http.NewResponseController(rw).Flush()
		}
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(departureWork):
	}
}

func (s *departureSite) catalogue() fulmardeal.Catalogue {
	c := catalogue(2)
	for i := range c.Routes {
		c.Routes[i].Timeout = 10 * time.Second
		if s.point == "queue" {
			c.Routes[i].Objective = 2 * time.Second // late requests aren't queued for long
		}
	}
	public := c.Routes[0]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	c.Routes = append(c.Routes, public)
	return c
}

// endpoint starts an endpoint that serves the callers' requests.
func (s *departureSite) endpoint(w *testGateway, id string, slots int) {
	address := w.endpoint(id, "shop", "a", s.serve)
	w.register(fulmardeal.Registration{ID: id, Service: "shop", Address: address, DataCentre: "a", Slots: slots, Sequence: 2})
}

// start starts the gateway and what is needed for the point.
func (s *departureSite) start() {
	s.gateway = startGateway(s.t, func(w *testGateway) {
		w.configure(s.catalogue())
		w.bounds.RetryExtra = 1000
		w.listener = func(l net.Listener) net.Listener {
			s.hold = &heldListener{Listener: l}
			return s.hold
		}
		switch s.point {
		case "queue":
			s.endpoint(w, "i-1", 1)
		case "second":
			s.endpoint(w, "i-1", departureSlots)
			s.endpoint(w, "i-2", departureSlots)
		case "dial", "crash", "suspect":
			s.raw = newRawEndpoint(s.t)
			w.register(fulmardeal.Registration{ID: "i-1", Service: "shop", Address: s.raw.address, DataCentre: "a", Slots: departureSlots})
		default:
			s.endpoint(w, "i-1", departureSlots)
		}
	})
	switch s.point {
	case "queue":
		for s.occupy("") {
		}
	case "dial":
		s.raw.fill()
	case "suspect":
		s.suspect()
	case "backlog":
		s.hold.mu.Lock()
	}
}

// occupy sends a request that stays at the endpoint until the callers have left, and
// reports whether there was a slot.
func (s *departureSite) occupy(prefix string) bool {
	id := newDepartureID()
	c := s.gateway.dial(s.t)
	go func() {
		<-s.opened
		c.Close()
	}()
	c.send(0, s.request(c, id, prefix, 4)+"body")
	for range 50 {
		if len(s.of(id)) > 0 {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// suspect makes a part suspect, and starts a trial.
func (s *departureSite) suspect() {
	go s.raw.crash()
	c := s.gateway.dial(s.t)
	c.send(0, s.request(c, newDepartureID(), "bad:40,a:10", 4)+"body")
	if status, _ := c.answer(); status/100 != 5 {
		s.t.Fatalf("status %d from an endpoint that crashes", status)
	}
	s.gateway.store.put("registrations", fulmardeal.Change{Key: "i-1", Gone: true})
	s.endpoint(s.gateway, "i-2", departureSlots)
	time.Sleep(registrationTime)
	if !s.occupy("bad:40,b:10") {
		s.t.Fatal("no trial")
	}
}

// await waits until the requests have reached the point.
func (s *departureSite) await() {
	n := 1
	switch s.point {
	case "body", "queue", "dial", "suspect", "backlog":
		time.Sleep(60 * time.Millisecond)
		if got := s.arrivals(1); got != 0 {
			s.t.Fatalf("%d requests have reached endpoints", got)
		}
		for _, c := range s.callers {
			s.checkWaiting(c)
		}
		return
	case "second":
		n = 2
	}
	for range 500 {
		if s.arrivals(n) == len(s.callers) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := s.arrivals(n); got != len(s.callers) {
		s.t.Fatalf("%d of %d requests have reached their endpoints", got, len(s.callers))
	}
	switch s.point {
	case "write":
		time.Sleep(500 * time.Millisecond) // until the buffers are full
	case "drain":
		s.gateway.stop()
		time.Sleep(100 * time.Millisecond)
	}
}

// checkWaiting checks that a caller has got no answer yet.
func (s *departureSite) checkWaiting(c *departing) {
	if err := c.conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		s.t.Fatal(err)
	}
	if _, err := c.conn.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		s.t.Errorf("%s %s: answered before the close: %v", c.send, c.leave, err)
	}
}

func (s *departureSite) run() {
	s.start()
	if s.point == "crash" {
		go s.raw.serve(s)
	}
	for _, send := range s.sends {
		for _, leave := range s.leaves {
			s.call(send, leave)
			if s.point == "crash" { // the listener takes one connection at a time
				for range 100 {
					if s.arrivals(1) == len(s.callers) {
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
			}
		}
	}
	s.await()
	if s.point == "crash" || s.point == "dial" {
		s.endpoint(s.gateway, "i-2", departureSlots)
		time.Sleep(registrationTime)
	}
	for _, c := range s.callers {
		s.sendMore(c)
	}
	time.Sleep(20 * time.Millisecond)
	switch s.point {
	case "crash":
		s.raw.breakOff()
		time.Sleep(20 * time.Millisecond)
	case "retry":
		close(s.refuse)
		time.Sleep(20 * time.Millisecond)
	}
	for _, c := range s.callers {
		s.close(c)
	}
	time.Sleep(afterDeparture)
	s.open()
	s.check()
}

// open lets happen what the requests wait for.
func (s *departureSite) open() {
	close(s.opened)
	switch s.point {
	case "backlog":
		time.Sleep(departureBound) // whatever arrives now is too late
		s.hold.mu.Unlock()
	}
}

// check checks that nothing goes on for the callers, and that their slots are free.
func (s *departureSite) check() {
	time.Sleep(2 * departureBound)
	now := time.Now()
	stays := make(map[string][]stay)
	for _, c := range s.callers {
		stays[c.id], stays[c.next] = s.of(c.id), s.of(c.next)
	}
	for _, c := range s.callers {
		for _, id := range []string{c.id, c.next} {
			for _, v := range stays[id] {
				name := fmt.Sprintf("%s %s", c.send, c.leave)
				if late := v.arrived.Sub(c.left); late > departureBound {
					s.t.Errorf("%s: reached an endpoint %v after the close", name, late)
				}
				if v.ended.IsZero() {
					s.t.Errorf("%s: still running %v after the close", name, now.Sub(c.left))
				} else if late := v.ended.Sub(c.left); late > departureBound {
					s.t.Errorf("%s: ran until %v after the close", name, late)
				}
			}
		}
		if c.leave == "half" {
			s.checkEnd(c)
		}
	}
	switch s.point {
	case "drain":
		return
	}
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			if a := s.gateway.call("POST", s.path, nil); a.status != http.StatusOK {
				s.t.Errorf("status %d for a later request", a.status)
			}
		})
	}
	calls.Wait()
}

func (s *departureSite) of(id string) []stay {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []stay
	for _, v := range s.stays[id] {
		out = append(out, *v)
	}
	return out
}

// checkEnd checks that a caller that still reads gets nothing that looks like a complete
// answer of an endpoint.
func (s *departureSite) checkEnd(c *departing) {
	if err := c.conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		s.t.Fatal(err)
	}
	response, err := http.ReadResponse(c.conn.reader, nil)
	if err != nil {
		return
	}
	if body, err := io.ReadAll(response.Body); err == nil && response.StatusCode/100 == 2 {
		s.t.Errorf("%s %s: status %d and a complete body of %d bytes", c.send, c.leave, response.StatusCode, len(body))
	}
}

// When a caller has closed its connection, its request must not be sent to an endpoint, and
// must not run on at one, whatever the caller has sent before.
func TestRequestEndsWithItsCaller(t *testing.T) {
	script.Run(t, "testdata/departures.txt", func(f []string) error {
		if len(f) != 4 {
			return fmt.Errorf("%d fields, want 4", len(f))
		}
		d := departure{point: f[0], path: f[1], sends: strings.Split(f[2], ","), leaves: strings.Split(f[3], ",")}
		if d.point != "queue" {
			d.run(t)
			return nil
		}
		for _, send := range d.sends { // a queue without free slots is short
			for _, leave := range d.leaves {
				departure{point: d.point, path: d.path, sends: []string{send}, leaves: []string{leave}}.run(t)
			}
		}
		return nil
	})
}

func (d departure) run(t *testing.T) {
	t.Run(d.point+d.path, func(t *testing.T) {
		t.Parallel()
		s := &departureSite{departure: d, t: t, refuse: make(chan struct{}), opened: make(chan struct{}), stays: make(map[string][]*stay)}
		s.run()
	})
}
