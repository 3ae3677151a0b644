package fairness

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of a report, which is to fit into one datagram.
const (
	maxReportedServices  = 16
	maxReportedCustomers = 60 // of all services together
)

// reportPeriod is how long an entry goes on reporting after room was last short, here or at an
// entry that reported it, or after a request last found no slot here. While there is room for all,
// no decision depends on the reports.
const reportPeriod = 2 * time.Second

// maxHold is the longest time for which a report counts.
const maxHold = 15 * time.Second

// CustomerUse is a customer's use of a service through one entry.
type CustomerUse struct {
	Customer uint64 // hash of its name
	Use      Use
}

// ServiceUse is the use of a service through one entry.
type ServiceUse struct {
	Service   uint64 // hash of its name
	Total     Use    // of all customers
	Customers []CustomerUse
}

// Report is what an entry tells the others of the use that is made through it.
type Report struct {
	Hold     time.Duration // how long it counts, unless a later one replaces it
	Services []ServiceUse
}

// report is the latest report of another entry.
type report struct {
	expires  time.Time
	services []ServiceUse
}

// peerUse is the sum of the other entries' reports on a service.
type peerUse struct {
	total     Use
	customers map[uint64]Use // by hash of the customer
	reports   int
}

func (t *Table) peerUse(service uint64) peerUse {
	if p := t.peers[service]; p != nil {
		return *p
	}
	return peerUse{}
}

// Report returns this entry's report, or false if there is no need of one, because there is
// room for all. It names the heaviest customers.
func (t *Table) Report(now time.Time) (Report, bool) {
	t.expire(now)
	last := time.Time{}
	for _, s := range t.services {
		t.updateLevel(now, s)
		last = maxTime(last, s.refusedAt)
	}
	if last = maxTime(last, t.shortAt); last.IsZero() || now.Sub(last) > reportPeriod {
		return Report{}, false
	}
	totals := make([]ServiceUse, 0, len(t.services))
	for _, s := range t.services {
		u := ServiceUse{Service: s.hash, Total: s.rest.use}
		for _, a := range s.accounts {
			u.Total = u.Total.plus(a.use)
			u.Customers = append(u.Customers, CustomerUse{Customer: a.hash, Use: a.use})
		}
		totals = append(totals, u)
	}
	slices.SortFunc(totals, func(a, b ServiceUse) int { return cmp.Compare(b.Total.demand(), a.Total.demand()) })
	return Report{Services: heaviest(totals[:min(len(totals), maxReportedServices)])}, true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// heaviest leaves only the heaviest customers of all services.
func heaviest(services []ServiceUse) []ServiceUse {
	var demands []float64
	for _, s := range services {
		for _, c := range s.Customers {
			demands = append(demands, c.Use.demand())
		}
	}
	if len(demands) <= maxReportedCustomers {
		return services
	}
	slices.Sort(demands)
	least := demands[len(demands)-maxReportedCustomers]
	left := maxReportedCustomers // several customers may have the least demand
	for i := range services {
		services[i].Customers = slices.DeleteFunc(services[i].Customers, func(c CustomerUse) bool {
			if c.Use.demand() < least || left == 0 {
				return true
			}
			left--
			return false
		})
	}
	return services
}

// Apply applies a report of another entry in place of its earlier one.
func (t *Table) Apply(now time.Time, entry string, r Report) {
	t.remove(entry)
	for _, s := range t.services {
		delete(s.silences, entry)
	}
	if t.reports == nil {
		t.reports = make(map[string]*report)
	}
	services := bound(r.Services)
	t.reports[entry] = &report{expires: now.Add(min(r.Hold, maxHold)), services: services}
	if t.peers == nil {
		t.peers = make(map[uint64]*peerUse)
	}
	for _, s := range services {
		p := t.peers[s.Service]
		if p == nil {
			p = &peerUse{customers: make(map[uint64]Use)}
			t.peers[s.Service] = p
		}
		p.reports++
		p.total = p.total.plus(s.Total)
		for _, c := range s.Customers {
			p.customers[c.Customer] = p.customers[c.Customer].plus(c.Use)
		}
		if s.Total.Refused > shortage*s.Total.demand() {
			t.shortAt = now
		}
	}
}

// bound leaves out what no entry reports.
func bound(services []ServiceUse) []ServiceUse {
	out := slices.Clone(services[:min(len(services), maxReportedServices)])
	left := maxReportedCustomers
	for i := range out {
		out[i].Customers = out[i].Customers[:min(len(out[i].Customers), left)]
		left -= len(out[i].Customers)
	}
	return out
}

// remove removes what an entry reported from the sums.
func (t *Table) remove(entry string) {
	old := t.reports[entry]
	if old == nil {
		return
	}
	delete(t.reports, entry)
	for _, s := range old.services {
		p := t.peers[s.Service]
		if p.reports--; p.reports == 0 {
			delete(t.peers, s.Service)
			continue
		}
		p.total = p.total.minus(s.Total)
		for _, c := range s.Customers {
			if rest := p.customers[c.Customer].minus(c.Use); rest.demand() > negligible/10 {
				p.customers[c.Customer] = rest
			} else {
				delete(p.customers, c.Customer)
			}
		}
	}
}

// expireReports removes reports that don't count any more. An entry that says nothing has
// stopped, is cut off, or finds that there is room for all.
func (t *Table) expireReports(now time.Time) {
	for entry, r := range t.reports {
		if !now.Before(r.expires) {
			t.remove(entry)
		}
	}
}
