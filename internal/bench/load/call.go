package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"fulmardeal/internal/process/entry"
	"fulmardeal/internal/standin/endpoint"
	"fulmardeal/internal/weights/manifest"
)

// call is one request of the generated load.
type call struct {
	class    RequestClass
	serial   int
	entry    string
	customer Customer
	prompt   string
}

// defaultTimeout is the timeout of a request whose class has a Timeout of 0.
const defaultTimeout = 20 * time.Second

// responseGrace is how long a caller waits for a response after the request's
// deadline. An entry reports a missed deadline only after the deadline, and without
// this time the caller would not receive the report.
const responseGrace = 5 * time.Second

func (c call) timeout() time.Duration {
	if c.class.Timeout > 0 {
		return c.class.Timeout
	}
	return defaultTimeout
}

// order returns the id of the call's order. If the class is keyed, the id is also the
// idempotency key of the request.
func (c call) order() string { return fmt.Sprintf("order-%s-%d", c.customer.Name, c.serial) }

// request returns the HTTP request and its body.
func (c call) request(ctx context.Context) (*http.Request, []byte, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	var body any
	switch c.class.Kind {
	case KindStream, KindCompletion:
		body = endpoint.CompletionRequest{
			Model:     c.class.Model,
			Messages:  []endpoint.Message{{Role: "user", Content: c.prompt}},
			MaxTokens: c.class.Tokens,
			Stream:    c.class.Kind == KindStream,
		}
	case KindOrder:
		path = "/" + c.class.Service + "/orders"
		body = endpoint.OrderRequest{Order: c.order(), Item: c.prompt}
	case KindCatalogueRead:
		method, path = http.MethodGet, fmt.Sprintf("/%s/catalogue/%d", c.class.Service, c.serial)
	}

	var data []byte
	var err error
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return nil, nil, err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, c.url(path), bytes.NewReader(data))
	if err != nil {
		return nil, nil, err
	}
	r.GetBody = nil // otherwise net/http would retry the request when its connection closes
	r.Header.Set("Authorization", "Bearer "+c.customer.Key)
	r.Header.Set(entry.HeaderTimeout, c.timeout().String())
	if c.class.Keyed {
		r.Header.Set(entry.HeaderIdempotencyKey, c.order())
	}
	return r, data, nil
}

// do sends a request and records its outcome.
func (g *Generator) do(c call) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout()+responseGrace)
	defer cancel()
	time.Sleep(g.settings.ClientLatency)
	start := time.Now()
	o := outcome{call: c}
	r, sent, err := c.request(ctx)
	if err != nil {
		g.results.add(o)
		return
	}

	resp, err := g.client.Do(r)
	if err != nil {
		o.verdict = noResponse
		g.results.add(o)
		return
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	o.endpoint = resp.Header.Get(entry.HeaderEndpoint)
	switch {
	case resp.StatusCode != http.StatusOK:
		o.classifyError(resp)
		io.Copy(io.Discard, resp.Body)
		o.elapsed = time.Since(start)
	case c.class.Kind == KindStream:
		g.readStream(&o, resp.Body, start)
	default:
		g.readFull(&o, resp.Body, sent)
		o.firstToken = time.Since(start)
		o.elapsed = o.firstToken
	}
	if o.verdict == correct && o.elapsed > c.timeout() {
		o.verdict = late
	}
	// Neither direction of the simulated latency between caller and entry is part
	// of the measured time: the sleep for the way there is before start, and there
	// is none for the way back.
	o.firstToken += 2 * g.settings.ClientLatency
	g.results.add(o)
}

// classifyError classifies an error response of an entry. The verdict is refused if
// the entry states that the request was not run, and otherwise unknown.
func (o *outcome) classifyError(resp *http.Response) {
	o.cause = resp.Header.Get(entry.HeaderCause)
	if o.cause == "" {
		o.cause = resp.Status
	}
	o.verdict = unknown
	if resp.Header.Get(entry.HeaderRan) == "no" {
		o.verdict = refused
	}
	if resp.Header.Get("Retry-After") == "" && resp.StatusCode >= http.StatusTooManyRequests {
		o.noRetryAfter = true
	}
}

// readFull verifies a response that is not streamed.
func (g *Generator) readFull(o *outcome, body io.Reader, sent []byte) {
	data, err := io.ReadAll(body)
	if err != nil {
		o.verdict = truncated
		return
	}
	switch o.call.class.Kind {
	case KindCompletion:
		var a endpoint.CompletionResponse
		if json.Unmarshal(data, &a) != nil || len(a.Choices) != 1 || a.Choices[0].Message == nil {
			o.verdict = truncated
			return
		}
		o.verdict = g.verifyText(o.call, a.Fingerprint, a.Choices[0].Message.Content)
	case KindOrder:
		var a endpoint.OrderResponse
		o.verdict = mismatched
		if json.Unmarshal(data, &a) == nil && a.Order == o.call.order() && a.Body == manifest.Sum(sent) {
			o.verdict = correct
		}
	case KindCatalogueRead:
		var a endpoint.OrderResponse
		o.verdict = mismatched
		if json.Unmarshal(data, &a) == nil && strings.HasSuffix(a.Body, fmt.Sprintf("/%d", o.call.serial)) {
			o.verdict = correct
		}
	}
}

// verifyText verifies a generated text. The digest must be that of weights that may
// serve the request, and the text must be what these weights generate for the
// prompt.
func (g *Generator) verifyText(c call, digest, text string) verdict {
	if !slices.Contains(g.settings.Digests(), digest) {
		return inconsistent
	}
	var want strings.Builder
	for i := range c.class.Tokens {
		want.WriteString(endpoint.Token(digest, c.prompt, i))
	}
	if text != want.String() {
		return inconsistent
	}
	return correct
}

// readStream verifies a streamed response event by event.
func (g *Generator) readStream(o *outcome, body io.Reader, start time.Time) {
	var text strings.Builder
	digest := ""
	last := start
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		now := time.Now()
		if data == "[DONE]" {
			o.elapsed = now.Sub(start)
			o.verdict = g.verifyText(o.call, digest, text.String())
			return
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			o.verdict = truncated
			return
		}
		if e.Error != nil {
			o.verdict = streamFailed
			return
		}
		if len(e.Choices) != 1 || e.Choices[0].Delta == nil {
			o.verdict = mismatched
			return
		}
		if digest == "" {
			digest = e.Fingerprint
			o.firstToken = now.Sub(start)
		} else {
			o.tokenIntervals = append(o.tokenIntervals, now.Sub(last))
		}
		last = now
		text.WriteString(e.Choices[0].Delta.Content)
	}
	o.verdict = truncated
	if errors.Is(lines.Err(), context.DeadlineExceeded) {
		o.verdict = late
	}
}

// streamEvent is one event of a stream, or the error that terminates it.
type streamEvent struct {
	endpoint.CompletionResponse
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}
