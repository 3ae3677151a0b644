package adapter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"fulmardeal"
)

// Log is a client of the platform's log service.
type Log struct {
	service *service
}

// NewLog returns a client of the log service at base.
func NewLog(base string) (*Log, error) {
	s, err := newService("log", base)
	if err != nil {
		return nil, err
	}
	return &Log{service: s}, nil
}

// AppendResponse is the response of the log service to an append.
type AppendResponse struct {
	Offset fulmardeal.Offset `json:"offset"`
}

// ReadResponse is the response of the log service to a read.
type ReadResponse struct {
	First   fulmardeal.Offset   `json:"first"` // offset of the oldest retained record
	Records []fulmardeal.Record `json:"records"`
}

// Append appends a record to the stream and returns its offset.
func (l *Log) Append(ctx context.Context, stream string, body []byte) (fulmardeal.Offset, error) {
	var reply AppendResponse
	err := l.service.call(ctx, fasthttp.MethodPost, "/streams/"+url.PathEscape(stream), body, &reply)
	return reply.Offset, err
}

// Read returns up to limit records at the given offset and later. It returns a
// *fulmardeal.TrimmedError if the record at that offset has expired.
func (l *Log) Read(ctx context.Context, stream string, from fulmardeal.Offset, limit int) ([]fulmardeal.Record, error) {
	path := fmt.Sprintf("/streams/%s?from=%d&most=%d", url.PathEscape(stream), from, limit)
	resp, err := l.service.do(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	var p ReadResponse
	if resp.status == fasthttp.StatusGone {
		if err := json.Unmarshal(resp.body, &p); err != nil {
			return nil, fmt.Errorf("log %s: decode response: %w", path, err)
		}
		return nil, &fulmardeal.TrimmedError{Stream: stream, First: p.First}
	}
	if err := l.service.check(path, resp); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(resp.body, &p); err != nil {
		return nil, fmt.Errorf("log %s: decode response: %w", path, err)
	}
	return p.Records, nil
}

// Origin is a client of the origin of weights.
type Origin struct {
	service *service
}

// NewOrigin returns a client of the origin at base.
func NewOrigin(base string) (*Origin, error) {
	s, err := newService("origin", base)
	if err != nil {
		return nil, err
	}
	return &Origin{service: s}, nil
}

func versionPath(v fulmardeal.Version) string {
	return "/models/" + url.PathEscape(v.Model) + "/" + url.PathEscape(v.Name)
}

// Manifest returns the encoded manifest of v, not verified.
func (o *Origin) Manifest(ctx context.Context, v fulmardeal.Version) ([]byte, error) {
	return o.get(ctx, versionPath(v)+"/manifest")
}

// Chunk returns the bytes of one chunk, not verified.
func (o *Origin) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	return o.get(ctx, fmt.Sprintf("%s/chunks/%d", versionPath(v), index))
}

func (o *Origin) get(ctx context.Context, path string) ([]byte, error) {
	resp, err := o.service.do(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return resp.body, o.service.check(path, resp)
}

// Directory is a client of the platform's list of instances.
type Directory struct {
	service *service
}

// NewDirectory returns a client of the directory at base.
func NewDirectory(base string) (*Directory, error) {
	s, err := newService("directory", base)
	if err != nil {
		return nil, err
	}
	return &Directory{service: s}, nil
}

// List returns the registered instances.
func (d *Directory) List(ctx context.Context) ([]fulmardeal.Instance, error) {
	var list []fulmardeal.Instance
	err := d.service.call(ctx, fasthttp.MethodGet, "/instances", nil, &list)
	return list, err
}

// Announce registers or refreshes an instance.
func (d *Directory) Announce(ctx context.Context, instance fulmardeal.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	return d.service.call(ctx, fasthttp.MethodPost, "/instances", body, nil)
}

// Unreachable implements the reads and writes of a log and an origin by returning
// an error. It takes the place of a service that the settings do not configure.
type Unreachable struct{}

var errNotConfigured = &StatusError{URL: "none", Status: 0, Body: "no address configured"}

// Append returns an error.
func (Unreachable) Append(context.Context, string, []byte) (fulmardeal.Offset, error) {
	return 0, errNotConfigured
}

// Read returns an error.
func (Unreachable) Read(context.Context, string, fulmardeal.Offset, int) ([]fulmardeal.Record, error) {
	return nil, errNotConfigured
}

// Manifest returns an error.
func (Unreachable) Manifest(context.Context, fulmardeal.Version) ([]byte, error) {
	return nil, errNotConfigured
}

// Chunk returns an error.
func (Unreachable) Chunk(context.Context, fulmardeal.Version, int) ([]byte, error) {
	return nil, errNotConfigured
}

// orderTimeout is the timeout of an order to an engine. The engine responds only
// after it has loaded the weights.
const orderTimeout = 30 * time.Second
