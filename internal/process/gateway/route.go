package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/traffic/dispatch"
)

// RoutePath is the path beside the state dump that says where a request would go.
const RoutePath = "/route"

// Limits on a question where a request would go.
const (
	maxRouteQuery   = 8 << 10 // bytes
	maxRouteExclude = 64      // endpoints
	maxPromptTokens = 100_000_000
)

// RoutePreview says where a request would go now, and why.
type RoutePreview struct {
	Entry      string                `json:"entry"`
	Version    int64                 `json:"version"`              // of the configuration
	Status     int                   `json:"status,omitempty"`     // of the refusal if the request is not admitted; 0 if it is
	Unresolved string                `json:"unresolved,omitempty"` // why it is not admitted
	Route      string                `json:"route,omitempty"`
	Customer   string                `json:"customer,omitempty"` // empty if the route needs none
	Rank       int                   `json:"rank"`
	Objective  dispatch.TextDuration `json:"objective"`
	TimeLimit  dispatch.TextDuration `json:"timeLimit"`
	Homes      [][]string            `json:"homes,omitempty"` // regions in which it may be served, one list of the route and one of the customer
	Services   []ServicePreview      `json:"services"`        // one, or all among which the request's id decides
}

// ServicePreview says what is decided about a request for one service.
type ServicePreview struct {
	Service string  `json:"service"`
	Part    float64 `json:"part"` // of the route's requests
	dispatch.Preview
}

// routeQuery is the question where a request would go.
type routeQuery struct {
	host, path, method, customer, id string
	prompt                           int
	deadline, objective              time.Duration
	exclude                          []string
}

// queryError reports a faulty parameter of a question.
type queryError struct {
	name   string
	reason string
}

func (e *queryError) Error() string { return e.name + ": " + e.reason }

// parseRouteQuery parses the parameters of a question.
func parseRouteQuery(raw string) (routeQuery, error) {
	q := routeQuery{method: http.MethodGet}
	if len(raw) > maxRouteQuery {
		return q, &queryError{"query", fmt.Sprintf("longer than %d bytes", maxRouteQuery)}
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return q, &queryError{"query", err.Error()}
	}
	duration := func(to *time.Duration) func(string) error {
		return func(v string) (err error) {
			if *to, err = time.ParseDuration(v); err == nil && *to <= 0 {
				err = fmt.Errorf("%q is not above 0", v)
			}
			return err
		}
	}
	text := func(to *string) func(string) error { return func(v string) error { *to = v; return nil } }
	parameters := map[string]func(string) error{
		"host": text(&q.host), "path": text(&q.path), "method": text(&q.method), "customer": text(&q.customer), "id": text(&q.id),
		"deadline": duration(&q.deadline), "objective": duration(&q.objective),
		"exclude": func(v string) error { q.exclude = append(q.exclude, v); return nil },
		"prompt": func(v string) (err error) {
			if q.prompt, err = strconv.Atoi(v); err != nil || q.prompt < 0 || q.prompt > maxPromptTokens {
				return fmt.Errorf("%q is not a number of tokens from 0 to %d", v, maxPromptTokens)
			}
			return nil
		},
	}
	for name, list := range values {
		parse := parameters[name]
		switch {
		case parse == nil:
			return q, &queryError{name, "unknown parameter"}
		case len(list) > 1 && name != "exclude":
			return q, &queryError{name, "given more than once"}
		case len(list) > maxRouteExclude:
			return q, &queryError{name, fmt.Sprintf("more than %d endpoints", maxRouteExclude)}
		}
		for _, v := range list {
			if err := parse(v); err != nil {
				return q, &queryError{name, err.Error()}
			}
		}
	}
	switch {
	case q.host == "":
		return q, &queryError{"host", "missing"}
	case !strings.HasPrefix(q.path, "/"):
		return q, &queryError{"path", fmt.Sprintf("%q does not begin with /", q.path)}
	case q.method == "" || strings.ContainsFunc(q.method, func(r rune) bool { return r < 'A' || r > 'Z' }):
		return q, &queryError{"method", fmt.Sprintf("%q is not a method", q.method)}
	}
	return q, nil
}

// serveRoute says where a request would go, without sending it.
func (g *Gateway) serveRoute(w http.ResponseWriter, r *http.Request) {
	q, err := parseRouteQuery(r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(g.previewRoute(time.Now(), q)) // a failed write means that the operator has disconnected
}

// previewRoute decides about a request as admit and reserve do, without effect. The request's
// headers, body and parts are not known, and so not checked.
func (g *Gateway) previewRoute(now time.Time, q routeQuery) RoutePreview {
	view := g.catalogue.View()
	p := RoutePreview{Entry: g.settings.Name, Version: view.Version()}
	if view.Catalogue() == nil {
		p.Status, p.Unresolved = http.StatusServiceUnavailable, "the entry has no configuration yet"
		return p
	}
	host := q.host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	c := &call{gateway: g, received: now, tried: q.exclude, metadata: fulmardeal.RequestMetadata{AttemptID: q.id, Deadline: q.deadline, PromptTokens: q.prompt}}
	if c.route = view.Route(host, q.path); c.route == nil {
		p.Status, p.Unresolved = http.StatusNotFound, whyNoRoute(view.Catalogue(), host, q.path)
		return p
	}
	p.Route, c.rank, c.homeRegions = c.route.Name, c.route.Priority, [][]string{c.route.Homes}
	if !c.route.Public {
		if p.Status, p.Unresolved = g.previewCustomer(view, c, q.customer); p.Status != 0 {
			return p
		}
	}
	c.deadline = now.Add(c.timeLimit())
	p.Customer, p.Rank, p.Objective, p.TimeLimit = c.customer, c.rank, dispatch.TextDuration(c.route.Objective), dispatch.TextDuration(c.timeLimit())
	if q.objective > 0 {
		p.Objective = dispatch.TextDuration(q.objective)
	}
	for _, homes := range c.homeRegions {
		if len(homes) > 0 {
			p.Homes = append(p.Homes, homes)
		}
	}
	for _, s := range servicesOf(c.route, q.id) {
		c.service = s.Service
		request := c.dispatchRequest()
		request.Objective = time.Duration(p.Objective)
		p.Services = append(p.Services, ServicePreview{Service: s.Service, Part: s.Weight, Preview: g.table.Preview(now, request)})
	}
	return p
}

// whyNoRoute returns why a request has no route.
func whyNoRoute(c *fulmardeal.Catalogue, host, path string) string {
	var prefixes []string
	for _, r := range c.Routes {
		if strings.EqualFold(r.Host, host) {
			prefixes = append(prefixes, r.Prefix)
		}
	}
	if len(prefixes) == 0 {
		return fmt.Sprintf("no route: the configuration has no host %q", host)
	}
	slices.Sort(prefixes)
	return fmt.Sprintf("no route: path %q has none of the prefixes of host %q: %s", path, host, strings.Join(slices.Compact(prefixes), " "))
}

// previewCustomer sets the customer with a name as authorize does with that of a key, or
// returns the status and reason of the refusal.
func (g *Gateway) previewCustomer(view *catalogue.View, c *call, name string) (int, string) {
	if !view.AccessKnown() {
		return http.StatusServiceUnavailable, "whether callers need keys is not known yet"
	}
	if !view.RequiresKey() {
		return 0, ""
	}
	if age, ok := g.keysConfirmed(); !ok {
		return http.StatusServiceUnavailable, fmt.Sprintf("customer keys not confirmed by the store for %v", age.Round(time.Millisecond))
	}
	if view.KeyCount() == 0 {
		return http.StatusUnauthorized, "no customer has a key"
	}
	if name == "" {
		return http.StatusUnauthorized, fmt.Sprintf("route %q needs a customer, and none is given", c.route.Name)
	}
	customers := view.Catalogue().Customers
	i := slices.IndexFunc(customers, func(customer fulmardeal.Customer) bool { return customer.Name == name })
	if i < 0 {
		return http.StatusUnauthorized, fmt.Sprintf("the configuration has no customer %q", name)
	}
	customer := &customers[i]
	if len(customer.Keys) == 0 {
		return http.StatusUnauthorized, fmt.Sprintf("customer %q has no key", name)
	}
	c.setCustomer(customer)
	return 0, ""
}

// servicesOf returns the services that a request of a route may go to, with their parts of the
// requests as weights. The id decides, if it is known.
func servicesOf(route *fulmardeal.Route, id string) []fulmardeal.Share {
	total := 0.0
	for _, s := range route.Shares {
		total += max(0, s.Weight)
	}
	var out []fulmardeal.Share
	for _, s := range route.Shares {
		if s.Weight > 0 && (id == "" || s.Service == pickService(route.Shares, id)) {
			out = append(out, fulmardeal.Share{Service: s.Service, Weight: s.Weight / total})
		}
	}
	if len(out) == 0 {
		out = append(out, fulmardeal.Share{Service: pickService(route.Shares, id), Weight: 1})
	}
	return out
}
