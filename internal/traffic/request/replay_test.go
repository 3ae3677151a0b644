package request

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal"
	"fulmardeal/internal/fleet/configuration"
	"fulmardeal/internal/fleet/membership"
	"fulmardeal/internal/link/connection"
	"fulmardeal/internal/proof/invariant"
	"fulmardeal/internal/standin/network"
	"fulmardeal/internal/traffic/admission"
	"fulmardeal/internal/traffic/attempt"
	"fulmardeal/internal/traffic/choice"
)

var verse = fulmardeal.Version{Model: "verse", Name: "v1"}

const tokenCount = 10

// streamer is a fake engine that streams one token every 100 ms and can truncate
// the stream.
type streamer struct {
	name          string
	truncateAfter int // number of tokens after which the stream is truncated; 0 for never
	token         string
	version       fulmardeal.Version
}

func (s *streamer) Call(_ context.Context, c fulmardeal.Call) (fulmardeal.Answer, error) {
	h := []fulmardeal.Field{{Name: "Content-Type", Value: "text/event-stream"}}
	return fulmardeal.Answer{Status: 200, Header: h, Body: &tokenReader{streamer: s, id: c.ID}}, nil
}

func (s *streamer) Cancel(context.Context, string) error { return nil }

func (s *streamer) Load(context.Context) (fulmardeal.Load, error) { return fulmardeal.Load{}, nil }

func (s *streamer) Check(attempt.Task) *attempt.Refusal { return nil }

func (s *streamer) Serving(context.Context) (fulmardeal.Version, string, error) {
	return s.version, s.version.Name, nil
}

// tokenReader returns one event per read. The event's id differs from run to run.
type tokenReader struct {
	streamer *streamer
	id       string
	at       int
}

func (r *tokenReader) Read(p []byte) (int, error) {
	if r.streamer.truncateAfter > 0 && r.at == r.streamer.truncateAfter {
		time.Sleep(100 * time.Millisecond)
		return 0, io.ErrUnexpectedEOF
	}
	if r.at > tokenCount {
		return 0, io.EOF
	}
	time.Sleep(100 * time.Millisecond)
	r.at++
	if r.at > tokenCount {
		return copy(p, "data: [DONE]\n\n"), nil
	}
	return copy(p, fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"text\":\"%s%d\"}]}\n\n", r.id, r.streamer.token, r.at)), nil
}

func (r *tokenReader) Close() error { return nil }

// stream sends one request to a cluster of the given engines. The load balancer
// picks engines[0] first. It returns the text of the response and whether the stream
// was terminated properly.
func stream(t *testing.T, engines []*streamer) (text string, complete bool) {
	fabric := network.New(&network.Memory{}, network.LinkProfile{DataCentreLatency: time.Millisecond})
	doc, err := configuration.ParseDocument("site", []byte(strings.Replace(site, `kind = "plain"`, `kind = "model"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	c := configuration.State{}.WithChange(doc).Evaluate()
	members := membership.NewTable(fulmardeal.Instance{Incarnation: "self", Role: fulmardeal.RoleEntry}, 1)
	for _, e := range engines {
		s := network.Site{Instance: e.name, DataCentre: "a", Region: "r"}
		server, closeServer, err := connection.Listen(fabric.At(s), e.name+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer closeServer()
		l := admission.NewLimiter(nil, admission.Settings{Limit: 8, ColdLimit: 8}, time.Now())
		table := attempt.NewTable(e.name, e, l, e, &invariant.Recorder{})
		if err := server.Register(attempt.ServiceName, attempt.NewService(table)); err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve() }()
		in := fulmardeal.Instance{Name: e.name, Incarnation: e.name, Role: fulmardeal.RoleAgent,
			Address: server.Address(), DataCentre: "a", Region: "r", Service: "shop"}
		members.Merge(time.Now(), []membership.MemberUpdate{{Instance: in, Beat: 1, Serving: e.version}})
	}
	entry := network.Site{Instance: "entry", DataCentre: "a", Region: "r"}
	pool, closePool := connection.NewPool(fabric.At(entry), 8)
	defer closePool()
	table := choice.NewTable("entry", "a", "r", choice.PolicyLeastRequests, 1)
	table.Refresh(members.Members(), c)
	r := NewRouter(table, pool, nil, func() fulmardeal.Offset { return 1 }, slog.New(slog.DiscardHandler))

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	customer, _ := c.Customer("noor")
	service, _ := c.Service("shop")
	response, err := r.Do(ctx, Request{Customer: customer, Service: service, Model: "verse", Method: "POST", Path: "/v1/completions", Safe: true})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	var out bytes.Buffer
	for {
		out.Write(response.Data())
		if response.Done() {
			return eventTexts(out.String()), strings.HasSuffix(out.String(), "data: [DONE]\n\n")
		}
		if err := response.Next(ctx); err != nil {
			var b *BrokenError
			if !errors.As(err, &b) {
				t.Errorf("stream ended with error %v, want a *BrokenError", err)
			}
			return eventTexts(out.String()), false
		}
	}
}

// eventTexts returns the texts of a stream's events.
func eventTexts(stream string) string {
	var out []string
	for event := range strings.SplitSeq(stream, "\n\n") {
		if _, rest, found := strings.Cut(event, `"text":"`); found {
			text, _, _ := strings.Cut(rest, `"`)
			out = append(out, text)
		}
	}
	return strings.Join(out, " ")
}

// TestReplay checks that another engine continues a truncated stream only if it has
// the same weights and produces the same text so far.
func TestReplay(t *testing.T) {
	const want = "w1 w2 w3 w4 w5 w6 w7 w8 w9 w10"
	other := fulmardeal.Version{Model: "verse", Name: "v2"}
	tests := []struct {
		name     string
		second   *streamer
		text     string
		complete bool
	}{
		{"same", &streamer{name: "b", token: "w", version: verse}, want, true},
		{"another text", &streamer{name: "b", token: "x", version: verse}, "w1 w2 w3 w4", false},
		{"other weights", &streamer{name: "b", token: "w", version: other}, "w1 w2 w3 w4", false},
		{"breaks off too", &streamer{name: "b", token: "w", version: verse, truncateAfter: 6}, "w1 w2 w3 w4 w5 w6", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := &streamer{name: "a", token: "w", version: verse, truncateAfter: 4}
				text, complete := stream(t, []*streamer{first, tc.second})
				if text != tc.text || complete != tc.complete {
					t.Errorf("read %q, complete %t; want %q, %t", text, complete, tc.text, tc.complete)
				}
				time.Sleep(time.Minute) // let the links deliver what is in transit
			})
		})
	}
}
