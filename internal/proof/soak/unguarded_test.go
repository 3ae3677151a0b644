package soak_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/soak"
	"fulmardeal/platform"
)

// unguardedEntry is an entry that keeps none of the guarantees: it reads the
// store only once, forwards the caller's key, tries all endpoints of the
// service in turn, and reports that requests which failed at each of them have
// not run.
type unguardedEntry struct {
	settings      fulmardeal.Settings
	routes        []fulmardeal.Route
	endpoints     []fulmardeal.Registration // sorted by address
	customerByKey map[string]string
	client        *http.Client
	received      atomic.Int64 // number of requests received
}

// readStore reads the store until it has routes and the given number of endpoints.
// Later changes are ignored.
func (e *unguardedEntry) readStore(ctx context.Context, endpoints int) error {
	store, cleanup := platform.NewStore(e.settings.StoreAddress)
	defer cleanup()
	for len(e.endpoints) < endpoints || len(e.routes) == 0 {
		operator, _, err := store.Operator().Newest(ctx)
		if err != nil {
			return err
		}
		for _, change := range operator {
			if change.Catalogue == nil {
				continue
			}
			e.routes = change.Catalogue.Routes
			for _, customer := range change.Catalogue.Customers {
				for _, key := range customer.Keys {
					e.customerByKey[key] = customer.Name
				}
			}
		}
		registrations, _, err := store.Registrations().Newest(ctx)
		if err != nil {
			return err
		}
		e.endpoints = nil
		for _, change := range registrations {
			if change.Registration != nil {
				e.endpoints = append(e.endpoints, *change.Registration)
			}
		}
	}
	slices.SortFunc(e.endpoints, func(a, b fulmardeal.Registration) int { return strings.Compare(a.Address, b.Address) })
	return nil
}

func (e *unguardedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first := int(e.received.Add(1))
	for _, route := range e.routes {
		if !strings.HasPrefix(r.URL.Path, route.Prefix) {
			continue
		}
		candidates := e.endpointsOf(route.Shares[0].Service)
		for i := range candidates {
			if e.tryEndpoint(w, r, candidates[(first+i)%len(candidates)], body) {
				return
			}
		}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// endpointsOf returns the endpoints of a service, always in the same order.
func (e *unguardedEntry) endpointsOf(service string) []fulmardeal.Registration {
	return slices.DeleteFunc(slices.Clone(e.endpoints), func(r fulmardeal.Registration) bool { return r.Service != service })
}

// tryEndpoint sends a request to an endpoint, and reports whether it was
// answered with status 200.
func (e *unguardedEntry) tryEndpoint(w http.ResponseWriter, r *http.Request, endpoint fulmardeal.Registration, body []byte) bool {
	metadata := platform.Codec{}.ReadRequestMetadata(r.Header)
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+endpoint.Address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header = platform.Codec{}.ForwardHeader(r.Header, fulmardeal.ForwardMetadata{Instance: endpoint.ID, Deadline: metadata.Deadline, Customer: e.customerByKey[metadata.APIKey], Priority: -1})
	req.Header["Authorization"] = r.Header["Authorization"]
	resp, err := e.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	for name, values := range (platform.Codec{}).ResponseHeader(resp.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(data) // the caller may have cancelled
	return true
}

// inProcessStarter starts unguarded entries within this process; its agents do
// nothing.
type inProcessStarter struct {
	endpoints int // number of endpoints of the run
}

// inProcessEntry is a soak.Process that runs in the test's own process. SIGKILL and
// SIGTERM stop it.
type inProcessEntry struct {
	once sync.Once
	stop context.CancelFunc
	done chan struct{}
}

func (s *inProcessEntry) Signal(sig os.Signal) error {
	if sig == os.Kill || sig.String() == "terminated" {
		s.once.Do(s.stop)
	}
	return nil
}
func (s *inProcessEntry) Done() <-chan struct{} { return s.done }
func (s *inProcessEntry) Err() error            { return nil }

// Start starts an unguarded entry, or an agent that does nothing.
func (i inProcessStarter) Start(role string, s fulmardeal.Settings, _ string, _ io.Writer) (soak.Process, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &inProcessEntry{stop: stop, done: make(chan struct{})}
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
	c := &unguardedEntry{settings: s, customerByKey: make(map[string]string), client: &http.Client{Timeout: time.Second}}
	server := &http.Server{Handler: c}
	ready := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() {
		if c.readStore(ctx, i.endpoints) == nil {
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

// TestUnguardedEntries guards against a checker that misses violations: it runs
// entries that keep none of the guarantees and expects that each violation is
// reported.
func TestUnguardedEntries(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	shape := soak.Shape{Entries: 2, Engines: 2, Plain: 4, DataCentres: 2}
	// Endpoints 0 and 1 are engines, 2 and 3 serve the plain routes; 0 and 2 are in
	// the first data centre. While endpoint 2 is up, an order that 3 or 2 cuts off runs
	// at the other one too. After a drain an endpoint has another ID, so the entries get
	// no more answers from it: then an order that 3 cuts off is refused.
	faults := []soak.Fault{
		{Kind: soak.FaultEvacuate, Target: 0, For: 4 * time.Second},
		{Kind: soak.FaultCutAnswers, Target: 2, For: 4 * time.Second},
		{Kind: soak.FaultCutAnswers, Target: 3, For: 18 * time.Second},
		{Kind: soak.FaultConfiguration, Target: soak.ChangeRead},
		{Kind: soak.FaultConfiguration, Target: soak.ChangeKey},
		{Kind: soak.FaultPublishVersion},
		{At: time.Second, Kind: soak.FaultLeavers, For: 3 * time.Second},
		{At: 4 * time.Second, Kind: soak.FaultDrain, Target: 1},
		{At: 6 * time.Second, Kind: soak.FaultDrain, Target: 2}, // a fault has no effect while another one of its target lasts
		{At: 10 * time.Second, Kind: soak.FaultDrain, Target: 0},
	}
	r, err := soak.Run(t.Context(), soak.Options{
		Seed: 3, Faults: faults, RecoveryTime: 4 * time.Second, Callers: 16, Starter: inProcessStarter{endpoints: shape.Engines + shape.Plain},
		LogDir: t.TempDir(), Out: io.Discard, Shape: shape,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []soak.Guarantee{soak.GuaranteeAtMostOnce, soak.GuaranteeTrueRefusal, soak.GuaranteeUnchanged, soak.GuaranteeHome,
		soak.GuaranteeConfiguration, soak.GuaranteeEvacuated, soak.GuaranteeDrained, soak.GuaranteeRevokedKey, soak.GuaranteeWeightsVersion, soak.GuaranteeGone} {
		if !slices.ContainsFunc(r.Violations, func(b soak.Violation) bool { return b.Guarantee == p }) {
			t.Errorf("no violation of %q was found in %+v", p, r.Counts)
		}
	}
}
