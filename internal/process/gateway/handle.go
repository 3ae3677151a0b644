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
	// mostSends is the maximum number of endpoints tried for one request,
	// including those that refuse it.
	mostSends = 5

	// unconfiguredAfter is the Retry-After of an entry that has just
	// started or cannot confirm its keys.
	unconfiguredAfter = 300 * time.Millisecond

	defaultTimeout = 60 * time.Second // used if neither the route nor the caller sets a timeout
)

// job is one caller's request in progress.
type job struct {
	gateway     *Gateway
	log         *slog.Logger
	message     forward.Request
	facts       fulmardeal.Facts
	route       *fulmardeal.Route
	service     string
	customer    string
	homes       [][]string
	version     int64 // of the configuration used for this request
	begun       time.Time
	deadline    time.Time
	fingerprint uint64 // hash of the request, equal when the caller retries it
	writer      http.ResponseWriter

	waited time.Duration // time spent in the queue
	tried  []string      // ids of endpoints not to be tried again
	sends  int           // attempts, including those that an endpoint refused
	runs   int           // attempts that may have run
	last   *failure      // last error response of an endpoint, sent if no attempt succeeds
	relay  relay         // progress of a streamed response
}

// failure is a complete response of an endpoint.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{gateway: g, begun: begun, writer: w, facts: g.codec.ReadFacts(r.Header)}
	j.log = g.log.With("id", j.facts.Attempt)
	if !j.admit(r) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	g.repeatsOf(j.service).Deposit()
	j.run(ctx)
}

// admit determines the route and the customer and reads the body. If the
// request can't be admitted, it writes the refusal and returns false.
func (j *job) admit(r *http.Request) bool {
	g := j.gateway
	view := g.catalogue.View()
	j.version = view.Version()
	if view.Catalogue() == nil {
		j.refuse(http.StatusServiceUnavailable, "unconfigured", unconfiguredAfter)
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
	if !j.read(r, view.Catalogue().Limits) {
		return false
	}
	j.service = pickShare(route.Shares, j.facts.Attempt)
	j.message = forward.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: j.message.Body}
	j.homes = append(j.homes, route.Homes)
	j.schedule()
	return true
}

// authorize determines the customer by the request's key, in the same version
// of the configuration as the route.
func (j *job) authorize(view *catalogue.View) bool {
	g := j.gateway
	if !view.RequiresKey() || j.route.Public {
		return true
	}
	if age, ok := g.confirmed(); !ok {
		j.log.Warn("customer keys not confirmed by the store", "age", age, "version", j.version)
		j.refuse(http.StatusServiceUnavailable, "keys unconfirmed", unconfiguredAfter)
		return false
	}
	customer := view.Customer(j.facts.Key)
	if customer == nil {
		j.refuse(http.StatusUnauthorized, "key not known", 0)
		return false
	}
	j.customer = customer.Name
	j.homes = append(j.homes, customer.Homes)
	return true
}

// read reads the body, up to the configured limit.
func (j *job) read(r *http.Request, l fulmardeal.Limits) bool {
	most := l.Body
	if most <= 0 {
		most = defaultBody
	}
	if r.ContentLength > int64(most) {
		j.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(most)+1))
	if err != nil {
		j.writer.Header().Set("Connection", "close")
		j.refuse(http.StatusBadRequest, "body ends early", 0)
		return false
	}
	if len(body) > most {
		j.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	j.message.Body = body
	return true
}

// schedule computes the deadline of the response and the fingerprint of the
// request.
func (j *job) schedule() {
	limit := defaultTimeout
	if j.route.Timeout > 0 {
		limit = j.route.Timeout
	}
	if d := j.facts.Deadline; d > 0 {
		limit = min(limit, d)
	}
	j.deadline = j.begun.Add(limit)
	var h xxhash.Digest
	for _, part := range []string{j.message.Method, j.message.Host, j.message.Target, j.facts.Key, j.facts.Prefix} {
		_, _ = h.WriteString(part) // a Digest never returns an error
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(j.message.Body)
	j.fingerprint = h.Sum64()
}

// pickShare picks one of a route's services, each with a probability
// proportional to its weight. The choice is a hash of the caller's attempt id,
// so that all entries make the same one.
func pickShare(shares []fulmardeal.Share, attempt string) string {
	if len(shares) == 0 {
		return ""
	}
	sum := 0.0
	for _, s := range shares {
		sum += max(0, s.Weight)
	}
	lot := lotOf(attempt) * sum
	for _, s := range shares {
		lot -= max(0, s.Weight)
		if lot < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// verdict is the result of an attempt, as far as it matters for a retry.
type verdict int

const (
	answered verdict = iota // the caller has its response, or has disconnected
	notRun                  // the endpoint did not run the request
	maybeRun                // the endpoint may have run the request
)

// run tries endpoints until the caller has a response.
func (j *job) run(ctx context.Context) {
	g := j.gateway
	for {
		asked := time.Now()
		place, err := g.table.Reserve(ctx, j.want())
		j.waited += time.Since(asked)
		if err != nil {
			j.unplaced(ctx, err)
			return
		}
		v, fate := j.attempt(ctx, place)
		place.Release(fate)
		if v == answered {
			return
		}
		j.sends++
		if v == maybeRun {
			j.runs++
		}
		if fate != dispatch.OutcomeFull {
			j.tried = append(j.tried, place.Endpoint().ID())
		}
		if reason, ok := j.again(ctx, v); !ok {
			j.give(ctx, reason)
			return
		}
	}
}

func (j *job) want() *dispatch.Request {
	w := &dispatch.Request{
		Service:         j.service,
		HomeRegions:     j.homes,
		PromptTokens:    j.facts.Prompt,
		RequiredWeights: j.relay.weights,
		Tried:           j.tried,
		Deadline:        j.deadline,
		Fingerprint:     j.fingerprint,
		Sent:            j.begun,
		Objective:       j.route.Objective,
	}
	if j.relay.begun {
		w.Sent, w.Objective, w.Resumed = time.Now(), j.route.Pause, true
	}
	return w
}

// again reports whether another endpoint may be tried, or otherwise the reason
// why not.
func (j *job) again(ctx context.Context, v verdict) (string, bool) {
	switch {
	case ctx.Err() != nil:
		return "time is up", false
	case v == maybeRun && !j.route.Repeatable():
		return "may have run", false
	case j.runs >= j.route.Attempts:
		return "attempts used up", false
	case j.sends >= mostSends:
		return "too many endpoints asked", false
	case !j.gateway.repeatsOf(j.service).Withdraw():
		return "repeats used up", false
	}
	return "", true
}

// attempt sends the request to one endpoint and handles its response.
func (j *job) attempt(ctx context.Context, p *dispatch.Reservation) (verdict, dispatch.Outcome) {
	g := j.gateway
	e := p.Endpoint()
	forwarded := fulmardeal.Forward{
		Instance: e.ID(),
		Deadline: time.Until(j.deadline),
		Customer: j.customer,
		Priority: -1,
		Weights:  j.relay.weights,
		Resume:   j.relay.resumeAfter(j.facts.Resume),
	}
	if j.relay.begun {
		forwarded.Priority = 0 // most urgent: its caller is waiting in the middle of a response
	}
	m := j.message
	m.Header = g.codec.WriteForward(j.message.Header, forwarded)
	sent := time.Now()
	x, err := g.pool.Send(ctx, e.Address(), m, j.mostIdle(), j.silence())
	if err != nil {
		return j.unanswered(ctx, p, err)
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
		if _, err := x.ReadAll(mostRefusal, drainTime); err == nil {
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
		return j.stream(ctx, p, x, r)
	}
	return j.plain(ctx, p, x, r, sent)
}

// Limits on reading the body of an endpoint's refusal.
const (
	mostRefusal = 64 << 10 // bytes
	drainTime   = 50 * time.Millisecond
)

// mostIdle returns the maximum idle time of a pooled connection that may be
// used for this request. A request that must not be retried needs a recently
// used connection: the endpoint may have closed an older one, and then it is
// unknown whether it has received the request.
func (j *job) mostIdle() time.Duration {
	if j.route.Repeatable() {
		return time.Hour
	}
	return provedFor
}

// Timeouts after which another endpoint is tried, if a retry is allowed.
const (
	provedFor     = 300 * time.Millisecond  // below all idle timeouts of endpoints, which are whole seconds
	plainSilence  = 400 * time.Millisecond  // seven times the usual duration of a plain call
	firstSilence  = 1200 * time.Millisecond // leaves another engine half of the time that callers wait
	eventSilence  = 1000 * time.Millisecond // callers disconnect after 2 s; a decoding pass takes a tenth of that
	unboundedWait = 0
)

// silence returns the timeout for the response header.
func (j *job) silence() time.Duration {
	switch {
	case !j.route.Repeatable() || j.runs+1 >= j.route.Attempts:
		return unboundedWait
	case j.route.Kind == fulmardeal.KindStream:
		return max(firstSilence, 2*j.route.Objective)
	}
	return max(plainSilence, j.route.Objective)
}

// unanswered handles a request without a complete response.
func (j *job) unanswered(ctx context.Context, p *dispatch.Reservation, err error) (verdict, dispatch.Outcome) {
	e := p.Endpoint()
	var unsent *fulmardeal.UnsentError
	isUnsent := errors.As(err, &unsent)
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if ctx.Err() != nil && !late {
		j.log.Info("caller disconnected", "endpoint", e.ID(), "after", time.Since(j.begun))
		return answered, dispatch.OutcomeCancelled
	}
	j.log.Warn("endpoint failed", "endpoint", e.ID(), "unsent", isUnsent, "err", err)
	j.gateway.pool.CloseIdle(e.Address())
	if isUnsent {
		return notRun, dispatch.OutcomeFailed
	}
	return maybeRun, dispatch.OutcomeFailed
}

// plain forwards a response that is not a stream, once it has been received
// completely.
func (j *job) plain(ctx context.Context, p *dispatch.Reservation, x *forward.Exchange, r fulmardeal.Reply, sent time.Time) (verdict, dispatch.Outcome) {
	g := j.gateway
	body, err := x.ReadAll(mostPlain, unboundedWait)
	if err != nil {
		return j.unanswered(ctx, p, err)
	}
	p.RecordFirstEvent()
	x.Release(r.Keep)
	f := &failure{status: x.Status(), header: x.Header(), body: body}
	if x.Status() >= http.StatusInternalServerError {
		j.log.Info("endpoint returned a server error", "endpoint", p.Endpoint().ID(), "status", x.Status(), "took", time.Since(sent))
		if j.route.Repeatable() {
			j.last = f
			return maybeRun, dispatch.OutcomeFailed
		}
		j.deliver(f)
		return answered, dispatch.OutcomeFailed
	}
	j.deliver(f)
	g.stats.served(j.service, time.Since(j.begun))
	return answered, dispatch.OutcomeServed
}

// mostPlain is the maximum size of a response that is buffered.
const mostPlain = 8 << 20 // bytes

// deliver sends an endpoint's response to the caller unchanged.
func (j *job) deliver(f *failure) {
	h := j.writer.Header()
	for name, values := range j.gateway.codec.WriteReply(f.header) {
		h[name] = values
	}
	noSniff(h)
	h["Content-Length"] = []string{strconv.Itoa(len(f.body))}
	j.writer.WriteHeader(f.status)
	// A failed write means that the caller has disconnected.
	_, _ = j.writer.Write(f.body)
}

// noSniff keeps net/http from adding a Content-Type or Date that the endpoint
// didn't send.
func noSniff(h http.Header) {
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil
	}
	if _, set := h["Date"]; !set {
		h["Date"] = nil
	}
}

// unplaced handles a request for which no slot could be reserved.
func (j *job) unplaced(ctx context.Context, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		j.log.Info("caller disconnected", "after", time.Since(j.begun))
		return
	}
	var refused *dispatch.RefusedError
	if !errors.As(err, &refused) {
		refused = &dispatch.RefusedError{Reason: dispatch.RefusedNoEndpoint}
	}
	if j.runs > 0 || j.relay.begun {
		j.give(ctx, "no place: "+string(refused.Reason))
		return
	}
	j.log.Info("refused", "reason", refused.Reason, "service", j.service, "after", refused.RetryAfter, "waited", refused.Waited,
		"prompt", j.facts.Prompt, "version", j.version)
	j.refuse(http.StatusServiceUnavailable, string(refused.Reason), refused.RetryAfter)
}

// give gives up the request. A request that may have run is never reported as
// not run.
func (j *job) give(ctx context.Context, reason string) {
	j.log.Warn("given up", "reason", reason, "runs", j.runs, "sends", j.sends, "begun", j.relay.begun, "events", j.relay.events, "version", j.version)
	switch {
	case j.relay.begun:
		j.gateway.stats.count("broken", j.service)
		panic(http.ErrAbortHandler) // breaks the connection: the caller must see that the stream is incomplete
	case j.last != nil:
		j.gateway.stats.count("failed", j.service)
		j.deliver(j.last)
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
