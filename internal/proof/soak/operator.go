package soak

import (
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// write appends an operator's record to the store.
func (w *world) write(r platform.Record, err error) {
	if err != nil {
		panic(err) // the records that this package makes can be encoded
	}
	w.store.Append(string(platform.TopicOperator), []platform.Record{r})
}

// change writes a new configuration, which moves a route to another service or
// revokes a customer's oldest key. The customer keeps at least one key.
func (w *world) change(what int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &w.current
	c.Version += 2
	// The change is recorded before the write, because an entry may see it before
	// the write returns.
	if what == ChangeKey {
		c.Customers = append([]fulmardeal.Customer{}, c.Customers...)
		if keys := c.Customers[1].Keys; len(keys) > 1 {
			c.Customers[1].Keys = keys[1:]
			w.checker.Taken(keys[0])
		}
	} else {
		c.Routes = append([]fulmardeal.Route{}, c.Routes...)
		r := &c.Routes[what]
		to := serviceOther
		if r.Shares[0].Service == serviceOther {
			to = servicePlain
		}
		r.Shares = []fulmardeal.Share{{Service: to, Weight: 1}}
		w.checker.Moved(r.Name, to, c.Version)
	}
	w.write(platform.ConfigRecord(c))
}

// name publishes the next version of the weights.
func (w *world) name() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weights++
	w.write(platform.NamingRecord(fulmardeal.Naming{Model: modelName, Version: w.weights}))
	w.checker.Named(w.weights)
}

// evacuate takes a data centre out of service for the duration of the fault. If
// faults overlap, it returns to service when the last one has ended.
func (w *world) evacuate(f Fault) {
	place := dataCentre(f.Target)
	w.mu.Lock()
	w.out[place]++
	w.write(platform.EvacuationRecord(place, false), nil)
	w.mu.Unlock()
	back := w.checker.Evacuated(place)
	time.Sleep(f.For + boundEvacuate)
	back()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.out[place]--; w.out[place] == 0 {
		w.write(platform.EvacuationRecord(place, true), nil)
	}
}
