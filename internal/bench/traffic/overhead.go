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

// Overhead is the latency that entry and agent add to a call, in milliseconds.
type Overhead struct {
	Kind    string  `json:"kind"`    // kind of the called service, "plain" or "model"
	Direct  float64 `json:"direct"`  // p50 latency of calls directly to the endpoint
	Through float64 `json:"through"` // p50 latency of calls through entry and agent
	P50     float64 `json:"p50"`     // p50 latency through entry and agent, minus that of direct calls
	P99     float64 `json:"p99"`     // p99 latency through entry and agent, minus that of direct calls
}

// String formats the overhead as one line.
func (o Overhead) String() string {
	return fmt.Sprintf("%-6s direct p50 %.3f ms, through p50 %.3f ms: added p50 %.3f ms, p99 %.3f ms", o.Kind, o.Direct, o.Through, o.P50, o.P99)
}

// callPairs is the number of direct calls, and also of calls through entry and
// agent. The two kinds alternate, so that both see the same load of the host.
const callPairs = 2000

// MeasureOverhead measures the latency that entry and agent add. Direct calls to an
// endpoint alternate with calls through entry and agent. The endpoints respond
// immediately, and no network latency is simulated.
func MeasureOverhead(ctx context.Context, seed uint64, out io.Writer) ([]Overhead, error) {
	s, err := localSettings(seed)
	if err != nil {
		return nil, err
	}
	s.Link = local.LinkSettings{}
	for i := range s.Endpoint {
		g := &s.Endpoint[i]
		g.FirstToken, g.TokenInterval, g.CallDuration = 0, 0, 0
	}
	system, stop, err := local.Start(ctx, s, local.Options{Logger: slog.New(slog.DiscardHandler), Policy: choice.PolicyTwoChoices})
	if err != nil {
		return nil, err
	}
	if _, err := system.Deploy(ctx, "v1"); err != nil {
		return nil, err
	}
	time.Sleep(loadDelay)

	var rows []Overhead
	for _, plain := range []bool{true, false} {
		o, err := measure(ctx, system, plain)
		if err != nil {
			return rows, err
		}
		fmt.Fprintln(out, o)
		rows = append(rows, o)
	}
	return rows, stop()
}

// measure measures the overhead of calls to the plain service or to the model
// service.
func measure(ctx context.Context, system *local.System, plain bool) (Overhead, error) {
	entry := "http://" + system.Addresses()[0]
	path := "/v1/chat/completions"
	o := Overhead{Kind: "model"}
	body, err := json.Marshal(endpoint.CompletionRequest{Model: "verse", Prompt: "a verse", MaxTokens: 1})
	if err != nil {
		return o, err
	}
	direct := system.EndpointURL(system.ModelService())
	if plain {
		o.Kind = "plain"
		path = "/" + system.PlainService() + "/orders"
		direct = system.EndpointURL(system.PlainService())
	}

	customer := system.Customers()[0]
	directTimes, throughTimes := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	for i := range callPairs {
		if plain {
			if body, err = json.Marshal(endpoint.OrderRequest{Order: fmt.Sprint("o", i)}); err != nil {
				return o, err
			}
		}
		if err := timeCall(ctx, directTimes, direct+path, customer, body); err != nil {
			return o, err
		}
		if err := timeCall(ctx, throughTimes, entry+path, customer, body); err != nil {
			return o, err
		}
	}
	const microsPerMilli = 1e3
	at := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / microsPerMilli
	}
	o.Direct, o.Through = at(directTimes, 50), at(throughTimes, 50)
	o.P50, o.P99 = o.Through-o.Direct, at(throughTimes, 99)-at(directTimes, 99)
	return o, nil
}

// timeCall makes one call and records its latency in microseconds.
func timeCall(ctx context.Context, h *hdrhistogram.Histogram, url string, c load.Customer, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	start := time.Now()
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
		return fmt.Errorf("call to %s: unexpected status %s", url, resp.Status)
	}
	return h.RecordValue(time.Since(start).Microseconds())
}
