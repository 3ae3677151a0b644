// Package load sends requests to entries at a given rate, whatever the answers
// are like, and checks every answer.
//
// It is the load tool of the local runs and of the experiments. It knows the
// stand-ins: an answer of theirs can be told right from wrong, and an order
// carries an id by which it is found again in the ledger. It sends to loopback
// addresses only.
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

// Kind is what a request asks for.
type Kind int

// Kinds of requests.
const (
	Stream Kind = iota // a streamed completion
	Whole              // a completion in one piece
	Order              // an order, which must not run twice
	Look               // a look into a catalogue
)

// Part is one kind of requests in a load.
type Part struct {
	Kind    Kind
	Service string  // of plain services
	Model   string  // of completions
	Rate    float64 // requests a second
	Tokens  int     // of a completion
	Keyed   bool    // orders carry an idempotency key
	Timeout time.Duration
}

// Settings describe a load.
type Settings struct {
	Seed      uint64
	Entries   []string // IP:PORT, used in turn
	Customers []Customer
	Parts     []Part
	Digests   func() []string // of the weights that may answer
	Client    time.Duration   // latency between callers and entries, one way
	Prompts   int             // number of different prompts
}

// Customer is who sends.
type Customer struct {
	Name   string
	Key    string
	Weight float64 // part of the requests, relative to the others'
}

// mostUnder bounds the requests in progress: a load that is over it is refused
// here and counted as not sent.
const mostUnder = 4096

// Generator sends a load. It is used once.
type Generator struct {
	settings Settings
	client   *http.Client
	results  *Results
	total    float64 // weight of all customers
	under    chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	entries []string
	serial  int
}

// New returns a generator, or an error when an entry isn't on loopback.
func New(s Settings) (*Generator, error) {
	for _, e := range s.Entries {
		host, _, err := net.SplitHostPort(e)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return nil, fmt.Errorf("load goes to loopback only, not to %q", e)
		}
	}
	g := &Generator{
		settings: s,
		results:  newResults(),
		under:    make(chan struct{}, mostUnder),
		random:   rand.New(rand.NewPCG(s.Seed, 4)),
		entries:  s.Entries,
	}
	for _, c := range s.Customers {
		g.total += c.Weight
	}
	g.client = &http.Client{Transport: &http.Transport{
		MaxIdleConns:        mostUnder,
		MaxIdleConnsPerHost: mostUnder,
		DisableCompression:  true,
	}}
	return g, nil
}

// Results returns what has come of the load so far.
func (g *Generator) Results() *Results { return g.results }

// SetEntries replaces the entries that requests go to.
func (g *Generator) SetEntries(entries []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = entries
}

// Run sends for a time, or until the context ends, and waits for the answers.
func (g *Generator) Run(ctx context.Context, d time.Duration) {
	sending, stop := context.WithTimeout(ctx, d)
	defer stop()
	var parts, requests errgroup.Group
	for i, p := range g.settings.Parts {
		if p.Rate <= 0 {
			continue
		}
		seed := g.settings.Seed*31 + uint64(i)
		parts.Go(func() error {
			g.send(sending, &requests, p, rand.New(rand.NewPCG(seed, 5)))
			return nil
		})
	}
	_ = parts.Wait()    // the functions return no error
	_ = requests.Wait() // neither do these
	g.client.CloseIdleConnections()
}

// send starts requests at random times with the part's mean rate.
func (g *Generator) send(ctx context.Context, requests *errgroup.Group, p Part, random *rand.Rand) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second)))
		t := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		select {
		case g.under <- struct{}{}:
		default:
			continue
		}
		r := g.next(p)
		requests.Go(func() error {
			g.do(r)
			<-g.under
			return nil
		})
	}
}

// next makes the next request of a part.
func (g *Generator) next(p Part) call {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serial++
	prompts := max(1, g.settings.Prompts)
	return call{
		part:     p,
		serial:   g.serial,
		entry:    g.entries[g.serial%len(g.entries)],
		customer: g.customer(),
		prompt:   fmt.Sprintf("verse %d for a card", g.random.IntN(prompts)),
	}
}

// customer picks a customer by weight.
func (g *Generator) customer() Customer {
	at := g.random.Float64() * g.total
	for _, c := range g.settings.Customers {
		at -= c.Weight
		if at <= 0 {
			return c
		}
	}
	return g.settings.Customers[len(g.settings.Customers)-1]
}

func (c call) url(path string) string {
	u := url.URL{Scheme: "http", Host: c.entry, Path: path}
	return u.String()
}
