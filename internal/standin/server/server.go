// Package server runs a simulated platform service or endpoint as a separate
// process, for tests and experiments.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/process/local"
	"fulmardeal/internal/standin/endpoint"
	"fulmardeal/internal/standin/platform"
)

// Settings configures a simulated service or endpoint. Each kind of service or
// endpoint reads only the fields for that kind.
type Settings struct {
	Listen string `toml:"listen"`

	// Log and directory.
	Retention    configuration.Duration `toml:"keep,omitempty"`
	ListingDelay configuration.Duration `toml:"lag,omitempty"`
	Expiry       configuration.Duration `toml:"forget,omitempty"`

	// Origin.
	RateMbps   float64 `toml:"rate,omitempty"`
	ChunkBytes int     `toml:"chunk,omitempty"`
	Models     []Model `toml:"model,omitempty"`

	// Engine and plain service.
	Limit         int                    `toml:"limit,omitempty"`
	ColdLimit     int                    `toml:"cold,omitempty"`
	WarmUp        configuration.Duration `toml:"warm,omitempty"`
	FirstToken    configuration.Duration `toml:"first,omitempty"`
	TokenInterval configuration.Duration `toml:"token,omitempty"`
	WeightLoad    configuration.Duration `toml:"load,omitempty"`
	CallTime      configuration.Duration `toml:"took,omitempty"`
	CheckFencing  bool                   `toml:"fence,omitempty"`
}

// Model is a version of weights that an origin publishes. Its content is read
// from File, or generated from Seed if File is empty.
type Model struct {
	Name      string `toml:"name"`
	Version   string `toml:"version"`
	File      string `toml:"file,omitempty"`
	SizeBytes int    `toml:"size,omitempty"`
	Seed      uint64 `toml:"seed,omitempty"`
}

// Kinds of simulated services and endpoints.
const (
	KindLog       = "log"
	KindOrigin    = "origin"
	KindDirectory = "directory"
	KindEngine    = "engine"
	KindService   = "service"
)

const (
	bytesPerMegabit = 1e6 / 8
	defaultExpiry   = 10 * time.Second // from the last announcement of an instance until the directory removes it
	shutdownTimeout = 10 * time.Second // time for requests in progress to end
)

// Read reads settings from a TOML file and fills in defaults.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{Expiry: configuration.Duration(defaultExpiry), ChunkBytes: 1 << 20, Limit: 16, ColdLimit: 4}
	return s, configuration.Decode(file, data, &s)
}

// Run runs a simulated service or endpoint of the given kind until ctx is done, then
// shuts it down gracefully.
func Run(ctx context.Context, kind string, s Settings, log *slog.Logger) error {
	h, err := newHandler(kind, s, log)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	log.Info("listening", "standin", kind, "address", l.Addr().String())
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(l) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}

	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		return err
	}
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newHandler(kind string, s Settings, log *slog.Logger) (http.Handler, error) {
	capacity := endpoint.Capacity{Limit: s.Limit, ColdLimit: s.ColdLimit, WarmUp: time.Duration(s.WarmUp)}
	switch kind {
	case KindLog:
		return platform.NewLog(time.Duration(s.Retention)).Handler(), nil
	case KindDirectory:
		return platform.NewDirectory(time.Duration(s.ListingDelay), time.Duration(s.Expiry)).Handler(), nil
	case KindOrigin:
		return newOrigin(s, log)
	case KindEngine:
		latency := endpoint.Latency{FirstToken: time.Duration(s.FirstToken), TokenInterval: time.Duration(s.TokenInterval), WeightLoad: time.Duration(s.WeightLoad)}
		return endpoint.NewEngine(endpoint.EngineSettings{Capacity: capacity, Latency: latency, CheckFencing: s.CheckFencing}).Handler(), nil
	case KindService:
		settings := endpoint.ServiceSettings{Capacity: capacity, CallTime: time.Duration(s.CallTime)}
		return endpoint.NewService(settings, endpoint.NewLedger()).Handler(), nil
	}
	return nil, fmt.Errorf("unknown kind of simulated service %q: want log, origin, directory, engine or service", kind)
}

func newOrigin(s Settings, log *slog.Logger) (http.Handler, error) {
	o := platform.NewOrigin(s.RateMbps * bytesPerMegabit)
	for _, m := range s.Models {
		r := local.GenerateWeights(m.Seed, m.SizeBytes)
		if m.File != "" {
			f, err := os.Open(m.File)
			if err != nil {
				return nil, err
			}
			defer f.Close()
			r = f
		}
		digest, err := o.Publish(fulmardeal.Version{Model: m.Name, Name: m.Version}, r, s.ChunkBytes)
		if err != nil {
			return nil, err
		}
		log.Info("published", "model", m.Name, "version", m.Version, "digest", digest)
	}
	return o.Handler(), nil
}
