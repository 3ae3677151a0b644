package attempt

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal"
	"fulmardeal/internal/traffic/admission"
)

var v1 = fulmardeal.Version{Model: "verse", Name: "v1"}

// fakeEndpoint streams one part per second. It can change its weights during the
// response.
type fakeEndpoint struct {
	parts       []string
	changeAt    int // number of the part, from 1, at which the weights change; 0 for never
	digest      string
	status      int
	contentType string
	id          string // in the response
	ran         string // value of HeaderRan; none if empty
}

func (e *fakeEndpoint) Call(context.Context, fulmardeal.Call) (fulmardeal.Answer, error) {
	h := []fulmardeal.Field{{Name: "Content-Type", Value: e.contentType}}
	if e.ran != "" {
		h = append(h, fulmardeal.Field{Name: HeaderRan, Value: e.ran})
	}
	return fulmardeal.Answer{ID: e.id, Status: e.status, Header: h, Body: &fakeBody{endpoint: e}}, nil
}

func (e *fakeEndpoint) Cancel(context.Context, string) error { return nil }

func (e *fakeEndpoint) Load(context.Context) (fulmardeal.Load, error) { return fulmardeal.Load{}, nil }

func (e *fakeEndpoint) Check(Task) *Refusal { return nil }

func (e *fakeEndpoint) Serving(context.Context) (fulmardeal.Version, string, error) {
	return v1, e.digest, nil
}

type fakeBody struct {
	endpoint *fakeEndpoint
	next     int
	unread   []byte
}

func (r *fakeBody) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		if r.next == len(r.endpoint.parts) {
			return 0, io.EOF
		}
		time.Sleep(time.Second)
		r.unread = []byte(r.endpoint.parts[r.next])
		r.next++
		if r.next == r.endpoint.changeAt {
			r.endpoint.digest = "other"
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

func (r *fakeBody) Close() error { return nil }

// readAll runs an attempt and reads its response to the end.
func readAll(e *fakeEndpoint) (text string, fault Fault) {
	l := admission.NewLimiter(nil, admission.Settings{Limit: 4, ColdLimit: 4}, time.Now())
	t := NewTable("agent", e, l, e, nil)
	task := Task{ID: "one", Incarnation: "agent", Model: v1, Remaining: time.Minute, Safe: true}
	if r := t.Start(task); r != nil {
		return "", Fault(r.Reason)
	}
	var out bytes.Buffer
	for {
		p := t.Read(Cursor{ID: "one", Incarnation: "agent", Offset: int64(out.Len())})
		out.Write(p.Data)
		if p.Done {
			if err := t.Drain(context.Background()); err != nil {
				return out.String(), FaultLate
			}
			return out.String(), p.Fault
		}
	}
}

// TestMixedWeights checks that when the weights change during a response, the
// reader gets FaultMixed and never sees the stream's terminator.
func TestMixedWeights(t *testing.T) {
	parts := []string{"data: a\n\n", "data: b\n\ndata: [D", "ONE]\n\n"}
	tests := []struct {
		name     string
		changeAt int
		want     string
		fault    Fault
	}{
		{"steady", 0, strings.Join(parts, ""), FaultNone},
		{"at the start", 1, "data: a\n\ndata: b\n\n", FaultMixed},
		{"at the end", 3, "data: a\n\ndata: b\n\n", FaultMixed},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEndpoint{parts: parts, changeAt: tc.changeAt, digest: "one", status: 200, contentType: "text/event-stream"}
				text, fault := readAll(e)
				if text != tc.want || fault != tc.fault {
					t.Errorf("read %q, fault %q; want %q, %q", text, fault, tc.want, tc.fault)
				}
			})
		})
	}
}

// A refusal that an endpoint has written once more, for another call, must not count as
// the guarantee that this one has not run.
func TestRefusalOfAnotherCall(t *testing.T) {
	tests := []struct {
		id, ran string
		status  int
		refused bool
		fault   Fault
	}{
		{"one", "no", 503, true, FaultNone},
		{"", "no", 503, false, FaultEndpoint},
		{"two", "no", 503, false, FaultEndpoint},
		{"one", "no", 200, false, FaultEndpoint},
		{"", "", 503, false, FaultNone},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprintf("%d %s %s", tc.status, tc.id, tc.ran), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEndpoint{parts: []string{"full"}, status: tc.status, id: tc.id, ran: tc.ran}
				l := admission.NewLimiter(nil, admission.Settings{Limit: 4, ColdLimit: 4}, time.Now())
				table := NewTable("agent", e, l, e, nil)
				if r := table.Start(Task{ID: "one", Incarnation: "agent", Model: v1, Remaining: time.Minute}); r != nil {
					t.Fatalf("%+v: refused before it was sent: %v", tc, r)
				}
				var s Segment
				for offset := int64(0); !s.Done; offset += int64(len(s.Data)) {
					s = table.Read(Cursor{ID: "one", Incarnation: "agent", Offset: offset})
				}
				if (s.Refusal != nil) != tc.refused || s.Fault != tc.fault {
					t.Errorf("%+v: refusal %+v, fault %q", tc, s.Refusal, s.Fault)
				}
				if err := table.Drain(t.Context()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestTerminatorFilter splits a stream into segments of every size and checks
// that no bytes are lost and that the terminator is never forwarded.
func TestTerminatorFilter(t *testing.T) {
	text := "data: x\n\ndata: [DO\n\ndata: data: [DONE]\n\n"
	for size := 1; size <= len(text); size++ {
		var f terminatorFilter
		var out []byte
		for i := 0; i < len(text); i += size {
			out = append(out, f.filter([]byte(text[i:min(i+size, len(text))]))...)
		}
		if bytes.Contains(out, terminator) {
			t.Errorf("size %d: forwarded the stream terminator", size)
		}
		if joined := string(out) + string(f.flush()); joined != text {
			t.Errorf("size %d: forwarded and withheld bytes together are %q", size, joined)
		}
	}
}

// TestFenced checks that an attempt that is queried before it arrives is refused
// on arrival and never reaches the endpoint.
func TestFenced(t *testing.T) {
	e := &fakeEndpoint{status: 200}
	l := admission.NewLimiter(nil, admission.Settings{Limit: 4, ColdLimit: 4}, time.Now())
	table := NewTable("agent", e, l, e, nil)
	tests := []struct {
		name  string
		query StateQuery
		want  State
	}{
		{"soft", StateQuery{ID: "one", Incarnation: "agent", Soft: true}, StateUnseen},
		{"another incarnation", StateQuery{ID: "one", Incarnation: "before"}, StateGone},
		{"too old", StateQuery{ID: "one", Incarnation: "agent", Age: IDRetention}, StateGone},
		{"never seen", StateQuery{ID: "one", Incarnation: "agent"}, StateFenced},
		{"again", StateQuery{ID: "one", Incarnation: "agent"}, StateFenced},
	}
	for _, tc := range tests {
		if got := table.QueryState(tc.query).State; got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
	}
	r := table.Start(Task{ID: "one", Incarnation: "agent", Model: v1, Remaining: time.Minute})
	if r == nil || r.Reason != ReasonFenced || table.Started() != 0 {
		t.Errorf("refusal %+v, %d started; want the delayed copy refused as fenced", r, table.Started())
	}
	if r := table.Start(Task{ID: "two", Incarnation: "before", Remaining: time.Minute}); r == nil || r.Reason != ReasonIncarnation {
		t.Errorf("refusal %+v of a task for another incarnation, want the reason incarnation", r)
	}
}
