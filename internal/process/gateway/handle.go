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

// Bounds of one request.
const (
	// mostSends bounds the endpoints that are asked for one request, those
	// that refuse it too.
	mostSends = 5

	// unconfiguredAfter is when to come back to an entry that has just started.
	unconfiguredAfter = 300 * time.Millisecond

	defaultTimeout = 60 * time.Second // where neither route nor caller sets one
)

// job is one caller's request on its way.
type job struct {
	gateway     *Gateway
	log         *slog.Logger
	message     forward.Request
	facts       fulmardeal.RequestMetadata
	route       *fulmardeal.Route
	service     string
	customer    string
	homes       [][]string
	version     int64 // of the configuration that decided
	begun       time.Time
	deadline    time.Time
	fingerprint uint64 // of what is asked for; the same when the caller comes back
	writer      http.ResponseWriter

	waited time.Duration // in line
	tried  []string      // endpoints that are not to be asked again
	sends  int           // requests sent to endpoints, refused ones too
	runs   int           // endpoints that may have run it
	last   *failure      // the last failure of an endpoint, to be handed on
	relay  relay         // of a stream
}

// failure is an endpoint's own answer that is no success.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP takes one request from a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{gateway: g, begun: begun, writer: w, facts: g.codec.ReadRequestMetadata(r.Header)}
	j.log = g.log.With("id", j.facts.AttemptID)
	if !j.admit(r) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	g.repeatsOf(j.service).Deposit()
	j.run(ctx)
}

// admit finds route and customer and reads the body. It answers by itself what
// can't be admitted.
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
	j.service = pickShare(route.Shares, j.facts.AttemptID)
	j.message = forward.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: j.message.Body}
	j.homes = append(j.homes, route.Homes)
	j.schedule()
	return true
}

// authorize finds the customer of the request's key, in the configuration that
// named the route.
func (j *job) authorize(view *catalogue.View) bool {
	g := j.gateway
	if !view.RequiresKey() || j.route.Public {
		return true
	}
	if age, ok := g.confirmed(); !ok {
		j.log.Warn("keys unconfirmed", "age", age, "version", j.version)
		j.refuse(http.StatusServiceUnavailable, "keys unconfirmed", unconfiguredAfter)
		return false
	}
	customer := view.Customer(j.facts.APIKey)
	if customer == nil {
		j.refuse(http.StatusUnauthorized, "key not known", 0)
		return false
	}
	j.customer = customer.Name
	j.homes = append(j.homes, customer.Homes)
	return true
}

// read reads the body within the configured limit.
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

// schedule works out by when the request has its final answer.
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
	for _, part := range []string{j.message.Method, j.message.Host, j.message.Target, j.facts.APIKey, j.facts.PromptPrefix} {
		_, _ = h.WriteString(part) // a Digest never fails
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(j.message.Body)
	j.fingerprint = h.Sum64()
}

// pickShare draws one of a route's services by weight. The caller's attempt
// decides the lot, so that it is the same at every entry.
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

// verdict says what follows an attempt.
type verdict int

const (
	answered verdict = iota // the caller has its answer, or is gone
	notRun                  // the endpoint didn't run it
	maybeRun                // it may have run
)

// run asks endpoints until the caller has an answer.
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
		PromptTokens:    j.facts.PromptTokens,
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

// again reports whether another endpoint may be asked, or why not.
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

// attempt sends the request to one endpoint and handles its answer.
func (j *job) attempt(ctx context.Context, p *dispatch.Reservation) (verdict, dispatch.Outcome) {
	g := j.gateway
	e := p.Endpoint()
	forwarded := fulmardeal.ForwardMetadata{
		Instance:       e.ID(),
		Deadline:       time.Until(j.deadline),
		Customer:       j.customer,
		Priority:       -1,
		WeightsVersion: j.relay.weights,
		LastEventID:    j.relay.resumeAfter(j.facts.LastEventID),
	}
	if j.relay.begun {
		forwarded.Priority = 0 // its caller is waiting in the middle of the answer
	}
	m := j.message
	m.Header = g.codec.ForwardHeader(j.message.Header, forwarded)
	sent := time.Now()
	x, err := g.pool.Send(ctx, e.Address(), m, j.mostIdle(), j.silence())
	if err != nil {
		return j.unanswered(ctx, p, err)
	}
	defer x.Close()
	r := g.codec.ReadResponseMetadata(x.Status(), x.Header())
	if r.AttemptID != "" && r.AttemptID != j.facts.AttemptID {
		j.log.Warn("foreign answer", "endpoint", e.ID(), "got", r.AttemptID, "reused", x.Reused())
		return maybeRun, dispatch.OutcomeFailed
	}
	switch {
	case r.NotRun && x.Status() != http.StatusBadRequest:
		j.log.Info("endpoint refused", "endpoint", e.ID(), "status", x.Status(), "running", r.Running, "waiting", r.Waiting, "weights", p.Weights())
		if _, err := x.ReadAll(mostRefusal, drainTime); err == nil {
			x.Release(r.IdleTimeout)
		}
		if x.Status() == http.StatusMisdirectedRequest {
			return notRun, dispatch.OutcomeMismatch
		}
		return notRun, dispatch.OutcomeFull
	case !r.Signed && !r.NotRun:
		j.log.Warn("unsigned answer", "endpoint", e.ID(), "status", x.Status())
		return maybeRun, dispatch.OutcomeFailed
	case x.Status()/100 == 2 && j.route.Kind == fulmardeal.KindStream:
		return j.stream(ctx, p, x, r)
	}
	return j.plain(ctx, p, x, r, sent)
}

// Bounds of a refusal's body.
const (
	mostRefusal = 64 << 10 // bytes
	drainTime   = 50 * time.Millisecond
)

// mostIdle bounds the idle time of a kept connection for this request. One that
// may not be repeated needs a connection that was in use a moment ago: another
// may have been closed at the far end, and nothing would tell whether the
// request was seen.
func (j *job) mostIdle() time.Duration {
	if j.route.Repeatable() {
		return time.Hour
	}
	return provedFor
}

// Silences after which an endpoint isn't waited for when another may be asked.
const (
	provedFor     = 300 * time.Millisecond  // below any idle timeout, which are whole seconds
	plainSilence  = 400 * time.Millisecond  // seven times the usual time of a plain call
	firstSilence  = 1200 * time.Millisecond // leaves another engine half of the caller's patience
	eventSilence  = 1000 * time.Millisecond // callers leave after 2 s; a pass takes a tenth of that
	unboundedWait = 0
)

// silence returns how long to wait for the head of an answer.
func (j *job) silence() time.Duration {
	switch {
	case !j.route.Repeatable() || j.runs+1 >= j.route.Attempts:
		return unboundedWait
	case j.route.Kind == fulmardeal.KindStream:
		return max(firstSilence, 2*j.route.Objective)
	}
	return max(plainSilence, j.route.Objective)
}

// unanswered judges a request that got no answer.
func (j *job) unanswered(ctx context.Context, p *dispatch.Reservation, err error) (verdict, dispatch.Outcome) {
	e := p.Endpoint()
	var unsent *fulmardeal.UnsentError
	isUnsent := errors.As(err, &unsent)
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if ctx.Err() != nil && !late {
		j.log.Info("caller left", "endpoint", e.ID(), "after", time.Since(j.begun))
		return answered, dispatch.OutcomeCancelled
	}
	j.log.Warn("endpoint failed", "endpoint", e.ID(), "unsent", isUnsent, "err", err)
	j.gateway.pool.CloseIdle(e.Address())
	if isUnsent {
		return notRun, dispatch.OutcomeFailed
	}
	return maybeRun, dispatch.OutcomeFailed
}

// plain handles an answer that is no stream: it is handed on when it is whole.
func (j *job) plain(ctx context.Context, p *dispatch.Reservation, x *forward.Exchange, r fulmardeal.ResponseMetadata, sent time.Time) (verdict, dispatch.Outcome) {
	g := j.gateway
	body, err := x.ReadAll(mostPlain, unboundedWait)
	if err != nil {
		return j.unanswered(ctx, p, err)
	}
	p.RecordFirstEvent()
	x.Release(r.IdleTimeout)
	f := &failure{status: x.Status(), header: x.Header(), body: body}
	if x.Status() >= http.StatusInternalServerError {
		j.log.Info("endpoint's failure", "endpoint", p.Endpoint().ID(), "status", x.Status(), "took", time.Since(sent))
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

// mostPlain bounds the answers that are held until they are whole.
const mostPlain = 8 << 20 // bytes

// deliver hands on an endpoint's answer unchanged.
func (j *job) deliver(f *failure) {
	h := j.writer.Header()
	for name, values := range j.gateway.codec.ResponseHeader(f.header) {
		h[name] = values
	}
	noSniff(h)
	h["Content-Length"] = []string{strconv.Itoa(len(f.body))}
	j.writer.WriteHeader(f.status)
	// A caller that has gone meanwhile needs no answer.
	_, _ = j.writer.Write(f.body)
}

// noSniff keeps the library from guessing a type that the endpoint didn't send.
func noSniff(h http.Header) {
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil
	}
	if _, set := h["Date"]; !set {
		h["Date"] = nil
	}
}

// unplaced answers a request that found no place.
func (j *job) unplaced(ctx context.Context, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		j.log.Info("caller left", "after", time.Since(j.begun))
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
		"prompt", j.facts.PromptTokens, "version", j.version)
	j.refuse(http.StatusServiceUnavailable, string(refused.Reason), refused.RetryAfter)
}

// give gives a request up. What may have run is never said not to have.
func (j *job) give(ctx context.Context, reason string) {
	j.log.Warn("given up", "reason", reason, "runs", j.runs, "sends", j.sends, "begun", j.relay.begun, "events", j.relay.events, "version", j.version)
	switch {
	case j.relay.begun:
		j.gateway.stats.count("broken", j.service)
		panic(http.ErrAbortHandler) // the caller must see that the stream isn't whole
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

// retryAfterFailure is when to come back after endpoints could not be reached:
// by then they are known to be gone.
const retryAfterFailure = 100 * time.Millisecond

// refuse writes an answer of the entry's own.
func (j *job) refuse(status int, reason string, after time.Duration) {
	j.gateway.stats.count("refused_"+strconv.Itoa(status), j.service)
	if status != http.StatusServiceUnavailable {
		j.log.Info("answered", "status", status, "reason", reason, "version", j.version)
	}
	j.gateway.codec.SetRejectionHeader(j.writer.Header(), j.facts.AttemptID, after)
	j.writer.Header()["Date"] = nil
	body := reason + "\n"
	j.writer.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	j.writer.WriteHeader(status)
	_, _ = io.WriteString(j.writer, body) // a caller that has gone needs no answer
}
