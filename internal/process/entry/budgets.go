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
	borrowEvery   = budget.Renew
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
	purse    *budget.Purse
}

// budgets holds the purses of one entry and lends to others.
type budgets struct {
	entry  *Entry
	lender *budget.Lender

	mu     sync.Mutex
	purses []purse // sorted by customer
}

func newBudgets(e *Entry) *budgets {
	return &budgets{entry: e, lender: budget.NewLender()}
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
			p.purse = budget.NewPurse(now)
		}
		p.purse.Own(now, x.Rate()*(1-lentPart)/float64(max(1, entries)))
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
	return p.Spend(now)
}

// borrow asks each customer's home for a loan.
func (b *budgets) borrow(ctx context.Context) {
	b.mu.Lock()
	purses := slices.Clone(b.purses)
	b.mu.Unlock()
	entries := b.entries()
	for _, p := range purses {
		home, ok := homeOf(p.customer, entries)
		if !ok {
			continue
		}
		go b.ask(ctx, p, home)
	}
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

func (b *budgets) ask(ctx context.Context, p purse, home fulmardeal.Instance) {
	asked := time.Now()
	a := budget.Ask{Entry: b.entry.node.Incarnation(), Customer: p.customer, Demand: p.purse.Demand(asked)}
	if home.Incarnation == b.entry.node.Incarnation() {
		p.purse.Borrow(time.Now(), asked, b.lend(a))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var l budget.Loan
	if err := b.entry.node.Pool().Client(home.Address).Call(ctx, budgetService+".Lend", a, &l); err != nil {
		return // the present loan lapses by itself
	}
	p.purse.Borrow(time.Now(), asked, l)
}

func (b *budgets) lend(a budget.Ask) budget.Loan {
	c := b.entry.node.Store().Current()
	if c == nil {
		return budget.Loan{}
	}
	x, known := c.Customer(a.Customer)
	if !known {
		return budget.Loan{}
	}
	return b.lender.Lend(time.Now(), a, x.Rate()*lentPart)
}

// Lending serves loans to other entries.
type Lending struct {
	entry *Entry
}

// Lend answers an ask.
func (l *Lending) Lend(a budget.Ask, reply *budget.Loan) error {
	*reply = l.entry.budgets.lend(a)
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
