package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/traffic/attempt"
	"fulmardeal/internal/traffic/request"
)

// HTTP headers of callers' requests and of the responses, a status of responses,
// and the longest deadline that a caller may set.
const (
	HeaderRan                 = attempt.HeaderRan     // whether a refused request was run
	HeaderCause               = "Fulmardeal-Cause"    // why the request was refused, a request.Cause
	HeaderEndpoint            = "Fulmardeal-Endpoint" // the endpoint that responded
	HeaderTimeout             = "Fulmardeal-Timeout"  // the caller's deadline, such as 2.5s
	HeaderIdempotencyKey      = "Idempotency-Key"     // as in the IETF draft of that name
	statusClientClosedRequest = 499                   // nginx's non-standard status for a caller that has disconnected
	maxDeadline               = 10 * time.Minute
)

// badRequest is the error of an invalid request.
type badRequest struct {
	status int
	reason string
}

func (e *badRequest) Error() string { return e.reason }

// serve serves one HTTP request of a caller. A panic fails that request: fasthttp would
// let it end the process, and with it the requests of all callers.
func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	defer func() {
		if v := recover(); v != nil {
			e.log.Error("handler panicked", "value", v, "stack", string(debug.Stack()))
			ctx.Response.Reset()
			e.refuse(ctx, &request.RefusedError{Cause: request.CauseFailed, Ran: attempt.RanUnknown, RetryAfter: time.Second})
		}
	}()
	e.handle(ctx)
}

// handle serves one HTTP request of a caller.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	started := time.Now()
	account := ledger.AccountOf(ctx.Conn())
	account.Set(ledger.Answer, 0) // the one before has been written
	defer account.Set(ledger.Body, 0)
	switch string(ctx.Path()) {
	case "/-/live":
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	case "/-/ready":
		e.handleReadiness(ctx)
		return
	}

	q, err := e.parse(ctx)
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	if after, ok := e.budgets.allow(started, q.Customer); !ok {
		e.refuse(ctx, &request.RefusedError{Cause: request.CauseRateLimit, Ran: attempt.RanNo, RetryAfter: after})
		return
	}

	limit, err := deadline(ctx, q.Service)
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	work, cancel := context.WithTimeout(context.Background(), limit)
	end := cancel
	if q.Key == "" { // a caller may come back for the response to a request with a key
		stop := watchCaller(ctx.Conn(), cancel)
		end = func() {
			stop()
			cancel()
		}
	}
	replied := false
	defer func() {
		if !replied {
			end()
		}
	}()
	reply, err := e.router.Do(work, q)
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	e.stats.recordFirstByte(time.Since(started))
	replied = true
	e.writeReply(ctx, work, end, reply)
}

func (e *Entry) handleReadiness(ctx *fasthttp.RequestCtx) {
	ready, reason := e.node.Ready()
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetBodyString(reason)
}

// parse authenticates and validates a caller's request.
func (e *Entry) parse(ctx *fasthttp.RequestCtx) (request.Request, error) {
	c := e.node.Store().Current()
	if c == nil {
		return request.Request{}, &request.RefusedError{Cause: request.CauseUnready, Ran: attempt.RanNo, RetryAfter: time.Second}
	}
	customer, err := authenticate(ctx, c)
	if err != nil {
		return request.Request{}, err
	}

	body, err := readBody(ctx)
	if err != nil {
		return request.Request{}, err
	}
	q := request.Request{
		Customer: customer,
		Method:   string(ctx.Method()),
		Path:     string(ctx.RequestURI()),
		Header:   headers(ctx),
		Body:     body,
		Key:      strings.Trim(string(ctx.Request.Header.Peek(HeaderIdempotencyKey)), `"`),
		Priority: priority(customer),
	}
	switch string(ctx.Path()) {
	case "/v1/chat/completions", "/v1/completions":
		return completionRequest(c, q)
	}
	return plainRequest(c, q, string(ctx.Path()))
}

// readBody reads the whole body. It drains a body that is too large, up to
// maxDrainedBytes, because a caller that is still sending doesn't see the response
// when the connection is closed.
func readBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return append([]byte(nil), ctx.PostBody()...), nil
	}
	body, err := readAll(io.LimitReader(stream, maxBodyBytes+1), ledger.AccountOf(ctx.Conn()))
	if err != nil {
		ctx.SetConnectionClose()
		return nil, &badRequest{status: fasthttp.StatusBadRequest, reason: "the body ends early: " + err.Error()}
	}
	if len(body) <= maxBodyBytes {
		return body, nil
	}
	_, err = io.CopyN(io.Discard, stream, maxDrainedBytes)
	if !errors.Is(err, io.EOF) {
		ctx.SetConnectionClose()
	}
	return nil, &badRequest{
		status: fasthttp.StatusRequestEntityTooLarge,
		reason: fmt.Sprintf("the body is over %d bytes", maxBodyBytes),
	}
}

// bodyCost is how many times a body is held while its request is in progress: by the entry,
// in the message to an agent, and in the buffers from which both grew.
const bodyCost = 3

// readAll reads a body and accounts for it.
func readAll(r io.Reader, account *ledger.Account) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
			account.Set(ledger.Body, bodyCost*int64(cap(body)))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// authenticate returns the customer whose bearer key the request carries.
func authenticate(ctx *fasthttp.RequestCtx, c *configuration.Configuration) (configuration.Customer, error) {
	key, found := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if found {
		if x, known := c.Authenticate(key); known {
			return x, nil
		}
	}
	return configuration.Customer{}, &badRequest{status: fasthttp.StatusUnauthorized, reason: "the bearer key is missing or unknown"}
}

// priority returns the value of a customer's priority label, or 0 if it has none.
func priority(c configuration.Customer) int {
	v, _ := c.Labels().Get("priority")
	n, _ := strconv.Atoi(v)
	return n
}

// completionBody holds the fields of a completion request that the entry reads.
// The engine interprets the rest.
type completionBody struct {
	Model    string `json:"model"`
	Prompt   json.RawMessage
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// maxPrefixBytes is how much of the first message or prompt is used to identify
// a cached prefix.
const maxPrefixBytes = 512

// completionRequest fills in the service, model and prefix of a completion
// request.
func completionRequest(c *configuration.Configuration, q request.Request) (request.Request, error) {
	var p completionBody
	if q.Method != fasthttp.MethodPost {
		return q, &badRequest{status: fasthttp.StatusMethodNotAllowed, reason: "completions are asked for with POST"}
	}
	if err := json.Unmarshal(q.Body, &p); err != nil {
		return q, &badRequest{status: fasthttp.StatusBadRequest, reason: "the body is not the JSON of a completion: " + err.Error()}
	}
	m, known := c.Model(p.Model)
	if !known {
		return q, &badRequest{status: fasthttp.StatusNotFound, reason: fmt.Sprintf("no model is called %q", p.Model)}
	}
	s, known := c.ServiceOf(m)
	if !known {
		return q, &badRequest{status: fasthttp.StatusNotFound, reason: fmt.Sprintf("no service holds the model %q", p.Model)}
	}

	q.Service = s
	q.Model = p.Model
	q.Safe = true
	first := p.Prompt
	if len(p.Messages) > 0 {
		first = p.Messages[0].Content
	}
	q.Prefix = p.Model + string(first[:min(len(first), maxPrefixBytes)])
	return q, nil
}

// plainRequest fills in the plain service of a request, whose name is the first
// segment of the path.
func plainRequest(c *configuration.Configuration, q request.Request, path string) (request.Request, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	s, known := c.Service(name)
	if !known || s.IsModel() {
		return q, &badRequest{status: fasthttp.StatusNotFound, reason: fmt.Sprintf("no plain service is called %q", name)}
	}
	q.Service = s
	switch q.Method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions:
		q.Safe = true
	}
	return q, nil
}

// headers returns the header fields that are forwarded to the endpoint.
func headers(ctx *fasthttp.RequestCtx) []fulmardeal.Field {
	var out []fulmardeal.Field
	for k, v := range ctx.Request.Header.All() {
		switch strings.ToLower(string(k)) {
		case "authorization", "connection", "host", "content-length", "transfer-encoding", "keep-alive",
			"te", "trailer", "upgrade", "proxy-connection", "expect", "accept-encoding":
			continue
		}
		out = append(out, fulmardeal.Field{Name: string(k), Value: string(v)})
	}
	return out
}

// deadline returns the time limit of a request: the caller's, or the service's if
// the caller sets none.
func deadline(ctx *fasthttp.RequestCtx, s configuration.Service) (time.Duration, error) {
	text := string(ctx.Request.Header.Peek(HeaderTimeout))
	if text == "" {
		return s.Deadline(), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDeadline {
		reason := fmt.Sprintf("%s %q is not a time of up to %v, such as 2.5s", HeaderTimeout, text, maxDeadline)
		return 0, &badRequest{status: fasthttp.StatusBadRequest, reason: reason}
	}
	return d, nil
}

// writeReply sends a reply to the caller. A stream is sent after the handler has
// returned.
func (e *Entry) writeReply(ctx *fasthttp.RequestCtx, work context.Context, cancel context.CancelFunc, r *request.Response) {
	ctx.SetStatusCode(r.Status())
	for _, f := range r.Header() {
		ctx.Response.Header.Set(f.Name, f.Value)
	}
	ctx.Response.Header.Set(HeaderEndpoint, r.Endpoint().Name)
	if !r.Streamed() {
		ledger.AccountOf(ctx.Conn()).Set(ledger.Answer, int64(len(r.Data())))
		ctx.SetBody(r.Data())
		r.Close()
		cancel()
		e.stats.count(func(c *Counts) { c.Completed++ })
		return
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		defer r.Close()
		e.stream(work, w, r)
	})
}

// stream forwards a streamed reply. It ends early when the caller has
// disconnected. If the reply breaks off, the caller gets an error event in place
// of the end marker.
func (e *Entry) stream(ctx context.Context, w *bufio.Writer, r *request.Response) {
	for {
		// If Write fails, Flush returns the same error.
		_, _ = w.Write(r.Data())
		if w.Flush() != nil {
			e.stats.count(func(c *Counts) { c.Broken++ })
			return
		}
		if r.Done() {
			e.stats.count(func(c *Counts) { c.Completed++ })
			return
		}
		if err := r.Next(ctx); err != nil {
			e.stats.count(func(c *Counts) { c.Broken++ })
			fmt.Fprintf(w, "\n\ndata: %s\n\n", encodeError("broken", err.Error()))
			_ = w.Flush() // an error means that the caller has disconnected
			return
		}
	}
}

// errorBody is the JSON body of an error response, in the format that is
// usual for HTTP APIs.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func encodeError(kind, message string) []byte {
	data, err := json.Marshal(errorBody{Error: errorDetail{Message: message, Type: kind}})
	if err != nil {
		return []byte(`{}`)
	}
	return data
}

// refuse responds to a request that is invalid or could not be served.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetContentType("application/json")
	var bad *badRequest
	if errors.As(err, &bad) {
		e.stats.count(func(c *Counts) { c.Invalid++ })
		ctx.SetStatusCode(bad.status)
		ctx.Response.Header.Set(HeaderRan, string(attempt.RanNo))
		ctx.SetBody(encodeError("request", bad.reason))
		return
	}

	var refused *request.RefusedError
	if !errors.As(err, &refused) {
		refused = &request.RefusedError{Cause: request.CauseFailed, Ran: attempt.RanUnknown, RetryAfter: time.Second}
	}
	e.stats.countRefused(refused.Ran)
	ctx.SetStatusCode(status(refused))
	seconds := int(math.Ceil(refused.RetryAfter.Seconds()))
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(max(1, seconds)))
	ctx.Response.Header.Set(HeaderRan, string(refused.Ran))
	ctx.Response.Header.Set(HeaderCause, string(refused.Cause))
	ctx.SetBody(encodeError(string(refused.Cause), refused.Error()))
}

func status(e *request.RefusedError) int {
	switch e.Cause {
	case request.CauseRateLimit:
		return fasthttp.StatusTooManyRequests
	case request.CauseLate:
		return fasthttp.StatusGatewayTimeout
	case request.CauseKeyReused:
		return fasthttp.StatusUnprocessableEntity
	case request.CauseDenied:
		return fasthttp.StatusForbidden
	case request.CauseHungUp:
		return statusClientClosedRequest
	}
	if e.Ran == attempt.RanNo {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}

// refuseUnreadable responds to a request that the HTTP library could not read.
func (e *Entry) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	bad := &badRequest{status: fasthttp.StatusBadRequest, reason: "the request can't be read: " + err.Error()}
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		reason := fmt.Sprintf("the header is over %d bytes", maxHeaderBytes)
		bad = &badRequest{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: reason}
	}
	ctx.SetConnectionClose()
	e.refuse(ctx, bad)
}
