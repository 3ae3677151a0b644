package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/traffic/dispatch"
	"fulmardeal/internal/traffic/forward"
)

// Limits and defaults of one request.
const (
	// maxEndpointsTried is the maximum number of endpoints tried for one
	// request, including those that refuse it.
	maxEndpointsTried = 5

	// retryAfterStartup is the Retry-After of an entry that has just
	// started or cannot confirm its keys.
	retryAfterStartup = 300 * time.Millisecond

	defaultTimeout = 60 * time.Second // timeout of a request, if neither the route nor the caller sets one
)

// call is one caller's request in progress.
type call struct {
	gateway     *Gateway
	log         *slog.Logger
	request     forward.Request
	metadata    fulmardeal.RequestMetadata
	route       *fulmardeal.Route
	service     string
	customer    string
	homeRegions [][]string
	version     int64 // version of the configuration used for this request
	received    time.Time
	deadline    time.Time
	fingerprint uint64 // hash of the request, equal when the caller retries it
	writer      http.ResponseWriter

	queueTime   time.Duration     // total time spent waiting for an endpoint, over all attempts
	tried       []string          // ids of endpoints not to be tried again
	sends       int               // number of attempts, including those that an endpoint refused
	runs        int               // number of attempts that may have run
	buffered    [][]byte          // bodies of endpoints' responses, which are released at the end
	lastFailure *endpointResponse // last error response of an endpoint, sent to the caller if no attempt succeeds
	progress    streamProgress    // progress of a streamed response
	lastHeard   time.Time         // when the endpoint last sent something that the caller gets, or when the attempt began
}

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{gateway: g, received: received, writer: w, metadata: g.codec.ReadRequestMetadata(r.Header)}
	c.log = g.log.With("id", c.metadata.AttemptID)
	defer c.logPanic()
	if !c.admit(r) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	g.retryBudget(c.service).Deposit()
	defer c.freeBuffered()
	c.run(ctx)
}

// logPanic logs a panic of the handler, which makes net/http close the caller's
// connection. An abort by giveUp has been logged already.
func (c *call) logPanic() {
	switch v := recover(); v {
	case nil:
	case http.ErrAbortHandler:
		panic(v)
	default:
		c.gateway.stats.count("panics", c.service)
		c.log.Error("handler panicked", "value", v, "version", c.version, "stack", string(debug.Stack()))
		panic(http.ErrAbortHandler)
	}
}

// admit determines the route and the customer and reads the body. If the
// request can't be admitted, it sends the refusal and returns false.
func (c *call) admit(r *http.Request) bool {
	g := c.gateway
	view := g.catalogue.View()
	c.version = view.Version()
	if view.Catalogue() == nil {
		c.refuse(http.StatusServiceUnavailable, "unconfigured", retryAfterStartup)
		return false
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	route := view.Route(host, r.RequestURI)
	if route == nil {
		c.refuse(http.StatusNotFound, "no route", 0)
		return false
	}
	c.route = route
	if !c.authorize(view) {
		return false
	}
	if !c.readBody(r, view.Catalogue().Limits) {
		return false
	}
	c.service = pickService(route.Shares, c.metadata.AttemptID)
	c.request = forward.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: c.request.Body}
	c.homeRegions = append(c.homeRegions, route.Homes)
	c.setDeadlineAndFingerprint()
	return true
}

// authorize determines the customer by the request's key, in the same version
// of the configuration as the route.
func (c *call) authorize(view *catalogue.View) bool {
	g := c.gateway
	if !view.RequiresKey() || c.route.Public {
		return true
	}
	if age, ok := g.keysConfirmed(); !ok {
		c.log.Warn("customer keys not confirmed by the store", "age", age, "version", c.version)
		c.refuse(http.StatusServiceUnavailable, "keys unconfirmed", retryAfterStartup)
		return false
	}
	customer := view.Customer(c.metadata.APIKey)
	if customer == nil {
		c.refuse(http.StatusUnauthorized, "key not known", 0)
		return false
	}
	c.customer = customer.Name
	c.homeRegions = append(c.homeRegions, customer.Homes)
	return true
}

// readBody reads the body, up to the configured limit.
func (c *call) readBody(r *http.Request, l fulmardeal.Limits) bool {
	maxBytes := l.Body
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if r.ContentLength > int64(maxBytes) {
		c.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(maxBytes)+1))
	if err != nil {
		c.writer.Header().Set("Connection", "close")
		c.refuse(http.StatusBadRequest, "body ends early", 0)
		return false
	}
	if len(body) > maxBytes {
		c.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	c.request.Body = body
	return true
}

// setDeadlineAndFingerprint computes the deadline of the response and the
// fingerprint of the request.
func (c *call) setDeadlineAndFingerprint() {
	limit := defaultTimeout
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	if d := c.metadata.Deadline; d > 0 {
		limit = min(limit, d)
	}
	c.deadline = c.received.Add(limit)
	var h xxhash.Digest
	for _, part := range []string{c.request.Method, c.request.Host, c.request.Target, c.metadata.APIKey, c.metadata.PromptPrefix} {
		_, _ = h.WriteString(part) // a Digest never returns an error
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(c.request.Body)
	c.fingerprint = h.Sum64()
}

// pickService picks one of a route's services, each with a probability
// proportional to its weight. The choice depends only on a hash of the caller's
// attempt id, so that all entries pick the same service for the same id.
func pickService(shares []fulmardeal.Share, attempt string) string {
	if len(shares) == 0 {
		return ""
	}
	total := 0.0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	remaining := hashFraction(attempt) * total
	for _, s := range shares {
		remaining -= max(0, s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// attemptResult is the result of an attempt, as far as it matters for a retry.
type attemptResult int

const (
	finished attemptResult = iota // the caller has its response, or has disconnected
	notRun                        // the endpoint did not run the request
	maybeRun                      // the endpoint may have run the request
)

// run tries endpoints until the caller has a response.
func (c *call) run(ctx context.Context) {
	g := c.gateway
	for {
		start := time.Now()
		reservation, err := g.table.Reserve(ctx, c.dispatchRequest())
		c.queueTime += time.Since(start)
		if err != nil {
			c.handleReserveError(ctx, err)
			return
		}
		result, outcome := c.attempt(ctx, reservation)
		reservation.Release(outcome)
		if result == finished {
			return
		}
		c.sends++
		if result == maybeRun {
			c.runs++
		}
		if outcome != dispatch.OutcomeFull {
			c.tried = append(c.tried, reservation.Endpoint().ID())
		}
		if reason, ok := c.mayRetry(ctx, result); !ok {
			c.giveUp(ctx, reason)
			return
		}
	}
}

func (c *call) dispatchRequest() *dispatch.Request {
	request := &dispatch.Request{
		Service:         c.service,
		HomeRegions:     c.homeRegions,
		PromptTokens:    c.metadata.PromptTokens,
		RequiredWeights: c.progress.weights,
		Tried:           c.tried,
		Deadline:        c.deadline,
		Fingerprint:     c.fingerprint,
		Sent:            c.received,
		Objective:       c.route.Objective,
	}
	if c.progress.started {
		request.Sent, request.Objective, request.Resumed = time.Now(), c.route.Pause, true
	}
	return request
}

// mayRetry reports whether another endpoint may be tried, and the reason if not.
func (c *call) mayRetry(ctx context.Context, result attemptResult) (string, bool) {
	switch {
	case ctx.Err() != nil:
		return "time is up", false
	case result == maybeRun && !c.route.Repeatable():
		return "may have run", false
	case c.runs >= c.route.Attempts:
		return "attempts used up", false
	case c.sends >= maxEndpointsTried:
		return "too many endpoints asked", false
	case !c.gateway.retryBudget(c.service).Withdraw():
		return "repeats used up", false
	}
	return "", true
}

// attempt sends the request to one endpoint and handles its response.
func (c *call) attempt(ctx context.Context, reservation *dispatch.Reservation) (attemptResult, dispatch.Outcome) {
	g := c.gateway
	e := reservation.Endpoint()
	forwarded := fulmardeal.ForwardMetadata{
		Instance:       e.ID(),
		Deadline:       time.Until(c.deadline),
		Customer:       c.customer,
		Priority:       -1,
		WeightsVersion: c.progress.weights,
		LastEventID:    c.progress.resumeAfter(c.metadata.LastEventID),
	}
	if c.progress.started {
		forwarded.Priority = 0 // most urgent: its caller is waiting in the middle of a response
	}
	request := c.request
	request.Header = g.codec.ForwardHeader(c.request.Header, forwarded)
	sent := time.Now()
	c.lastHeard = sent
	x, err := g.pool.Send(ctx, e.Address(), request, c.maxIdleTime(), c.responseDeadline(reservation))
	if err != nil {
		return c.handleExchangeError(ctx, reservation, err)
	}
	defer x.Close()
	r := g.codec.ReadResponseMetadata(x.Status(), x.Header())
	c.applyNotice(reservation, r)
	if r.AttemptID != "" && r.AttemptID != c.metadata.AttemptID {
		c.log.Warn("response has the id of another attempt", "endpoint", e.ID(), "got", r.AttemptID, "reused", x.Reused())
		return maybeRun, dispatch.OutcomeFailed
	}
	switch {
	case r.NotRun && x.Status() != http.StatusBadRequest:
		c.log.Info("endpoint refused the request", "endpoint", e.ID(), "status", x.Status(), "running", r.Running, "waiting", r.Waiting, "weights", reservation.Weights())
		if body, err := x.ReadAll(maxRefusalBytes, time.Now().Add(refusalReadTimeout)); err == nil {
			g.pool.Free(body)
			x.Release(r.IdleTimeout)
		}
		if x.Status() == http.StatusMisdirectedRequest {
			return notRun, dispatch.OutcomeMismatch
		}
		return notRun, dispatch.OutcomeFull
	case !r.Signed && !r.NotRun:
		c.log.Warn("response has no signature", "endpoint", e.ID(), "status", x.Status())
		return maybeRun, dispatch.OutcomeFailed
	case x.Status()/100 == 2 && c.route.Kind == fulmardeal.KindStream:
		return c.forwardStream(ctx, reservation, x, r)
	}
	return c.forwardPlain(ctx, reservation, x, r, sent)
}

// applyNotice records that an endpoint is leaving or asks for a pause. It applies to
// every response of the endpoint, also to one that isn't passed on.
func (c *call) applyNotice(reservation *dispatch.Reservation, r fulmardeal.ResponseMetadata) {
	if !reservation.ApplyNotice(dispatch.Notice{Leaving: r.Leaving, Pause: r.Pause}) {
		return
	}
	c.log.Info("endpoint wants no requests", "endpoint", reservation.Endpoint().ID(), "leaving", r.Leaving, "pause", r.Pause)
	c.gateway.pool.CloseIdle(reservation.Endpoint().Address())
}

// Limits on reading the body of an endpoint's refusal.
const (
	maxRefusalBytes    = 64 << 10              // maximum size of the body of a refusal
	refusalReadTimeout = 50 * time.Millisecond // until the whole body of a refusal has arrived
)

// maxIdleTime returns the maximum idle time of a pooled connection that may be
// used for this request. A request that must not be retried needs a recently
// used connection: the endpoint may have closed an older one, and then it is
// unknown whether it has received the request.
func (c *call) maxIdleTime() time.Duration {
	if c.route.Repeatable() {
		return time.Hour
	}
	return recentUse
}

// Limits on waiting for an endpoint.
const (
	// recentUse is the maximum idle time of a connection on which a request
	// that must not be retried is sent. It is below all idle timeouts of
	// endpoints, which are whole seconds.
	recentUse = 300 * time.Millisecond

	// Minimum timeouts of a request that may be retried. After the timeout,
	// another endpoint is tried.

	// minPlainTimeout applies to a plain response. It is seven times the
	// usual duration of a plain call.
	minPlainTimeout = 400 * time.Millisecond

	// minFirstEventTimeout applies to the first event of a stream. It leaves
	// another engine half of the time that callers wait for that event.
	minFirstEventTimeout = 1200 * time.Millisecond

	// minEventTimeout applies to each further event. Callers disconnect
	// after 2 s, and a decoding pass takes a tenth of that.
	minEventTimeout = 1000 * time.Millisecond
)

// noDeadline is the deadline of a wait that only ends with the request's deadline.
var noDeadline time.Time

// responseDeadline returns until when to wait, from now on, for the header of the
// response or for the first event of a stream. It returns noDeadline if the request
// can't be tried at another endpoint and may start there at any time.
func (c *call) responseDeadline(reservation *dispatch.Reservation) time.Time {
	startBy := reservation.StartBy()
	timeout := max(minPlainTimeout, c.route.Objective)
	switch {
	case !c.route.Repeatable() || c.runs+1 >= c.route.Attempts:
		return startBy
	case c.route.Kind == fulmardeal.KindStream:
		timeout = max(minFirstEventTimeout, 2*c.route.Objective)
	}
	by := time.Now().Add(timeout)
	if !startBy.IsZero() && startBy.Before(by) {
		return startBy
	}
	return by
}

// handleExchangeError handles a failure to send a request to an endpoint or to
// receive its complete response.
func (c *call) handleExchangeError(ctx context.Context, reservation *dispatch.Reservation, err error) (attemptResult, dispatch.Outcome) {
	e := reservation.Endpoint()
	var unsent *fulmardeal.UnsentError
	isUnsent := errors.As(err, &unsent)
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if ctx.Err() != nil && !expired {
		c.logDisconnected(e.ID())
		return finished, dispatch.OutcomeCancelled
	}
	if startBy := reservation.StartBy(); !startBy.IsZero() && !time.Now().Before(startBy) && !c.progress.started {
		c.log.Info("request withdrawn: the endpoint's weights may not be used any longer", "endpoint", e.ID(), "weights", reservation.Weights())
		return maybeRun, dispatch.OutcomeCancelled
	}
	c.log.Warn("endpoint failed", "endpoint", e.ID(), "unsent", isUnsent, "err", err, "silence", time.Since(c.lastHeard), "point", c.point())
	c.gateway.pool.CloseIdle(e.Address())
	if isUnsent {
		return notRun, dispatch.OutcomeFailed
	}
	return maybeRun, dispatch.OutcomeFailed
}

// handleReserveError handles a request for which no endpoint could be reserved.
func (c *call) handleReserveError(ctx context.Context, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.logDisconnected("")
		return
	}
	var refused *dispatch.RefusedError
	if !errors.As(err, &refused) {
		refused = &dispatch.RefusedError{Reason: dispatch.RefusedNoEndpoint}
	}
	if c.runs > 0 || c.progress.started {
		c.giveUp(ctx, "no place: "+string(refused.Reason))
		return
	}
	c.log.Info("refused", "reason", refused.Reason, "service", c.service, "after", refused.RetryAfter, "waited", refused.Waited,
		"prompt", c.metadata.PromptTokens, "version", c.version)
	c.refuse(http.StatusServiceUnavailable, string(refused.Reason), refused.RetryAfter)
}

// giveUp ends the request with the best response that there is. A request that
// may have run is never reported as not run.
func (c *call) giveUp(ctx context.Context, reason string) {
	c.log.Warn("given up", "reason", reason, "runs", c.runs, "sends", c.sends, "begun", c.progress.started, "events", c.progress.events, "version", c.version,
		"used", c.timeUsed(), "configured", c.gateway.sinceConfiguration())
	switch {
	case c.progress.started:
		c.gateway.stats.count("broken", c.service)
		panic(http.ErrAbortHandler) // breaks the connection: the caller must see that the stream is incomplete
	case c.lastFailure != nil:
		c.gateway.stats.count("failed", c.service)
		c.writeResponse(c.lastFailure)
	case c.runs == 0:
		c.refuse(http.StatusServiceUnavailable, reason, retryAfterFailure)
	case ctx.Err() != nil:
		c.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		c.refuse(http.StatusBadGateway, reason, 0)
	}
}

// logDisconnected logs that the caller has closed its connection, or that the entry has
// closed it while shutting down. endpoint is empty while none has been selected.
func (c *call) logDisconnected(endpoint string) {
	c.log.Info("caller disconnected", "endpoint", endpoint, "after", time.Since(c.received), "events", c.progress.events, "leaving", c.gateway.leaving.Load())
}

// timeUsed returns how much of the request's time has passed, from 0 to 1, with two
// decimals.
func (c *call) timeUsed() float64 {
	return math.Round(100*float64(time.Since(c.received))/float64(c.deadline.Sub(c.received))) / 100
}

// retryAfterFailure is the Retry-After when endpoints could not be reached. By
// the time the caller retries, the entry knows that they are gone.
const retryAfterFailure = 100 * time.Millisecond

// refuse sends a refusal by the entry itself. after is its Retry-After, 0 for
// none.
func (c *call) refuse(status int, reason string, after time.Duration) {
	c.gateway.stats.count("refused_"+strconv.Itoa(status), c.service)
	if status != http.StatusServiceUnavailable {
		c.log.Info("request refused", "status", status, "reason", reason, "version", c.version)
	}
	c.gateway.codec.SetRejectionHeader(c.writer.Header(), c.metadata.AttemptID, after)
	c.writer.Header()["Date"] = nil
	body := reason + "\n"
	c.writer.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, body) // a failed write means that the caller has disconnected
}
