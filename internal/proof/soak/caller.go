package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// Behaviour and limits of the simulated callers.
const (
	dialTimeout     = time.Second
	minInterruption = 200 * time.Millisecond // a request that has not run counts as interrupted only if it fails later than this
	minThinkTime    = 20 * time.Millisecond  // pause between a caller's requests
	maxThinkTime    = 180 * time.Millisecond
	cancelOdds      = 30 // one request in this many is cancelled early
	maxAnswerBytes  = 1e6
	maxBodyBytes    = 3000 // size of the random part of a request body
	modelName       = "rhyme"
	promptTokens    = 200 // length of the prompt of each stream request
	outputTokens    = 60
	sharedParts     = 5 // first parts of prompts
)

// caller sends one request at a time over a persistent connection, until the
// entry closes it.
type caller struct {
	deployment *deployment
	number     int
	random     *rand.Rand
	client     *http.Client
	entry      int    // index of the entry that the connection leads to; -1 for none
	sent       int    // number of requests sent
	name       string // prefix of the ids of its requests; empty for one with its number
	poison     string // poisoned part of all its prompts; empty for none
}

func newCaller(d *deployment, number int, seed uint64) *caller {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableCompression: true}
	return &caller{deployment: d, number: number, random: rand.New(rand.NewPCG(seed, uint64(number)+1)), client: &http.Client{Transport: transport}, entry: -1}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		retryAfter := c.sendRequest()
		pause := minThinkTime + time.Duration(c.random.Float64()*float64(maxThinkTime-minThinkTime))
		select {
		case <-ctx.Done():
		case <-time.After(max(retryAfter, pause)):
		}
	}
}

// attempt returns the id of the next request.
func (c *caller) attempt() string {
	if c.name != "" {
		return fmt.Sprintf("%s-%d", c.name, c.sent)
	}
	return fmt.Sprintf("c%d-%d", c.number, c.sent)
}

// prompt returns the parts of a prompt: one that many requests share, in some prompts one
// that few share, and the request's own. A poisoned part comes among them.
func (c *caller) prompt(attempt string) string {
	parts := fmt.Sprintf("f%d:40", c.random.IntN(sharedParts))
	if c.random.IntN(3) == 0 {
		parts += fmt.Sprintf(",m%d-%d:20", c.number, c.sent/10)
	}
	if c.poison != "" {
		parts += "," + c.poison + ":10"
	}
	return parts + "," + attempt + ":130"
}

// sendRequest sends one request. If the system refuses it, sendRequest returns how
// long the caller is asked to wait before the next request, and at most a second.
// Otherwise it returns 0.
func (c *caller) sendRequest() time.Duration {
	c.entry = c.deployment.fleet.pickEntry(c.entry, c.random)
	c.sent++
	route := &c.deployment.routes[c.random.IntN(len(c.deployment.routes))]
	for c.poison != "" && route.Kind != fulmardeal.KindStream {
		route = &c.deployment.routes[c.random.IntN(len(c.deployment.routes))]
	}
	r := c.newRequest(route)
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	checker := c.deployment.checker
	cancels := c.random.IntN(cancelOdds) == 0
	if cancels {
		leaves := time.AfterFunc(time.Duration(c.random.IntN(300))*time.Millisecond, func() {
			checker.callerLeft(r)
			cancel()
		})
		defer leaves.Stop()
	}
	httpReq := c.encode(ctx, r)
	r.sent = time.Now()
	checker.requestSent(r)
	resp, err := c.client.Do(httpReq)
	if err != nil {
		c.entry = -1
		checker.requestFailed(r, err, cancels)
		return 0
	}
	defer resp.Body.Close()
	if resp.Close {
		c.entry = -1 // the entry closes the connection after this answer
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	checker.responseReceived(r, resp, body, err, cancels)
	if platform.GuaranteesNotRun(resp.StatusCode) {
		return min(platform.PeerCodec{}.RetryAfter(resp.Header), time.Second)
	}
	return 0
}

// newRequest returns the next request, on the given route.
func (c *caller) newRequest(route *fulmardeal.Route) *request {
	customer := &c.deployment.customers[c.random.IntN(len(c.deployment.customers))]
	r := &request{
		attempt:  c.attempt(),
		route:    route,
		customer: customer,
		key:      customer.Keys[c.random.IntN(len(customer.Keys))],
		method:   http.MethodPost,
		path:     fmt.Sprintf("%sx%d?q=%d", route.Prefix, c.random.IntN(100), c.sent),
		entry:    c.entry,
		deadline: 2 * route.Timeout,
		poison:   c.poison,
	}
	if route.Kind == fulmardeal.KindIdempotent {
		r.method = http.MethodGet
	} else {
		r.body = fmt.Appendf(nil, "%s %s", r.attempt, strings.Repeat("a", c.random.IntN(maxBodyBytes)))
	}
	return r
}

// encode returns a request as it is sent.
func (c *caller) encode(ctx context.Context, r *request) *http.Request {
	httpReq, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.deployment.fleet.entryAddress(r.entry)+r.path, bytes.NewReader(r.body))
	if err != nil {
		panic(err) // the address and path are made in this package
	}
	httpReq.Host = r.route.Host
	metadata := fulmardeal.RequestMetadata{AttemptID: r.attempt, Deadline: r.deadline, APIKey: r.key}
	if r.route.Kind == fulmardeal.KindStream {
		metadata.Model, metadata.PromptTokens, metadata.MaxOutputTokens, metadata.ExpectedOutputTokens = modelName, promptTokens, outputTokens, outputTokens
		metadata.PromptPrefix = c.prompt(r.attempt)
	}
	platform.PeerCodec{}.SetRequestMetadata(httpReq.Header, metadata)
	return httpReq
}
