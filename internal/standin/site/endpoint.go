package site

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// ReceivedRequest is a request as an endpoint received it.
type ReceivedRequest struct {
	Endpoint   fulmardeal.Registration
	Time       time.Time
	Method     string
	Path       string
	Body       []byte
	Key        string // the customer's API key; empty unless an entry wrongly forwarded it
	Attempt    string
	Parts      []string // of the prompt
	Forward    fulmardeal.ForwardMetadata
	Version    int64 // version of the weights that serve the request
	Incomplete bool  // a chunk of the weights that serve the request is missing or wrong
	Work       Work
	Expected   time.Duration // how long the run lasts unless something ends it
}

// Observer is notified of the requests at all endpoints.
type Observer interface {
	RequestReceived(a ReceivedRequest) // a.Endpoint received the request
	RequestStarted(a ReceivedRequest)  // the request got a slot and starts to run
	RequestEnded(a ReceivedRequest)    // a run has ended, or its connection has closed

	// NoticeSent is called before a response that says that the endpoint is leaving,
	// or asks for a pause.
	NoticeSent(a ReceivedRequest, leaving bool, pause time.Duration)

	// LimitSent is called before a response that names a limit of requests per second.
	LimitSent(a ReceivedRequest, rate float64)
}

// Fault is a fault that an endpoint injects.
type Fault string

// Injected faults.
const (
	FaultNone     Fault = ""
	FaultSlow     Fault = "slow"    // requests and events take slowFactor times as long
	FaultTruncate Fault = "cut"     // one in faultInterval responses is truncated in the middle
	FaultHang     Fault = "hang"    // one in faultInterval requests never gets a response
	FaultEndless  Fault = "endless" // one in faultInterval responses never ends
	FaultShed     Fault = "shed"    // all requests are refused with a request for a pause of ShedPause

	// FaultRepeat refuses one in faultInterval requests, and writes that refusal once more
	// when the next request on the connection runs.
	FaultRepeat Fault = "repeat"

	// These truncate one in faultInterval streams, and answer resumed ones with the text of
	// an error: as a plain body with status 200, or as a second response within the stream.
	FaultErrorText  Fault = "error-text"
	FaultSecondHead Fault = "second-head"
)

// Behaviour and limits of an endpoint.
const (
	slowFactor      = 5
	faultInterval   = 3       // one in this many requests is affected by FaultTruncate or FaultHang
	maxBodyBytes    = 4 << 20 // bytes that are read of a request body; the rest is ignored
	maxWaiting      = 2       // number of requests waiting for a slot; more are refused
	eventsPerStream = 12

	ShedPause = 1500 * time.Millisecond // the pause that an endpoint asks for with FaultShed
)

// EndpointOptions configures an endpoint.
type EndpointOptions struct {
	Service       string
	DataCentre    string
	Address       string                 // address that the endpoint registers; a proxy listens there
	ListenAddress string                 // address that the endpoint listens on, behind the proxy
	Slots         int                    // number of requests that the endpoint runs concurrently
	ServiceTime   time.Duration          // duration of a plain request, or time between two events
	WarmUp        time.Duration          // length of the cold phase after a start
	Engine        *fulmardeal.EngineSpec // nil for a plain service
	Origin        *Origin                // where the engine's weights come from; not used if Engine is nil
	Observer      Observer

	// Poisoned reports whether the endpoint crashes when it begins to answer a request with
	// a part of its prompt; nil for never. Poison is then called in a goroutine of its own.
	Poisoned func(part string) bool
	Poison   func(a ReceivedRequest)
}

// Endpoint is one endpoint of a service, including its model engine if it has
// one. Each start gives it a new id, unless KeepID was called before.
type Endpoint struct {
	options EndpointOptions
	silence silence

	mu         sync.Mutex
	server     *http.Server
	up         bool
	draining   bool
	leaving    bool // responses say that the endpoint leaves, its registration does not
	startCount int
	idCount    int // of the starts that gave the endpoint a new id
	keepID     bool
	sequence   int64
	stale      staleReports
	startTime  time.Time
	fault      Fault
	limit      fulmardeal.RateLimit // named in all responses
	requests   int
	refusals   int // that FaultRepeat has made
	running    int
	waiting    int
	changed    chan struct{} // closed and replaced when a slot becomes free or the engine has loaded

	staged     map[int][]byte
	restaged   time.Time // when KeepID staged chunks
	spans      []fulmardeal.Span
	corrupt    bool // the loaded weights differ from the origin's
	loading    bool
	orderCount int64 // orders to load weights that were accepted since the start of the endpoint
}

// NewEndpoint returns an endpoint that has not been started. If preloaded is set and
// the endpoint has an engine, version 1 of the weights is staged and loaded.
func NewEndpoint(o EndpointOptions, preloaded bool) *Endpoint {
	e := &Endpoint{options: o, staged: make(map[int][]byte), changed: make(chan struct{})}
	if preloaded && o.Engine != nil {
		chunks, _ := o.Origin.Chunks(fulmardeal.Version{Name: "1"})
		for i, c := range chunks {
			e.staged[i] = c
		}
		e.spans = []fulmardeal.Span{{From: 0, To: o.Engine.Layers, Version: 1}}
	}
	return e
}

// Start starts serving requests under a new id. It does nothing if the endpoint is up.
func (e *Endpoint) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up {
		return nil
	}
	l, err := net.Listen("tcp", e.options.ListenAddress)
	if err != nil {
		return err
	}
	e.startCount++
	if !e.keepID {
		e.idCount++
	}
	e.keepID = false
	e.up, e.draining, e.leaving, e.startTime = true, false, false, time.Now()
	var h http.Handler = http.HandlerFunc(e.serve)
	if e.options.Engine != nil {
		h = platform.EngineHandler(e, h)
	}
	e.server = &http.Server{Handler: h, ConnContext: withConn}
	go func(s *http.Server) {
		if err := s.Serve(silentListener{l, &e.silence}); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // nothing else uses the listener, so no other error is expected
		}
	}(e.server)
	return nil
}

// Crash stops the endpoint without draining it, and discards its loaded layers. If
// powerLoss is set, it discards the staged chunks as well.
func (e *Endpoint) Crash(powerLoss bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up, e.spans, e.loading, e.orderCount, e.running, e.waiting = false, nil, false, 0, 0, 0
	if powerLoss {
		e.staged = make(map[int][]byte)
	}
	e.wakeWaiters()
	e.server.Close()
}

// Drain makes the endpoint register as draining.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Leave makes the endpoint say in its responses that it leaves, but not in its
// registration.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// SetFault sets the fault that the endpoint injects; FaultNone ends it.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// SetLimit sets the limit that the endpoint names in its responses. It doesn't enforce it.
func (e *Endpoint) SetLimit(l fulmardeal.RateLimit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = l
}

// Registration returns the endpoint's current registration, with a new sequence
// number, and whether the endpoint is up.
func (e *Endpoint) Registration() (fulmardeal.Registration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	r := e.registration()
	if time.Now().Before(e.stale.registrationUntil) {
		r.Spans, r.Born = e.stale.registration.Spans, e.stale.registration.Born
	}
	return r, e.up
}

func (e *Endpoint) registration() fulmardeal.Registration {
	o := e.options
	return fulmardeal.Registration{
		ID: fmt.Sprintf("%s-%d", o.Address, e.idCount), Service: o.Service, Address: o.Address, DataCentre: o.DataCentre, Slots: o.Slots,
		Draining: e.draining, ColdLeft: max(0, o.WarmUp-time.Since(e.startTime)), Sequence: e.sequence, Born: e.startTime, Engine: o.Engine != nil, Spans: e.spans,
	}
}

// serve handles a request of a caller.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the caller has disconnected
	}
	metadata, forward := platform.PeerCodec{}.ReadForwardMetadata(r.Header)
	ctx, cancel := context.WithTimeout(r.Context(), forward.Deadline)
	defer cancel()
	a := ReceivedRequest{Time: receivedAt(r), Method: r.Method, Path: r.URL.RequestURI(), Body: body, Key: metadata.APIKey, Attempt: metadata.AttemptID, Parts: metadata.PromptParts, Forward: forward, Work: workOf(r.URL)}
	refusal := e.acquireSlot(ctx, &a)
	reply := fulmardeal.ResponseMetadata{AttemptID: a.Attempt, Instance: a.Endpoint.ID, WeightsVersion: a.Version, Running: -1}
	e.addNotice(a, refusal, &reply)
	if refusal != 0 {
		reply.NotRun = true
		e.recordNotice(ctx, a, reply)
		e.rememberRefusal(r, refusal, reply)
		platform.PeerCodec{}.SetResponseMetadata(w.Header(), reply, "")
		w.WriteHeader(refusal)
		return
	}
	defer e.releaseSlot()
	a.Expected = min(e.expected(a), forward.Deadline)
	e.options.Observer.RequestStarted(a)
	context.AfterFunc(ctx, func() { e.options.Observer.RequestEnded(a) })
	e.repeatRefusal(r)
	e.respond(ctx, w, a, reply)
}

// addNotice adds what the endpoint says about itself to a response.
func (e *Endpoint) addNotice(a ReceivedRequest, refusal int, reply *fulmardeal.ResponseMetadata) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Endpoint.ID == "" || refusal == http.StatusMisdirectedRequest {
		return
	}
	reply.Leaving = e.draining || e.leaving
	if e.fault == FaultShed && refusal == http.StatusServiceUnavailable {
		reply.Pause = ShedPause
	}
	reply.Limit = e.limit
}

// recordNotice tells the observer what the response that is about to be written says about the
// endpoint. A response on a connection that has been closed tells nobody.
func (e *Endpoint) recordNotice(ctx context.Context, a ReceivedRequest, reply fulmardeal.ResponseMetadata) {
	if ctx.Err() != nil {
		return
	}
	if reply.Limit.Kind == fulmardeal.LimitNamed {
		e.options.Observer.LimitSent(a, reply.Limit.Rate)
	}
	if reply.Leaving || reply.Pause > 0 {
		e.options.Observer.NoticeSent(a, reply.Leaving, reply.Pause)
	}
}

// acquireSlot waits for a slot and occupies it. It returns 0 if the request may run,
// and otherwise the HTTP status with which the request is refused.
func (e *Endpoint) acquireSlot(ctx context.Context, a *ReceivedRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.Endpoint = e.registration()
	if !e.up || a.Forward.Instance != a.Endpoint.ID {
		return http.StatusMisdirectedRequest
	}
	e.options.Observer.RequestReceived(*a)
	if e.waiting >= maxWaiting || e.fault == FaultShed || e.refusesNow() {
		return http.StatusServiceUnavailable
	}
	startCount := e.startCount
	for e.running >= e.options.Slots || e.loading {
		e.waiting++
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		e.mu.Lock()
		if startCount != e.startCount || !e.up {
			return http.StatusServiceUnavailable
		}
		e.waiting--
		if ctx.Err() != nil {
			return http.StatusServiceUnavailable
		}
	}
	if spec := e.options.Engine; spec != nil {
		a.Version, a.Incomplete = fulmardeal.Holds(e.spans, spec.Layers), e.corrupt
		if a.Version == 0 || a.Forward.WeightsVersion != 0 && a.Forward.WeightsVersion != a.Version {
			return http.StatusMisdirectedRequest
		}
	}
	a.Time = time.Now()
	e.running++
	return 0
}

func (e *Endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = max(0, e.running-1)
	e.wakeWaiters()
}

// wakeWaiters wakes the goroutines that wait on e.changed. The caller holds
// e.mu.
func (e *Endpoint) wakeWaiters() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Signature returns the signature of an endpoint's response to an attempt. It
// lets a test verify that the response belongs to the attempt.
func Signature(attempt, endpoint string, body []byte) string {
	sum := sha256.Sum256(append([]byte(attempt+" "+endpoint+" "), body...))
	return hex.EncodeToString(sum[:8])
}

// respond sends the response: a plain body, or a stream of events if the
// endpoint has an engine.
func (e *Endpoint) respond(ctx context.Context, w http.ResponseWriter, a ReceivedRequest, reply fulmardeal.ResponseMetadata) {
	e.mu.Lock()
	e.requests++
	fault, faulty := e.fault, e.requests%faultInterval == 0
	e.mu.Unlock()
	delay := e.options.ServiceTime
	if fault == FaultSlow {
		delay *= slowFactor
	}
	if fault == FaultHang && faulty {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if fault == FaultEndless && faulty {
		writeEndlessly(ctx, w)
	}
	if e.options.Engine == nil {
		sleep(ctx, delay+a.Work.Time)
		e.recordNotice(ctx, a, reply)
		body := Body(a.Attempt, a.Endpoint.ID, a.Body)
		platform.PeerCodec{}.SetResponseMetadata(w.Header(), reply, Signature(a.Attempt, a.Endpoint.ID, body))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if fault == FaultTruncate && faulty {
			_, _ = w.Write(body[:len(body)/2]) // the response is truncated in any case
			panic(http.ErrAbortHandler)
		}
		_ = writeInParts(w, body) // fails only when the caller has disconnected
		return
	}
	e.recordNotice(ctx, a, reply)
	platform.PeerCodec{}.SetResponseMetadata(w.Header(), reply, Signature(a.Attempt, a.Endpoint.ID, nil))
	if fault == FaultErrorText && a.Forward.LastEventID != "" {
		writeErrorText(w)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	if o := e.options; o.Poisoned != nil && slices.ContainsFunc(a.Parts, o.Poisoned) {
		sleep(ctx, delay)
		go o.Poison(a)
		<-ctx.Done() // the crash ends the connection
		panic(http.ErrAbortHandler)
	}
	first, _ := strconv.Atoi(a.Forward.LastEventID) // an empty value resumes at 0
	truncates := faulty && (fault == FaultTruncate || fault == FaultErrorText || fault == FaultSecondHead)
	delay += a.Work.Time / eventsPerStream
	for i := first + 1; i <= eventsPerStream; i++ {
		sleep(ctx, delay)
		if ctx.Err() != nil || truncates && i > eventsPerStream/2 {
			panic(http.ErrAbortHandler)
		}
		if fault == FaultSecondHead && first > 0 && i > first+1 {
			writeSecondHead(w)
			return
		}
		if err := writeInParts(w, a.Work.pad(Event(a.Attempt, a.Endpoint.ID, i))); err != nil {
			return
		}
	}
	sleep(ctx, delay)
}

// writeInParts writes and flushes one half of the data and then the other.
func writeInParts(w http.ResponseWriter, data []byte) error {
	for _, part := range [][]byte{data[:len(data)/2], data[len(data)/2:]} {
		if _, err := w.Write(part); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// writeEndlessly writes bytes that are no response to the request until the caller
// closes the connection.
func writeEndlessly(ctx context.Context, w http.ResponseWriter) {
	block := bytes.Repeat([]byte("x"), 4<<10)
	for ctx.Err() == nil {
		if _, err := w.Write(block); err != nil {
			break
		}
	}
	panic(http.ErrAbortHandler)
}

// Body returns the response body of a plain endpoint.
func Body(attempt, endpoint string, request []byte) []byte {
	return fmt.Appendf(nil, "%s %s %s", attempt, endpoint, bytes.ToUpper(request))
}

// Event returns the n-th event of an engine's response, in the format of
// server-sent events. The last one is marked by "end".
func Event(attempt, endpoint string, n int) []byte {
	end := ""
	if n == eventsPerStream {
		end = " end"
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s %s%s\n\n", n, attempt, endpoint, end)
}
