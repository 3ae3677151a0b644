// Package platform has small stand-ins of the platform's services: the log, the
// origin of weights and the directory. They are for tests and trials, and fail
// on request; nothing of the system's own depends on them.
package platform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults are what a stand-in does wrong on request.
type Faults struct {
	Down    bool    `json:"down"`    // answers nothing but 503
	Delay   string  `json:"delay"`   // before each answer, such as "200ms"
	Lose    float64 `json:"lose"`    // part of the answers lost after the effect
	Corrupt float64 `json:"corrupt"` // part of the answers with a wrong byte
	Busy    float64 `json:"busy"`    // part of the requests answered with 429
}

// gate applies faults to a handler's requests.
type gate struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// Set replaces the faults.
func (g *gate) Set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

func (g *gate) get() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// delay waits as long as the faults ask for.
func (g *gate) delay(f Faults) {
	if d, err := time.ParseDuration(f.Delay); err == nil {
		time.Sleep(d)
	}
}

func (g *gate) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.random == nil {
		g.random = rand.New(rand.NewPCG(1, 1))
	}
	return g.random.Float64() < p
}

// wrap puts the faults before a handler, and POST /faults beside it.
func (g *gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" && r.Method == http.MethodPost {
			g.control(w, r)
			return
		}
		f := g.get()
		g.delay(f)
		switch {
		case f.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case g.chance(f.Busy):
			w.Header().Set("Retry-After", "1")
			http.Error(w, "busy", http.StatusTooManyRequests)
		case g.chance(f.Lose):
			next.ServeHTTP(&discard{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (g *gate) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.Set(f)
}

// discard takes an answer that nobody gets.
type discard struct {
	header http.Header
}

func (d *discard) Header() http.Header { return d.header }

func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

func (d *discard) WriteHeader(int) {}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client has gone.
	_ = json.NewEncoder(w).Encode(v)
}
