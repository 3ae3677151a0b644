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

// run takes an attempt through the endpoint, from the call to the end of its
// answer, and gives its place back.
func (t *Table) run(ctx context.Context, a *attempt) {
	defer t.running.Done()
	defer a.cancel()
	fault, refusal := t.call(ctx, a)

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
	o := admission.Outcome{Duration: now.Sub(a.born), Failed: unhealthy(a)}
	if !a.first.IsZero() {
		o.FirstByte = a.first.Sub(a.born)
	}
	t.mu.Unlock()
	t.limiter.Release(now, a.task.Customer, o)
}

// unhealthy reports whether an attempt's end says that the endpoint is in
// trouble: it could not be reached, broke off, or called itself overloaded.
func unhealthy(a *attempt) bool {
	if a.refusal != nil {
		return a.refusal.Reason == ReasonUnsent || a.refusal.Reason == ReasonStopped
	}
	return a.fault == FaultEndpoint || a.fault == FaultCut || a.status == statusUnavailable
}

const statusUnavailable = 503

// call runs the attempt under one set of weights: the version is read before
// and after, and a change in between spoils the answer.
func (t *Table) call(ctx context.Context, a *attempt) (Fault, *Refusal) {
	before, digest, err := t.guard.Serving(ctx)
	if err != nil {
		return FaultNone, &Refusal{Reason: ReasonUnsent}
	}
	if before != a.task.Model {
		return FaultNone, &Refusal{Reason: ReasonModel}
	}

	if r := t.limiter.Recheck(time.Now()); r != nil {
		return FaultNone, &Refusal{Reason: Reason(r.Reason()), After: r.RetryAfter()}
	}
	answer, err := t.endpoint.Call(ctx, a.call())
	if err != nil {
		return t.failed(ctx, a, err)
	}
	defer answer.Body.Close()
	if answer.Status == statusUnavailable && has(answer.Header, HeaderRan, string(RanNo)) {
		return FaultNone, &Refusal{Reason: ReasonStopped}
	}
	t.begin(a, answer, before)

	var end holder
	fault := t.copy(ctx, a, answer.Body, &end)
	if fault != FaultNone {
		t.endpoint.Cancel(context.WithoutCancel(ctx), a.id)
		return fault, nil
	}
	after, again, err := t.guard.Serving(ctx)
	if err != nil || after != before || again != digest {
		return FaultMixed, nil
	}
	if !t.add(a, end.rest()) {
		return FaultLarge, nil
	}
	return FaultNone, nil
}

func (a *attempt) call() fulmardeal.Call {
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

// failed tells a call that never reached the endpoint from one that may have.
func (t *Table) failed(ctx context.Context, a *attempt, err error) (Fault, *Refusal) {
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

func (t *Table) begin(a *attempt, answer fulmardeal.Answer, model fulmardeal.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.status = answer.Status
	a.header = answer.Header
	a.model = model
	a.stream = hasPrefix(answer.Header, "Content-Type", "text/event-stream")
	a.notify()
}

// copy reads the endpoint's answer into the attempt until its end. The end mark
// of a stream stays with the holder.
func (t *Table) copy(ctx context.Context, a *attempt, body io.Reader, end *holder) Fault {
	buf := make([]byte, readSize)
	for {
		n, err := body.Read(buf)
		data := buf[:n]
		if a.stream {
			data = end.pass(data)
		}
		if !t.add(a, data) {
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

func (t *Table) add(a *attempt, data []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.base+int64(len(a.data)+len(data)) > MostAnswer {
		return false
	}
	if len(data) == 0 {
		return true
	}
	if a.first.IsZero() {
		a.first = time.Now()
	}
	a.data = append(a.data, data...)
	a.notify()
	return true
}

// notify wakes the readers. The table's lock is held.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Next returns the piece of an attempt's answer at the place, and waits for it
// a while. Asking for an offset says that all before it has arrived. A piece
// with neither data nor Done means that there is nothing yet.
func (t *Table) Next(p Place) Piece {
	deadline := time.NewTimer(pollWait)
	defer deadline.Stop()
	for {
		piece, wait := t.peek(p)
		if wait == nil {
			return piece
		}
		select {
		case <-wait:
		case <-deadline.C:
			return piece
		}
	}
}

// peek returns the piece at the place, or a channel to wait on when there is
// nothing to send yet.
func (t *Table) peek(p Place) (Piece, <-chan struct{}) {
	piece := Piece{ID: p.ID, Offset: p.Offset, Room: t.Room(time.Now())}
	t.mu.Lock()
	defer t.mu.Unlock()
	a, known := t.attempts[p.ID]
	if !known || a.fenced || a.dropped || p.Incarnation != t.incarnation || p.Offset < a.base {
		piece.Done = true
		piece.Fault = FaultCut
		return piece, nil
	}

	a.touched = time.Now()
	if !a.task.Keyed {
		a.acknowledge(p.Offset)
	}
	piece.Refusal = a.refusal
	piece.Status, piece.Header, piece.Model = a.status, a.header, a.model
	if p.Offset > 0 {
		piece.Header = nil // sent with the first piece
	}
	data := a.data[min(p.Offset-a.base, int64(len(a.data))):]
	if !a.done && (len(data) == 0 || !a.stream && len(data) < pieceSize) {
		return piece, a.changed
	}
	piece.Data = append([]byte(nil), data...)
	piece.Done = a.done
	if a.done {
		piece.Fault = a.fault
	}
	return piece, nil
}

// acknowledge drops the bytes before offset.
func (a *attempt) acknowledge(offset int64) {
	n := offset - a.base
	if n <= 0 || n > int64(len(a.data)) {
		return
	}
	a.data = a.data[n:]
	a.base = offset
}

// Room returns what the endpoint bears and how much of it is used.
func (t *Table) Room(now time.Time) Room {
	return Room{Running: t.limiter.Running(), Limit: t.limiter.Limit(now)}
}

// HeaderRan is the header that says whether a refused request has run.
const HeaderRan = "Fulmardeal-Ran"

func has(fields []fulmardeal.Field, name, value string) bool {
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) && f.Value == value {
			return true
		}
	}
	return false
}

func hasPrefix(fields []fulmardeal.Field, name, prefix string) bool {
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) && strings.HasPrefix(f.Value, prefix) {
			return true
		}
	}
	return false
}
