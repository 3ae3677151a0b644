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

// careless is an entry without any guard: it reads the store once, keeps the
// key, takes any endpoint of the service, sends a failed request again whatever
// it is, and says that what failed has not run.
type careless struct {
	site     fulmardeal.Settings
	routes   []fulmardeal.Route
	list     []fulmardeal.Registration
	customer map[string]string // by key
	client   *http.Client
}

// learn reads the store, once.
func (c *careless) learn(ctx context.Context) error {
	store, cleanup := platform.NewStore(c.site.StoreAddress)
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

// try sends a request to any endpoint, and reports whether there was an answer.
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
	facts := platform.Codec{}.ReadRequestMetadata(r.Header)
	q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+e.Address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	q.Header = platform.Codec{}.ForwardHeader(r.Header, fulmardeal.ForwardMetadata{Instance: e.ID, Deadline: facts.Deadline, Customer: c.customer[facts.APIKey], Priority: -1})
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
	for name, values := range (platform.Codec{}).ResponseHeader(a.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(a.StatusCode)
	_, _ = w.Write(data) // the caller may have left
	return true
}

// inside starts careless entries in this process, and no agents.
type inside struct{}

// started is a process that isn't one.
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

// Start starts a careless entry, or nothing in the place of an agent.
func (inside) Start(role string, s fulmardeal.Settings, _ string, _ io.Writer) (soak.Process, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &started{stop: stop, done: make(chan struct{})}
	if role != soak.RoleEntry {
		context.AfterFunc(ctx, func() { close(p.done) })
		return p, nil
	}
	callers, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return nil, err
	}
	readiness, err := net.Listen("tcp", s.ReadinessAddress)
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

// TestCareless runs the soak against entries without guards, and expects it to
// find what they break.
func TestCareless(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	faults := []soak.Fault{
		{Kind: soak.FaultEvacuate, Target: 0, For: 4 * time.Second},
		{Kind: soak.FaultDrain, Target: 2}, // it is back under another id
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
