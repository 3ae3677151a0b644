package soak_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/soak"
	"fulmardeal/platform"
)

// careless is an entry that keeps none of the guarantees: it reads the store only
// once, forwards the caller's key, picks any endpoint of the service, retries
// every failed request, and reports that failed requests have not run.
type careless struct {
	site     fulmardeal.Site
	routes   []fulmardeal.Route
	list     []fulmardeal.Registration
	customer map[string]string // by key
	client   *http.Client
}

// learn reads the store until there are routes and endpoints. Later changes are
// not seen.
func (c *careless) learn(ctx context.Context) error {
	store, cleanup := platform.NewStore(c.site.Store)
	defer cleanup()
	for len(c.list) == 0 || len(c.routes) == 0 {
		operator, _, err := store.Operator().Newest(ctx)
		if err != nil {
			return err
		}
		for _, x := range operator {
			if x.Catalogue == nil {
				continue
			}
			c.routes = x.Catalogue.Routes
			for _, customer := range x.Catalogue.Customers {
				for _, key := range customer.Keys {
					c.customer[key] = customer.Name
				}
			}
		}
		servers, _, err := store.Registrations().Newest(ctx)
		if err != nil {
			return err
		}
		c.list = nil
		for _, x := range servers {
			if x.Registration != nil {
				c.list = append(c.list, *x.Registration)
			}
		}
	}
	return nil
}

func (c *careless) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for _, route := range c.routes {
		if !strings.HasPrefix(r.URL.Path, route.Prefix) {
			continue
		}
		for range 4 {
			if c.try(w, r, route, body) {
				return
			}
		}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// try sends a request to any endpoint, and reports whether it was answered with
// status 200.
func (c *careless) try(w http.ResponseWriter, r *http.Request, route fulmardeal.Route, body []byte) bool {
	var fit []fulmardeal.Registration
	for _, x := range c.list {
		if x.Service == route.Shares[0].Service {
			fit = append(fit, x)
		}
	}
	if len(fit) == 0 {
		return false
	}
	e := fit[rand.IntN(len(fit))]
	facts := platform.Codec{}.ReadFacts(r.Header)
	q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+e.Address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	q.Header = platform.Codec{}.WriteForward(r.Header, fulmardeal.Forward{Instance: e.ID, Deadline: facts.Deadline, Customer: c.customer[facts.Key], Priority: -1})
	q.Header["Authorization"] = r.Header["Authorization"]
	a, err := c.client.Do(q)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != http.StatusOK {
		return false
	}
	for name, values := range (platform.Codec{}).WriteReply(a.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(a.StatusCode)
	_, _ = w.Write(data) // the caller may have cancelled
	return true
}

// inside starts unguarded entries within this process; its agents do nothing.
type inside struct{}

// started stands for a process, but runs within this one.
type started struct {
	once sync.Once
	stop context.CancelFunc
	done chan struct{}
}

func (s *started) Signal(x os.Signal) error {
	if x == os.Kill || x.String() == "terminated" {
		s.once.Do(s.stop)
	}
	return nil
}
func (s *started) Done() <-chan struct{} { return s.done }
func (s *started) Err() error            { return nil }

// Start starts an unguarded entry, or an agent that does nothing.
func (inside) Start(role string, s fulmardeal.Site, _ string, _ io.Writer) (soak.Process, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &started{stop: stop, done: make(chan struct{})}
	if role != soak.RoleEntry {
		context.AfterFunc(ctx, func() { close(p.done) })
		return p, nil
	}
	callers, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return nil, err
	}
	readiness, err := net.Listen("tcp", s.Readiness)
	if err != nil {
		return nil, errors.Join(err, callers.Close())
	}
	c := &careless{site: s, customer: make(map[string]string), client: &http.Client{Timeout: time.Second}}
	server := &http.Server{Handler: c}
	ready := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() {
		if c.learn(ctx) == nil {
			go ready.Serve(readiness)
			server.Serve(callers)
		}
	}()
	context.AfterFunc(ctx, func() {
		server.Close()
		ready.Close()
		callers.Close()
		readiness.Close()
		close(p.done)
	})
	return p, nil
}

// TestCareless guards against a checker that misses violations: it runs entries
// that keep none of the guarantees and expects that each break is reported.
func TestCareless(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	faults := []soak.Fault{
		{Kind: soak.FaultEvacuate, Target: 0, For: 4 * time.Second},
		{Kind: soak.FaultDrain, Target: 2}, // it restarts with another ID
		{Kind: soak.FaultCutAnswers, Target: 3, For: 8 * time.Second},
		{Kind: soak.FaultConfig, Target: soak.ChangeRead},
		{Kind: soak.FaultConfig, Target: soak.ChangeKey},
	}
	r, err := soak.Run(t.Context(), soak.Options{
		Seed: 3, Faults: faults, Callers: 8, Starter: inside{}, Logs: t.TempDir(), Out: io.Discard,
		Shape: soak.Shape{Entries: 2, Engines: 2, Plain: 4, DataCentres: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []soak.Promise{soak.PromiseOnce, soak.PromiseRefusal, soak.PromiseUnchanged, soak.PromiseHome,
		soak.PromiseConfig, soak.PromiseEvacuated, soak.PromiseDrained, soak.PromiseRevoked} {
		if !slices.ContainsFunc(r.Violations, func(b soak.Violation) bool { return b.Promise == p }) {
			t.Errorf("no violation of %q was found in %+v", p, r.Counts)
		}
	}
}
