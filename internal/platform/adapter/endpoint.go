package adapter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fulmardeal"
)

// Headers between an agent and its endpoint.
const (
	HeaderAttempt  = "Fulmardeal-Attempt"
	HeaderPriority = "Fulmardeal-Priority"
)

// cancelTimeout bounds telling an endpoint to stop.
const cancelTimeout = time.Second

// Endpoint speaks to a plain service or to an engine.
type Endpoint struct {
	service *service
	stream  *fasthttp.HostClient
}

// NewEndpoint returns the endpoint at base.
func NewEndpoint(base string) (*Endpoint, error) {
	s, err := newService("endpoint", base)
	if err != nil {
		return nil, err
	}
	u, _ := url.Parse(base) // read once already by newService
	c := newHostClient(u.Host)
	c.StreamResponseBody = true
	c.MaxResponseBodySize = 0 // the reader has its own bound
	return &Endpoint{service: s, stream: c}, nil
}

// Call sends a call and returns its answer as a stream.
func (e *Endpoint) Call(ctx context.Context, c fulmardeal.Call) (fulmardeal.Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(c.Method)
	req.SetRequestURI(e.service.base + c.Path)
	for _, f := range c.Header {
		req.Header.Set(f.Name, f.Value)
	}
	req.Header.Set(HeaderAttempt, c.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(c.Priority))
	req.SetBodyRaw(c.Body)

	// The library takes no context, so a cancelled call is ended by the
	// endpoint itself.
	stop := context.AfterFunc(ctx, func() { e.tell(c.ID) })
	err := e.stream.DoDeadline(req, resp, deadline(ctx))
	if err != nil {
		stop()
		fasthttp.ReleaseResponse(resp)
		if unsent(err) {
			return fulmardeal.Answer{}, &fulmardeal.UnsentError{Address: e.service.base, Cause: err}
		}
		return fulmardeal.Answer{}, fmt.Errorf("call %s: %w", c.Path, err)
	}
	return e.answer(resp, stop), nil
}

func (e *Endpoint) answer(resp *fasthttp.Response, stop func() bool) fulmardeal.Answer {
	a := fulmardeal.Answer{Status: resp.StatusCode()}
	for k, v := range resp.Header.All() {
		if !hopByHop(string(k)) {
			a.Header = append(a.Header, fulmardeal.Field{Name: string(k), Value: string(v)})
		}
	}
	b := &body{resp: resp, stop: stop, reader: resp.BodyStream(), unbounded: unbounded(resp)}
	if b.reader == nil {
		b.reader = bytes.NewReader(append([]byte(nil), resp.Body()...))
	}
	a.Body = b
	return a
}

// unbounded reports whether the answer ends only with its connection, so that
// a broken connection looks like its end.
func unbounded(resp *fasthttp.Response) bool {
	const identity = -2 // fasthttp's word for neither length nor chunks
	return resp.Header.ContentLength() == identity
}

func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "transfer-encoding", "content-length", "keep-alive", "date", "server", "trailer", "upgrade":
		return true
	}
	return false
}

// errUnbounded says that the end of an answer can't be told from a cut.
var errUnbounded = errors.New("answer has neither a length nor chunks")

// body reads an answer and gives its connection back only when the answer was
// read to its end: left-over bytes would be taken for the next answer.
type body struct {
	resp      *fasthttp.Response
	stop      func() bool
	reader    io.Reader
	unbounded bool
	ended     bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) && b.unbounded {
		return n, errUnbounded
	}
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

func (b *body) Close() error {
	b.stop()
	if !b.ended {
		b.resp.SetConnectionClose()
	}
	err := b.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(b.resp)
	return err
}

// Cancel asks the endpoint to stop working on an attempt.
func (e *Endpoint) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return e.service.call(ctx, fasthttp.MethodPost, "/cancel/"+url.PathEscape(id), nil, nil)
}

func (e *Endpoint) tell(id string) {
	// A failure changes nothing: the call also ends at its deadline.
	_ = e.Cancel(context.Background(), id)
}

// LoadReport is an endpoint's report in JSON.
type LoadReport struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Boot    string `json:"boot"`
}

// Load returns the endpoint's own report.
func (e *Endpoint) Load(ctx context.Context) (fulmardeal.Load, error) {
	var r LoadReport
	err := e.service.call(ctx, fasthttp.MethodGet, "/load", nil, &r)
	return fulmardeal.Load(r), err
}

// HeldReport is what an engine holds, in JSON.
type HeldReport struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Fence   int64  `json:"fence"`
	Boot    string `json:"boot"`
}

// OrderMessage is an order to load weights, in JSON.
type OrderMessage struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Chunks  int    `json:"chunks"`
	Fence   int64  `json:"fence"`
}

// Engine speaks to a model engine and the store beside it.
type Engine struct {
	service *service
}

// NewEngine returns the engine at base.
func NewEngine(base string) (*Engine, error) {
	s, err := newService("engine", base)
	if err != nil {
		return nil, err
	}
	return &Engine{service: s}, nil
}

// Held returns what the engine serves now.
func (e *Engine) Held(ctx context.Context) (fulmardeal.Held, error) {
	var r HeldReport
	if err := e.service.call(ctx, fasthttp.MethodGet, "/held", nil, &r); err != nil {
		return fulmardeal.Held{}, err
	}
	return fulmardeal.Held{
		Version: fulmardeal.Version{Model: r.Model, Name: r.Version},
		Digest:  r.Digest,
		Fence:   r.Fence,
		Boot:    r.Boot,
	}, nil
}

// Order tells the engine to serve a version from its store.
func (e *Engine) Order(ctx context.Context, o fulmardeal.LoadOrder) error {
	body, err := json.Marshal(OrderMessage{
		Model:   o.Version.Model,
		Version: o.Version.Name,
		Digest:  o.Digest,
		Chunks:  o.Chunks,
		Fence:   o.Fence,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, slowCall)
	defer cancel()
	a, err := e.service.do(ctx, fasthttp.MethodPost, "/order", body)
	if err != nil {
		return err
	}
	if a.status == fasthttp.StatusConflict {
		return &fulmardeal.RefusedOrderError{Order: o, Reason: string(a.body)}
	}
	return e.service.check("/order", a)
}

func storePath(v fulmardeal.Version) string {
	return "/store/" + url.PathEscape(v.Model) + "/" + url.PathEscape(v.Name)
}

// PutChunk stores a checked chunk beside the engine.
func (e *Engine) PutChunk(ctx context.Context, v fulmardeal.Version, index int, data []byte) error {
	return e.service.call(ctx, fasthttp.MethodPut, fmt.Sprintf("%s/%d", storePath(v), index), data, nil)
}

// Chunk reads a stored chunk back.
func (e *Engine) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	path := fmt.Sprintf("%s/%d", storePath(v), index)
	a, err := e.service.do(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return a.body, e.service.check(path, a)
}

// Chunks lists the stored chunks of v.
func (e *Engine) Chunks(ctx context.Context, v fulmardeal.Version) ([]int, error) {
	var list []int
	err := e.service.call(ctx, fasthttp.MethodGet, storePath(v), nil, &list)
	return list, err
}
