// Package budget divides a customer's rate limit among the entries without a
// central counter.
//
// Half of a customer's rate is statically divided in equal parts among the
// entries that the configuration provides for. The other half is leased out by
// the customer's home entry in proportion to demand. The home entry never
// leases out more than the shared half, leases expire, and a new home entry
// grants nothing until all leases of its predecessor must have expired.
// Therefore the sum doesn't exceed the customer's rate even when entries crash.
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
	// Term is the duration of a lease.
	Term = 4 * time.Second

	// Renew is the interval at which an entry requests a new lease.
	Renew = time.Second

	// expiryMargin is how much longer the home entry counts a lease than its holder
	// does, so that the holder always stops using it first.
	expiryMargin = 500 * time.Millisecond

	// burstWindow is the limiter's burst size, as a duration at the current rate.
	burstWindow = 250 * time.Millisecond
)

// Ask is an entry's request for a lease on part of a customer's rate.
type Ask struct {
	Entry    string // incarnation of the requesting entry
	Customer string
	Demand   float64 // requests per second recently received by the entry
}

// Loan grants a part of a customer's rate, in requests per second, for Term.
type Loan struct {
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

// Lender grants leases on the shared half of the rates of the customers whose
// home entry this is. It is safe for concurrent use.
type Lender struct {
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

// NewLender returns a Lender that grants nothing for a customer until the leases
// of an earlier home entry must have expired.
func NewLender() *Lender { return &Lender{awaitExpiry: true} }

// Unguard makes the lender grant leases without waiting for those of an earlier
// home entry to expire. It lets tests verify that the budget check fails without
// the wait.
func (l *Lender) Unguard() { l.awaitExpiry = false }

// Lend grants a lease on a part of shared, the customer's leasable requests per
// second. The part is proportional to demand, and limited to what other entries
// don't hold.
func (l *Lender) Lend(now time.Time, a Ask, shared float64) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.awaitExpiry && now.Sub(l.homeSince(now, a.Customer)) < Term+expiryMargin {
		return Loan{}
	}

	l.removeExpired(now)
	held, demand := l.heldByOthers(a)
	fair := shared
	if demand > 0 {
		fair = shared * a.Demand / demand
	}
	granted := max(0, min(fair, shared-held))
	l.leases = append(l.leases, grantedLease{
		entry:    a.Entry,
		customer: a.Customer,
		demand:   a.Demand,
		rate:     granted,
		expires:  now.Add(Term + expiryMargin),
	})
	return Loan{Rate: granted}
}

// removeExpired removes expired leases.
func (l *Lender) removeExpired(now time.Time) {
	kept := l.leases[:0]
	for _, x := range l.leases {
		if !now.After(x.expires) {
			kept = append(kept, x)
		}
	}
	l.leases = kept
}

// heldByOthers returns the rate that other entries hold of the requested
// customer, and the total demand for it. Of several leases to one entry the
// largest counts until it expires, because the reply with a smaller one may have
// been lost.
func (l *Lender) heldByOthers(a Ask) (held, demand float64) {
	var largestByEntry []grantedLease
	for _, x := range l.leases {
		if x.customer != a.Customer || x.entry == a.Entry {
			continue
		}
		i := slices.IndexFunc(largestByEntry, func(y grantedLease) bool { return y.entry == x.entry })
		if i < 0 {
			largestByEntry = append(largestByEntry, x)
			continue
		}
		largestByEntry[i].rate = max(largestByEntry[i].rate, x.rate)
		largestByEntry[i].demand = x.demand
	}

	demand = a.Demand
	for _, x := range largestByEntry {
		held += x.rate
		demand += x.demand
	}
	return held, demand
}

// homeSince returns the time since which this entry has received requests for a
// customer without a gap. A gap longer than Term means that another entry may
// have been the home entry in between, and that its leases may still be valid.
func (l *Lender) homeSince(now time.Time, customer string) time.Time {
	for i := range l.tenures {
		h := &l.tenures[i]
		if h.customer != customer {
			continue
		}
		if now.Sub(h.lastRequest) > Term {
			h.since = now
		}
		h.lastRequest = now
		return h.since
	}
	l.tenures = append(l.tenures, tenure{customer: customer, since: now, lastRequest: now})
	return now
}

// Purse limits one entry to its part of one customer's rate. It is safe for
// concurrent use.
type Purse struct {
	mu           sync.Mutex
	limiter      *rate.Limiter
	static       float64
	leased       float64
	leaseExpires time.Time
	requests     int // requests since countedSince
	countedSince time.Time
}

// NewPurse returns a Purse that allows nothing until Own or Borrow is called.
func NewPurse(now time.Time) *Purse {
	return &Purse{limiter: rate.NewLimiter(0, 0), countedSince: now}
}

// Own sets the entry's static part of the rate in requests per second.
func (p *Purse) Own(now time.Time, r float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.static != r {
		p.static = r
		p.updateLimiter(now)
	}
}

// Borrow applies a lease that was requested at the given time. The lease expires
// Term after the request, not after the reply.
func (p *Purse) Borrow(now, requested time.Time, l Loan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leased = l.Rate
	p.leaseExpires = requested.Add(Term)
	p.updateLimiter(now)
}

func (p *Purse) updateLimiter(now time.Time) {
	r := p.static
	if now.Before(p.leaseExpires) {
		r += p.leased
	}
	p.limiter.SetLimitAt(now, rate.Limit(r))
	p.limiter.SetBurstAt(now, max(1, int(r*burstWindow.Seconds())))
}

// Spend reports whether one request is within the limit now. If not, it returns
// the delay before a retry.
func (p *Purse) Spend(now time.Time) (after time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	if p.leased > 0 && !now.Before(p.leaseExpires) {
		p.leased = 0
		p.updateLimiter(now)
	}
	if p.limiter.AllowN(now, 1) {
		return 0, true
	}
	r := float64(p.limiter.Limit())
	if r <= 0 {
		return Renew, false
	}
	return time.Duration(float64(time.Second) / r), false
}

// Demand returns the rate of requests per second since the last call.
func (p *Purse) Demand(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := now.Sub(p.countedSince).Seconds()
	if d <= 0 {
		return 0
	}
	v := float64(p.requests) / d
	p.requests = 0
	p.countedSince = now
	return v
}

// Rate returns the requests per second allowed at now.
func (p *Purse) Rate(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.leaseExpires) {
		return p.static + p.leased
	}
	return p.static
}
