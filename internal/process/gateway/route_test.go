package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/feed"
	"fulmardeal/internal/traffic/dispatch"
)

// A route's requests go to its services by their weights, or by the request's id, within its home
// regions.
func TestPreviewRouteServices(t *testing.T) {
	g := &Gateway{table: dispatch.New(dispatch.Options{DataCentre: "a", Region: "r", Regions: map[string]string{"a": "r"}})}
	shares := []fulmardeal.Share{{Service: "old", Weight: 3}, {Service: "new", Weight: 1}, {Service: "none"}}
	c := &fulmardeal.Catalogue{Version: 1, Services: []fulmardeal.Service{{Name: "old"}, {Name: "new"}}, Routes: []fulmardeal.Route{
		{Name: "split", Host: "h", Prefix: "/split/", Shares: shares, Timeout: 2 * time.Second, Objective: time.Second},
		{Name: "far", Host: "h", Prefix: "/far/", Shares: shares[:1], Homes: []string{"q"}},
	}}
	g.catalogue.Apply(time.Now(), feed.Batch{Changes: []fulmardeal.Change{{Key: "config", Offset: 1, Catalogue: c}}})
	g.catalogue.ApplyHistory(false)
	g.table.Refresh(time.Now(), []fulmardeal.Registration{{ID: "i", Service: "old", Address: "10.0.0.1:1", DataCentre: "a", Slots: 4}}, g.catalogue.View())

	p := g.previewRoute(time.Now(), routeQuery{host: "H:8000", path: "/split/1", deadline: time.Second})
	if len(p.Services) != 2 || p.Services[0].Part != 0.75 || p.Services[0].Endpoint != "i" || p.Services[1].Part != 0.25 || p.Services[1].Reason != dispatch.RefusedNoEndpoint {
		t.Errorf("services %+v, want old at i and new without endpoints", p.Services)
	}
	if p.TimeLimit != dispatch.TextDuration(time.Second) || p.Objective != dispatch.TextDuration(time.Second) {
		t.Errorf("time limit %v and objective %v", p.TimeLimit, p.Objective)
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		p = g.previewRoute(time.Now(), routeQuery{host: "h", path: "/split/1", id: id})
		if want := pickService(shares, id); len(p.Services) != 1 || p.Services[0].Service != want {
			t.Errorf("services for id %s: %+v, want %s", id, p.Services, want)
		}
	}
	p = g.previewRoute(time.Now(), routeQuery{host: "h", path: "/far/1"})
	if len(p.Services) != 1 || p.Services[0].Decision != dispatch.DecisionRefuse || p.Services[0].Candidates[0].Reason != "outside the home regions" {
		t.Errorf("services %+v, want none in the home region", p.Services)
	}
}

// The preview of a route must say of callers' keys what the entry does.
func TestPreviewRouteWithoutKeys(t *testing.T) {
	routes := []fulmardeal.Route{{Name: "order", Host: "h", Prefix: "/"}, {Name: "news", Host: "h", Prefix: "/news/", Public: true}}
	for _, c := range []struct {
		catalogue  fulmardeal.Catalogue
		history    []bool
		status     int
		unresolved string
	}{
		{fulmardeal.Catalogue{}, nil, http.StatusServiceUnavailable, "not known yet"},
		{fulmardeal.Catalogue{}, []bool{false}, 0, ""},
		{fulmardeal.Catalogue{}, []bool{true}, http.StatusServiceUnavailable, "not confirmed"}, // no read of the store here
		{fulmardeal.Catalogue{Keyed: true}, []bool{false}, http.StatusServiceUnavailable, "not confirmed"},
	} {
		g := &Gateway{table: dispatch.New(dispatch.Options{}), operator: feed.New(feed.Options{})}
		c.catalogue.Version, c.catalogue.Routes = 1, routes
		g.catalogue.Apply(time.Now(), feed.Batch{Changes: []fulmardeal.Change{{Key: "config", Offset: 1, Catalogue: &c.catalogue}}})
		for _, keyed := range c.history {
			g.catalogue.ApplyHistory(keyed)
		}
		p := g.previewRoute(time.Now(), routeQuery{host: "h", path: "/1"})
		if p.Status != c.status || !strings.Contains(p.Unresolved, c.unresolved) {
			t.Errorf("keyed %t, history %v: %d %q, want %d %q", c.catalogue.Keyed, c.history, p.Status, p.Unresolved, c.status, c.unresolved)
		}
		if p := g.previewRoute(time.Now(), routeQuery{host: "h", path: "/news/1"}); p.Status != 0 {
			t.Errorf("public route, keyed %t, history %v: %d %q", c.catalogue.Keyed, c.history, p.Status, p.Unresolved)
		}
	}
}

// A service with the weight 0 must get no request, also if no other service has a weight.
func TestServiceWithoutWeightGetsNoRequest(t *testing.T) {
	share := func(service string, weight float64) fulmardeal.Share {
		return fulmardeal.Share{Service: service, Weight: weight}
	}
	for _, c := range []struct {
		shares []fulmardeal.Share
		want   string
	}{
		{nil, ""},
		{[]fulmardeal.Share{share("a", 0)}, ""},
		{[]fulmardeal.Share{share("a", 0), share("b", -1)}, ""},
		{[]fulmardeal.Share{share("a", 1), share("b", 0)}, "a"},
		{[]fulmardeal.Share{share("b", 0), share("a", 1e-9), share("b", -1)}, "a"},
	} {
		for i := range 1000 {
			if got := pickService(c.shares, strconv.Itoa(i)); got != c.want {
				t.Fatalf("%v: %q for id %d, want %q", c.shares, got, i, c.want)
			}
		}
	}
}
