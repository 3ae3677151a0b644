// Package adapter implements clients of the platform's services and of the
// endpoints. They use HTTP with JSON bodies, through fasthttp.
//
// The clients have no policy of their own. They never retry a request: the
// retries of fasthttp are disabled, because they could execute a request twice that
// must be executed only once. Only the caller of a client knows which these are.
package adapter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"fulmardeal"
	"fulmardeal/internal/link/framing"
)

// Timeouts and limits of calls to the platform.
const (
	callTimeout      = 5 * time.Second // timeout of a call whose context has no deadline
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second
	maxConns         = 4096     // maximum number of connections to one address
	maxResponseBytes = 64 << 20 // maximum size of a response body that is read as a whole, not as a stream
)

// StatusError is a response with an unexpected status.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: unexpected status %d: %s", e.URL, e.Status, e.Body)
}

// dialError marks an error of establishing a connection, before any byte was sent.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

// newHostClient returns a client of one address that does not retry.
func newHostClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      maxConns,
		MaxIdleConnDuration:           idleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisablePathNormalizing:        true,
		NoDefaultUserAgentHeader:      true,
		MaxResponseBodySize:           maxResponseBytes,
		DisableHeaderNamesNormalizing: false,
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return &requestConn{Conn: framing.NewConn(c)}, nil
		},
	}
}

// service is a client of one HTTP service of the platform.
type service struct {
	name    string
	baseURL string
	client  *fasthttp.HostClient
}

// newService returns a client of the service at base, such as
// http://127.0.0.1:7001.
func newService(name, base string) (*service, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("%s address %q: %w", name, base, err)
	}
	if u.Scheme != "http" || u.Port() == "" {
		return nil, fmt.Errorf("%s address %q: want http://IP:PORT", name, base)
	}
	return &service{name: name, baseURL: base, client: newHostClient(u.Host)}, nil
}

// response is a complete response of a platform service.
type response struct {
	status     int
	retryAfter time.Duration // value of the Retry-After header; 0 if there is none or it is not a number of seconds
	body       []byte
}

func (s *service) do(ctx context.Context, method, path string, body []byte) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(s.baseURL + path)
	req.SetBodyRaw(body)

	if err := send(ctx, s.client, req, resp); err != nil {
		return response{}, fmt.Errorf("%s %s: %w", s.name, path, err)
	}
	seconds, _ := strconv.Atoi(string(resp.Header.Peek("Retry-After")))
	return response{
		status:     resp.StatusCode(),
		retryAfter: time.Duration(seconds) * time.Second,
		body:       append([]byte(nil), resp.Body()...),
	}, nil
}

func deadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(callTimeout)
}

// call sends a request and decodes the JSON body of a successful response into
// reply. If reply is nil, it ignores the body. For a response with another status
// than 2xx it returns the error that check returns.
func (s *service) call(ctx context.Context, method, path string, body []byte, reply any) error {
	resp, err := s.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := s.check(path, resp); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(resp.body, reply); err != nil {
		return fmt.Errorf("%s %s: decode response: %w", s.name, path, err)
	}
	return nil
}

// check returns nil for a status of 2xx, and otherwise a *fulmardeal.BusyError, a
// *fulmardeal.MissingError or a *StatusError.
func (s *service) check(path string, resp response) error {
	switch {
	case resp.status >= 200 && resp.status < 300:
		return nil
	case resp.status == fasthttp.StatusTooManyRequests, resp.status == fasthttp.StatusServiceUnavailable:
		return &fulmardeal.BusyError{Service: s.name, RetryAfter: max(resp.retryAfter, time.Second)}
	case resp.status == fasthttp.StatusNotFound:
		return &fulmardeal.MissingError{Service: s.name, Resource: path}
	}
	return &StatusError{URL: s.baseURL + path, Status: resp.status, Body: string(resp.body[:min(len(resp.body), 200)])}
}

// isUnsent reports whether err occurred before any byte of the request was sent.
func isUnsent(err error) bool {
	var d *dialError
	return errors.As(err, &d) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
