// Package server runs one stand-in of the platform or of an endpoint as a
// process of its own. It is for trials and tests.
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

// Settings describe a stand-in process. Which fields count depends on its kind.
type Settings struct {
	Listen string `toml:"listen"`

	// Of a log, and of a directory.
	Keep   configuration.Duration `toml:"keep,omitempty"`
	Lag    configuration.Duration `toml:"lag,omitempty"`
	Forget configuration.Duration `toml:"forget,omitempty"`

	// Of an origin.
	Rate  float64 `toml:"rate,omitempty"`  // megabits a second
	Chunk int     `toml:"chunk,omitempty"` // bytes
	Model []Model `toml:"model,omitempty"`

	// Of an endpoint.
	Limit int                    `toml:"limit,omitempty"`
	Cold  int                    `toml:"cold,omitempty"`
	Warm  configuration.Duration `toml:"warm,omitempty"`
	First configuration.Duration `toml:"first,omitempty"`
	Token configuration.Duration `toml:"token,omitempty"`
	Load  configuration.Duration `toml:"load,omitempty"`
	Took  configuration.Duration `toml:"took,omitempty"`
	Fence bool                   `toml:"fence,omitempty"`
}

// Model is a version that an origin offers: a file, or bytes that follow from a
// seed.
type Model struct {
	Name    string `toml:"name"`
	Version string `toml:"version"`
	File    string `toml:"file,omitempty"`
	Size    int    `toml:"size,omitempty"` // bytes
	Seed    uint64 `toml:"seed,omitempty"`
}

// Kinds of stand-ins.
const (
	KindLog       = "log"
	KindOrigin    = "origin"
	KindDirectory = "directory"
	KindEngine    = "engine"
	KindService   = "service"
)

const (
	bytesPerMegabit = 1e6 / 8
	defaultForget   = 10 * time.Second
	stopTimeout     = 10 * time.Second
)

// Read reads the settings of a stand-in.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{Forget: configuration.Duration(defaultForget), Chunk: 1 << 20, Limit: 16, Cold: 4}
	return s, configuration.Decode(file, data, &s)
}

// Run serves a stand-in until the context ends.
func Run(ctx context.Context, kind string, s Settings, log *slog.Logger) error {
	h, err := handler(kind, s, log)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	log.Info("listening", "standin", kind, "address", l.Addr().String())
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}

	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := srv.Shutdown(stop); err != nil {
		return err
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func handler(kind string, s Settings, log *slog.Logger) (http.Handler, error) {
	strength := endpoint.Strength{Limit: s.Limit, Cold: s.Cold, Warm: time.Duration(s.Warm)}
	switch kind {
	case KindLog:
		return platform.NewLog(time.Duration(s.Keep)).Handler(), nil
	case KindDirectory:
		return platform.NewDirectory(time.Duration(s.Lag), time.Duration(s.Forget)).Handler(), nil
	case KindOrigin:
		return origin(s, log)
	case KindEngine:
		pace := endpoint.Pace{First: time.Duration(s.First), Token: time.Duration(s.Token), Load: time.Duration(s.Load)}
		return endpoint.NewEngine(endpoint.EngineSettings{Strength: strength, Pace: pace, ChecksFence: s.Fence}).Handler(), nil
	case KindService:
		settings := endpoint.ServiceSettings{Strength: strength, Took: time.Duration(s.Took)}
		return endpoint.NewService(settings, endpoint.NewLedger()).Handler(), nil
	}
	return nil, fmt.Errorf("no stand-in is called %q", kind)
}

func origin(s Settings, log *slog.Logger) (http.Handler, error) {
	o := platform.NewOrigin(s.Rate * bytesPerMegabit)
	for _, m := range s.Model {
		r := local.GenerateWeights(m.Seed, m.Size)
		if m.File != "" {
			f, err := os.Open(m.File)
			if err != nil {
				return nil, err
			}
			defer f.Close()
			r = f
		}
		digest, err := o.Publish(fulmardeal.Version{Model: m.Name, Name: m.Version}, r, s.Chunk)
		if err != nil {
			return nil, err
		}
		log.Info("published", "model", m.Name, "version", m.Version, "digest", digest)
	}
	return o.Handler(), nil
}
