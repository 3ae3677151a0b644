package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/fleet/feed"
)

// shopTable is a table with one endpoint of the service shop, which a configuration can
// remove.
type shopTable struct {
	*Table
	view    catalogue.Table
	version int64
}

func newShopTable() *shopTable {
	s := &shopTable{Table: New(Options{DataCentre: "a", Region: "r", Regions: map[string]string{"a": "r"}})}
	s.refresh(true, true)
	return s
}

// refresh applies a configuration, with or without the service, and the registrations,
// with or without the endpoint.
func (s *shopTable) refresh(configured, registered bool) {
	s.version++
	c := &fulmardeal.Catalogue{Version: s.version}
	if configured {
		c.Services = []fulmardeal.Service{{Name: "shop"}}
	}
	var registrations []fulmardeal.Registration
	if registered {
		registrations = []fulmardeal.Registration{{ID: "i", Service: "shop", Address: "10.0.0.1:1", DataCentre: "a", Slots: 4}}
	}
	s.view.Apply(time.Now(), feed.Batch{Changes: []fulmardeal.Change{{Key: "config", Offset: fulmardeal.Position(s.version), Catalogue: c}}})
	s.Refresh(time.Now(), registrations, s.view.View())
}

func shopRequest() *Request {
	now := time.Now()
	return &Request{Service: "shop", Sent: now, Deadline: now.Add(10 * time.Second), Objective: time.Second}
}

// fill reserves all free slots.
func (s *shopTable) fill() []*Reservation {
	var out []*Reservation
	for {
		r, ok := s.TryReserve(shopRequest())
		if !ok {
			return out
		}
		out = append(out, r)
	}
}

// absences are the ways in which an endpoint with requests in progress leaves the table
// for a moment.
var absences = []struct {
	name                   string
	configured, registered bool
}{
	{"service removed by a configuration", false, true},
	{"registration lapsed", true, false},
	{"both", false, false},
}

// An endpoint that leaves the table and returns gets no more requests than it has slots:
// those that it had before are still in progress.
func TestReturningEndpointKeepsRequests(t *testing.T) {
	for _, tc := range absences {
		for _, endMeanwhile := range []int{0, 1, 3} {
			t.Run(tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newShopTable()
					running := s.fill()
					s.refresh(tc.configured, tc.registered)
					time.Sleep(time.Second)
					s.refresh(tc.configured, tc.registered)
					for _, r := range running[:endMeanwhile] {
						r.Release(OutcomeServed)
					}
					s.refresh(true, true)
					again := s.fill()
					if len(again) != endMeanwhile {
						t.Errorf("%d more requests were sent to the endpoint when %d of %d had ended", len(again), endMeanwhile, len(running))
					}
					for _, r := range append(again, running...) {
						r.Release(OutcomeServed)
					}
					if n := s.EndpointStates(time.Now())[0].Running; n != 0 {
						t.Errorf("%d requests count as in progress after all have ended", n)
					}
				})
			})
		}
	}
}

// A request that waits for a slot of an endpoint which leaves the table and returns gets
// one, or is refused after its wait. Then it takes no slot any more.
func TestWaitForReturningEndpoint(t *testing.T) {
	for _, tc := range absences {
		for _, absence := range []time.Duration{100 * time.Millisecond, time.Second} {
			t.Run(tc.name+" for "+absence.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newShopTable()
					running := s.fill()
					type result struct {
						reservation *Reservation
						err         error
					}
					ended := make(chan result, 1)
					go func() {
						r, err := s.Reserve(t.Context(), shopRequest())
						ended <- result{r, err}
					}()
					synctest.Wait()
					s.refresh(tc.configured, tc.registered)
					time.Sleep(absence)
					s.refresh(true, true)
					for _, r := range running {
						r.Release(OutcomeServed)
					}
					got := <-ended
					var refused *RefusedError
					switch {
					case absence < maxWait && got.err != nil:
						t.Errorf("request was refused (%v), want a slot that became free within its wait", got.err)
					case absence > maxWait && (!errors.As(got.err, &refused) || refused.Waited != maxWait):
						t.Errorf("request ended with error %v, want a refusal after %v", got.err, maxWait)
					case got.err == nil:
						got.reservation.Release(OutcomeServed)
					}
					if n := s.EndpointStates(time.Now())[0].Running; n != 0 {
						t.Errorf("%d requests count as in progress after all have ended", n)
					}
					if _, waiting := s.Counts(); waiting != 0 {
						t.Errorf("%d requests count as waiting after all have ended", waiting)
					}
				})
			})
		}
	}
}
