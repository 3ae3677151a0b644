package attempt

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"fulmardeal"
	"fulmardeal/internal/traffic/admission"
)

// run executes an attempt on the endpoint, from the call to the end of the
// response, then releases its slot in the limiter.
func (t *Table) run(ctx context.Context, a *attempt) {
	defer t.inProgress.Done()
	defer a.cancel()
	fault, refusal := t.execute(ctx, a)

	now := time.Now()
	t.mu.Lock()
	if a.fault == FaultNone {
		a.fault = fault
	}
	if refusal != nil {
		a.refusal = refusal
	}
	a.done = true
	a.doneAt = now
	a.notify()
	o := admission.Outcome{Duration: now.Sub(a.created), Failed: unhealthy(a)}
	if !a.firstData.IsZero() {
		o.FirstByte = a.firstData.Sub(a.created)
	}
	t.mu.Unlock()
	t.limiter.Release(now, a.task.Customer, o)
}

// unhealthy reports whether an attempt's outcome indicates an unhealthy
// endpoint: it was unreachable, failed before or during the response, or
// reported overload.
func unhealthy(a *attempt) bool {
	if a.refusal != nil {
		return a.refusal.Reason == ReasonUnsent || a.refusal.Reason == ReasonStopped
	}
	return a.fault == FaultEndpoint || a.fault == FaultCut || a.status == statusUnavailable
}

const statusUnavailable = 503

// execute runs the attempt and ensures that a single version of the model weights
// produced the response: it reads the version and digest before and after, and
// returns FaultMixed if they changed in between.
func (t *Table) execute(ctx context.Context, a *attempt) (Fault, *Refusal) {
	versionBefore, digestBefore, err := t.guard.Serving(ctx)
	if err != nil {
		return FaultNone, &Refusal{Reason: ReasonUnsent}
	}
	if versionBefore != a.task.Model {
		return FaultNone, &Refusal{Reason: ReasonModel}
	}

	if r := t.limiter.Recheck(time.Now()); r != nil {
		return FaultNone, &Refusal{Reason: Reason(r.Reason()), After: r.RetryAfter()}
	}
	response, err := t.endpoint.Call(ctx, a.endpointCall())
	if err != nil {
		return t.classifyError(ctx, a, err)
	}
	defer response.Body.Close()
	if hasField(response.Header, HeaderRan, string(RanNo)) {
		if response.Status == statusUnavailable && response.ID == a.id {
			return FaultNone, &Refusal{Reason: ReasonStopped}
		}
		t.endpoint.Cancel(context.WithoutCancel(ctx), a.id) // it may be the refusal of another call
		return FaultEndpoint, nil
	}
	t.recordHeader(a, response, versionBefore)

	var filter terminatorFilter
	fault := t.copy(ctx, a, response.Body, &filter)
	if fault != FaultNone {
		t.endpoint.Cancel(context.WithoutCancel(ctx), a.id)
		return fault, nil
	}
	versionAfter, digestAfter, err := t.guard.Serving(ctx)
	if err != nil || versionAfter != versionBefore || digestAfter != digestBefore {
		return FaultMixed, nil
	}
	if !t.appendData(a, filter.flush()) {
		return FaultLarge, nil
	}
	return FaultNone, nil
}

func (a *attempt) endpointCall() fulmardeal.Call {
	return fulmardeal.Call{
		ID:       a.id,
		Service:  a.task.Service,
		Customer: a.task.Customer,
		Method:   a.task.Method,
		Path:     a.task.Path,
		Header:   a.task.Header,
		Body:     a.task.Body,
		Priority: a.task.Priority,
	}
}

// classifyError returns a refusal if the request never reached the endpoint, and
// a fault if it may have.
func (t *Table) classifyError(ctx context.Context, a *attempt, err error) (Fault, *Refusal) {
	var unsent *fulmardeal.UnsentError
	if errors.As(err, &unsent) {
		return FaultNone, &Refusal{Reason: ReasonUnsent}
	}
	t.endpoint.Cancel(context.WithoutCancel(ctx), a.id)
	if ctx.Err() != nil {
		return FaultLate, nil
	}
	return FaultEndpoint, nil
}

func (t *Table) recordHeader(a *attempt, response fulmardeal.Answer, model fulmardeal.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.status = response.Status
	a.header = response.Header
	a.model = model
	a.streaming = hasFieldPrefix(response.Header, "Content-Type", "text/event-stream")
	a.notify()
}

// copy reads the endpoint's response body into the attempt's buffer. It withholds
// the terminator of an event stream in filter, so that the entry doesn't see a
// successful end before the weights have been checked.
func (t *Table) copy(ctx context.Context, a *attempt, body io.Reader, filter *terminatorFilter) Fault {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buf)
		data := buf[:n]
		if a.streaming {
			data = filter.filter(data)
		}
		if !t.appendData(a, data) {
			return FaultLarge
		}
		switch {
		case errors.Is(err, io.EOF):
			return FaultNone
		case ctx.Err() != nil:
			return FaultLate
		case err != nil:
			return FaultCut
		}
	}
}

// appendData appends data to the attempt's buffer. It reports false, and appends
// nothing, if the response would exceed MaxResponseBytes.
func (t *Table) appendData(a *attempt, data []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.baseOffset+int64(len(a.data)+len(data)) > MaxResponseBytes {
		return false
	}
	if len(data) == 0 {
		return true
	}
	if a.firstData.IsZero() {
		a.firstData = time.Now()
	}
	a.data = append(a.data, data...)
	a.notify()
	return true
}

// notify wakes the waiting readers. The caller must hold Table.mu.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Read returns the segment of an attempt's response at the cursor. If there is none
// yet, it waits up to pollTimeout; a segment with neither data nor Done means that
// the wait timed out. The cursor's offset acknowledges all bytes before it. They
// are discarded, unless the request has an idempotency key.
func (t *Table) Read(c Cursor) Segment {
	deadline := time.NewTimer(pollTimeout)
	defer deadline.Stop()
	for {
		segment, wait := t.peek(c)
		if wait == nil {
			return segment
		}
		select {
		case <-wait:
		case <-deadline.C:
			return segment
		}
	}
}

// peek returns the segment at the cursor. If there is nothing to send yet, it also
// returns a channel that is closed at the next change of the attempt.
func (t *Table) peek(c Cursor) (Segment, <-chan struct{}) {
	segment := Segment{ID: c.ID, Offset: c.Offset, Room: t.Capacity(time.Now())}
	t.mu.Lock()
	defer t.mu.Unlock()
	a, known := t.attempts[c.ID]
	if !known || a.fenced || a.discarded || c.Incarnation != t.incarnation || c.Offset < a.baseOffset {
		segment.Done = true
		segment.Fault = FaultCut
		return segment, nil
	}

	a.lastAccess = time.Now()
	if !a.task.Keyed {
		a.acknowledge(c.Offset)
	}
	segment.Refusal = a.refusal
	segment.Status, segment.Header, segment.Model = a.status, a.header, a.model
	if c.Offset > 0 {
		segment.Header = nil // sent with the first segment
	}
	data := a.data[min(c.Offset-a.baseOffset, int64(len(a.data))):]
	if !a.done && (len(data) == 0 || !a.streaming && len(data) < minSegmentBytes) {
		return segment, a.changed
	}
	segment.Data = append([]byte(nil), data...)
	segment.Done = a.done
	if a.done {
		segment.Fault = a.fault
	}
	return segment, nil
}

// acknowledge discards the buffered bytes before offset.
func (a *attempt) acknowledge(offset int64) {
	n := offset - a.baseOffset
	if n <= 0 || n > int64(len(a.data)) {
		return
	}
	a.data = a.data[n:]
	a.baseOffset = offset
}

// Capacity returns the number of requests in progress at the endpoint, and its
// concurrency limit at the given time.
func (t *Table) Capacity(now time.Time) Capacity {
	return Capacity{Running: t.limiter.Running(), Limit: t.limiter.Limit(now)}
}

// HeaderRan is the response header that states whether a refused request was
// executed; see Ran.
const HeaderRan = "Fulmardeal-Ran"

func hasField(fields []fulmardeal.Field, name, value string) bool {
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) && f.Value == value {
			return true
		}
	}
	return false
}

func hasFieldPrefix(fields []fulmardeal.Field, name, prefix string) bool {
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) && strings.HasPrefix(f.Value, prefix) {
			return true
		}
	}
	return false
}
