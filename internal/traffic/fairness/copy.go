package fairness

// CopyOf returns a table of its own with what decides about the requests for one service, to see
// what it would decide. Reports that expire meanwhile still count in it.
func (t *Table) CopyOf(serviceName string) Table {
	out := Table{peers: t.peers, shortAt: t.shortAt} // without reports, the sums are only read
	s := t.services[serviceName]
	if s == nil {
		return out
	}
	c := *s
	c.accounts = make(map[string]*account, len(s.accounts))
	for customer, a := range s.accounts {
		known := *a
		c.accounts[customer] = &known
	}
	c.standings = make(map[string]*standing, len(s.standings))
	for customer, x := range s.standings {
		known := *x
		c.standings[customer] = &known
	}
	out.services = map[string]*service{serviceName: &c}
	return out
}
