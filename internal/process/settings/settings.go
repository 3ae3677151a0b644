// Package settings reads the settings of one process: its name, its location, its
// addresses and those of the platform.
//
// Settings are TOML, and unknown keys are errors. Values that operators change while
// the system runs are not settings; they are part of the configuration.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/label"
)

// Policies of an agent that can't confirm its configuration, for instance because
// its data centre is cut off.
const (
	CutoffStop  = "stop"  // refuse new work, because the data centre may have been taken out of service
	CutoffServe = "serve" // continue to accept work
)

// Process holds the settings of an entry or an agent. The process's own addresses
// have the form IP:PORT; those of the log, the directory, the origin and the
// endpoint have the form http://IP:PORT.
type Process struct {
	Name       string                     `toml:"name"`
	DataCentre string                     `toml:"datacentre"`
	Region     string                     `toml:"region"`
	Listen     string                     `toml:"listen"`            // address for other processes
	HTTP       string                     `toml:"http,omitempty"`    // address for callers; entries only
	Metrics    string                     `toml:"metrics,omitempty"` // address for metrics, health and the state dump
	Log        string                     `toml:"log"`
	Directory  string                     `toml:"directory"`
	Origin     string                     `toml:"origin,omitempty"`   // URL of the origin of weights; agents of engines only
	Home       string                     `toml:"home,omitempty"`     // region of the log and of the origin of weights
	Endpoint   string                     `toml:"endpoint,omitempty"` // agents only
	Service    string                     `toml:"service,omitempty"`  // agents only
	Engine     bool                       `toml:"engine,omitempty"`   // the endpoint is a model engine
	Cutoff     string                     `toml:"cutoff,omitempty"`   // CutoffStop or CutoffServe; CutoffStop when empty
	Grace      configuration.Duration     `toml:"grace,omitempty"`    // time limit of a graceful shutdown; the role's default when 0
	Label      []configuration.LabelEntry `toml:"label,omitempty"`
}

// Read reads and validates the settings of a process with the given role.
func Read(file string, role fulmardeal.Role) (Process, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Process{}, err
	}
	var p Process
	if err := configuration.Decode(file, data, &p); err != nil {
		return Process{}, err
	}
	if faults := p.faults(role); len(faults) > 0 {
		for i := range faults {
			faults[i].File = file
		}
		return Process{}, &configuration.FaultsError{Faults: faults}
	}
	return p, nil
}

// collector collects the faults of a settings file.
type collector struct {
	found []configuration.Fault
}

func (c *collector) fail(path, format string, args ...any) {
	c.found = append(c.found, configuration.Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *collector) name(path, v string) {
	if !label.ValidName(v) {
		c.fail(path, "%q is not a valid name", v)
	}
}

func (c *collector) address(path, v string, required bool) {
	if v == "" && !required {
		return
	}
	host, _, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		c.fail(path, "%q is not IP:PORT", v)
	}
}

func (c *collector) url(path, v string, required bool) {
	if v == "" && !required {
		return
	}
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" || u.Port() == "" || net.ParseIP(u.Hostname()) == nil {
		c.fail(path, "%q is not http://IP:PORT", v)
	}
}

func (p Process) faults(role fulmardeal.Role) []configuration.Fault {
	var c collector
	c.name("name", p.Name)
	c.name("datacentre", p.DataCentre)
	c.name("region", p.Region)
	c.address("listen", p.Listen, true)
	c.address("metrics", p.Metrics, false)
	c.url("log", p.Log, true)
	c.url("directory", p.Directory, true)
	if role == fulmardeal.RoleEntry {
		c.address("http", p.HTTP, true)
	}
	if role == fulmardeal.RoleAgent {
		c.name("service", p.Service)
		c.url("endpoint", p.Endpoint, true)
		c.url("origin", p.Origin, p.Engine)
	}
	if p.Cutoff != "" && p.Cutoff != CutoffStop && p.Cutoff != CutoffServe {
		c.fail("cutoff", "%q is neither %q nor %q", p.Cutoff, CutoffStop, CutoffServe)
	}
	if p.Grace < 0 {
		c.fail("grace", "duration must not be negative")
	}
	for i, l := range p.Label {
		if !label.ValidName(l.Name) || !label.ValidName(l.Value) {
			c.fail(fmt.Sprintf("label[%d]", i), "%q=%q is not a valid label", l.Name, l.Value)
		}
	}
	return c.found
}

// Instance returns the description of this process that it sends to others.
func (p Process) Instance(role fulmardeal.Role, incarnation string) fulmardeal.Instance {
	in := fulmardeal.Instance{
		Name:        p.Name,
		Incarnation: incarnation,
		Role:        role,
		Address:     p.Listen,
		DataCentre:  p.DataCentre,
		Region:      p.Region,
		Service:     p.Service,
	}
	for _, l := range p.Label {
		in.Labels = append(in.Labels, fulmardeal.Field(l))
	}
	return in
}
