// Package platform implements in-memory simulations of the platform's services: the
// log, the origin of weights and the instance directory. They are for tests and
// experiments and can inject faults. Production code does not depend on them.
package platform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults configures the faults that a simulated service injects. Probabilities are
// between 0 and 1.
type Faults struct {
	Down           bool    `json:"down"`    // every request fails with status 503
	Delay          string  `json:"delay"`   // latency added to each request, such as "200ms"
	LossRate       float64 `json:"lose"`    // probability that a request is executed but its response is lost
	CorruptionRate float64 `json:"corrupt"` // probability that a chunk from the origin has a wrong byte
	BusyRate       float64 `json:"busy"`    // probability that a request fails with status 429
}

// faultInjector injects faults into the requests of a handler.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
}

// SetFaults replaces the faults that are injected.
func (inj *faultInjector) SetFaults(f Faults) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.faults = f
}

func (inj *faultInjector) current() Faults {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.faults
}

// delay sleeps for the latency that f adds.
func (inj *faultInjector) delay(f Faults) {
	if d, err := time.ParseDuration(f.Delay); err == nil {
		time.Sleep(d)
	}
}

// chance returns true with probability p. The seed of the random numbers is fixed, so
// that a run can be repeated.
func (inj *faultInjector) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.rng == nil {
		inj.rng = rand.New(rand.NewPCG(1, 1))
	}
	return inj.rng.Float64() < p
}

// injectFaults returns a handler that passes requests to next and injects the current
// faults into them. A POST to /faults replaces the faults.
func (inj *faultInjector) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" && r.Method == http.MethodPost {
			inj.serveFaults(w, r)
			return
		}
		f := inj.current()
		inj.delay(f)
		switch {
		case f.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case inj.chance(f.BusyRate):
			w.Header().Set("Retry-After", "1")
			http.Error(w, "busy", http.StatusTooManyRequests)
		case inj.chance(f.LossRate):
			next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler) // closes the connection without a response
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (inj *faultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	inj.SetFaults(f)
}

// discardWriter is an http.ResponseWriter that drops the response.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header { return d.header }

func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func (d *discardWriter) WriteHeader(int) {}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The write fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
