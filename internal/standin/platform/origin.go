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

// publishedVersion is one published version of weights.
type publishedVersion struct {
	manifest []byte
	digest   string // of the whole content
	chunks   [][]byte
}

// Origin is an in-memory simulation of the origin of weights. The bandwidth of
// its link can be limited.
type Origin struct {
	faultInjector
	limiter *rate.Limiter // bytes per second; nil if unlimited

	versionsMu sync.Mutex
	versions   map[fulmardeal.Version]*publishedVersion
	sentBytes  int64
}

// NewOrigin returns an origin that sends chunks at a rate of at most
// bytesPerSecond. If bytesPerSecond is 0, the rate is not limited.
func NewOrigin(bytesPerSecond float64) *Origin {
	o := &Origin{versions: make(map[fulmardeal.Version]*publishedVersion)}
	if bytesPerSecond > 0 {
		o.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), manifest.MaxChunkSize)
		o.limiter.AllowN(time.Now(), manifest.MaxChunkSize) // start with an empty bucket: no initial burst
	}
	return o
}

// Publish splits the content of r into chunks of the given size in bytes, stores
// them as version v and returns the digest of the manifest.
func (o *Origin) Publish(v fulmardeal.Version, r io.Reader, chunk int) (string, error) {
	m := &publishedVersion{}
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
	o.versionsMu.Lock()
	defer o.versionsMu.Unlock()
	o.versions[v] = m
	return manifest.Sum(data), nil
}

// Digests returns the content digest of each published version.
func (o *Origin) Digests() []string {
	o.versionsMu.Lock()
	defer o.versionsMu.Unlock()
	var out []string
	for _, m := range o.versions {
		out = append(out, m.digest)
	}
	return out
}

// SentBytes returns the total number of bytes of chunks that have been sent.
func (o *Origin) SentBytes() int64 {
	o.versionsMu.Lock()
	defer o.versionsMu.Unlock()
	return o.sentBytes
}

func (o *Origin) find(v fulmardeal.Version) *publishedVersion {
	o.versionsMu.Lock()
	defer o.versionsMu.Unlock()
	return o.versions[v]
}

// Manifest returns the encoded manifest of v.
func (o *Origin) Manifest(_ context.Context, v fulmardeal.Version) ([]byte, error) {
	m := o.find(v)
	if m == nil {
		return nil, &fulmardeal.MissingError{Service: "origin", Resource: v.String()}
	}
	return m.manifest, nil
}

// Chunk returns one chunk, after waiting as long as the origin's link needs to
// transfer it.
func (o *Origin) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	f := o.current()
	if f.Down || o.chance(f.BusyRate) {
		return nil, &fulmardeal.BusyError{Service: "origin", RetryAfter: time.Second}
	}
	m := o.find(v)
	if m == nil || index < 0 || index >= len(m.chunks) {
		return nil, &fulmardeal.MissingError{Service: "origin", Resource: fmt.Sprintf("%v chunk %d", v, index)}
	}
	data := m.chunks[index]
	if o.limiter != nil {
		if err := o.limiter.WaitN(ctx, len(data)); err != nil {
			return nil, err
		}
	}

	o.versionsMu.Lock()
	o.sentBytes += int64(len(data))
	o.versionsMu.Unlock()
	if o.chance(f.CorruptionRate) {
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
		writeBytes(w, data, err)
	})
	m.HandleFunc("GET /models/{model}/{version}/chunks/{index}", func(w http.ResponseWriter, r *http.Request) {
		index, err := strconv.Atoi(r.PathValue("index"))
		if err != nil {
			http.Error(w, "the chunk index is not a number", http.StatusBadRequest)
			return
		}
		data, err := o.Chunk(r.Context(), pathVersion(r), index)
		writeBytes(w, data, err)
	})
	return o.injectFaults(m)
}

func pathVersion(r *http.Request) fulmardeal.Version {
	return fulmardeal.Version{Model: r.PathValue("model"), Name: r.PathValue("version")}
}

func writeBytes(w http.ResponseWriter, data []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	// The write fails only when the client has disconnected.
	_, _ = w.Write(data)
}
