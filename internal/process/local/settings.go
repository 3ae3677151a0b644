// Package local runs the whole system in one process over loopback sockets: agents
// and entries, and stand-ins of the platform and of the endpoints.
//
// It is used for trials and benchmarks. The code of entries, agents and adapters is
// the same as in a deployment, where each entry and agent runs in a process of its
// own.
package local

import (
	_ "embed"
	"fmt"
	"os"
	"time"

	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/standin/network"
)

// DefaultSettings holds the default settings, which describe one of the two current
// deployments.
//
//go:embed gulposh.toml
var DefaultSettings []byte

// Settings describe a local system.
type Settings struct {
	Seed          uint64                 `toml:"seed"`
	Home          string                 `toml:"home"` // region of the log and of the origin of weights
	Weights       WeightsSettings        `toml:"weights"`
	Link          LinkSettings           `toml:"link"`
	Entry         []EntryGroup           `toml:"entry"`
	Endpoint      []EndpointGroup        `toml:"endpoint"`
	Load          LoadSettings           `toml:"load"`
	Configuration configuration.Document `toml:"configuration"`
}

// WeightsSettings describe the weights, which are generated when no file is given,
// and the origin's link.
type WeightsSettings struct {
	Size   int     `toml:"size"`             // of generated weights, in bytes
	Chunk  int     `toml:"chunk"`            // size of a chunk, in bytes
	Origin float64 `toml:"origin,omitempty"` // rate of the origin's link in megabits per second; unlimited when 0
}

// LinkSettings describe the links between processes. Latencies are one-way. Rates
// are in megabits per second in each direction, and unlimited when 0.
type LinkSettings struct {
	Near     configuration.Duration `toml:"near"`               // latency within a data centre
	Region   configuration.Duration `toml:"region"`             // latency between data centres of a region
	Far      configuration.Duration `toml:"far"`                // latency between regions
	Client   configuration.Duration `toml:"client"`             // latency between callers and entries
	FarRate  float64                `toml:"farrate,omitempty"`  // rate of the link between two regions
	NodeRate float64                `toml:"noderate,omitempty"` // rate of one instance's link
}

// EntryGroup is a number of entries in a data centre.
type EntryGroup struct {
	DataCentre string `toml:"datacentre"`
	Count      int    `toml:"count"`
}

// EndpointGroup is a number of identical endpoints of a service in a data centre.
type EndpointGroup struct {
	Service       string                 `toml:"service"`
	DataCentre    string                 `toml:"datacentre"`
	Count         int                    `toml:"count"`
	FirstToken    configuration.Duration `toml:"first,omitempty"` // engines: time to the first token
	TokenInterval configuration.Duration `toml:"token,omitempty"` // engines: time between tokens
	LoadTime      configuration.Duration `toml:"load,omitempty"`  // engines: time to load weights
	CallDuration  configuration.Duration `toml:"took,omitempty"`  // plain services: duration of a call
	ChecksFence   bool                   `toml:"fence,omitempty"` // engines: refuse load orders with a lower fence than an earlier order
}

// LoadSettings describe the requests of a local run.
type LoadSettings struct {
	Rate   float64 `toml:"rate"`   // completions per second
	Orders float64 `toml:"orders"` // orders per second
	Tokens int     `toml:"tokens"` // tokens per completion
}

// bytesPerMegabit converts rates from megabits to bytes.
const bytesPerMegabit = 1e6 / 8

// Read reads and validates settings from a file, or returns the default settings
// when file is empty.
func Read(file string) (Settings, error) {
	data := DefaultSettings
	if file != "" {
		var err error
		if data, err = os.ReadFile(file); err != nil {
			return Settings{}, err
		}
	}
	if file == "" {
		file = "default"
	}
	return parse(file, data)
}

func parse(file string, data []byte) (Settings, error) {
	var s Settings
	if err := configuration.Decode(file, data, &s); err != nil {
		return Settings{}, err
	}
	faults := configuration.State{}.Check(s.Configuration)
	for i := range faults {
		faults[i].File = file
		faults[i].Path = "configuration." + faults[i].Path
	}
	faults = append(faults, s.faults(file)...)
	if len(faults) > 0 {
		return Settings{}, &configuration.FaultsError{Faults: faults}
	}
	return s, nil
}

// Limits of a local system, which has to fit on one host.
const (
	maxProcesses = 400     // entries and endpoints together
	maxSize      = 1 << 30 // of the weights, in bytes
	minChunkSize = 1 << 10 // in bytes
)

func (s Settings) faults(file string) []configuration.Fault {
	var out []configuration.Fault
	fail := func(path, format string, args ...any) {
		out = append(out, configuration.Fault{File: file, Path: path, Reason: fmt.Sprintf(format, args...)})
	}
	total := 0
	for i, g := range s.Entry {
		total += g.Count
		if !s.hasDataCentre(g.DataCentre) {
			fail(fmt.Sprintf("entry[%d].datacentre", i), "no data centre is called %q", g.DataCentre)
		}
	}
	for i, g := range s.Endpoint {
		total += g.Count
		if !s.hasDataCentre(g.DataCentre) {
			fail(fmt.Sprintf("endpoint[%d].datacentre", i), "no data centre is called %q", g.DataCentre)
		}
		if _, known := s.service(g.Service); !known {
			fail(fmt.Sprintf("endpoint[%d].service", i), "no service is called %q", g.Service)
		}
	}
	if total < 1 || total > maxProcesses {
		fail("endpoint", "%d entries and endpoints, must be 1 to %d", total, maxProcesses)
	}
	if s.Weights.Size < 1 || s.Weights.Size > maxSize {
		fail("weights.size", "%d is outside 1 to %d bytes", s.Weights.Size, maxSize)
	}
	if s.Weights.Chunk < minChunkSize {
		fail("weights.chunk", "%d is under %d bytes", s.Weights.Chunk, minChunkSize)
	}
	return out
}

func (s Settings) hasDataCentre(dataCentre string) bool {
	for _, d := range s.Configuration.DataCentre {
		if d.Name == dataCentre {
			return true
		}
	}
	return false
}

func (s Settings) region(dataCentre string) string {
	for _, d := range s.Configuration.DataCentre {
		if d.Name == dataCentre {
			return d.Region
		}
	}
	return ""
}

func (s Settings) service(name string) (configuration.ServiceEntry, bool) {
	for _, e := range s.Configuration.Service {
		if e.Name == name {
			return e, true
		}
	}
	return configuration.ServiceEntry{}, false
}

func (l LinkSettings) profile() network.LinkProfile {
	return network.LinkProfile{
		DataCentreLatency:  time.Duration(l.Near),
		RegionLatency:      time.Duration(l.Region),
		InterRegionLatency: time.Duration(l.Far),
		InterRegionRate:    l.FarRate * bytesPerMegabit,
		InstanceRate:       l.NodeRate * bytesPerMegabit,
	}
}
