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

// unguardedEntry is an entry that keeps none of the guarantees: it reads the
// store only once, forwards the caller's key, picks any endpoint of the
// service, retries every failed request, and reports that failed requests have
// not run.
type unguardedEntry struct {
	settings      fulmardeal.Settings
	routes        []fulmardeal.Route
	endpoints     []fulmardeal.Registration
	customerByKey map[string]string
	client        *http.Client
}

// readStore reads the store until it has routes and endpoints. Later changes are
// ignored.
func (e *unguardedEntry) readStore(ctx context.Context) error {
	store, cleanup := platform.NewStore(e.settings.StoreAddress)
	defer cleanup()
	for len(e.endpoints) == 0 || len(e.routes) == 0 {
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
	return nil
}

func (e *unguardedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for _, route := range e.routes {
		if !strings.HasPrefix(r.URL.Path, route.Prefix) {
			continue
		}
		for range 4 {
			if e.tryEndpoint(w, r, route, body) {
				return
			}
		}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// tryEndpoint sends a request to any endpoint, and reports whether it was
// answered with status 200.
func (e *unguardedEntry) tryEndpoint(w http.ResponseWriter, r *http.Request, route fulmardeal.Route, body []byte) bool {
	var candidates []fulmardeal.Registration
	for _, reg := range e.endpoints {
		if reg.Service == route.Shares[0].Service {
			candidates = append(candidates, reg)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	endpoint := candidates[rand.IntN(len(candidates))]
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
type inProcessStarter struct{}

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
func (inProcessStarter) Start(role string, s fulmardeal.Settings, _ string, _ io.Writer) (soak.Process, error) {
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
		if c.readStore(ctx) == nil {
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
	faults := []soak.Fault{
		{Kind: soak.FaultEvacuate, Target: 0, For: 4 * time.Second},
		{Kind: soak.FaultDrain, Target: 2}, // the endpoint restarts with another ID
		{Kind: soak.FaultCutAnswers, Target: 3, For: 8 * time.Second},
		{Kind: soak.FaultConfiguration, Target: soak.ChangeRead},
		{Kind: soak.FaultConfiguration, Target: soak.ChangeKey},
	}
	r, err := soak.Run(t.Context(), soak.Options{
		Seed: 3, Faults: faults, Callers: 8, Starter: inProcessStarter{}, LogDir: t.TempDir(), Out: io.Discard,
		Shape: soak.Shape{Entries: 2, Engines: 2, Plain: 4, DataCentres: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []soak.Guarantee{soak.GuaranteeAtMostOnce, soak.GuaranteeTrueRefusal, soak.GuaranteeUnchanged, soak.GuaranteeHome,
		soak.GuaranteeConfiguration, soak.GuaranteeEvacuated, soak.GuaranteeDrained, soak.GuaranteeRevokedKey} {
		if !slices.ContainsFunc(r.Violations, func(b soak.Violation) bool { return b.Guarantee == p }) {
			t.Errorf("no violation of %q was found in %+v", p, r.Counts)
		}
	}
}
