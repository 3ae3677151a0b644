package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"fulmardeal"
	"fulmardeal/internal/traffic/dispatch"
	"fulmardeal/internal/traffic/forward"
	"fulmardeal/internal/traffic/quarantine"
)

// attemptResult is the result of an attempt, as far as it matters for a retry.
type attemptResult int

const (
	finished attemptResult = iota // the endpoint's response is complete
	notRun                        // the endpoint did not run the request
	maybeRun                      // the endpoint may have run the request
)

// attempt is one attempt to have a request answered by one endpoint. It runs in a
// goroutine of its own, sends nothing to the caller, and reports to its call what it
// receives.
type attempt struct {
	call        *call // only fields that don't change while attempts run, and updates
	reservation *dispatch.Reservation
	permit      *quarantine.Permit
	request     forward.Request
	resumed     bool       // the caller already has part of the response
	order       eventOrder // of the events that a stream has to continue
	weights     int64      // the only version of the weights that may continue it; 0 for any
	cancel      context.CancelFunc
	withdraw    context.CancelFunc // ends the exchange, but not the report of its end
	begun       atomic.Bool        // the endpoint has begun to answer

	// These fields belong to the attempt's goroutine.
	sent       time.Time
	connected  time.Duration // how long it took to get a connection; 0 before
	firstEvent time.Time     // when the first event was received; zero before
	events     int           // events received

	// The fields below belong to the call.
	cancelled bool
	silent    bool // its present silence has been recorded
}

// update is what an attempt has received since its last update.
type update struct {
	attempt  *attempt
	status   int
	header   http.Header // of the endpoint's response
	weights  int64       // version of the weights that serve the request
	events   []byte      // complete events of a stream
	count    int         // number of these events
	order    eventOrder  // after these events
	response *endpointResponse
	ended    bool // no further update follows
	result   attemptResult
	outcome  dispatch.Outcome
	withheld bool // nothing was sent to the endpoint, deliberately
	suspect  bool // the endpoint crashed, maybe because of a part of the prompt
}

// run makes the attempt and reports its end. The slot is free by then. The context of the
// exchange is derived from ctx.
func (a *attempt) run(ctx, exchange context.Context) {
	u := a.tryExchange(exchange)
	a.permit.Done(time.Now())
	a.reservation.Release(u.outcome)
	u.attempt, u.ended = a, true
	a.report(ctx, u)
}

// tryExchange is exchange, except that a panic fails the attempt. No other goroutine
// would recover it, and it would end the process with the requests of all callers.
func (a *attempt) tryExchange(ctx context.Context) (u update) {
	defer func() {
		if v := recover(); v != nil {
			c := a.call
			c.gateway.stats.count("panics", c.service)
			c.log.Error("attempt panicked", "endpoint", a.reservation.Endpoint().ID(), "value", v, "version", c.version, "stack", string(debug.Stack()))
			u = update{result: maybeRun, outcome: dispatch.OutcomeFailed}
		}
	}()
	return a.exchange(ctx)
}

// report passes an update to the call, unless the attempt has been cancelled.
func (a *attempt) report(ctx context.Context, u update) {
	select {
	case a.call.updates <- u:
	case <-ctx.Done():
		if u.response != nil {
			a.call.gateway.pool.Free(u.response.body)
		}
	}
}

// exchange sends the request to the endpoint and receives the response. It returns the
// last update.
func (a *attempt) exchange(ctx context.Context) update {
	c := a.call
	g := c.gateway
	e := a.reservation.Endpoint()
	sent := time.Now()
	a.sent = sent
	x, err := g.pool.Send(ctx, e.Address(), a.request, c.maxIdleTime(), noDeadline)
	if err != nil {
		return a.failure(ctx, err, sent, false)
	}
	defer x.Close()
	r := g.codec.ReadResponseMetadata(x.Status(), x.Header())
	a.applyNotice(r)
	if !c.isAnswer(x.Status(), r) {
		c.log.Warn("response is not the answer to the request", "endpoint", e.ID(), "got", r.AttemptID, "status", x.Status(), "reused", x.Reused())
		return update{result: maybeRun, outcome: dispatch.OutcomeFailed}
	}
	a.applyLimit(x.Status(), r)
	if r.Running >= 0 {
		a.reservation.RecordLoad(dispatch.ReportedLoad{Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, WorkTime: r.WorkTime})
	}
	if believed := a.reservation.Weights(); r.WeightsVersion != 0 && r.WeightsVersion != believed {
		c.log.Warn("answer from other weights than expected", "endpoint", e.ID(), "status", x.Status(), "weights", r.WeightsVersion, "expected", believed, "took", time.Since(sent))
		a.reservation.RecordWeights(r.WeightsVersion)
	}
	switch {
	case r.NotRun && x.Status() != http.StatusBadRequest:
		c.log.Info("endpoint refused the request", "endpoint", e.ID(), "status", x.Status(), "running", r.Running, "waiting", r.Waiting, "weights", a.reservation.Weights())
		if body, err := x.ReadAll(maxRefusalBytes, time.Now().Add(refusalReadTimeout)); err == nil {
			g.pool.Free(body)
			x.Release(r.IdleTimeout)
		}
		if x.Status() == http.StatusMisdirectedRequest {
			return update{result: notRun, outcome: dispatch.OutcomeMismatch}
		}
		return update{result: notRun, outcome: dispatch.OutcomeFull}
	case !r.Signed && !r.NotRun:
		c.log.Warn("response has no signature", "endpoint", e.ID(), "status", x.Status())
		return update{result: maybeRun, outcome: dispatch.OutcomeFailed}
	case !r.NotRun && promisesNotRun(x.Status()) && c.route.Kind != fulmardeal.KindIdempotent:
		c.log.Warn("endpoint refused the request without a guarantee that it has not run", "endpoint", e.ID(), "status", x.Status())
		return update{result: maybeRun, outcome: dispatch.OutcomeFailed}
	case isEncoded(x.Header()):
		c.log.Warn("response has an encoding", "endpoint", e.ID(), "status", x.Status(), "encoding", strings.Join(x.Header()[headerContentEncoding], ","))
		return update{result: maybeRun, outcome: dispatch.OutcomeFailed}
	case x.Status()/100 == 2 && c.route.Kind == fulmardeal.KindStream:
		return a.readStream(ctx, x, r)
	case a.resumed: // the caller has got a part of a stream: nothing but its rest may follow
		c.log.Warn("endpoint did not resume the stream", "endpoint", e.ID(), "status", x.Status())
		return update{result: maybeRun, outcome: dispatch.OutcomeFailed}
	}
	return a.readPlain(ctx, x, r, sent)
}

// readStream reports events as they arrive. It reports only complete events that continue
// the stream, so that a stream that an endpoint breaks off, or goes on with something else,
// can be resumed at another one.
func (a *attempt) readStream(ctx context.Context, x *forward.Exchange, r fulmardeal.ResponseMetadata) update {
	c := a.call
	log := c.log.With("endpoint", a.reservation.Endpoint().ID())
	failed := update{result: maybeRun, outcome: dispatch.OutcomeFailed}
	if reason := a.rejectStream(x.Header(), r); reason != "" {
		log.Warn("response is not the stream that was asked for", "reason", reason, "resumed", a.resumed, "type", x.Header().Get("Content-Type"), "weights", r.WeightsVersion)
		return failed
	}
	scanner := eventScanner{order: a.order, joins: a.resumed, isField: c.gateway.codec.EventField}
	buf := make([]byte, readSize)
	share := c.gateway.pool.Buffer().Share(freeEventBytes)
	defer share.Close()
	lastHeard, started := time.Now(), false
	for {
		n, err := x.Read(buf, noDeadline)
		events, count, invalid := scanner.append(buf[:n])
		if len(events) > 0 {
			a.begun.Store(true)
			a.reservation.RecordEvent()
			a.events += count
			lastHeard, started = time.Now(), true
			if a.firstEvent.IsZero() {
				a.firstEvent = lastHeard
			}
			switch {
			case lastHeard.Sub(a.firstEvent) >= quarantine.ProofTime:
				a.permit.Answered(lastHeard)
			case a.answering():
				a.permit.Begun(lastHeard)
			}
			a.report(ctx, update{attempt: a, status: x.Status(), header: x.Header(), weights: r.WeightsVersion, events: events, count: count, order: scanner.order})
		}
		switch {
		case invalid != nil:
			log.Warn("stream has bytes that are not its next event", "err", invalid, "resumed", a.resumed, "events", a.events)
			return failed
		case errors.Is(err, io.EOF):
			if !scanner.complete() {
				return a.failure(ctx, errIncompleteStream, lastHeard, started)
			}
			if !a.endsWhole(ctx, x, streamSettleTime) {
				return a.failure(ctx, errEndpointGone, lastHeard, started)
			}
			a.permit.Answered(time.Now())
			x.Release(r.IdleTimeout)
			return update{result: finished, outcome: dispatch.OutcomeServed, weights: r.WeightsVersion}
		case err != nil:
			return a.failure(ctx, err, lastHeard, started)
		case scanner.buffered() > maxEventBytes || !share.TryResize(scanner.buffered()):
			log.Warn("stream event exceeds the size limit, or all that is buffered does", "bytes", scanner.buffered(), "buffered", c.gateway.pool.Buffer().Used())
			return failed
		}
	}
}

// readPlain receives a response that is not a stream completely. It returns the server
// error of an endpoint as a failure if the request may be tried at another one.
func (a *attempt) readPlain(ctx context.Context, x *forward.Exchange, r fulmardeal.ResponseMetadata, sent time.Time) update {
	c := a.call
	a.begun.Store(true)
	body, err := x.ReadAll(maxPlainBytes, noDeadline)
	if err != nil {
		return a.failure(ctx, err, sent, false)
	}
	if !a.endsWhole(ctx, x, plainSettleTime) {
		c.gateway.pool.Free(body)
		return a.failure(ctx, errEndpointGone, sent, false)
	}
	a.reservation.RecordEvent()
	a.permit.Answered(time.Now())
	x.Release(r.IdleTimeout)
	u := update{response: &endpointResponse{status: x.Status(), header: x.Header(), body: body}, outcome: dispatch.OutcomeServed}
	if x.Status() >= http.StatusInternalServerError {
		c.log.Info("endpoint returned a server error", "endpoint", a.reservation.Endpoint().ID(), "status", x.Status(), "took", time.Since(sent))
		u.outcome = dispatch.OutcomeFailed
		if c.route.Repeatable() {
			u.result = maybeRun
		}
	}
	return u
}

// Causes of a failure that show only when the connection has ended in order.
var (
	errIncompleteStream = errors.New("stream ended within an event or before the first")
	errEndpointGone     = errors.New("response without a length ended with the endpoint's process or its connection, as far as is known")
)

// crashed reports whether the endpoint's process is gone. It takes its time if a part of the
// prompt may be the reason: the process may still be ending.
func (a *attempt) crashed(ctx context.Context) bool {
	g := a.call.gateway
	settle := time.Duration(0)
	if len(a.call.metadata.PromptParts) > 0 {
		settle = crashSettleTime
	}
	return ctx.Err() == nil && g.crashes.check(ctx, g.pool, a.call.log, a.reservation, time.Now().Add(-crashCheckTTL), settle).crashed()
}

// endsWhole reports whether a response whose body has ended in order is whole. A response
// without a length ends so with the endpoint's process too, whether or not it has said that it
// leaves, and with its side of a connection that it resets afterwards, because it hasn't read
// the request.
func (a *attempt) endsWhole(ctx context.Context, x *forward.Exchange, settle time.Duration) bool {
	g := a.call.gateway
	if !x.EndsWithConnection() {
		return true
	}
	if len(a.request.Body) > maxSmallBody {
		settle = max(settle, uploadSettleTime)
	}
	if ctx.Err() != nil {
		return false
	}
	check := g.crashes.check(ctx, g.pool, a.call.log, a.reservation, time.Now(), settle)
	there := check.confirmsEnd()
	if check.mayBeLeaving() {
		select {
		case <-time.After(settle): // the kernel may still be closing the connections of a process that has ended
			there = x.HoldsOther()
		case <-ctx.Done():
		}
	}
	return there && !x.Failed()
}

// failure returns the update for a failure to send the request to the endpoint or to
// receive its complete response. lastHeard is when the endpoint last sent something that
// the caller gets, or when the attempt began; started tells whether it has sent an event.
func (a *attempt) failure(ctx context.Context, err error, lastHeard time.Time, started bool) update {
	c := a.call
	e := a.reservation.Endpoint()
	var unsent *fulmardeal.UnsentError
	isUnsent := errors.As(err, &unsent)
	if errors.Is(ctx.Err(), context.Canceled) {
		c.log.Info("connection to the endpoint closed", "endpoint", e.ID(), "unsent", isUnsent, "after", time.Since(a.sent), "connected", a.connected, "events", a.events)
		return update{result: maybeRun, outcome: dispatch.OutcomeCancelled}
	}
	var withheld *forward.WithheldError
	if errors.As(err, &withheld) {
		c.log.Info("request withheld from the endpoint", "endpoint", e.ID(), "weights", a.reservation.Weights(), "err", withheld.Cause)
		return update{result: notRun, outcome: dispatch.OutcomeCancelled, withheld: true}
	}
	// An answer well on its way is gone on with at once if nothing speaks against its parts.
	known := len(c.metadata.PromptParts) == 0 || a.permit.Known(time.Now())
	crashed := !isUnsent && !(a.answering() && known) && a.crashed(ctx)
	point := "answer"
	if started || a.resumed {
		point = "event"
	}
	c.log.Warn("endpoint failed", "endpoint", e.ID(), "unsent", isUnsent, "connected", a.connected, "err", err, "silence", time.Since(lastHeard), "point", point,
		"events", a.events, "crashed", crashed, "known", known, "parts", strings.Join(c.metadata.PromptParts, ","))
	if crashed {
		a.permit.Crashed(time.Now(), quarantine.Crash{Endpoint: e.ID(), Attempt: c.metadata.AttemptID, Sent: a.sent, Begun: a.answering()})
	}
	c.gateway.pool.CloseIdle(e.Address())
	if isUnsent {
		return update{result: notRun, outcome: dispatch.OutcomeFailed}
	}
	return update{result: maybeRun, outcome: dispatch.OutcomeFailed, suspect: crashed && !known}
}

// checkSend returns an error if the caller has left, the endpoint must get no more requests, or
// its weights may not be used any longer. It is called just before the request is sent: the
// endpoint may have been selected, and its connection opened, some time ago.
func (a *attempt) checkSend() error {
	a.connected = time.Since(a.sent)
	if err := a.call.checkCaller(); err != nil {
		return err
	}
	if err := a.reservation.CheckEndpoint(); err != nil {
		return err
	}
	if by := a.reservation.StartBy(); !by.IsZero() && !time.Now().Before(by) {
		return &oldWeightsError{weights: a.reservation.Weights(), late: time.Since(by)}
	}
	return a.reservation.PermitSend()
}

// oldWeightsError reports that an endpoint's weights may not be used any longer.
type oldWeightsError struct {
	weights int64
	late    time.Duration // time since a request had to start
}

func (e *oldWeightsError) Error() string {
	return fmt.Sprintf("version %d of the weights may not be used any longer, since %v", e.weights, e.late)
}

// startTimeLeft returns how long the endpoint's weights could still be used when the
// request was sent, less a margin, or 0 if they are not superseded.
func (a *attempt) startTimeLeft() time.Duration {
	if by := a.reservation.StartBy(); !by.IsZero() {
		return by.Sub(a.sent)
	}
	return 0
}

// answering reports whether the endpoint is well into its answer: it has gone on after the
// first event.
func (a *attempt) answering() bool { return a.events > 1 }

// applyNotice records that an endpoint is leaving or asks for a pause. It applies to
// every response of the endpoint, also to one that isn't passed on.
func (a *attempt) applyNotice(r fulmardeal.ResponseMetadata) {
	if !a.reservation.ApplyNotice(dispatch.Notice{Leaving: r.Leaving, Pause: r.Pause}) {
		return
	}
	e := a.reservation.Endpoint()
	a.call.log.Info("endpoint wants no requests", "endpoint", e.ID(), "leaving", r.Leaving, "pause", r.Pause)
	a.call.gateway.pool.CloseIdle(e.Address())
}

// applyLimit records what the answer to the request says of the rate of requests that the
// endpoint takes. A misdirected request may have been answered by another endpoint, which
// doesn't know of the limit.
func (a *attempt) applyLimit(status int, r fulmardeal.ResponseMetadata) {
	c := a.call
	id := a.reservation.Endpoint().ID()
	if r.Limit.Kind == fulmardeal.LimitInvalid {
		c.log.Warn("endpoint names a limit that can't be decoded", "endpoint", id)
		c.gateway.stats.count("limits_invalid", c.service)
	}
	if r.Limit.Kind == fulmardeal.LimitNone && status == http.StatusMisdirectedRequest {
		return
	}
	if a.reservation.RecordLimit(a.sent, r.Limit) {
		c.gateway.log.Info(logLimit, "endpoint", id, "limited", r.Limit.Kind == fulmardeal.LimitNamed, "rate", r.Limit.Rate, "from", "")
	}
}

// logLimit is the message of a line about the limit of an endpoint.
const logLimit = "limit of an endpoint changed"

// Limits on reading the body of an endpoint's refusal.
const (
	maxRefusalBytes    = 64 << 10              // maximum size of the body of a refusal
	refusalReadTimeout = 50 * time.Millisecond // until the whole body of a refusal has arrived
)
