package site

import (
	"net/http"
	"sync"
)

// View is a store as one process sees it. Its mode concerns the calls of that process only.
type View struct {
	handler http.Handler

	mu   sync.Mutex
	mode Mode
}

// View returns a view of the store without faults of its own.
func (s *Store) View() *View { return &View{handler: s.Handler(), mode: ModeHealthy} }

// SetMode sets the fault of the view: ModeHealthy, ModeDown, ModeLimited or ModeSilent.
func (v *View) SetMode(m Mode) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mode = m
}

// ServeHTTP passes a call on to the store, or injects the view's fault. A call that waits at
// the store when the fault begins is not affected.
func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	mode := v.mode
	v.mu.Unlock()
	switch mode {
	case ModeDown:
		w.WriteHeader(http.StatusServiceUnavailable)
	case ModeLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case ModeSilent:
		<-r.Context().Done()
	default:
		v.handler.ServeHTTP(w, r)
	}
}
