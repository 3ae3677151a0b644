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

	// margin is how much longer the home entry counts a lease than its holder
	// does, so that the holder always stops using it first.
	margin = 500 * time.Millisecond

	// burst is the limiter's burst size, as a duration at the current rate.
	burst = 250 * time.Millisecond
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

// loan records one granted lease.
type loan struct {
	entry    string
	customer string
	demand   float64
	rate     float64
	until    time.Time
}

// Lender grants leases on the shared half of the rates of the customers whose
// home entry this is. It is safe for concurrent use.
type Lender struct {
	mu      sync.Mutex
	loans   []loan
	homes   []home
	careful bool
}

// home records how long this entry has been the home entry of a customer.
type home struct {
	customer string
	since    time.Time
	seen     time.Time
}

// NewLender returns a Lender that grants nothing for a customer until the leases
// of an earlier home entry must have expired.
func NewLender() *Lender { return &Lender{careful: true} }

// Unguard makes the lender grant leases without waiting for those of an earlier
// home entry to expire. It lets tests verify that the budget check fails without
// the wait.
func (l *Lender) Unguard() { l.careful = false }

// Lend grants a lease on a part of shared, the customer's leasable requests per
// second. The part is proportional to demand, and limited to what other entries
// don't hold.
func (l *Lender) Lend(now time.Time, a Ask, shared float64) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.careful && now.Sub(l.home(now, a.Customer)) < Term+margin {
		return Loan{}
	}

	l.forget(now)
	others, demand := l.lent(a)
	fair := shared
	if demand > 0 {
		fair = shared * a.Demand / demand
	}
	give := max(0, min(fair, shared-others))
	l.loans = append(l.loans, loan{
		entry:    a.Entry,
		customer: a.Customer,
		demand:   a.Demand,
		rate:     give,
		until:    now.Add(Term + margin),
	})
	return Loan{Rate: give}
}

// forget removes expired leases.
func (l *Lender) forget(now time.Time) {
	kept := l.loans[:0]
	for _, x := range l.loans {
		if !now.After(x.until) {
			kept = append(kept, x)
		}
	}
	l.loans = kept
}

// lent returns the rate that other entries hold of the requested customer, and
// the total demand for it. Of several leases to one entry the largest counts
// until it expires, because the reply with a smaller one may have been lost.
func (l *Lender) lent(a Ask) (others, demand float64) {
	var largest []loan
	for _, x := range l.loans {
		if x.customer != a.Customer || x.entry == a.Entry {
			continue
		}
		i := slices.IndexFunc(largest, func(y loan) bool { return y.entry == x.entry })
		if i < 0 {
			largest = append(largest, x)
			continue
		}
		largest[i].rate = max(largest[i].rate, x.rate)
		largest[i].demand = x.demand
	}

	demand = a.Demand
	for _, x := range largest {
		others += x.rate
		demand += x.demand
	}
	return others, demand
}

// home returns the time since which this entry has received requests for a
// customer without a gap. A gap longer than Term means that another entry may
// have been the home entry in between, and that its leases may still be valid.
func (l *Lender) home(now time.Time, customer string) time.Time {
	for i := range l.homes {
		h := &l.homes[i]
		if h.customer != customer {
			continue
		}
		if now.Sub(h.seen) > Term {
			h.since = now
		}
		h.seen = now
		return h.since
	}
	l.homes = append(l.homes, home{customer: customer, since: now, seen: now})
	return now
}

// Purse limits one entry to its part of one customer's rate. It is safe for
// concurrent use.
type Purse struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	own     float64
	lent    float64
	until   time.Time
	asked   int // requests since counted
	counted time.Time
}

// NewPurse returns a Purse that allows nothing until Own or Borrow is called.
func NewPurse(now time.Time) *Purse {
	return &Purse{limiter: rate.NewLimiter(0, 0), counted: now}
}

// Own sets the entry's static part of the rate in requests per second.
func (p *Purse) Own(now time.Time, r float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own != r {
		p.own = r
		p.set(now)
	}
}

// Borrow applies a lease that was requested at the time asked. The lease expires
// Term after the request, not after the reply.
func (p *Purse) Borrow(now, asked time.Time, l Loan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lent = l.Rate
	p.until = asked.Add(Term)
	p.set(now)
}

func (p *Purse) set(now time.Time) {
	r := p.own
	if now.Before(p.until) {
		r += p.lent
	}
	p.limiter.SetLimitAt(now, rate.Limit(r))
	p.limiter.SetBurstAt(now, max(1, int(r*burst.Seconds())))
}

// Spend reports whether one request is within the limit now. If not, it returns
// the delay before a retry.
func (p *Purse) Spend(now time.Time) (after time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	if p.lent > 0 && !now.Before(p.until) {
		p.lent = 0
		p.set(now)
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
	d := now.Sub(p.counted).Seconds()
	if d <= 0 {
		return 0
	}
	v := float64(p.asked) / d
	p.asked = 0
	p.counted = now
	return v
}

// Rate returns the requests per second allowed at now.
func (p *Purse) Rate(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.until) {
		return p.own + p.lent
	}
	return p.own
}
