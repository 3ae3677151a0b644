package local

import (
	"context"
	"fmt"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/standin/network"
)

// Deploy applies the configuration in the settings, places a generated version of
// the model on all engines, and waits until all serve it.
func (x *System) Deploy(ctx context.Context, name string) (configuration.ModelEntry, error) {
	if err := x.Configure(ctx, x.settings.Configuration); err != nil {
		return configuration.ModelEntry{}, err
	}
	m, err := x.StartDeploy(ctx, name)
	if err != nil {
		return m, err
	}
	v := fulmardeal.Version{Model: m.Name, Name: m.Version}
	return m, x.await(ctx, distributionTimeout, "all replicas to serve "+v.String(), func() (bool, string) {
		ready, all := x.CountServing(v)
		return ready == all, fmt.Sprintf("%d of %d do", ready, all)
	})
}

// StartDeploy publishes a generated version of the model and places it on all
// engines, without waiting until they serve it.
func (x *System) StartDeploy(ctx context.Context, name string) (configuration.ModelEntry, error) {
	v := fulmardeal.Version{Model: modelName, Name: name}
	m, err := x.Publish(v, GenerateWeights(x.seed(name), x.settings.Weights.Size))
	if err != nil {
		return m, err
	}
	m.At = "service=" + x.ModelService()
	return m, x.Configure(ctx, configuration.Document{Model: []configuration.ModelEntry{m}})
}

// BlackholeConnections makes all open connections of entries to agents drop all
// data permanently, without closing them. It returns the number of connections.
func (x *System) BlackholeConnections() int {
	entries := x.Entries()
	return x.fabric.Blackhole(func(from, _ network.Site) bool {
		for _, e := range entries {
			if e.Name == from.Instance {
				return true
			}
		}
		return false
	})
}

// Isolate cuts a member off from the processes of all data centres, including its
// own.
func (x *System) Isolate(m *Member) {
	for _, d := range x.settings.Configuration.DataCentre {
		x.fabric.Partition(m.Name, d.Name)
	}
}
