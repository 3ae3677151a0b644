package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"fulmardeal/internal/platform/adapter"
	"fulmardeal/internal/weights/manifest"
)

// ServiceSettings configures a plain service.
type ServiceSettings struct {
	Capacity Capacity
	CallTime time.Duration
}

// Service is a simulated endpoint of a plain service. It runs every order that it
// receives, even if the order has run before, and counts such repeated runs.
type Service struct {
	*runTracker
	settings ServiceSettings
	ledger   *Ledger
}

// Ledger counts the runs of each order across all endpoints of a service.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

// record records a run of an order and returns the number of its runs so far.
func (l *Ledger) record(order string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[order]++
	return l.runs[order]
}

// Runs returns the number of times that an order has run.
func (l *Ledger) Runs(order string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[order]
}

// Duplicates returns the number of orders that have run more than once.
func (l *Ledger) Duplicates() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if r > 1 {
			n++
		}
	}
	return n
}

// NewService returns a service that records its runs in the given ledger. All
// endpoints of a service share one ledger.
func NewService(s ServiceSettings, ledger *Ledger) *Service {
	return &Service{runTracker: newRunTracker(s.Capacity), settings: s, ledger: ledger}
}

// OrderRequest is the request body of a plain service.
type OrderRequest struct {
	Order string `json:"order"`
	Item  string `json:"item"`
}

// OrderResponse is the response of a plain service.
type OrderResponse struct {
	Order    string `json:"order"`
	Body     string `json:"body"` // SHA-256 of the request body in hex, or the URI of a request other than POST
	RunCount int    `json:"run"`  // number of times that this order has run, including this one; 0 for a request other than POST
}

// Handler serves the service over HTTP.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /cancel/{id}", func(_ http.ResponseWriter, r *http.Request) { s.cancel(r.PathValue("id")) })
	m.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		l := adapter.LoadReport{Running: len(s.running), Boot: s.bootID}
		s.mu.Unlock()
		writeJSON(w, l)
	})
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	m.HandleFunc("/", s.serve)
	return m
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	id := r.Header.Get(adapter.HeaderAttempt)
	if !s.start(id, cancel) {
		panic(http.ErrAbortHandler)
	}
	defer s.finish(id)
	w.Header().Set(adapter.HeaderAttempt, id)

	if r.Method != http.MethodPost {
		s.sleep(ctx)
		writeJSON(w, OrderResponse{Body: r.URL.RequestURI()})
		return
	}
	var o OrderRequest
	if err := json.Unmarshal(body, &o); err != nil || o.Order == "" {
		http.Error(w, "the request body is not an order in JSON", http.StatusBadRequest)
		return
	}
	n := s.ledger.record(o.Order)
	if n > 1 {
		s.mu.Lock()
		s.counts.Duplicates++
		s.mu.Unlock()
	}
	if !s.sleep(ctx) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, OrderResponse{Order: o.Order, Body: manifest.Sum(body), RunCount: n})
}

func (s *Service) sleep(ctx context.Context) bool {
	t := time.NewTimer(s.settings.CallTime)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
