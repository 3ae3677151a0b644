// Package local runs the whole system in one process, over real loopback
// sockets: stand-ins of the platform and of the endpoints, agents and entries.
//
// It is for trying the system out and for measuring it. The entries, agents
// and adapters are those that run as processes of their own.
package local

import (
	_ "embed"
	"fmt"
	"os"
	"time"

	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/standin/network"
)

// Example is the embedded default: one of the two deployments of today.
//
//go:embed gulposh.toml
var Example []byte

// Settings describe a local system.
type Settings struct {
	Seed          uint64                 `toml:"seed"`
	Home          string                 `toml:"home"` // region of the log and the origin
	Weights       WeightsSettings        `toml:"weights"`
	Link          LinkSettings           `toml:"link"`
	Entry         []EntryGroup           `toml:"entry"`
	Endpoint      []EndpointGroup        `toml:"endpoint"`
	Load          LoadSettings           `toml:"load"`
	Configuration configuration.Document `toml:"configuration"`
}

// WeightsSettings describe the weights that are generated when no file is
// given, and the link of their origin.
type WeightsSettings struct {
	Size   int     `toml:"size"`             // bytes
	Chunk  int     `toml:"chunk"`            // bytes
	Origin float64 `toml:"origin,omitempty"` // megabits a second; 0 is no bound
}

// LinkSettings describe the links: latencies one way, rates in megabits a
// second each way, 0 for no bound.
type LinkSettings struct {
	Near     configuration.Duration `toml:"near"`
	Region   configuration.Duration `toml:"region"`
	Far      configuration.Duration `toml:"far"`
	Client   configuration.Duration `toml:"client"`
	FarRate  float64                `toml:"farrate,omitempty"`
	NodeRate float64                `toml:"noderate,omitempty"`
}

// EntryGroup is a number of entries in a data centre.
type EntryGroup struct {
	DataCentre string `toml:"datacentre"`
	Count      int    `toml:"count"`
}

// EndpointGroup is a number of equal endpoints of a service in a data centre.
type EndpointGroup struct {
	Service     string                 `toml:"service"`
	DataCentre  string                 `toml:"datacentre"`
	Count       int                    `toml:"count"`
	First       configuration.Duration `toml:"first,omitempty"` // engines: to the first token
	Token       configuration.Duration `toml:"token,omitempty"` // engines: between tokens
	Load        configuration.Duration `toml:"load,omitempty"`  // engines: to load weights
	Took        configuration.Duration `toml:"took,omitempty"`  // plain services: time of a call
	ChecksFence bool                   `toml:"fence,omitempty"` // engines: refuse an old fence
}

// LoadSettings describe the requests of a local run.
type LoadSettings struct {
	Rate   float64 `toml:"rate"`   // completions a second
	Orders float64 `toml:"orders"` // orders a second
	Tokens int     `toml:"tokens"` // of a completion
}

// bytesPerMegabit turns megabits into bytes.
const bytesPerMegabit = 1e6 / 8

// Read reads settings from a file, or the embedded default when file is empty.
func Read(file string) (Settings, error) {
	data := Example
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

// Bounds of a local system: it has to fit one host.
const (
	mostProcesses = 400
	mostSize      = 1 << 30 // bytes
	leastChunk    = 1 << 10 // bytes
)

func (s Settings) faults(file string) []configuration.Fault {
	var out []configuration.Fault
	fail := func(path, format string, args ...any) {
		out = append(out, configuration.Fault{File: file, Path: path, Reason: fmt.Sprintf(format, args...)})
	}
	total := 0
	for i, g := range s.Entry {
		total += g.Count
		if !s.knows(g.DataCentre) {
			fail(fmt.Sprintf("entry[%d].datacentre", i), "no data centre is called %q", g.DataCentre)
		}
	}
	for i, g := range s.Endpoint {
		total += g.Count
		if !s.knows(g.DataCentre) {
			fail(fmt.Sprintf("endpoint[%d].datacentre", i), "no data centre is called %q", g.DataCentre)
		}
		if _, known := s.service(g.Service); !known {
			fail(fmt.Sprintf("endpoint[%d].service", i), "no service is called %q", g.Service)
		}
	}
	if total < 1 || total > mostProcesses {
		fail("endpoint", "%d entries and endpoints; 1 to %d fit", total, mostProcesses)
	}
	if s.Weights.Size < 1 || s.Weights.Size > mostSize {
		fail("weights.size", "%d is outside 1 to %d bytes", s.Weights.Size, mostSize)
	}
	if s.Weights.Chunk < leastChunk {
		fail("weights.chunk", "%d is under %d bytes", s.Weights.Chunk, leastChunk)
	}
	return out
}

func (s Settings) knows(dataCentre string) bool {
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

func (l LinkSettings) shape() network.LinkProfile {
	return network.LinkProfile{
		DataCentreLatency:  time.Duration(l.Near),
		RegionLatency:      time.Duration(l.Region),
		InterRegionLatency: time.Duration(l.Far),
		InterRegionRate:    l.FarRate * bytesPerMegabit,
		InstanceRate:       l.NodeRate * bytesPerMegabit,
	}
}
