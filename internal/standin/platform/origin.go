package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fulmardeal"
	"fulmardeal/internal/weights/manifest"
)

// model is one published version.
type model struct {
	manifest []byte
	digest   string // of all bytes
	chunks   [][]byte
}

// Origin is a stand-in of the origin of weights, in memory. Its link has a
// rate.
type Origin struct {
	gate
	link *rate.Limiter // bytes a second; nil is no bound

	state  sync.Mutex
	models map[fulmardeal.Version]*model
	drawn  int64
}

// NewOrigin returns an origin whose link carries bytesPerSecond; 0 is no bound.
func NewOrigin(bytesPerSecond float64) *Origin {
	o := &Origin{models: make(map[fulmardeal.Version]*model)}
	if bytesPerSecond > 0 {
		o.link = rate.NewLimiter(rate.Limit(bytesPerSecond), manifest.MaxChunkSize)
		o.link.AllowN(time.Now(), manifest.MaxChunkSize) // begins without a stored burst
	}
	return o
}

// Publish cuts the bytes of r into chunks and returns the manifest's digest.
func (o *Origin) Publish(v fulmardeal.Version, r io.Reader, chunk int) (string, error) {
	m := &model{}
	data, err := manifest.Build(v, r, chunk, func(_ int, data []byte) error {
		m.chunks = append(m.chunks, data)
		return nil
	})
	if err != nil {
		return "", err
	}
	parsed, err := manifest.Parse(v, manifest.Sum(data), data)
	if err != nil {
		return "", err
	}
	m.manifest, m.digest = data, parsed.Digest()
	o.state.Lock()
	defer o.state.Unlock()
	o.models[v] = m
	return manifest.Sum(data), nil
}

// Digests returns the digests of the published weights.
func (o *Origin) Digests() []string {
	o.state.Lock()
	defer o.state.Unlock()
	var out []string
	for _, m := range o.models {
		out = append(out, m.digest)
	}
	return out
}

// Drawn returns the bytes of chunks that have been sent.
func (o *Origin) Drawn() int64 {
	o.state.Lock()
	defer o.state.Unlock()
	return o.drawn
}

func (o *Origin) find(v fulmardeal.Version) *model {
	o.state.Lock()
	defer o.state.Unlock()
	return o.models[v]
}

// Manifest returns the encoded manifest of v.
func (o *Origin) Manifest(_ context.Context, v fulmardeal.Version) ([]byte, error) {
	m := o.find(v)
	if m == nil {
		return nil, &fulmardeal.MissingError{Service: "origin", Resource: v.String()}
	}
	return m.manifest, nil
}

// Chunk returns one chunk at the rate of the link.
func (o *Origin) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	f := o.get()
	if f.Down || o.chance(f.Busy) {
		return nil, &fulmardeal.BusyError{Service: "origin", RetryAfter: time.Second}
	}
	m := o.find(v)
	if m == nil || index < 0 || index >= len(m.chunks) {
		return nil, &fulmardeal.MissingError{Service: "origin", Resource: fmt.Sprintf("%v chunk %d", v, index)}
	}
	data := m.chunks[index]
	if o.link != nil {
		if err := o.link.WaitN(ctx, len(data)); err != nil {
			return nil, err
		}
	}

	o.state.Lock()
	o.drawn += int64(len(data))
	o.state.Unlock()
	if o.chance(f.Corrupt) {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 1
	}
	return data, nil
}

// Handler serves the origin over HTTP.
func (o *Origin) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /models/{model}/{version}/manifest", func(w http.ResponseWriter, r *http.Request) {
		data, err := o.Manifest(r.Context(), pathVersion(r))
		send(w, data, err)
	})
	m.HandleFunc("GET /models/{model}/{version}/chunks/{index}", func(w http.ResponseWriter, r *http.Request) {
		index, err := strconv.Atoi(r.PathValue("index"))
		if err != nil {
			http.Error(w, "the chunk is not a number", http.StatusBadRequest)
			return
		}
		data, err := o.Chunk(r.Context(), pathVersion(r), index)
		send(w, data, err)
	})
	return o.wrap(m)
}

func pathVersion(r *http.Request) fulmardeal.Version {
	return fulmardeal.Version{Model: r.PathValue("model"), Name: r.PathValue("version")}
}

func send(w http.ResponseWriter, data []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	// An error here means that the client has gone.
	_, _ = w.Write(data)
}
