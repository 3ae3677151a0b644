// Package budget divides a customer's rate limit among the entries without a
// central counter.
//
// Half of a customer's rate is static: it is divided in equal parts among the
// entries that the configuration provides for. The other half is leasable: one
// entry, the customer's home entry, leases it to the entries in proportion to
// demand. The home entry never leases more than the leasable half, leases expire,
// and a new home entry grants nothing until all leases of its predecessor must
// have expired. Therefore the sum doesn't exceed the customer's rate even when
// entries crash.
//
// The package does no communication; package entry sends its messages.
package budget

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Timing of leases.
const (
	// LeaseTerm is the duration of a lease.
	LeaseTerm = 4 * time.Second

	// RenewInterval is the interval at which an entry requests a new lease.
	RenewInterval = time.Second

	// expiryMargin is how much longer the home entry counts a lease than the
	// lease's holder uses it. Without it, the home entry could grant the same rate
	// to another entry while the holder still uses it.
	expiryMargin = 500 * time.Millisecond

	// burstWindow determines the burst size of a Quota's limiter: the number of
	// requests that the current rate allows in this time.
	burstWindow = 250 * time.Millisecond
)

// LeaseRequest is an entry's request for a lease on part of a customer's rate.
type LeaseRequest struct {
	Entry    string // incarnation of the requesting entry
	Customer string
	Demand   float64 // requests per second recently received by the entry
}

// Lease grants a part of a customer's rate, in requests per second, for
// LeaseTerm.
type Lease struct {
	Rate float64
}

// grantedLease records one granted lease.
type grantedLease struct {
	entry    string
	customer string
	demand   float64
	rate     float64
	expires  time.Time
}

// Allocator grants leases on the leasable half of the rates of the customers whose
// home entry this is. It is safe for concurrent use.
type Allocator struct {
	mu          sync.Mutex
	leases      []grantedLease
	tenures     []tenure
	awaitExpiry bool
}

// tenure records how long this entry has been the home entry of a customer.
type tenure struct {
	customer    string
	since       time.Time
	lastRequest time.Time
}

// NewAllocator returns an Allocator that at first grants nothing for a customer. It
// begins once all leases that an earlier home entry may have granted have expired.
func NewAllocator() *Allocator { return &Allocator{awaitExpiry: true} }

// DisableWait makes the allocator grant leases at once, although leases granted by
// an earlier home entry may still be valid. It lets tests verify that the budget
// check fails without the wait.
func (a *Allocator) DisableWait() { a.awaitExpiry = false }

// Grant returns a lease on a part of the customer's leasable rate, in requests per
// second. The part corresponds to the requesting entry's share of the demand of all
// entries, but is at most what the other entries don't hold.
func (a *Allocator) Grant(now time.Time, r LeaseRequest, leasable float64) Lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.awaitExpiry && now.Sub(a.homeSince(now, r.Customer)) < LeaseTerm+expiryMargin {
		return Lease{}
	}

	a.removeExpired(now)
	held, demand := a.heldByOthers(r)
	fair := leasable
	if demand > 0 {
		fair = leasable * r.Demand / demand
	}
	granted := max(0, min(fair, leasable-held))
	a.leases = append(a.leases, grantedLease{
		entry:    r.Entry,
		customer: r.Customer,
		demand:   r.Demand,
		rate:     granted,
		expires:  now.Add(LeaseTerm + expiryMargin),
	})
	return Lease{Rate: granted}
}

func (a *Allocator) removeExpired(now time.Time) {
	kept := a.leases[:0]
	for _, l := range a.leases {
		if !now.After(l.expires) {
			kept = append(kept, l)
		}
	}
	a.leases = kept
}

// heldByOthers returns the part of the requested customer's rate that other
// entries hold, and the total demand of all entries. If an entry has several
// leases, the largest counts until it expires: the reply that granted a later,
// smaller one may have been lost, and then the entry still uses the largest.
func (a *Allocator) heldByOthers(r LeaseRequest) (held, demand float64) {
	var largestByEntry []grantedLease
	for _, l := range a.leases {
		if l.customer != r.Customer || l.entry == r.Entry {
			continue
		}
		i := slices.IndexFunc(largestByEntry, func(y grantedLease) bool { return y.entry == l.entry })
		if i < 0 {
			largestByEntry = append(largestByEntry, l)
			continue
		}
		largestByEntry[i].rate = max(largestByEntry[i].rate, l.rate)
		largestByEntry[i].demand = l.demand
	}

	demand = r.Demand
	for _, l := range largestByEntry {
		held += l.rate
		demand += l.demand
	}
	return held, demand
}

// homeSince returns the time since which this entry has received lease requests
// for a customer without a gap longer than LeaseTerm. During a longer gap, another
// entry may have been the home entry, and the leases it granted may still be valid.
func (a *Allocator) homeSince(now time.Time, customer string) time.Time {
	for i := range a.tenures {
		h := &a.tenures[i]
		if h.customer != customer {
			continue
		}
		if now.Sub(h.lastRequest) > LeaseTerm {
			h.since = now
		}
		h.lastRequest = now
		return h.since
	}
	a.tenures = append(a.tenures, tenure{customer: customer, since: now, lastRequest: now})
	return now
}

// Quota limits one entry to its part of one customer's rate. It is safe for
// concurrent use.
type Quota struct {
	mu           sync.Mutex
	limiter      *rate.Limiter
	static       float64 // rate allowed without a lease, in requests per second
	leased       float64 // rate that the lease adds until leaseExpires, in requests per second
	leaseExpires time.Time
	requests     int // requests since countedSince, including those not allowed
	countedSince time.Time
}

// NewQuota returns a Quota that allows nothing until SetStatic or ApplyLease is
// called.
func NewQuota(now time.Time) *Quota {
	return &Quota{limiter: rate.NewLimiter(0, 0), countedSince: now}
}

// SetStatic sets the entry's static part of the rate in requests per second.
func (q *Quota) SetStatic(now time.Time, r float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.static != r {
		q.static = r
		q.updateLimiter(now)
	}
}

// ApplyLease applies a lease that was requested at the given time. The lease
// expires LeaseTerm after the request, not after the reply.
func (q *Quota) ApplyLease(now, requested time.Time, l Lease) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leased = l.Rate
	q.leaseExpires = requested.Add(LeaseTerm)
	q.updateLimiter(now)
}

func (q *Quota) updateLimiter(now time.Time) {
	r := q.static
	if now.Before(q.leaseExpires) {
		r += q.leased
	}
	q.limiter.SetLimitAt(now, rate.Limit(r))
	q.limiter.SetBurstAt(now, max(1, int(r*burstWindow.Seconds())))
}

// Allow reports whether one request is within the limit now. If not, it returns
// the delay before a retry.
func (q *Quota) Allow(now time.Time) (after time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.requests++
	if q.leased > 0 && !now.Before(q.leaseExpires) {
		q.leased = 0
		q.updateLimiter(now)
	}
	if q.limiter.AllowN(now, 1) {
		return 0, true
	}
	r := float64(q.limiter.Limit())
	if r <= 0 {
		return RenewInterval, false
	}
	return time.Duration(float64(time.Second) / r), false
}

// Demand returns the rate of requests per second since the last call.
func (q *Quota) Demand(now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := now.Sub(q.countedSince).Seconds()
	if d <= 0 {
		return 0
	}
	v := float64(q.requests) / d
	q.requests = 0
	q.countedSince = now
	return v
}

// Rate returns the requests per second allowed at now.
func (q *Quota) Rate(now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Before(q.leaseExpires) {
		return q.static + q.leased
	}
	return q.static
}
