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
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmardeal"
	"fulmardeal/internal/fleet/catalogue"
	"fulmardeal/internal/link/ledger"
	"fulmardeal/internal/traffic/dispatch"
	"fulmardeal/internal/traffic/forward"
	"fulmardeal/internal/traffic/quarantine"
)

// Limits and defaults of one request.
const (
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
	rank        int // of the customer, or else of the route
	homeRegions [][]string
	version     int64 // version of the configuration used for this request
	received    time.Time
	deadline    time.Time
	fingerprint uint64 // hash of the request, equal when the caller retries it
	writer      http.ResponseWriter
	caller      *callerConn        // nil if the server's listener isn't a callerListener
	leave       context.CancelFunc // ends the request because its caller has left

	queueTime time.Duration // total time spent waiting for an endpoint, over all attempts
	tried     []string      // ids of endpoints not to be tried again
	sends     int           // number of attempts begun, including those that an endpoint refused
	runs      int           // number of ended attempts that may have run
	buffered  [][]byte      // bodies of endpoints' responses, which are released at the end

	bufferedBytes int               // of these bodies
	lastFailure   *endpointResponse // last error response of an endpoint, sent to the caller if no attempt succeeds
	progress      streamProgress    // progress of a streamed response
	trail         forward.Trail     // connections that have carried the request: all its tries have the same id

	body         forward.Share // of the request's body in the budget of all
	attempts     []*attempt    // attempts in progress, in the order in which they began
	updates      chan update   // what the attempts receive
	silenceTimer *time.Timer   // fires when no attempt has received anything for too long
	weightsTimer *time.Timer   // fires when the weights of endpoints that have not begun are to be checked
}

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{gateway: g, received: received, writer: w, caller: callerConnOf(r), metadata: g.codec.ReadRequestMetadata(r.Header)}
	c.log = g.log.With("id", c.metadata.AttemptID)
	defer c.logPanic()
	defer c.logEarly()
	c.body = g.bodies.Share(freeBodyBytes)
	defer c.body.Close()
	c.caller.count(ledger.Head, decodedHeadBytes(r))
	defer c.caller.count(ledger.Body, 0)
	if !c.admit(r) {
		discardBody(w, r)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.leave = cancel
	g.retryBudget(c.service).Deposit()
	defer c.freeBuffered()
	c.run(ctx)
	if c.progress.started && !c.progress.ended {
		c.breakOff() // the caller may still read: it may have closed its sending side only
	}
}

// breakOff ends a response that is incomplete without its last chunk.
func (c *call) breakOff() { panic(http.ErrAbortHandler) }

// logPanic logs a panic of the handler, which makes net/http close the caller's
// connection. An abort by giveUp or abortDisconnected has been logged already.
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
	c.route, c.rank = route, route.Priority
	if !c.authorize(view) {
		return false
	}
	if limits := view.Catalogue().Limits; !c.acceptHeader(r, limits) || !c.readBody(r, limits) {
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
	if c.route.Public {
		return true
	}
	if !view.AccessKnown() {
		c.refuse(http.StatusServiceUnavailable, "access unknown", retryAfterStartup)
		return false
	}
	if !view.RequiresKey() {
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
	c.setCustomer(customer)
	return true
}

// setCustomer applies what the configuration says of the request's customer.
func (c *call) setCustomer(customer *fulmardeal.Customer) {
	c.customer = customer.Name
	if customer.Ranked {
		c.rank = customer.Priority
	}
	c.homeRegions = append(c.homeRegions, customer.Homes)
}

// setDeadlineAndFingerprint computes the deadline of the response and the
// fingerprint of the request.
func (c *call) setDeadlineAndFingerprint() {
	c.deadline = c.received.Add(c.timeLimit())
	var h xxhash.Digest
	for _, part := range []string{c.request.Method, c.request.Host, c.request.Target, c.metadata.APIKey, c.metadata.PromptPrefix} {
		_, _ = h.WriteString(part) // a Digest never returns an error
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(c.request.Body)
	c.fingerprint = h.Sum64()
}

// timeLimit returns the time within which the request is to be answered.
func (c *call) timeLimit() time.Duration {
	limit := defaultTimeout
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	if d := c.metadata.Deadline; d > 0 {
		limit = min(limit, d)
	}
	return limit
}

// pickService picks one of a route's services, each with a probability
// proportional to its weight. The choice depends only on a hash of the caller's
// attempt id, so that all entries pick the same service for the same id. It returns an empty
// name if no service has a weight: a weight of 0 keeps all requests from a service.
func pickService(shares []fulmardeal.Share, attempt string) string {
	total, last := 0.0, ""
	for _, s := range shares {
		total += max(0, s.Weight)
		if s.Weight > 0 {
			last = s.Service
		}
	}
	remaining := hashFraction(attempt) * total
	for _, s := range shares {
		remaining -= max(0, s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return last // of a fraction that rounding has made 1
}

// handleReserveError handles a request for which no endpoint could be reserved.
func (c *call) handleReserveError(ctx context.Context, err error) {
	if ctx.Err() != nil && !timeIsUp(ctx) {
		c.abortDisconnected()
	}
	var refused *dispatch.RefusedError
	if !errors.As(err, &refused) {
		refused = &dispatch.RefusedError{Reason: dispatch.RefusedNoEndpoint}
	}
	if c.runs > 0 || c.progress.started {
		c.giveUp(ctx, "no place: "+string(refused.Reason))
		return
	}
	if refused.Reason == dispatch.RefusedShare {
		c.log = c.log.With("customer", c.customer)
	}
	c.log.Info("refused", "reason", refused.Reason, "service", c.service, "after", refused.RetryAfter, "waited", refused.Waited,
		"prompt", c.metadata.PromptTokens, "version", c.version)
	c.refuse(http.StatusServiceUnavailable, string(refused.Reason), refused.RetryAfter)
}

// handleHeldError handles a request that is kept from endpoints because of its parts.
func (c *call) handleHeldError(ctx context.Context, held *quarantine.HeldError) {
	if ctx.Err() != nil && !timeIsUp(ctx) {
		c.abortDisconnected()
	}
	c.gateway.stats.count(string(held.Reason), c.service)
	if c.runs > 0 || c.progress.started {
		c.giveUp(ctx, string(held.Reason))
		return
	}
	c.log.Info("refused", "reason", held.Reason, "service", c.service, "after", held.RetryAfter, "parts", strings.Join(held.Parts, ","), "version", c.version)
	c.refuse(http.StatusServiceUnavailable, string(held.Reason), held.RetryAfter)
}

// giveUp ends the request with the best response that there is. A request that
// may have run is never reported as not run.
func (c *call) giveUp(ctx context.Context, reason string) {
	if ctx.Err() != nil && !timeIsUp(ctx) {
		c.abortDisconnected()
	}
	c.log.Warn("given up", "reason", reason, "runs", c.runs, "sends", c.sends, "begun", c.progress.started, "events", c.progress.events, "version", c.version,
		"used", c.timeUsed(), "configured", c.gateway.sinceConfiguration())
	switch {
	case c.progress.started:
		c.gateway.stats.count("broken", c.service)
		c.breakOff()
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

// abortDisconnected ends the request because the caller has closed its connection, or the
// entry has closed it while shutting down. It breaks the connection: a caller that has closed
// only its side may still read, and net/http would complete the answer. The endpoint in the
// log is empty while none has been selected.
func (c *call) abortDisconnected() {
	endpoint := ""
	if len(c.attempts) > 0 {
		endpoint = c.attempts[0].reservation.Endpoint().ID()
	}
	c.log.Info("caller disconnected", "endpoint", endpoint, "after", time.Since(c.received), "events", c.progress.events, "early", c.caller.sentEarly(), "leaving", c.gateway.leaving.Load())
	panic(http.ErrAbortHandler)
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
	if c.progress.started {
		c.breakOff()
	}
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
