package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/label"
)

// defaultDeadline is the request deadline of services that set none.
const defaultDeadline = 30 * time.Second

// DataCentre is a data centre that hosts instances.
type DataCentre struct {
	name   string
	region string
	out    bool
}

// Name returns the data centre's name.
func (d DataCentre) Name() string { return d.name }

// Region returns the name of the data centre's region.
func (d DataCentre) Region() string { return d.region }

// OutOfService reports whether the operators have taken the data centre out of
// service.
func (d DataCentre) OutOfService() bool { return d.out }

// Service is a service that a group of interchangeable endpoints offers.
type Service struct {
	name      string
	kind      string
	limit     int
	coldLimit int
	warmUp    time.Duration
	deadline  time.Duration
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// IsModel reports whether the service's endpoints are model engines.
func (s Service) IsModel() bool { return s.kind == ServiceModel }

// Limit returns the concurrency limit of an endpoint that is warmed up.
func (s Service) Limit() int { return s.limit }

// ColdLimit returns the concurrency limit of an endpoint just after its start.
func (s Service) ColdLimit() int { return s.coldLimit }

// WarmUp returns the warm-up time, from the start of an endpoint to its full
// limit.
func (s Service) WarmUp() time.Duration { return s.warmUp }

// Deadline returns the deadline of requests whose caller sets none.
func (s Service) Deadline() time.Duration { return s.deadline }

// Model is a version of a model and its placement.
type Model struct {
	version  fulmardeal.Version
	digest   string
	replicas int
	selector label.Selector
}

// Version returns the model's name with its version.
func (m Model) Version() fulmardeal.Version { return m.version }

// Digest returns the SHA-256 of the manifest of the weights, in lower-case hex.
func (m Model) Digest() string { return m.digest }

// Replicas returns the number of endpoints that should hold the model; 0 means all
// that Selector matches.
func (m Model) Replicas() int { return m.replicas }

// Selector returns the selector of the endpoints that may hold the model.
func (m Model) Selector() label.Selector { return m.selector }

// Customer is a member whose requests are served.
type Customer struct {
	name   string
	key    string // SHA-256 of the bearer key, hex; see HashKey
	labels label.Set
	rate   float64
	share  int
}

// Name returns the customer's name.
func (c Customer) Name() string { return c.name }

// KeyHash returns the SHA-256 of the customer's bearer key.
func (c Customer) KeyHash() string { return c.key }

// Labels returns the customer's labels, including its name as "customer".
func (c Customer) Labels() label.Set { return c.labels }

// Rate returns the customer's limit in requests per second through all entry
// processes together; 0 means no limit.
func (c Customer) Rate() float64 { return c.rate }

// Share returns the percentage of an endpoint's capacity that the customer may use
// while other customers compete for it; 0 means no limit.
func (c Customer) Share() int { return c.share }

type trafficRule struct {
	customers label.Selector
	endpoints label.Selector
}

type endpointLabels struct {
	name   string
	labels label.Set
}

// Configuration is the validated configuration that processes use. It is
// immutable; a newer version is a new value. The zero value is empty.
type Configuration struct {
	version     fulmardeal.Offset
	dataCentres []DataCentre
	services    []Service
	models      []Model
	customers   []Customer
	traffic     []trafficRule
	endpoints   []endpointLabels
}

// Evaluate builds the configuration that the state describes.
func (s State) Evaluate() *Configuration {
	c := &Configuration{version: s.version}
	for _, e := range s.doc.DataCentre {
		c.dataCentres = append(c.dataCentres, DataCentre{name: e.Name, region: e.Region, out: e.Out})
	}
	for _, e := range s.doc.Service {
		c.services = append(c.services, newService(e))
	}
	for _, e := range s.doc.Model {
		c.models = append(c.models, Model{
			version:  fulmardeal.Version{Model: e.Name, Name: e.Version},
			digest:   e.Digest,
			replicas: e.Replicas,
			selector: parseSelector(e.At),
		})
	}
	for _, e := range s.doc.Customer {
		c.customers = append(c.customers, newCustomer(e, s.doc.Budget))
	}
	for _, e := range s.doc.Traffic {
		c.traffic = append(c.traffic, trafficRule{customers: parseSelector(e.Customers), endpoints: parseSelector(e.Endpoints)})
	}
	for _, e := range s.doc.Endpoint {
		c.endpoints = append(c.endpoints, endpointLabels{name: e.Name, labels: label.NewSet(labelFields(e.Label)...)})
	}
	return c
}

func newService(e ServiceEntry) Service {
	s := Service{
		name:      e.Name,
		kind:      e.Kind,
		limit:     e.Limit,
		coldLimit: e.Cold,
		warmUp:    time.Duration(e.Warm),
		deadline:  time.Duration(e.Deadline),
	}
	if s.deadline == 0 {
		s.deadline = defaultDeadline
	}
	return s
}

// newCustomer builds a customer with the lowest rate and the lowest share among
// the budgets that match it.
func newCustomer(e CustomerEntry, budgets []BudgetEntry) Customer {
	c := Customer{name: e.Name, key: e.Key, labels: customerLabels(e)}
	for _, b := range budgets {
		if !parseSelector(b.Customers).Matches(c.labels) {
			continue
		}
		if b.Rate > 0 && (c.rate == 0 || b.Rate < c.rate) {
			c.rate = b.Rate
		}
		if b.Share > 0 && (c.share == 0 || b.Share < c.share) {
			c.share = b.Share
		}
	}
	return c
}

// parseSelector parses a selector that has been validated before. If it is invalid
// nevertheless, the result matches only sets of labels that contain none=none, so
// that an invalid selector does not match everything.
func parseSelector(text string) label.Selector {
	sel, err := label.Parse(text)
	if err != nil {
		none, _ := label.Parse("none=none")
		return none
	}
	return sel
}

// Version returns the offset of the last record that this configuration
// includes, or 0 for a nil configuration.
func (c *Configuration) Version() fulmardeal.Offset {
	if c == nil {
		return 0
	}
	return c.version
}

// DataCentres returns the data centres, sorted by name.
func (c *Configuration) DataCentres() []DataCentre { return c.dataCentres }

// DataCentre returns the data centre called name.
func (c *Configuration) DataCentre(name string) (DataCentre, bool) {
	i := slices.IndexFunc(c.dataCentres, func(d DataCentre) bool { return d.name == name })
	if i < 0 {
		return DataCentre{}, false
	}
	return c.dataCentres[i], true
}

// IsOutOfService reports whether the data centre called name has been taken out
// of service.
func (c *Configuration) IsOutOfService(name string) bool {
	d, known := c.DataCentre(name)
	return known && d.out
}

// Services returns the services, sorted by name.
func (c *Configuration) Services() []Service { return c.services }

// Service returns the service called name.
func (c *Configuration) Service(name string) (Service, bool) {
	i := slices.IndexFunc(c.services, func(s Service) bool { return s.name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.services[i], true
}

// Models returns the models, sorted by name.
func (c *Configuration) Models() []Model { return c.models }

// Model returns the model called name.
func (c *Configuration) Model(name string) (Model, bool) {
	i := slices.IndexFunc(c.models, func(m Model) bool { return m.version.Model == name })
	if i < 0 {
		return Model{}, false
	}
	return c.models[i], true
}

// ServiceOf returns the first model service whose endpoints the model's selector can
// match in some data centre, judged by the labels for data centre, region and
// service alone.
func (c *Configuration) ServiceOf(m Model) (Service, bool) {
	reduced := m.selector.Only("datacentre", "region", "service")
	for _, s := range c.services {
		for _, d := range c.dataCentres {
			set := label.NewSet().With("datacentre", d.name).With("region", d.region).With("service", s.name)
			if s.IsModel() && reduced.Matches(set) {
				return s, true
			}
		}
	}
	return Service{}, false
}

// Customers returns the customers, sorted by name.
func (c *Configuration) Customers() []Customer { return c.customers }

// Customer returns the customer called name.
func (c *Configuration) Customer(name string) (Customer, bool) {
	i := slices.IndexFunc(c.customers, func(x Customer) bool { return x.name == name })
	if i < 0 {
		return Customer{}, false
	}
	return c.customers[i], true
}

// Authenticate returns the customer that a bearer key belongs to.
func (c *Configuration) Authenticate(key string) (Customer, bool) {
	hash := HashKey(key)
	i := slices.IndexFunc(c.customers, func(x Customer) bool { return x.key == hash })
	if i < 0 {
		return Customer{}, false
	}
	return c.customers[i], true
}

// HashKey returns the SHA-256 of a bearer key in hex. The configuration stores
// only this form.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Allowed reports whether a traffic rule allows the customer to use an endpoint
// with these labels.
func (c *Configuration) Allowed(x Customer, endpoint label.Set) bool {
	for _, r := range c.traffic {
		if r.customers.Matches(x.labels) && r.endpoints.Matches(endpoint) {
			return true
		}
	}
	return false
}

// EndpointLabels returns the labels of an endpoint. Of labels with the same name,
// those that operators have set in the configuration come first, then those for the
// endpoint's location, service and name, then those in its own settings.
func (c *Configuration) EndpointLabels(in fulmardeal.Instance) label.Set {
	set := label.NewSet(in.Labels...).
		With("datacentre", in.DataCentre).
		With("region", in.Region).
		With("service", in.Service).
		With("endpoint", in.Name)
	i := slices.IndexFunc(c.endpoints, func(e endpointLabels) bool { return e.name == in.Name })
	if i < 0 {
		return set
	}
	return set.Merge(c.endpoints[i].labels)
}
