package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/traffic/budget"
)

const (
	borrowEvery   = budget.RenewInterval
	borrowTimeout = time.Second
	budgetService = "Budget"

	// lentPart is the part of a customer's rate that is lent out by demand.
	// The rest is divided evenly over the entries.
	lentPart = 0.5
)

// purse is what this entry may spend for one customer.
type purse struct {
	customer string
	rate     float64 // of the customer, over all entries
	purse    *budget.Quota
}

// budgets holds the purses of one entry and lends to others.
type budgets struct {
	entry  *Entry
	lender *budget.Allocator

	mu     sync.Mutex
	purses []purse // sorted by customer
}

func newBudgets(e *Entry) *budgets {
	return &budgets{entry: e, lender: budget.NewAllocator()}
}

// configure takes over the customers' rates.
func (b *budgets) configure(c *configuration.Configuration) {
	now := time.Now()
	entries := len(b.entries())
	b.mu.Lock()
	defer b.mu.Unlock()
	var next []purse
	for _, x := range c.Customers() {
		if x.Rate() == 0 {
			continue
		}
		p := purse{customer: x.Name(), rate: x.Rate()}
		i, known := b.find(x.Name())
		if known {
			p.purse = b.purses[i].purse
		} else {
			p.purse = budget.NewQuota(now)
		}
		p.purse.SetStatic(now, x.Rate()*(1-lentPart)/float64(max(1, entries)))
		next = append(next, p)
	}
	b.purses = next
}

// entries returns the incarnations of all entries that are not known to be
// gone, which is never too few for long.
func (b *budgets) entries() []fulmardeal.Instance {
	var out []fulmardeal.Instance
	for _, m := range b.entry.node.Members().Members() {
		if m.Instance().Role == fulmardeal.RoleEntry {
			out = append(out, m.Instance())
		}
	}
	return out
}

func (b *budgets) find(customer string) (int, bool) {
	return slices.BinarySearchFunc(b.purses, customer, func(p purse, name string) int {
		return strings.Compare(p.customer, name)
	})
}

// spend takes one request of a customer out of its purse. A customer without a
// rate has no bound.
func (b *budgets) spend(now time.Time, c configuration.Customer) (time.Duration, bool) {
	if c.Rate() == 0 {
		return 0, true
	}
	b.mu.Lock()
	i, known := b.find(c.Name())
	if !known {
		b.mu.Unlock()
		return time.Second, false
	}
	p := b.purses[i].purse
	b.mu.Unlock()
	return p.Allow(now)
}

// errand is what one home is asked for.
type errand struct {
	home   fulmardeal.Instance
	purses []purse
	asks   []budget.LeaseRequest
}

// borrow asks the homes of the customers that have lately sent requests for
// loans, each home once.
func (b *budgets) borrow(ctx context.Context) {
	now := time.Now()
	b.mu.Lock()
	purses := slices.Clone(b.purses)
	b.mu.Unlock()
	entries := b.entries()
	var errands []errand
	for _, p := range purses {
		demand := p.purse.Demand(now)
		home, ok := homeOf(p.customer, entries)
		if !ok || demand == 0 {
			continue
		}
		a := budget.LeaseRequest{Entry: b.entry.node.Incarnation(), Customer: p.customer, Demand: demand}
		errands = addErrand(errands, home, p, a)
	}
	for _, e := range errands {
		go b.ask(ctx, e)
	}
}

func addErrand(all []errand, home fulmardeal.Instance, p purse, a budget.LeaseRequest) []errand {
	i := slices.IndexFunc(all, func(e errand) bool { return e.home.Incarnation == home.Incarnation })
	if i < 0 {
		i = len(all)
		all = append(all, errand{home: home})
	}
	all[i].purses = append(all[i].purses, p)
	all[i].asks = append(all[i].asks, a)
	return all
}

// homeOf returns the entry that lends a customer's rate.
func homeOf(customer string, entries []fulmardeal.Instance) (fulmardeal.Instance, bool) {
	var best fulmardeal.Instance
	var high uint64
	for _, in := range entries {
		s := membership.Score("budget/"+customer, in.Incarnation)
		if best.Name == "" || s > high {
			best, high = in, s
		}
	}
	return best, best.Name != ""
}

func (b *budgets) ask(ctx context.Context, e errand) {
	asked := time.Now()
	var loans []budget.Lease
	if e.home.Incarnation == b.entry.node.Incarnation() {
		loans = b.lendAll(e.asks)
	} else {
		ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		if err := b.entry.node.Pool().Client(e.home.Address).Call(ctx, budgetService+".Lend", e.asks, &loans); err != nil {
			return // the present loans lapse by themselves
		}
	}
	if len(loans) != len(e.purses) {
		return
	}
	for i, p := range e.purses {
		p.purse.ApplyLease(time.Now(), asked, loans[i])
	}
}

func (b *budgets) lendAll(asks []budget.LeaseRequest) []budget.Lease {
	var out []budget.Lease
	for _, a := range asks {
		out = append(out, b.lend(a))
	}
	return out
}

func (b *budgets) lend(a budget.LeaseRequest) budget.Lease {
	c := b.entry.node.Store().Current()
	if c == nil {
		return budget.Lease{}
	}
	x, known := c.Customer(a.Customer)
	if !known {
		return budget.Lease{}
	}
	return b.lender.Grant(time.Now(), a, x.Rate()*lentPart)
}

// Lending serves loans to other entries.
type Lending struct {
	entry *Entry
}

// Lend answers asks, in their order.
func (l *Lending) Lend(asks []budget.LeaseRequest, reply *[]budget.Lease) error {
	*reply = l.entry.budgets.lendAll(asks)
	return nil
}

// BudgetRow is one customer's purse in a state dump.
type BudgetRow struct {
	Customer string  `json:"customer"`
	Rate     float64 `json:"rate"`    // over all entries, requests a second
	Allowed  float64 `json:"allowed"` // at this entry, requests a second
}

func (b *budgets) rows(now time.Time) []BudgetRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []BudgetRow
	for _, p := range b.purses {
		out = append(out, BudgetRow{Customer: p.customer, Rate: p.rate, Allowed: p.purse.Rate(now)})
	}
	return out
}
