package soak

import (
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// seriesInterval is the time between two versions of a series, shorter than that in which one
// is loaded everywhere.
const seriesInterval = 1200 * time.Millisecond

// appendRecord appends an operator's record to the store.
func (d *deployment) appendRecord(r platform.Record, err error) {
	if err != nil {
		panic(err) // the records that this package makes can be encoded
	}
	d.store.Append(string(platform.TopicOperator), []platform.Record{r})
}

// changeConfiguration writes a new configuration, which moves a route to
// another service or revokes a customer's oldest key. The customer keeps at
// least one key.
func (d *deployment) changeConfiguration(change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &d.configuration
	c.Version += 2
	// The change is recorded before the write, because an entry may see it before
	// the write returns.
	if change == ChangeKey {
		c.Customers = append([]fulmardeal.Customer{}, c.Customers...)
		if keys := c.Customers[1].Keys; len(keys) > 1 {
			c.Customers[1].Keys = keys[1:]
			d.checker.KeyRevoked(keys[0])
		}
	} else {
		c.Routes = append([]fulmardeal.Route{}, c.Routes...)
		r := &c.Routes[change]
		service := serviceOther
		if r.Shares[0].Service == serviceOther {
			service = servicePlain
		}
		r.Shares = []fulmardeal.Share{{Service: service, Weight: 1}}
		d.checker.Rerouted(r.Name, service, c.Version)
	}
	d.appendRecord(platform.ConfigRecord(c))
}

// publishVersion publishes the next version of the weights.
func (d *deployment) publishVersion() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weightsVersion++
	d.appendRecord(platform.PublicationRecord(fulmardeal.Publication{Model: modelName, Version: d.weightsVersion}))
	d.checker.Published(d.weightsVersion)
}

// publishSeries publishes versions of the weights one after another.
func (d *deployment) publishSeries() {
	for i := range seriesLength {
		if i > 0 {
			time.Sleep(seriesInterval)
		}
		d.publishVersion()
	}
}

// evacuate takes a data centre out of service for the duration of the fault and
// boundEvacuate longer. The checker tolerates requests to the data centre for
// boundEvacuate, so a shorter evacuation might never be checked. If evacuations of a
// data centre overlap, it returns to service when the last one has ended.
func (d *deployment) evacuate(f Fault) {
	dc := dataCentre(f.Target)
	d.mu.Lock()
	d.evacuations[dc]++
	d.appendRecord(platform.EvacuationRecord(dc, false), nil)
	d.mu.Unlock()
	revert := d.checker.Evacuated(dc)
	time.Sleep(f.For + boundEvacuate)
	revert()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evacuations[dc]--; d.evacuations[dc] == 0 {
		d.appendRecord(platform.EvacuationRecord(dc, true), nil)
	}
}
