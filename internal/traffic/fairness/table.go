// Package fairness decides whether a customer uses more than its part of a service's
// endpoints while there is too little room for all. It is designed for a customer that
// sends many times its usual requests, repeats them at once, or spreads them over many
// connections and entries.
//
// What counts is the time for which requests occupy endpoints, not their number. Each entry
// records the use of its own requests and learns of the others' from their reports; there
// is no centre. The package does no I/O.
package fairness

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what an entry keeps.
const (
	// window is the time over which use is averaged. It is about the time for which a request
	// holds its slot.
	window = 1500 * time.Millisecond

	// maxAccounts is how many customers of one service have an account of their own.
	maxAccounts = 512

	// negligible is a use that no decision depends on.
	negligible = 1e-3

	costWeight = 0.05 // weight of one request in the mean cost
)

// Cost says how much of a service's endpoints a request occupies.
type Cost struct {
	Share float64       // part of an endpoint that it occupies as long as it runs
	Once  time.Duration // time for which it occupies an endpoint alone, such as that for its prompt
}

// Use is the use of a service's endpoints: a number of endpoints, averaged over time.
type Use struct {
	Served  float64 // by requests that got a slot
	Refused float64 // that requests would have made which wait for a slot, or were refused
}

func (u Use) plus(v Use) Use {
	return Use{Served: u.Served + v.Served, Refused: u.Refused + v.Refused}
}

func (u Use) minus(v Use) Use {
	return Use{Served: u.Served - v.Served, Refused: u.Refused - v.Refused}
}

func (u Use) demand() float64 { return u.Served + u.Refused }

// account is the use that one customer makes of one service through this entry.
type account struct {
	hash    uint64 // of the customer
	use     Use
	held    float64 // endpoints that its requests in progress occupy now
	running int
	updated time.Time

	floor        float64 // what counts as within its part while it is above, in endpoints times seconds
	floorUpdated time.Time
	granted      int // requests that counted so, less those that have started
}

// advance brings the averages up to date.
func (a *account) advance(now time.Time) {
	elapsed := now.Sub(a.updated)
	if elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / window.Seconds())
	a.use.Served = a.use.Served*kept + a.held*(1-kept)
	a.use.Refused *= kept
	a.updated = now
}

// service is the use of one service.
type service struct {
	name     string
	hash     uint64
	accounts map[string]*account // by customer
	rest     account             // of the customers that have no account of their own
	meanHeld float64             // endpoint time that a request occupies beyond Cost.Once, in seconds

	refusedAt  time.Time // when a request last found no slot
	level      float64   // use up to which a customer is within its part
	levelKnown time.Time
	named      int                  // customers that were known then
	standings  map[string]*standing // of the customers that are or lately were above their part

	silences map[string]*silence // by entry
}

// Table holds the use of all services by all customers. Its zero value is empty and ready
// to use. It isn't safe for concurrent use.
type Table struct {
	services map[string]*service
	reports  map[string]*report  // latest of each other entry
	peers    map[uint64]*peerUse // sums of these reports, by hash of the service
	shortAt  time.Time           // when room was last short, here or at an entry that reported it
	changes  []Change
	interval time.Duration // of other entries' reports; 0 for the usual
}

func (t *Table) service(name string) *service {
	if s := t.services[name]; s != nil {
		return s
	}
	if t.services == nil {
		t.services = make(map[string]*service)
	}
	s := &service{name: name, hash: hash(name), accounts: make(map[string]*account), standings: make(map[string]*standing)}
	t.services[name] = s
	return s
}

// account returns a customer's account. If there is no room for another one, the lightest
// accounts without requests in progress make room; their use goes to the rest.
func (s *service) account(now time.Time, customer string) *account {
	if a := s.accounts[customer]; a != nil {
		a.advance(now)
		return a
	}
	if len(s.accounts) >= maxAccounts && !s.evict(now) {
		s.rest.advance(now)
		return &s.rest
	}
	a := &account{hash: hash(customer), updated: now}
	s.accounts[customer] = a
	return a
}

// evict removes the lighter half of the accounts that have no requests in progress, and
// reports whether there were any.
func (s *service) evict(now time.Time) bool {
	var idle []float64
	for _, a := range s.accounts {
		if a.advance(now); a.running == 0 {
			idle = append(idle, a.use.demand())
		}
	}
	if len(idle) == 0 {
		return false
	}
	slices.Sort(idle)
	s.rest.advance(now)
	for name, a := range s.accounts {
		if a.running == 0 && a.use.demand() <= idle[len(idle)/2] {
			s.rest.use = s.rest.use.plus(a.use)
			delete(s.accounts, name)
		}
	}
	return true
}

// Hold is the use of a request in progress. Its zero value is that of a request whose use
// isn't recorded.
type Hold struct {
	service *service
	account *account
	share   float64
	started time.Time
}

// Start records that a customer's request got a slot.
func (t *Table) Start(now time.Time, serviceName, customer string, c Cost) Hold {
	s := t.service(serviceName)
	a := s.account(now, customer)
	a.use.Served += c.Once.Seconds() / window.Seconds()
	a.held += c.Share
	a.running++
	if a.granted > 0 {
		a.granted--
	} else {
		a.floor = max(0, a.floor-s.cost(c)*window.Seconds())
	}
	return Hold{service: s, account: a, share: c.Share, started: now}
}

// End records that the request has released its slot.
func (h Hold) End(now time.Time) {
	if h.account == nil {
		return
	}
	h.account.advance(now)
	h.account.running--
	h.account.held -= h.share
	if h.account.running == 0 {
		h.account.held = 0 // without the rounding errors of the sums
	}
	s := h.service
	held := h.share * now.Sub(h.started).Seconds()
	if s.meanHeld == 0 {
		s.meanHeld = held
	}
	s.meanHeld += costWeight * (held - s.meanHeld)
}

// Refuse records that a customer's request finds no slot.
func (t *Table) Refuse(now time.Time, serviceName, customer string, c Cost) {
	s := t.service(serviceName)
	a := s.account(now, customer)
	a.use.Refused += s.cost(c)
	s.refusedAt = now
}

// Accept records that a request that found no slot gets one after all. It is to be followed by
// a call of Start.
func (t *Table) Accept(now time.Time, serviceName, customer string, c Cost, waited time.Duration) {
	s := t.service(serviceName)
	a := s.account(now, customer)
	a.use.Refused = max(0, a.use.Refused-s.cost(c)*math.Exp(-waited.Seconds()/window.Seconds()))
}

// cost returns the use that a request is likely to make.
func (s *service) cost(c Cost) float64 { return (c.Once.Seconds() + s.meanHeld) / window.Seconds() }

// expire removes what no decision depends on any more.
func (t *Table) expire(now time.Time) {
	for name, s := range t.services {
		for customer, a := range s.accounts {
			if a.advance(now); a.running == 0 && a.use.demand() < negligible {
				delete(s.accounts, customer)
			}
		}
		s.rest.advance(now)
		if len(s.accounts) == 0 && len(s.standings) == 0 && s.rest.running == 0 && s.rest.use.demand() < negligible {
			delete(t.services, name)
		}
	}
}

func hash(name string) uint64 { return xxhash.Sum64String(name) }
