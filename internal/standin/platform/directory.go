package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"fulmardeal"
)

// entry is the registration of one instance.
type entry struct {
	instance fulmardeal.Instance
	seen     time.Time // last announcement
	since    time.Time // first announcement
}

// Directory is an in-memory stand-in of the platform's instance directory. A
// new instance is listed only after a delay, and a stopped one stays listed
// until it expires.
type Directory struct {
	gate
	lag    time.Duration
	forget time.Duration

	state   sync.Mutex
	entries map[string]entry // by incarnation
}

// NewDirectory returns a directory that lists an instance once lag has passed
// since its first announcement, and removes it when it has not announced itself
// for longer than forget.
func NewDirectory(lag, forget time.Duration) *Directory {
	return &Directory{lag: lag, forget: forget, entries: make(map[string]entry)}
}

// Announce registers an instance or renews its registration.
func (d *Directory) Announce(_ context.Context, in fulmardeal.Instance) error {
	if d.get().Down {
		return &fulmardeal.BusyError{Service: "directory", After: time.Second}
	}
	d.state.Lock()
	defer d.state.Unlock()
	now := time.Now()
	e, known := d.entries[in.Incarnation]
	if !known {
		e.since = now
	}
	e.instance, e.seen = in, now
	d.entries[in.Incarnation] = e
	return nil
}

// List returns the instances sorted by name.
func (d *Directory) List(context.Context) ([]fulmardeal.Instance, error) {
	if d.get().Down {
		return nil, &fulmardeal.BusyError{Service: "directory", After: time.Second}
	}
	d.state.Lock()
	defer d.state.Unlock()
	now := time.Now()
	out := []fulmardeal.Instance{}
	for key, e := range d.entries {
		if now.Sub(e.seen) > d.forget {
			delete(d.entries, key)
			continue
		}
		if now.Sub(e.since) >= d.lag {
			out = append(out, e.instance)
		}
	}
	slices.SortFunc(out, func(a, b fulmardeal.Instance) int {
		return strings.Compare(a.Name+a.Incarnation, b.Name+b.Incarnation)
	})
	return out, nil
}

// Handler serves the directory over HTTP.
func (d *Directory) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		list, err := d.List(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		reply(w, list)
	})
	m.HandleFunc("POST /instances", func(w http.ResponseWriter, r *http.Request) {
		var in fulmardeal.Instance
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := d.Announce(r.Context(), in); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return d.wrap(m)
}
