package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
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

	defaultTimeout = 60 * time.Second // used if neither the route nor the caller sets a timeout
)

// job is one caller's request in progress.
type job struct {
	gateway     *Gateway
	log         *slog.Logger
	request     forward.Request
	facts       fulmardeal.Facts
	route       *fulmardeal.Route
	service     string
	customer    string
	homeRegions [][]string
	version     int64 // of the configuration used for this request
	received    time.Time
	deadline    time.Time
	fingerprint uint64 // hash of the request, equal when the caller retries it
	writer      http.ResponseWriter

	queueTime   time.Duration     // time spent in the queue
	tried       []string          // ids of endpoints not to be tried again
	sends       int               // attempts, including those that an endpoint refused
	runs        int               // attempts that may have run
	lastFailure *endpointResponse // last error response of an endpoint, sent if no attempt succeeds
	progress    streamProgress    // progress of a streamed response
}

// endpointResponse is a complete response of an endpoint.
type endpointResponse struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{gateway: g, received: received, writer: w, facts: g.codec.ReadFacts(r.Header)}
	j.log = g.log.With("id", j.facts.Attempt)
	if !j.admit(r) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	g.retryBudget(j.service).Deposit()
	j.run(ctx)
}

// admit determines the route and the customer and reads the body. If the
// request can't be admitted, it writes the refusal and returns false.
func (j *job) admit(r *http.Request) bool {
	g := j.gateway
	view := g.catalogue.View()
	j.version = view.Version()
	if view.Catalogue() == nil {
		j.refuse(http.StatusServiceUnavailable, "unconfigured", retryAfterStartup)
		return false
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	route := view.Route(host, r.RequestURI)
	if route == nil {
		j.refuse(http.StatusNotFound, "no route", 0)
		return false
	}
	j.route = route
	if !j.authorize(view) {
		return false
	}
	if !j.readBody(r, view.Catalogue().Limits) {
		return false
	}
	j.service = pickService(route.Shares, j.facts.Attempt)
	j.request = forward.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: j.request.Body}
	j.homeRegions = append(j.homeRegions, route.Homes)
	j.setDeadlineAndFingerprint()
	return true
}

// authorize determines the customer by the request's key, in the same version
// of the configuration as the route.
func (j *job) authorize(view *catalogue.View) bool {
	g := j.gateway
	if !view.RequiresKey() || j.route.Public {
		return true
	}
	if age, ok := g.keysConfirmed(); !ok {
		j.log.Warn("customer keys not confirmed by the store", "age", age, "version", j.version)
		j.refuse(http.StatusServiceUnavailable, "keys unconfirmed", retryAfterStartup)
		return false
	}
	customer := view.Customer(j.facts.Key)
	if customer == nil {
		j.refuse(http.StatusUnauthorized, "key not known", 0)
		return false
	}
	j.customer = customer.Name
	j.homeRegions = append(j.homeRegions, customer.Homes)
	return true
}

// readBody reads the body, up to the configured limit.
func (j *job) readBody(r *http.Request, l fulmardeal.Limits) bool {
	maxBytes := l.Body
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if r.ContentLength > int64(maxBytes) {
		j.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(maxBytes)+1))
	if err != nil {
		j.writer.Header().Set("Connection", "close")
		j.refuse(http.StatusBadRequest, "body ends early", 0)
		return false
	}
	if len(body) > maxBytes {
		j.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	j.request.Body = body
	return true
}

// setDeadlineAndFingerprint computes the deadline of the response and the
// fingerprint of the request.
func (j *job) setDeadlineAndFingerprint() {
	limit := defaultTimeout
	if j.route.Timeout > 0 {
		limit = j.route.Timeout
	}
	if d := j.facts.Deadline; d > 0 {
		limit = min(limit, d)
	}
	j.deadline = j.received.Add(limit)
	var h xxhash.Digest
	for _, part := range []string{j.request.Method, j.request.Host, j.request.Target, j.facts.Key, j.facts.Prefix} {
		_, _ = h.WriteString(part) // a Digest never returns an error
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(j.request.Body)
	j.fingerprint = h.Sum64()
}

// pickService picks one of a route's services, each with a probability
// proportional to its weight. The choice is a hash of the caller's attempt id,
// so that all entries make the same one.
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
func (j *job) run(ctx context.Context) {
	g := j.gateway
	for {
		start := time.Now()
		reservation, err := g.table.Reserve(ctx, j.dispatchRequest())
		j.queueTime += time.Since(start)
		if err != nil {
			j.handleReserveError(ctx, err)
			return
		}
		result, outcome := j.attempt(ctx, reservation)
		reservation.Release(outcome)
		if result == finished {
			return
		}
		j.sends++
		if result == maybeRun {
			j.runs++
		}
		if outcome != dispatch.OutcomeFull {
			j.tried = append(j.tried, reservation.Endpoint().ID())
		}
		if reason, ok := j.mayRetry(ctx, result); !ok {
			j.giveUp(ctx, reason)
			return
		}
	}
}

func (j *job) dispatchRequest() *dispatch.Request {
	request := &dispatch.Request{
		Service:         j.service,
		HomeRegions:     j.homeRegions,
		PromptTokens:    j.facts.Prompt,
		RequiredWeights: j.progress.weights,
		Tried:           j.tried,
		Deadline:        j.deadline,
		Fingerprint:     j.fingerprint,
		Sent:            j.received,
		Objective:       j.route.Objective,
	}
	if j.progress.started {
		request.Sent, request.Objective, request.Resumed = time.Now(), j.route.Pause, true
	}
	return request
}

// mayRetry reports whether another endpoint may be tried, or otherwise the
// reason why not.
func (j *job) mayRetry(ctx context.Context, v attemptResult) (string, bool) {
	switch {
	case ctx.Err() != nil:
		return "time is up", false
	case v == maybeRun && !j.route.Repeatable():
		return "may have run", false
	case j.runs >= j.route.Attempts:
		return "attempts used up", false
	case j.sends >= maxEndpointsTried:
		return "too many endpoints asked", false
	case !j.gateway.retryBudget(j.service).Withdraw():
		return "repeats used up", false
	}
	return "", true
}

// attempt sends the request to one endpoint and handles its response.
func (j *job) attempt(ctx context.Context, p *dispatch.Reservation) (attemptResult, dispatch.Outcome) {
	g := j.gateway
	e := p.Endpoint()
	forwarded := fulmardeal.Forward{
		Instance: e.ID(),
		Deadline: time.Until(j.deadline),
		Customer: j.customer,
		Priority: -1,
		Weights:  j.progress.weights,
		Resume:   j.progress.resumeAfter(j.facts.Resume),
	}
	if j.progress.started {
		forwarded.Priority = 0 // most urgent: its caller is waiting in the middle of a response
	}
	m := j.request
	m.Header = g.codec.WriteForward(j.request.Header, forwarded)
	sent := time.Now()
	x, err := g.pool.Send(ctx, e.Address(), m, j.maxIdleTime(), j.responseTimeout())
	if err != nil {
		return j.handleExchangeError(ctx, p, err)
	}
	defer x.Close()
	r := g.codec.ReadReply(x.Status(), x.Header())
	if r.Attempt != "" && r.Attempt != j.facts.Attempt {
		j.log.Warn("response has the id of another attempt", "endpoint", e.ID(), "got", r.Attempt, "reused", x.Reused())
		return maybeRun, dispatch.OutcomeFailed
	}
	switch {
	case r.NotRun && x.Status() != http.StatusBadRequest:
		j.log.Info("endpoint refused", "endpoint", e.ID(), "status", x.Status(), "running", r.Running, "waiting", r.Waiting, "weights", p.Weights())
		if _, err := x.ReadAll(maxRefusalBytes, refusalReadTimeout); err == nil {
			x.Release(r.Keep)
		}
		if x.Status() == http.StatusMisdirectedRequest {
			return notRun, dispatch.OutcomeMismatch
		}
		return notRun, dispatch.OutcomeFull
	case !r.Signed && !r.NotRun:
		j.log.Warn("response without a signature", "endpoint", e.ID(), "status", x.Status())
		return maybeRun, dispatch.OutcomeFailed
	case x.Status()/100 == 2 && j.route.Kind == fulmardeal.KindStream:
		return j.forwardStream(ctx, p, x, r)
	}
	return j.forwardPlain(ctx, p, x, r, sent)
}

// Limits on reading the body of an endpoint's refusal.
const (
	maxRefusalBytes    = 64 << 10 // bytes
	refusalReadTimeout = 50 * time.Millisecond
)

// maxIdleTime returns the maximum idle time of a pooled connection that may be
// used for this request. A request that must not be retried needs a recently
// used connection: the endpoint may have closed an older one, and then it is
// unknown whether it has received the request.
func (j *job) maxIdleTime() time.Duration {
	if j.route.Repeatable() {
		return time.Hour
	}
	return recentUse
}

// Timeouts after which another endpoint is tried, if a retry is allowed.
const (
	recentUse            = 300 * time.Millisecond  // below all idle timeouts of endpoints, which are whole seconds
	minPlainTimeout      = 400 * time.Millisecond  // seven times the usual duration of a plain call
	minFirstEventTimeout = 1200 * time.Millisecond // leaves another engine half of the time that callers wait
	minEventTimeout      = 1000 * time.Millisecond // callers disconnect after 2 s; a decoding pass takes a tenth of that
	noTimeout            = 0
)

// responseTimeout returns the timeout for the response header.
func (j *job) responseTimeout() time.Duration {
	switch {
	case !j.route.Repeatable() || j.runs+1 >= j.route.Attempts:
		return noTimeout
	case j.route.Kind == fulmardeal.KindStream:
		return max(minFirstEventTimeout, 2*j.route.Objective)
	}
	return max(minPlainTimeout, j.route.Objective)
}

// handleExchangeError handles a request without a complete response.
func (j *job) handleExchangeError(ctx context.Context, p *dispatch.Reservation, err error) (attemptResult, dispatch.Outcome) {
	e := p.Endpoint()
	var unsent *fulmardeal.UnsentError
	isUnsent := errors.As(err, &unsent)
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if ctx.Err() != nil && !expired {
		j.log.Info("caller disconnected", "endpoint", e.ID(), "after", time.Since(j.received))
		return finished, dispatch.OutcomeCancelled
	}
	j.log.Warn("endpoint failed", "endpoint", e.ID(), "unsent", isUnsent, "err", err)
	j.gateway.pool.CloseIdle(e.Address())
	if isUnsent {
		return notRun, dispatch.OutcomeFailed
	}
	return maybeRun, dispatch.OutcomeFailed
}

// forwardPlain forwards a response that is not a stream, once it has been
// received completely.
func (j *job) forwardPlain(ctx context.Context, p *dispatch.Reservation, x *forward.Exchange, r fulmardeal.Reply, sent time.Time) (attemptResult, dispatch.Outcome) {
	g := j.gateway
	body, err := x.ReadAll(maxPlainBytes, noTimeout)
	if err != nil {
		return j.handleExchangeError(ctx, p, err)
	}
	p.RecordFirstEvent()
	x.Release(r.Keep)
	f := &endpointResponse{status: x.Status(), header: x.Header(), body: body}
	if x.Status() >= http.StatusInternalServerError {
		j.log.Info("endpoint returned a server error", "endpoint", p.Endpoint().ID(), "status", x.Status(), "took", time.Since(sent))
		if j.route.Repeatable() {
			j.lastFailure = f
			return maybeRun, dispatch.OutcomeFailed
		}
		j.writeResponse(f)
		return finished, dispatch.OutcomeFailed
	}
	j.writeResponse(f)
	g.stats.served(j.service, time.Since(j.received))
	return finished, dispatch.OutcomeServed
}

// maxPlainBytes is the maximum size of a response that is buffered.
const maxPlainBytes = 8 << 20 // bytes

// writeResponse sends an endpoint's response to the caller unchanged.
func (j *job) writeResponse(f *endpointResponse) {
	h := j.writer.Header()
	for name, values := range j.gateway.codec.WriteReply(f.header) {
		h[name] = values
	}
	suppressDefaultHeaders(h)
	h["Content-Length"] = []string{strconv.Itoa(len(f.body))}
	j.writer.WriteHeader(f.status)
	// A failed write means that the caller has disconnected.
	_, _ = j.writer.Write(f.body)
}

// suppressDefaultHeaders keeps net/http from adding a Content-Type or Date that
// the endpoint didn't send.
func suppressDefaultHeaders(h http.Header) {
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil
	}
	if _, set := h["Date"]; !set {
		h["Date"] = nil
	}
}

// handleReserveError handles a request for which no slot could be reserved.
func (j *job) handleReserveError(ctx context.Context, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		j.log.Info("caller disconnected", "after", time.Since(j.received))
		return
	}
	var refused *dispatch.RefusedError
	if !errors.As(err, &refused) {
		refused = &dispatch.RefusedError{Reason: dispatch.RefusedNoEndpoint}
	}
	if j.runs > 0 || j.progress.started {
		j.giveUp(ctx, "no place: "+string(refused.Reason))
		return
	}
	j.log.Info("refused", "reason", refused.Reason, "service", j.service, "after", refused.RetryAfter, "waited", refused.Waited,
		"prompt", j.facts.Prompt, "version", j.version)
	j.refuse(http.StatusServiceUnavailable, string(refused.Reason), refused.RetryAfter)
}

// giveUp gives up the request. A request that may have run is never reported as
// not run.
func (j *job) giveUp(ctx context.Context, reason string) {
	j.log.Warn("given up", "reason", reason, "runs", j.runs, "sends", j.sends, "begun", j.progress.started, "events", j.progress.events, "version", j.version)
	switch {
	case j.progress.started:
		j.gateway.stats.count("broken", j.service)
		panic(http.ErrAbortHandler) // breaks the connection: the caller must see that the stream is incomplete
	case j.lastFailure != nil:
		j.gateway.stats.count("failed", j.service)
		j.writeResponse(j.lastFailure)
	case j.runs == 0:
		j.refuse(http.StatusServiceUnavailable, reason, retryAfterFailure)
	case ctx.Err() != nil:
		j.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		j.refuse(http.StatusBadGateway, reason, 0)
	}
}

// retryAfterFailure is the Retry-After when endpoints could not be reached. By
// then they are known to be gone.
const retryAfterFailure = 100 * time.Millisecond

// refuse writes a response of the entry itself.
func (j *job) refuse(status int, reason string, after time.Duration) {
	j.gateway.stats.count("refused_"+strconv.Itoa(status), j.service)
	if status != http.StatusServiceUnavailable {
		j.log.Info("request rejected", "status", status, "reason", reason, "version", j.version)
	}
	j.gateway.codec.WriteRefusal(j.writer.Header(), j.facts.Attempt, after)
	j.writer.Header()["Date"] = nil
	body := reason + "\n"
	j.writer.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	j.writer.WriteHeader(status)
	_, _ = io.WriteString(j.writer, body) // a failed write means that the caller has disconnected
}
