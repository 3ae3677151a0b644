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

// registration records the announcements of one instance.
type registration struct {
	instance  fulmardeal.Instance
	lastSeen  time.Time // time of the last announcement
	firstSeen time.Time // time of the first announcement
}

// Directory is an in-memory simulation of the platform's instance directory. A
// new instance is listed only after a delay. An instance that has stopped stays
// listed until its last announcement expires.
type Directory struct {
	faultInjector
	listingDelay time.Duration // from the first announcement until the instance is listed
	expiry       time.Duration // from the last announcement until the instance is removed

	registrationsMu sync.Mutex
	registrations   map[string]registration // by incarnation
}

// NewDirectory returns a directory that lists an instance once listingDelay has
// passed since its first announcement, and removes it when it has not announced
// itself for longer than expiry.
func NewDirectory(listingDelay, expiry time.Duration) *Directory {
	return &Directory{listingDelay: listingDelay, expiry: expiry, registrations: make(map[string]registration)}
}

// Announce registers an instance or renews its registration.
func (d *Directory) Announce(_ context.Context, inst fulmardeal.Instance) error {
	if d.current().Down {
		return &fulmardeal.BusyError{Service: "directory", RetryAfter: time.Second}
	}
	d.registrationsMu.Lock()
	defer d.registrationsMu.Unlock()
	now := time.Now()
	e, known := d.registrations[inst.Incarnation]
	if !known {
		e.firstSeen = now
	}
	e.instance, e.lastSeen = inst, now
	d.registrations[inst.Incarnation] = e
	return nil
}

// List returns the instances sorted by name.
func (d *Directory) List(context.Context) ([]fulmardeal.Instance, error) {
	if d.current().Down {
		return nil, &fulmardeal.BusyError{Service: "directory", RetryAfter: time.Second}
	}
	d.registrationsMu.Lock()
	defer d.registrationsMu.Unlock()
	now := time.Now()
	out := []fulmardeal.Instance{}
	for key, e := range d.registrations {
		if now.Sub(e.lastSeen) > d.expiry {
			delete(d.registrations, key)
			continue
		}
		if now.Sub(e.firstSeen) >= d.listingDelay {
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
		writeJSON(w, list)
	})
	m.HandleFunc("POST /instances", func(w http.ResponseWriter, r *http.Request) {
		var inst fulmardeal.Instance
		if err := json.NewDecoder(r.Body).Decode(&inst); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := d.Announce(r.Context(), inst); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return d.injectFaults(m)
}
