// Package load is an open-loop load generator: it sends requests to entries at a
// given rate, regardless of response times, and verifies every response.
//
// Local runs and benchmarks use it. It requires the stand-in endpoints, because it
// can verify only their deterministic responses, and because only they count the
// runs of each order in a ledger. It sends to loopback addresses only.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Kind is the kind of a request.
type Kind int

// Kinds of requests.
const (
	KindStream        Kind = iota // a streamed completion
	KindCompletion                // a completion that is not streamed
	KindOrder                     // an order, which must not run more than once
	KindCatalogueRead             // a read of a catalogue item
)

// RequestClass is a class of requests within a load.
type RequestClass struct {
	Kind    Kind
	Service string        // service that runs the orders and catalogue reads
	Model   string        // model that generates the completions
	Rate    float64       // requests per second
	Tokens  int           // tokens per completion
	Keyed   bool          // requests carry an idempotency key
	Timeout time.Duration // timeout of a request; 0 means defaultTimeout
}

// Settings configures a load.
type Settings struct {
	Seed          uint64
	Entries       []string // addresses as IP:PORT, used round-robin
	Customers     []Customer
	Classes       []RequestClass
	Digests       func() []string // digests of the weights that may serve completions
	ClientLatency time.Duration   // simulated one-way latency between callers and entries
	PromptCount   int             // number of distinct prompts
}

// Customer is a customer on whose behalf requests are sent.
type Customer struct {
	Name   string
	Key    string
	Weight float64 // share of the requests, relative to other customers
}

// maxInFlight is the maximum number of requests in flight. If it is reached, the
// generator drops further requests without sending them, and they do not appear in
// the results.
const maxInFlight = 4096

// Generator sends a load. It can be run only once.
type Generator struct {
	settings    Settings
	client      *http.Client
	results     *Results
	totalWeight float64       // sum of the customers' weights
	inFlight    chan struct{} // semaphore of the requests in flight

	mu      sync.Mutex
	rng     *rand.Rand
	entries []string
	serial  int // serial number of the last request
}

// New returns a generator. It returns an error if an entry's address is not a
// loopback address.
func New(s Settings) (*Generator, error) {
	for _, e := range s.Entries {
		host, _, err := net.SplitHostPort(e)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return nil, fmt.Errorf("load generator: entry %q is not a loopback address", e)
		}
	}
	g := &Generator{
		settings: s,
		results:  newResults(),
		inFlight: make(chan struct{}, maxInFlight),
		rng:      rand.New(rand.NewPCG(s.Seed, 4)),
		entries:  s.Entries,
	}
	for _, c := range s.Customers {
		g.totalWeight += c.Weight
	}
	g.client = &http.Client{Transport: &http.Transport{
		MaxIdleConns:        maxInFlight,
		MaxIdleConnsPerHost: maxInFlight,
		DisableCompression:  true,
	}}
	return g, nil
}

// Results returns the results so far.
func (g *Generator) Results() *Results { return g.results }

// SetEntries replaces the addresses that requests are sent to.
func (g *Generator) SetEntries(entries []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = entries
}

// Run sends requests for the duration d, or until ctx is done, and waits for
// their responses.
func (g *Generator) Run(ctx context.Context, d time.Duration) {
	sending, stop := context.WithTimeout(ctx, d)
	defer stop()
	var classes, requests errgroup.Group
	for i, class := range g.settings.Classes {
		if class.Rate <= 0 {
			continue
		}
		seed := g.settings.Seed*31 + uint64(i)
		classes.Go(func() error {
			g.sendClass(sending, &requests, class, rand.New(rand.NewPCG(seed, 5)))
			return nil
		})
	}
	_ = classes.Wait()  // its functions return no error
	_ = requests.Wait() // its functions return no error
	g.client.CloseIdleConnections()
}

// sendClass starts the requests of a class as a Poisson process with the class's
// rate.
func (g *Generator) sendClass(ctx context.Context, requests *errgroup.Group, class RequestClass, rng *rand.Rand) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / class.Rate * float64(time.Second)))
		t := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		select {
		case g.inFlight <- struct{}{}:
		default:
			continue
		}
		r := g.next(class)
		requests.Go(func() error {
			g.do(r)
			<-g.inFlight
			return nil
		})
	}
}

// next returns the next request of a class.
func (g *Generator) next(class RequestClass) call {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serial++
	prompts := max(1, g.settings.PromptCount)
	return call{
		class:    class,
		serial:   g.serial,
		entry:    g.entries[g.serial%len(g.entries)],
		customer: g.customer(),
		prompt:   fmt.Sprintf("verse %d for a card", g.rng.IntN(prompts)),
	}
}

// customer picks a random customer by weight. The caller holds g.mu.
func (g *Generator) customer() Customer {
	remaining := g.rng.Float64() * g.totalWeight
	for _, c := range g.settings.Customers {
		remaining -= c.Weight
		if remaining <= 0 {
			return c
		}
	}
	return g.settings.Customers[len(g.settings.Customers)-1]
}

func (c call) url(path string) string {
	u := url.URL{Scheme: "http", Host: c.entry, Path: path}
	return u.String()
}
