package attempt

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal"
	"fulmardeal/internal/traffic/admission"
)

var v1 = fulmardeal.Version{Model: "verse", Name: "v1"}

// engine streams its parts, one a second, and may change its weights on the
// way.
type engine struct {
	parts    []string
	changeAt int // the part before which the weights change; 0 for never
	digest   string
	status   int
	kind     string
}

func (e *engine) Call(context.Context, fulmardeal.Call) (fulmardeal.Answer, error) {
	h := []fulmardeal.Field{{Name: "Content-Type", Value: e.kind}}
	return fulmardeal.Answer{Status: e.status, Header: h, Body: &reader{engine: e}}, nil
}

func (e *engine) Cancel(context.Context, string) error { return nil }

func (e *engine) Load(context.Context) (fulmardeal.Load, error) { return fulmardeal.Load{}, nil }

func (e *engine) Refuse(Task) *Refusal { return nil }

func (e *engine) Serving(context.Context) (fulmardeal.Version, string, error) {
	return v1, e.digest, nil
}

type reader struct {
	engine *engine
	at     int
	left   []byte
}

func (r *reader) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		if r.at == len(r.engine.parts) {
			return 0, io.EOF
		}
		time.Sleep(time.Second)
		r.left = []byte(r.engine.parts[r.at])
		r.at++
		if r.at == r.engine.changeAt {
			r.engine.digest = "other"
		}
	}
	n := copy(p, r.left)
	r.left = r.left[n:]
	return n, nil
}

func (r *reader) Close() error { return nil }

// read runs an attempt and reads its answer to the end.
func read(e *engine) (text string, fault Fault) {
	l := admission.NewLimiter(nil, admission.Settings{Limit: 4, ColdLimit: 4}, time.Now())
	t := NewTable("agent", e, l, e, nil)
	task := Task{ID: "one", Incarnation: "agent", Model: v1, Remaining: time.Minute, Safe: true}
	if r := t.Begin(task); r != nil {
		return "", Fault(r.Reason)
	}
	var out bytes.Buffer
	for {
		p := t.Next(Place{ID: "one", Incarnation: "agent", Offset: int64(out.Len())})
		out.Write(p.Data)
		if p.Done {
			if err := t.Drain(context.Background()); err != nil {
				return out.String(), FaultLate
			}
			return out.String(), p.Fault
		}
	}
}

// TestMixedWeights changes the weights in mid-answer: neither a plain answer's
// good end nor a stream's end mark gets out.
func TestMixedWeights(t *testing.T) {
	parts := []string{"data: a\n\n", "data: b\n\ndata: [D", "ONE]\n\n"}
	tests := []struct {
		name   string
		change int
		want   string
		fault  Fault
	}{
		{"steady", 0, strings.Join(parts, ""), FaultNone},
		{"at the start", 1, "data: a\n\ndata: b\n\n", FaultMixed},
		{"at the end", 3, "data: a\n\ndata: b\n\n", FaultMixed},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &engine{parts: parts, changeAt: tc.change, digest: "one", status: 200, kind: "text/event-stream"}
				text, fault := read(e)
				if text != tc.want || fault != tc.fault {
					t.Errorf("read %q, fault %q; want %q, %q", text, fault, tc.want, tc.fault)
				}
			})
		})
	}
}

// TestHolder cuts a stream into pieces of every size: nothing is lost, and the
// end mark never passes.
func TestHolder(t *testing.T) {
	text := "data: x\n\ndata: [DO\n\ndata: data: [DONE]\n\n"
	for size := 1; size <= len(text); size++ {
		var h holder
		var out []byte
		for i := 0; i < len(text); i += size {
			out = append(out, h.pass([]byte(text[i:min(i+size, len(text))]))...)
		}
		if bytes.Contains(out, endMark) {
			t.Errorf("size %d: the end mark passed", size)
		}
		if whole := string(out) + string(h.rest()); whole != text {
			t.Errorf("size %d: %q in the end", size, whole)
		}
	}
}

// TestFenced asks after an attempt before it arrives: it is refused when it
// does, and the endpoint doesn't see it.
func TestFenced(t *testing.T) {
	e := &engine{status: 200}
	l := admission.NewLimiter(nil, admission.Settings{Limit: 4, ColdLimit: 4}, time.Now())
	table := NewTable("agent", e, l, e, nil)
	tests := []struct {
		name     string
		question Question
		want     State
	}{
		{"soft", Question{ID: "one", Incarnation: "agent", Soft: true}, StateUnseen},
		{"another incarnation", Question{ID: "one", Incarnation: "before"}, StateGone},
		{"too old", Question{ID: "one", Incarnation: "agent", Age: Horizon}, StateGone},
		{"never seen", Question{ID: "one", Incarnation: "agent"}, StateFenced},
		{"again", Question{ID: "one", Incarnation: "agent"}, StateFenced},
	}
	for _, tc := range tests {
		if got := table.Ask(tc.question).State; got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
	}
	r := table.Begin(Task{ID: "one", Incarnation: "agent", Model: v1, Remaining: time.Minute})
	if r == nil || r.Reason != ReasonFenced || table.Started() != 0 {
		t.Errorf("refusal %+v, %d started; want the late copy fenced", r, table.Started())
	}
	if r := table.Begin(Task{ID: "two", Incarnation: "before", Remaining: time.Minute}); r == nil || r.Reason != ReasonIncarnation {
		t.Errorf("refusal %+v of a task for another incarnation", r)
	}
}
