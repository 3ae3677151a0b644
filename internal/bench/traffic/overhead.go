package traffic

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fulmardeal/internal/bench/load"
	"fulmardeal/internal/process/local"
	"fulmardeal/internal/standin/endpoint"
	"fulmardeal/internal/traffic/choice"
)

// Overhead is what an entry and an agent add to a call, in milliseconds.
type Overhead struct {
	Kind    string  `json:"kind"`
	Direct  float64 `json:"direct"`  // p50 of the endpoint alone
	Through float64 `json:"through"` // p50 through entry and agent
	P50     float64 `json:"p50"`     // added
	P99     float64 `json:"p99"`     // added
}

// String returns the overhead as a line.
func (o Overhead) String() string {
	return fmt.Sprintf("%-6s direct p50 %.3f ms, through p50 %.3f ms: added p50 %.3f ms, p99 %.3f ms", o.Kind, o.Direct, o.Through, o.P50, o.P99)
}

// pairs is the number of calls of each kind, in pairs one after the other.
const pairs = 2000

// MeasureOverhead calls endpoints that answer at once, in turn directly and
// through entry and agent, without any added latency.
func MeasureOverhead(ctx context.Context, seed uint64, out io.Writer) ([]Overhead, error) {
	s, err := settings(seed)
	if err != nil {
		return nil, err
	}
	s.Link = local.LinkSettings{}
	for i := range s.Endpoint {
		g := &s.Endpoint[i]
		g.FirstToken, g.TokenInterval, g.CallDuration = 0, 0, 0
	}
	x, stop, err := local.Start(ctx, s, local.Options{Logger: slog.New(slog.DiscardHandler), Policy: choice.PolicyTwoChoices})
	if err != nil {
		return nil, err
	}
	if _, err := x.Deploy(ctx, "v1"); err != nil {
		return nil, err
	}
	time.Sleep(warmUp)

	var rows []Overhead
	for _, plain := range []bool{true, false} {
		o, err := overhead(ctx, x, plain)
		if err != nil {
			return rows, err
		}
		fmt.Fprintln(out, o)
		rows = append(rows, o)
	}
	return rows, stop()
}

func overhead(ctx context.Context, x *local.System, plain bool) (Overhead, error) {
	entry := "http://" + x.Addresses()[0]
	path := "/v1/chat/completions"
	o := Overhead{Kind: "model"}
	body, err := json.Marshal(endpoint.Completion{Model: "verse", Prompt: "a verse", MaxTokens: 1})
	if err != nil {
		return o, err
	}
	direct := x.EndpointURL(x.ModelService())
	if plain {
		o.Kind = "plain"
		path = "/" + x.PlainService() + "/orders"
		direct = x.EndpointURL(x.PlainService())
	}

	customer := x.Customers()[0]
	a, b := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	for i := range pairs {
		if plain {
			if body, err = json.Marshal(endpoint.Order{Order: fmt.Sprint("o", i)}); err != nil {
				return o, err
			}
		}
		if err := timed(ctx, a, direct+path, customer, body); err != nil {
			return o, err
		}
		if err := timed(ctx, b, entry+path, customer, body); err != nil {
			return o, err
		}
	}
	const perMilli = 1e3
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / perMilli }
	o.Direct, o.Through = at(a, 50), at(b, 50)
	o.P50, o.P99 = o.Through-o.Direct, at(b, 99)-at(a, 99)
	return o, nil
}

// timed does one call and records its time in microseconds.
func timed(ctx context.Context, h *hdrhistogram.Histogram, url string, c load.Customer, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	begun := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", url, resp.Status)
	}
	return h.RecordValue(time.Since(begun).Microseconds())
}
