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

// Headers of requests from an agent to its endpoint. An endpoint may repeat HeaderAttempt
// in its response; a refusal counts only with it.
const (
	HeaderAttempt  = "Fulmardeal-Attempt"
	HeaderPriority = "Fulmardeal-Priority"
)

// cancelTimeout bounds a request to cancel an attempt.
const cancelTimeout = time.Second

// Endpoint is a client of an endpoint, which may be a model engine.
type Endpoint struct {
	service *service
	stream  *fasthttp.HostClient
}

// NewEndpoint returns a client of the endpoint at base.
func NewEndpoint(base string) (*Endpoint, error) {
	s, err := newService("endpoint", base)
	if err != nil {
		return nil, err
	}
	u, _ := url.Parse(base) // newService has parsed it without an error
	c := newHostClient(u.Host)
	c.StreamResponseBody = true
	c.MaxResponseBodySize = 0 // unlimited; the reader of the stream has its own limit
	return &Endpoint{service: s, stream: c}, nil
}

// Call sends a call and returns the response, whose body is read as a stream.
func (e *Endpoint) Call(ctx context.Context, c fulmardeal.Call) (fulmardeal.Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(c.Method)
	req.SetRequestURI(e.service.baseURL + c.Path)
	for _, f := range c.Header {
		req.Header.Set(f.Name, f.Value)
	}
	req.Header.Set(HeaderAttempt, c.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(c.Priority))
	req.SetBodyRaw(c.Body)

	// fasthttp takes no context, so when ctx is cancelled the endpoint is asked
	// to abort the attempt, which ends the call.
	stopCancel := context.AfterFunc(ctx, func() { e.cancelDetached(c.ID) })
	err := send(ctx, e.stream, req, resp)
	if err != nil {
		stopCancel()
		fasthttp.ReleaseResponse(resp)
		if isUnsent(err) {
			return fulmardeal.Answer{}, &fulmardeal.UnsentError{Address: e.service.baseURL, Cause: err}
		}
		return fulmardeal.Answer{}, fmt.Errorf("call %s: %w", c.Path, err)
	}
	a := e.newAnswer(resp, stopCancel)
	if a.ID != "" && a.ID != c.ID {
		a.Body.Close() // and the connection
		return fulmardeal.Answer{}, &CrossedError{ID: c.ID, Got: a.ID}
	}
	return a, nil
}

// CrossedError reports a response to another call. Whether the endpoint runs this one is
// unknown.
type CrossedError struct {
	ID  string // of the call
	Got string // ID in the response
}

func (e *CrossedError) Error() string {
	return fmt.Sprintf("call %s: response has the id %s", e.ID, e.Got)
}

func (e *Endpoint) newAnswer(resp *fasthttp.Response, stopCancel func() bool) fulmardeal.Answer {
	a := fulmardeal.Answer{ID: string(resp.Header.Peek(HeaderAttempt)), Status: resp.StatusCode()}
	for k, v := range resp.Header.All() {
		if name := string(k); !isHopByHop(name) && name != HeaderAttempt {
			a.Header = append(a.Header, fulmardeal.Field{Name: string(k), Value: string(v)})
		}
	}
	b := &responseBody{resp: resp, stopCancel: stopCancel, reader: resp.BodyStream(), closeDelimited: isCloseDelimited(resp)}
	if b.reader == nil {
		b.reader = bytes.NewReader(append([]byte(nil), resp.Body()...))
	}
	a.Body = b
	return a
}

// isCloseDelimited reports whether the body is delimited only by the close of
// the connection, so that its end can't be told from a broken connection.
func isCloseDelimited(resp *fasthttp.Response) bool {
	const identity = -2 // ContentLength of a response with neither a length nor chunked encoding
	hasBody := resp.StatusCode() != fasthttp.StatusNoContent && resp.StatusCode() != fasthttp.StatusNotModified
	return hasBody && resp.Header.ContentLength() == identity
}

func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "transfer-encoding", "content-length", "keep-alive", "date", "server", "trailer", "upgrade":
		return true
	}
	return false
}

// errCloseDelimited reports that only the close of the connection marks the end of a
// response, so that it is unknown whether the response was truncated.
var errCloseDelimited = errors.New("response has neither a content length nor chunked encoding: truncation can't be detected")

// responseBody is the body of a response. When it is closed, it returns the
// connection to the pool only if the body was read to its end. Otherwise the next
// call on the connection would take the rest of the body for its response.
type responseBody struct {
	resp           *fasthttp.Response
	stopCancel     func() bool
	reader         io.Reader
	closeDelimited bool
	complete       bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) && b.closeDelimited {
		return n, errCloseDelimited
	}
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

func (b *responseBody) Close() error {
	b.stopCancel()
	if !b.complete {
		b.resp.SetConnectionClose()
	}
	err := b.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(b.resp)
	return err
}

// Cancel asks the endpoint to abort the call with the given ID.
func (e *Endpoint) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return e.service.call(ctx, fasthttp.MethodPost, "/cancel/"+url.PathEscape(id), nil, nil)
}

// cancelDetached cancels an attempt whose context has already ended.
func (e *Endpoint) cancelDetached(id string) {
	// An error is ignored, because the call also ends at its deadline.
	_ = e.Cancel(context.Background(), id)
}

// LoadReport is the JSON encoding of fulmardeal.Load.
type LoadReport struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Boot    string `json:"boot"`
}

// Load returns the load that the endpoint reports.
func (e *Endpoint) Load(ctx context.Context) (fulmardeal.Load, error) {
	var r LoadReport
	err := e.service.call(ctx, fasthttp.MethodGet, "/load", nil, &r)
	return fulmardeal.Load(r), err
}

// ActiveWeightsReport is the JSON encoding of fulmardeal.ActiveWeights.
type ActiveWeightsReport struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Fence   int64  `json:"fence"`
	Boot    string `json:"boot"`
}

// OrderMessage is the JSON encoding of fulmardeal.LoadOrder.
type OrderMessage struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Chunks  int    `json:"chunks"`
	Fence   int64  `json:"fence"`
}

// Engine is a client of a model engine and its chunk store.
type Engine struct {
	service *service
}

// NewEngine returns a client of the engine at base.
func NewEngine(base string) (*Engine, error) {
	s, err := newService("engine", base)
	if err != nil {
		return nil, err
	}
	return &Engine{service: s}, nil
}

// ActiveWeights returns the weights that are active in the engine.
func (e *Engine) ActiveWeights(ctx context.Context) (fulmardeal.ActiveWeights, error) {
	var r ActiveWeightsReport
	if err := e.service.call(ctx, fasthttp.MethodGet, "/held", nil, &r); err != nil {
		return fulmardeal.ActiveWeights{}, err
	}
	return fulmardeal.ActiveWeights{
		Version: fulmardeal.Version{Model: r.Model, Name: r.Version},
		Digest:  r.Digest,
		Fence:   r.Fence,
		Boot:    r.Boot,
	}, nil
}

// Order tells the engine to load a version from its chunk store and serve it.
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
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := e.service.do(ctx, fasthttp.MethodPost, "/order", body)
	if err != nil {
		return err
	}
	if resp.status == fasthttp.StatusConflict {
		return &fulmardeal.RefusedOrderError{Order: o, Reason: string(resp.body)}
	}
	return e.service.check("/order", resp)
}

func storePath(v fulmardeal.Version) string {
	return "/store/" + url.PathEscape(v.Model) + "/" + url.PathEscape(v.Name)
}

// PutChunk stores a verified chunk in the engine's chunk store.
func (e *Engine) PutChunk(ctx context.Context, v fulmardeal.Version, index int, data []byte) error {
	return e.service.call(ctx, fasthttp.MethodPut, fmt.Sprintf("%s/%d", storePath(v), index), data, nil)
}

// Chunk returns a stored chunk.
func (e *Engine) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	path := fmt.Sprintf("%s/%d", storePath(v), index)
	resp, err := e.service.do(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return resp.body, e.service.check(path, resp)
}

// Chunks returns the indexes of the stored chunks of v.
func (e *Engine) Chunks(ctx context.Context, v fulmardeal.Version) ([]int, error) {
	var list []int
	err := e.service.call(ctx, fasthttp.MethodGet, storePath(v), nil, &list)
	return list, err
}
