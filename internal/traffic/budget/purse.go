// Package budget divides a customer's rate over the entries, without a central
// counter.
//
// Half of a customer's rate is divided evenly over the entries that the
// configuration allows for, for good. The other half is lent by the customer's
// home entry, which follows demand: it never has more on loan than there is, a
// loan lapses by itself, and a new home lends nothing until the loans of the
// one before it must have lapsed. So the sum doesn't exceed the budget when
// entries die. The package sends nothing; the entry carries its messages.
package budget

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Times of loans.
const (
	// Term is how long a loan holds.
	Term = 4 * time.Second

	// Renew is how often an entry asks for a new loan.
	Renew = time.Second

	// margin makes a lender count a loan for longer than its borrower does.
	margin = 500 * time.Millisecond

	// burst is how much may be used at once, as a time at the full rate.
	burst = 250 * time.Millisecond
)

// Ask is an entry's request for a loan of a customer's rate.
type Ask struct {
	Entry    string // incarnation of the borrower
	Customer string
	Demand   float64 // requests a second that the entry has lately seen
}

// Loan is a part of a customer's rate, in requests a second, for a Term.
type Loan struct {
	Rate float64
}

// loan is one row of a lender's table.
type loan struct {
	entry    string
	customer string
	demand   float64
	rate     float64
	until    time.Time
}

// Lender lends the shared half of the customers whose home this entry is. It
// is safe for concurrent use.
type Lender struct {
	mu      sync.Mutex
	loans   []loan
	homes   []home
	careful bool
}

// home is a customer that this entry lends for, and since when.
type home struct {
	customer string
	since    time.Time
	seen     time.Time
}

// NewLender returns a lender that waits out the loans of an earlier home.
func NewLender() *Lender { return &Lender{careful: true} }

// Unguard makes the lender lend at once. It exists so that tests can see the
// proof fail without the wait.
func (l *Lender) Unguard() { l.careful = false }

// Lend answers an ask for a part of shared, the lendable requests a second.
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

// forget drops the loans that have lapsed.
func (l *Lender) forget(now time.Time) {
	kept := l.loans[:0]
	for _, x := range l.loans {
		if !now.After(x.until) {
			kept = append(kept, x)
		}
	}
	l.loans = kept
}

// lent returns what other entries hold of the asker's customer, and the whole
// demand for it. An entry's earlier and larger loan counts until it lapses: the
// answer that makes it smaller may not have arrived.
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

// home returns since when this entry has been asked about a customer without a
// pause. A pause means that another was its home, whose loans may still hold.
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

// Purse holds what one entry may spend of one customer's rate. It is safe for
// concurrent use.
type Purse struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	own     float64
	lent    float64
	until   time.Time
	asked   int // requests since the last demand
	counted time.Time
}

// NewPurse returns a purse without a loan.
func NewPurse(now time.Time) *Purse {
	return &Purse{limiter: rate.NewLimiter(0, 0), counted: now}
}

// Own sets the part that is this entry's for good, in requests a second.
func (p *Purse) Own(now time.Time, r float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own != r {
		p.own = r
		p.set(now)
	}
}

// Borrow takes over a loan that was asked for at the given time: it lapses a
// Term after the ask, not after the answer.
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

// Spend takes one request out of the purse. When it is empty, the time after
// which to come back is returned.
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

// Demand returns the requests a second since the last call.
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

// Rate returns the requests a second that the purse allows at now.
func (p *Purse) Rate(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.until) {
		return p.own + p.lent
	}
	return p.own
}
