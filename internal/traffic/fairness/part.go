package fairness

import (
	"math"
	"slices"
	"time"
)

const (
	// levelInterval is how long a level counts before it is worked out again, and as long again
	// for each levelCustomers that are known, since it takes time in proportion to their number.
	levelInterval  = 50 * time.Millisecond
	levelCustomers = 1000

	// shortage is the share of the demand that must have found no slot for room to count as
	// short.
	shortage = 0.02

	// tolerance is how far a customer's use may exceed the level. Requests come unevenly, and
	// customers near the level would change places all the time.
	tolerance = 0.25

	// headroom is how much more than its demand is kept for each customer. Requests come
	// unevenly; what it doesn't use goes to the others.
	headroom = 0.25

	// returnDelay is how long a customer must be within its part to count as back.
	returnDelay = time.Second

	// unheardDelay is how long an entry whose use isn't known must have had queues for its
	// reports to count as not arriving, or two intervals of these if that is longer: the first one
	// comes some time after the first queue. The
	// queues may be empty for unheardGap in between. They are while customers above an equal part
	// come after the others.
	unheardDelay = 500 * time.Millisecond
	unheardGap   = 5 * time.Second

	// floorShare is how much of its part a customer above it is granted all the same. It also
	// gets what the others leave.
	floorShare = 0.75

	// floorBurst is for how long it may save that up.
	floorBurst = 300 * time.Millisecond

	// maxStandings is how many customers above their part are listed for each service.
	maxStandings = 16
)

// Overuse returns how far a customer is above its part of a service's endpoints, as a
// fraction of the part, and 0 while it is within it or while there is room for all.
//
// Parts are max-min fair: a customer that wants less than an equal part gets all it wants,
// and what it leaves goes round among the others in equal parts.
func (t *Table) Overuse(now time.Time, serviceName, customer string) float64 {
	s := t.service(serviceName)
	t.updateLevel(now, s)
	if math.IsInf(s.level, 1) {
		return 0
	}
	served := t.peerUse(s.hash).customers[hash(customer)].Served
	if a := s.accounts[customer]; a != nil {
		a.advance(now)
		served += a.use.Served
	}
	overuse := served/s.level - 1
	if overuse <= tolerance {
		return 0
	}
	s.recordAbove(now, t, customer, served, overuse)
	return overuse
}

// TakeFloor reports whether a request of a customer above its part counts as within it, because
// the customer was granted less than most of its part lately. Designed for one that used everything before
// others came: its mean use takes seconds to fall, and it would get nothing meanwhile.
//
// An entry grants as much of it as it has of the customer's demand.
func (t *Table) TakeFloor(now time.Time, serviceName, customer string, c Cost) bool {
	s := t.service(serviceName)
	a := s.accounts[customer]
	if a == nil || math.IsInf(s.level, 1) {
		return false
	}
	a.advance(now)
	demand := a.use.demand()
	part := floorShare * s.level * demand / max(negligible, demand+t.peerUse(s.hash).customers[a.hash].demand())
	cost := s.cost(c) * window.Seconds()
	if !a.floorUpdated.IsZero() {
		a.floor = min(a.floor+part*now.Sub(a.floorUpdated).Seconds(), max(cost, part*floorBurst.Seconds()))
	}
	a.floorUpdated = now
	if cost <= 0 || a.floor < cost { // no cost is known before a request has ended
		return false
	}
	a.floor -= cost
	a.granted++
	return true
}

// updateLevel works out the level, the use up to which customers are within their part.
func (t *Table) updateLevel(now time.Time, s *service) {
	if now.Sub(s.levelKnown) < levelInterval*time.Duration(1+s.named/levelCustomers) {
		return
	}
	s.levelKnown = now
	t.expireReports(now)
	total, named, demands := s.sum(now, t.peerUse(s.hash))
	s.level, s.named = math.Inf(1), len(demands)
	if total.Refused > shortage*total.demand() {
		s.level = level(capacity(total, named), demands)
		t.shortAt = now
	}
	if t.unheard(now, s) {
		s.level = min(s.level, capacity(total, named)/float64(max(1, len(demands))))
	}
	s.recordReturns(now, t)
}

// NoteQueue records that another entry has told that requests are queued at it. If its use isn't
// known, its reports on use don't arrive here.
func (t *Table) NoteQueue(now time.Time, serviceName, entry string) {
	if t.reports[entry] != nil {
		return
	}
	s := t.service(serviceName)
	x := s.silences[entry]
	if x == nil || now.Sub(x.last) > unheardGap {
		if s.silences == nil {
			s.silences = make(map[string]*silence)
		}
		x = &silence{since: now}
		s.silences[entry] = x
	}
	x.last = now
}

// SetReportInterval sets the interval at which other entries of the region report, if it is longer
// than usual.
func (t *Table) SetReportInterval(interval time.Duration) { t.interval = interval }

// silence is the time during which an entry has had queues and its use wasn't known.
type silence struct {
	since, last time.Time // first and last load report of a queue
}

// unheard reports whether other entries are short of room, and their use isn't known. What a
// customer uses beyond an equal part of what is used through this entry may be what others lack.
func (t *Table) unheard(now time.Time, s *service) bool {
	delay, found := max(unheardDelay, 2*t.interval), false
	for entry, x := range s.silences {
		if now.Sub(x.last) > unheardGap {
			delete(s.silences, entry)
		} else if x.last.Sub(x.since) >= delay {
			found = true
		}
	}
	return found
}

// sum returns the use of a service through all entries, that of the customers that are known by
// name, and the demand of each of these.
func (s *service) sum(now time.Time, peers peerUse) (total, named Use, demands []float64) {
	s.rest.advance(now)
	total = s.rest.use.plus(peers.total)
	add := func(u Use) {
		named = named.plus(u)
		demands = append(demands, u.demand())
	}
	known := make(map[uint64]bool, len(s.accounts))
	for _, a := range s.accounts {
		a.advance(now)
		total = total.plus(a.use)
		known[a.hash] = true
		add(a.use.plus(peers.customers[a.hash]))
	}
	for customer, u := range peers.customers {
		if !known[customer] {
			add(u)
		}
	}
	return total, named, demands
}

// capacity returns what the named customers may use. The others want less than these each, so
// they get all they want, as long as that leaves the named ones most of what they use.
func capacity(total, named Use) float64 {
	return max(total.Served-max(0, total.demand()-named.demand()), named.Served*(1-headroom), negligible)
}

// level returns the use L for which the customers' demands, each cut off at L, add up to the
// capacity, or infinity if all of them have room.
func level(capacity float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		d *= 1 + headroom
		if d*float64(len(demands)-i) > capacity {
			return capacity / float64(len(demands)-i)
		}
		capacity -= d
	}
	return math.Inf(1)
}

// standing is how a customer above its part stands.
type standing struct {
	use     float64
	overuse float64
	last    time.Time // when it was last above its part
}

// Change says that a customer went above its part of a service, or came back.
type Change struct {
	Service  string
	Customer string
	Above    bool
	Use      float64 // endpoints, averaged over time
	Part     float64 // endpoints; infinite if there is room for all
}

func (s *service) recordAbove(now time.Time, t *Table, customer string, use, overuse float64) {
	x := s.standings[customer]
	if x == nil {
		if len(s.standings) >= maxStandings {
			return
		}
		x = &standing{}
		s.standings[customer] = x
		t.changes = append(t.changes, Change{Service: s.name, Customer: customer, Above: true, Use: use, Part: s.level})
	}
	x.use, x.overuse, x.last = use, overuse, now
}

// recordReturns records which customers have been within their part for returnDelay.
func (s *service) recordReturns(now time.Time, t *Table) {
	for customer, x := range s.standings {
		if now.Sub(x.last) > returnDelay {
			delete(s.standings, customer)
			t.changes = append(t.changes, Change{Service: s.name, Customer: customer, Use: x.use, Part: s.level})
		}
	}
}

// Reset forgets the use of all customers. Those that were above their part have come back.
func (t *Table) Reset() {
	changes := t.changes
	for _, s := range t.services {
		for customer, x := range s.standings {
			changes = append(changes, Change{Service: s.name, Customer: customer, Use: x.use, Part: math.Inf(1)})
		}
	}
	*t = Table{changes: changes, interval: t.interval}
}

// maxChanges is how many changes are kept until they are taken.
const maxChanges = 256

// Changes returns the changes since the last call.
func (t *Table) Changes(now time.Time) []Change {
	for _, s := range t.services {
		s.recordReturns(now, t)
	}
	changes := t.changes[:min(len(t.changes), maxChanges)]
	t.changes = nil
	return changes
}

// Standing says how far a customer is above its part of a service.
type Standing struct {
	Service  string  `json:"service"`
	Customer string  `json:"customer"`
	Use      float64 `json:"use"`     // endpoints, averaged over time
	Overuse  float64 `json:"overuse"` // fraction of its part by which it is above
}

// Standings returns the customers that are or lately were above their part, the heaviest
// first, at most maxStandings for each service.
func (t *Table) Standings() []Standing {
	var out []Standing
	for _, s := range t.services {
		for customer, x := range s.standings {
			out = append(out, Standing{Service: s.name, Customer: customer, Use: x.use, Overuse: x.overuse})
		}
	}
	slices.SortFunc(out, func(a, b Standing) int {
		if a.Overuse > b.Overuse {
			return -1
		}
		return 1
	})
	return out
}
