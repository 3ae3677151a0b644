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

// call is one request.
type call struct {
	part     Part
	serial   int
	entry    string
	customer Customer
	prompt   string
}

// defaultTimeout is a request's time when its part names none.
const defaultTimeout = 20 * time.Second

// patience is how much longer than its deadline a caller waits for the word
// that it has passed.
const patience = 5 * time.Second

func (c call) timeout() time.Duration {
	if c.part.Timeout > 0 {
		return c.part.Timeout
	}
	return defaultTimeout
}

func (c call) order() string { return fmt.Sprintf("order-%s-%d", c.customer.Name, c.serial) }

// request makes the HTTP request and returns the body that was sent.
func (c call) request(ctx context.Context) (*http.Request, []byte, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	var body any
	switch c.part.Kind {
	case Stream, Whole:
		body = endpoint.Completion{
			Model:     c.part.Model,
			Messages:  []endpoint.Message{{Role: "user", Content: c.prompt}},
			MaxTokens: c.part.Tokens,
			Stream:    c.part.Kind == Stream,
		}
	case Order:
		path = "/" + c.part.Service + "/orders"
		body = endpoint.Order{Order: c.order(), Item: c.prompt}
	case Look:
		method, path = http.MethodGet, fmt.Sprintf("/%s/catalogue/%d", c.part.Service, c.serial)
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
	r.GetBody = nil // the library would repeat a request whose connection closes
	r.Header.Set("Authorization", "Bearer "+c.customer.Key)
	r.Header.Set(entry.HeaderTimeout, c.timeout().String())
	if c.part.Keyed {
		r.Header.Set(entry.HeaderIdempotencyKey, c.order())
	}
	return r, data, nil
}

// do sends a request and notes what came of it.
func (g *Generator) do(c call) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout()+patience)
	defer cancel()
	time.Sleep(g.settings.Client)
	begun := time.Now()
	o := outcome{call: c}
	r, sent, err := c.request(ctx)
	if err != nil {
		g.results.add(o)
		return
	}

	resp, err := g.client.Do(r)
	if err != nil {
		o.what = gone
		g.results.add(o)
		return
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	o.endpoint = resp.Header.Get(entry.HeaderEndpoint)
	switch {
	case resp.StatusCode != http.StatusOK:
		o.refusal(resp)
		io.Copy(io.Discard, resp.Body)
		o.took = time.Since(begun)
	case c.part.Kind == Stream:
		g.readStream(&o, resp.Body, begun)
	default:
		g.readWhole(&o, resp.Body, sent)
		o.first = time.Since(begun)
		o.took = o.first
	}
	if o.what == whole && o.took > c.timeout() {
		o.what = late
	}
	o.first += 2 * g.settings.Client
	g.results.add(o)
}

// refusal reads an entry's word on a request that it gave up.
func (o *outcome) refusal(resp *http.Response) {
	o.cause = resp.Header.Get(entry.HeaderCause)
	if o.cause == "" {
		o.cause = resp.Status
	}
	o.what = unknown
	if resp.Header.Get(entry.HeaderRan) == "no" {
		o.what = refused
	}
	if resp.Header.Get("Retry-After") == "" && resp.StatusCode >= http.StatusTooManyRequests {
		o.silent = true
	}
}

// readWhole checks an answer in one piece.
func (g *Generator) readWhole(o *outcome, body io.Reader, sent []byte) {
	data, err := io.ReadAll(body)
	if err != nil {
		o.what = cut
		return
	}
	switch o.call.part.Kind {
	case Whole:
		var a endpoint.Completed
		if json.Unmarshal(data, &a) != nil || len(a.Choices) != 1 || a.Choices[0].Message == nil {
			o.what = cut
			return
		}
		o.what = g.judge(o.call, a.Fingerprint, a.Choices[0].Message.Content)
	case Order:
		var a endpoint.Ordered
		o.what = wrong
		if json.Unmarshal(data, &a) == nil && a.Order == o.call.order() && a.Body == manifest.Sum(sent) {
			o.what = whole
		}
	case Look:
		var a endpoint.Ordered
		o.what = wrong
		if json.Unmarshal(data, &a) == nil && strings.HasSuffix(a.Body, fmt.Sprintf("/%d", o.call.serial)) {
			o.what = whole
		}
	}
}

// judge compares a text with what the weights would say.
func (g *Generator) judge(c call, digest, text string) what {
	if !slices.Contains(g.settings.Digests(), digest) {
		return mixed
	}
	var want strings.Builder
	for i := range c.part.Tokens {
		want.WriteString(endpoint.Token(digest, c.prompt, i))
	}
	if text != want.String() {
		return mixed
	}
	return whole
}

// readStream checks a streamed answer event by event.
func (g *Generator) readStream(o *outcome, body io.Reader, begun time.Time) {
	var text strings.Builder
	digest := ""
	last := begun
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		now := time.Now()
		if data == "[DONE]" {
			o.took = now.Sub(begun)
			o.what = g.judge(o.call, digest, text.String())
			return
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			o.what = cut
			return
		}
		if e.Error != nil {
			o.what = broken
			return
		}
		if len(e.Choices) != 1 || e.Choices[0].Delta == nil {
			o.what = wrong
			return
		}
		if digest == "" {
			digest = e.Fingerprint
			o.first = now.Sub(begun)
		} else {
			o.between = append(o.between, now.Sub(last))
		}
		last = now
		text.WriteString(e.Choices[0].Delta.Content)
	}
	o.what = cut
	if errors.Is(lines.Err(), context.DeadlineExceeded) {
		o.what = late
	}
}

// streamEvent is one event of a stream, or the error that ends it.
type streamEvent struct {
	endpoint.Completed
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}
