package configuration

import (
	"encoding/hex"
	"fmt"
	"time"

	"fulmardeal/internal/fleet/label"
)

// Upper bounds of values in documents.
const (
	maxLimit         = 4096    // concurrent requests per endpoint
	maxReplicas      = 100_000 // endpoints per model
	maxRatePerSecond = 1e6     // requests per second
	maxWarmUp        = time.Hour
	maxDeadline      = 10 * time.Minute
	maxShare         = 100 // percent, for one customer and for the sum over all customers
	digestBytes      = 32  // exact length of a SHA-256
)

// Kinds of entities, as they are written in documents.
const (
	kindDataCentre = "datacentre"
	kindService    = "service"
	kindModel      = "model"
	kindCustomer   = "customer"
	kindTraffic    = "traffic"
	kindBudget     = "budget"
	kindEndpoint   = "endpoint"
)

// Kinds of services.
const (
	ServiceModel = "model"
	ServicePlain = "plain"
)

// validator collects the faults of one document.
type validator struct {
	found []Fault
	names []string // "kind/name" of all entities checked so far
}

func (c *validator) fail(path, format string, args ...any) {
	c.found = append(c.found, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// entity checks that the name of the entity at index i of a kind is valid and
// unique within the kind. It returns the entity's path.
func (c *validator) entity(kind string, i int, name string) string {
	path := fmt.Sprintf("%s[%d]", kind, i)
	if !label.ValidName(name) {
		c.fail(path+".name", "%q is not a valid name: want 1 to 63 letters, digits, dots, dashes or underscores", name)
		return path
	}
	key := kind + "/" + name
	for _, n := range c.names {
		if n == key {
			c.fail(path+".name", "duplicate name %q", name)
			break
		}
	}
	c.names = append(c.names, key)
	return path
}

func (c *validator) selector(path, text string) {
	if _, err := label.Parse(text); err != nil {
		c.fail(path, "%v", err)
	}
}

func (c *validator) labels(path string, entries []LabelEntry) {
	for i, e := range entries {
		if !label.ValidName(e.Name) || !label.ValidName(e.Value) {
			c.fail(fmt.Sprintf("%s.label[%d]", path, i), "%q=%q is not a valid label", e.Name, e.Value)
		}
	}
}

func (c *validator) digest(path, text string) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		c.fail(path, "want 64 hexadecimal digits of a SHA-256")
	}
}

func (c *validator) between(path string, v, low, high int) {
	if v < low || v > high {
		c.fail(path, "%d is outside %d to %d", v, low, high)
	}
}

func (c *validator) duration(path string, d Duration, high time.Duration) {
	if d < 0 || time.Duration(d) > high {
		c.fail(path, "%v is outside 0s to %v", time.Duration(d), high)
	}
}

// faults returns the faults of each entity on its own; configurationFaults checks
// the rules between entities.
func (d *Document) faults() []Fault {
	var c validator
	for i, e := range d.DataCentre {
		path := c.entity(kindDataCentre, i, e.Name)
		if !label.ValidName(e.Region) {
			c.fail(path+".region", "%q is not a valid name", e.Region)
		}
	}
	for i, e := range d.Service {
		c.service(c.entity(kindService, i, e.Name), e)
	}
	for i, e := range d.Model {
		path := c.entity(kindModel, i, e.Name)
		if !label.ValidName(e.Version) {
			c.fail(path+".version", "%q is not a valid name", e.Version)
		}
		c.digest(path+".digest", e.Digest)
		c.between(path+".replicas", e.Replicas, 0, maxReplicas)
		c.selector(path+".at", e.At)
	}
	for i, e := range d.Customer {
		path := c.entity(kindCustomer, i, e.Name)
		c.digest(path+".key", e.Key)
		c.labels(path, e.Label)
	}
	for i, e := range d.Traffic {
		path := c.entity(kindTraffic, i, e.Name)
		c.selector(path+".customers", e.Customers)
		c.selector(path+".endpoints", e.Endpoints)
	}
	for i, e := range d.Budget {
		path := c.entity(kindBudget, i, e.Name)
		c.selector(path+".customers", e.Customers)
		c.between(path+".share", e.Share, 0, maxShare)
		if e.Rate < 0 || e.Rate > maxRatePerSecond {
			c.fail(path+".rate", "%v is outside 0 to %v requests per second", e.Rate, maxRatePerSecond)
		}
	}
	for i, e := range d.Endpoint {
		c.labels(c.entity(kindEndpoint, i, e.Name), e.Label)
	}
	for i, e := range d.Remove {
		if !knownKind(e.Kind) {
			c.fail(fmt.Sprintf("remove[%d].kind", i), "%q is not a kind of entity", e.Kind)
		}
	}
	return c.found
}

func (c *validator) service(path string, e ServiceEntry) {
	if e.Kind != ServiceModel && e.Kind != ServicePlain {
		c.fail(path+".kind", "%q is neither %q nor %q", e.Kind, ServiceModel, ServicePlain)
	}
	c.between(path+".limit", e.Limit, 1, maxLimit)
	c.between(path+".cold", e.Cold, 1, max(e.Limit, 1))
	c.duration(path+".warm", e.Warm, maxWarmUp)
	c.duration(path+".deadline", e.Deadline, maxDeadline)
}

func knownKind(kind string) bool {
	switch kind {
	case kindDataCentre, kindService, kindModel, kindCustomer, kindTraffic, kindBudget, kindEndpoint:
		return true
	}
	return false
}

// configurationFaults checks rules that span entities. Every selector of endpoints
// must be able to match an endpoint, and every selector of customers must match a
// customer. The shares of all customers must add up to at most 100 percent. At least
// one data centre must be in service, unless the change is forced.
func configurationFaults(d *Document) []Fault {
	var c validator
	possible := possibleLabelSets(d)
	for i, e := range d.Model {
		c.matchesEndpoint(fmt.Sprintf("model[%d].at", i), e.At, possible)
	}
	for i, e := range d.Traffic {
		path := fmt.Sprintf("traffic[%d]", i)
		c.matchesEndpoint(path+".endpoints", e.Endpoints, possible)
		c.countCustomers(path+".customers", e.Customers, d)
	}

	total := 0
	for i, e := range d.Budget {
		path := fmt.Sprintf("budget[%d]", i)
		n := c.countCustomers(path+".customers", e.Customers, d)
		total += e.Share * n
		if total > maxShare {
			c.fail(path+".share", "shares of all customers add up to %d%%, over 100%%", total)
			break
		}
	}

	if !d.Force && len(d.DataCentre) > 0 && allOutOfService(d) {
		c.fail("datacentre", "every data centre would be out of service, which leaves all services without endpoints; set force = true to allow it")
	}
	return c.found
}

func allOutOfService(d *Document) bool {
	for _, e := range d.DataCentre {
		if !e.Out {
			return false
		}
	}
	return true
}

// possibleLabelSets returns the label sets that endpoints can have from their data
// centre, region and service. Other labels are not known here, so
// terms on them are left out of the check.
func possibleLabelSets(d *Document) []label.Set {
	var out []label.Set
	for _, dc := range d.DataCentre {
		for _, s := range d.Service {
			set := label.NewSet().With("datacentre", dc.Name).With("region", dc.Region).With("service", s.Name)
			out = append(out, set)
		}
	}
	return out
}

func (c *validator) matchesEndpoint(path, text string, possible []label.Set) {
	sel, err := label.Parse(text)
	if err != nil {
		return // already reported by faults
	}
	reduced := sel.Only("datacentre", "region", "service")
	for _, s := range possible {
		if reduced.Matches(s) {
			return
		}
	}
	c.fail(path, "selector %q selects nothing", text)
}

func (c *validator) countCustomers(path, text string, d *Document) int {
	sel, err := label.Parse(text)
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range d.Customer {
		if sel.Matches(customerLabels(e)) {
			n++
		}
	}
	if n == 0 {
		c.fail(path, "selector %q selects nothing", text)
	}
	return n
}

func customerLabels(e CustomerEntry) label.Set {
	return label.NewSet(labelFields(e.Label)...).With("customer", e.Name)
}
