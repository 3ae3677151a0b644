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

// Parameters of the leases of customers' rates.
const (
	leaseInterval = budget.RenewInterval // between two requests for leases
	leaseTimeout  = time.Second          // of a request for leases to another entry
	budgetService = "Budget"             // name of the RPC service

	// leasedShare is the fraction of a customer's rate that is leased out by
	// demand. The rest is divided evenly among the entries.
	leasedShare = 0.5
)

// customerQuota is this entry's part of one customer's rate limit.
type customerQuota struct {
	customer string
	rate     float64 // the customer's limit at all entries together, in requests per second
	quota    *budget.Quota
}

// budgets holds this entry's quotas, and grants leases for the customers whose
// home entry this is.
type budgets struct {
	entry     *Entry
	allocator *budget.Allocator

	mu     sync.Mutex
	quotas []customerQuota // sorted by the customer's name
}

func newBudgets(e *Entry) *budgets {
	return &budgets{entry: e, allocator: budget.NewAllocator()}
}

// configure applies the customers' rates and the number of entries to the quotas.
func (b *budgets) configure(c *configuration.Configuration) {
	now := time.Now()
	entries := len(b.entries())
	b.mu.Lock()
	defer b.mu.Unlock()
	var next []customerQuota
	for _, x := range c.Customers() {
		if x.Rate() == 0 {
			continue
		}
		q := customerQuota{customer: x.Name(), rate: x.Rate()}
		i, known := b.find(x.Name())
		if known {
			q.quota = b.quotas[i].quota
		} else {
			q.quota = budget.NewQuota(now)
		}
		q.quota.SetStatic(now, x.Rate()*(1-leasedShare)/float64(max(1, entries)))
		next = append(next, q)
	}
	b.quotas = next
}

// entries returns all entries that are not known to be gone. If one is missing, the
// static shares of the others are too large and together exceed their part of a
// customer's rate. An entry is missing only for a short time after its start.
func (b *budgets) entries() []fulmardeal.Instance {
	var out []fulmardeal.Instance
	for _, m := range b.entry.node.Members().Members() {
		if m.Instance().Role == fulmardeal.RoleEntry {
			out = append(out, m.Instance())
		}
	}
	return out
}

// find returns the index of a customer's quota, and whether there is one. b.mu must
// be held.
func (b *budgets) find(customer string) (int, bool) {
	return slices.BinarySearchFunc(b.quotas, customer, func(q customerQuota, name string) int {
		return strings.Compare(q.customer, name)
	})
}

// allow takes one request from a customer's quota, or reports false with the delay
// until a retry. A customer without a rate is not limited.
func (b *budgets) allow(now time.Time, c configuration.Customer) (time.Duration, bool) {
	if c.Rate() == 0 {
		return 0, true
	}
	b.mu.Lock()
	i, known := b.find(c.Name())
	if !known {
		b.mu.Unlock()
		return time.Second, false
	}
	q := b.quotas[i].quota
	b.mu.Unlock()
	return q.Allow(now)
}

// leaseBatch holds the lease requests for one home entry, with the quotas that the
// leases are for.
type leaseBatch struct {
	home     fulmardeal.Instance
	quotas   []customerQuota
	requests []budget.LeaseRequest
}

// requestLeases requests leases for the customers that have sent requests lately,
// with one call per home entry.
func (b *budgets) requestLeases(ctx context.Context) {
	now := time.Now()
	b.mu.Lock()
	quotas := slices.Clone(b.quotas)
	b.mu.Unlock()
	entries := b.entries()
	var batches []leaseBatch
	for _, q := range quotas {
		demand := q.quota.Demand(now)
		home, ok := homeEntry(q.customer, entries)
		if !ok || demand == 0 {
			continue
		}
		r := budget.LeaseRequest{Entry: b.entry.node.Incarnation(), Customer: q.customer, Demand: demand}
		batches = addToBatch(batches, home, q, r)
	}
	for _, batch := range batches {
		go b.requestBatch(ctx, batch)
	}
}

// addToBatch adds a lease request to the batch for its home entry.
func addToBatch(all []leaseBatch, home fulmardeal.Instance, q customerQuota, r budget.LeaseRequest) []leaseBatch {
	i := slices.IndexFunc(all, func(batch leaseBatch) bool { return batch.home.Incarnation == home.Incarnation })
	if i < 0 {
		i = len(all)
		all = append(all, leaseBatch{home: home})
	}
	all[i].quotas = append(all[i].quotas, q)
	all[i].requests = append(all[i].requests, r)
	return all
}

// homeEntry returns the entry that leases out a customer's rate, chosen by
// rendezvous hashing.
func homeEntry(customer string, entries []fulmardeal.Instance) (fulmardeal.Instance, bool) {
	var best fulmardeal.Instance
	var bestScore uint64
	for _, in := range entries {
		s := membership.Score("budget/"+customer, in.Incarnation)
		if best.Name == "" || s > bestScore {
			best, bestScore = in, s
		}
	}
	return best, best.Name != ""
}

// requestBatch requests the leases of a batch and applies them to its quotas.
func (b *budgets) requestBatch(ctx context.Context, batch leaseBatch) {
	sent := time.Now()
	var leases []budget.Lease
	if batch.home.Incarnation == b.entry.node.Incarnation() {
		leases = b.grantAll(batch.requests)
	} else {
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		if err := b.entry.node.Pool().Call(ctx, batch.home.Address, budgetService+".Lend", batch.requests, &leases); err != nil {
			return // the current leases expire
		}
	}
	if len(leases) != len(batch.quotas) {
		return
	}
	for i, q := range batch.quotas {
		q.quota.ApplyLease(time.Now(), sent, leases[i])
	}
}

// grantAll grants one lease for each request, in the same order.
func (b *budgets) grantAll(requests []budget.LeaseRequest) []budget.Lease {
	var out []budget.Lease
	for _, r := range requests {
		out = append(out, b.grant(r))
	}
	return out
}

// grant grants a lease for one request, an empty one for an unknown customer.
func (b *budgets) grant(r budget.LeaseRequest) budget.Lease {
	c := b.entry.node.Store().Current()
	if c == nil {
		return budget.Lease{}
	}
	x, known := c.Customer(r.Customer)
	if !known {
		return budget.Lease{}
	}
	return b.allocator.Grant(time.Now(), r, x.Rate()*leasedShare)
}

// BudgetService is the RPC service that grants leases to other entries.
type BudgetService struct {
	entry *Entry
}

// Lend grants one lease for each request, in the same order.
func (s *BudgetService) Lend(requests []budget.LeaseRequest, reply *[]budget.Lease) error {
	*reply = s.entry.budgets.grantAll(requests)
	return nil
}

// BudgetRow is one customer's quota in a state dump.
type BudgetRow struct {
	Customer string  `json:"customer"`
	Rate     float64 `json:"rate"`    // the customer's limit at all entries together, in requests per second
	Allowed  float64 `json:"allowed"` // this entry's part of the limit, in requests per second
}

func (b *budgets) rows(now time.Time) []BudgetRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []BudgetRow
	for _, q := range b.quotas {
		out = append(out, BudgetRow{Customer: q.customer, Rate: q.rate, Allowed: q.quota.Rate(now)})
	}
	return out
}
