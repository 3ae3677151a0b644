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

const (
	dialWait     = time.Second
	lossSlack    = 200 * time.Millisecond // a request that fails sooner, and has not run, does not count as interrupted
	thinkLeast   = 20 * time.Millisecond  // pause between a caller's requests
	thinkMost    = 180 * time.Millisecond
	leaveOdd     = 30  // one request in this many is cancelled early
	mostAnswer   = 1e6 // bytes
	bodyMost     = 3000
	modelName    = "rhyme"
	promptTokens = 200
	outputTokens = 60
)

// caller sends one request at a time over a persistent connection, until the
// entry closes it.
type caller struct {
	world  *world
	number int
	random *rand.Rand
	client *http.Client
	entry  int
	sent   int
}

func newCaller(w *world, number int, seed uint64) *caller {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: dialWait}).DialContext, DisableCompression: true}
	return &caller{world: w, number: number, random: rand.New(rand.NewPCG(seed, uint64(number)+1)), client: &http.Client{Transport: t}, entry: -1}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		after := c.once()
		pause := thinkLeast + time.Duration(c.random.Float64()*float64(thinkMost-thinkLeast))
		select {
		case <-ctx.Done():
		case <-time.After(max(after, pause)):
		}
	}
}

// once sends one request and returns the delay that the system asks for before
// the next one.
func (c *caller) once() time.Duration {
	c.entry = c.world.fleet.pick(c.entry, c.random)
	c.sent++
	route := &c.world.routes[c.random.IntN(len(c.world.routes))]
	customer := &c.world.customers[c.random.IntN(len(c.world.customers))]
	r := &request{
		attempt:  fmt.Sprintf("c%d-%d", c.number, c.sent),
		route:    route,
		customer: customer,
		key:      customer.Keys[c.random.IntN(len(customer.Keys))],
		method:   http.MethodPost,
		path:     fmt.Sprintf("%sx%d?q=%d", route.Prefix, c.random.IntN(100), c.sent),
		entry:    c.entry,
		deadline: 2 * route.Timeout,
	}
	if route.Kind == fulmardeal.KindIdempotent {
		r.method = http.MethodGet
	} else {
		r.body = fmt.Appendf(nil, "%s %s", r.attempt, strings.Repeat("a", c.random.IntN(bodyMost)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	leaves := c.random.IntN(leaveOdd) == 0
	if leaves {
		time.AfterFunc(time.Duration(c.random.IntN(300))*time.Millisecond, cancel)
	}
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.world.fleet.address(c.entry)+r.path, bytes.NewReader(r.body))
	if err != nil {
		panic(err) // the address and path are made in this package
	}
	q.Host = route.Host
	facts := fulmardeal.Facts{Attempt: r.attempt, Deadline: r.deadline, Key: r.key}
	if route.Kind == fulmardeal.KindStream {
		facts.Model, facts.Prompt, facts.Output, facts.Hint = modelName, promptTokens, outputTokens, outputTokens
	}
	platform.Counterpart{}.WriteFacts(q.Header, facts)
	r.sent = time.Now()
	j := c.world.checker
	j.send(r)
	a, err := c.client.Do(q)
	if err != nil {
		c.entry = -1
		j.unanswered(r, err, leaves)
		return 0
	}
	defer a.Body.Close()
	if a.Close {
		c.entry = -1 // the entry closes the connection after this answer
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, mostAnswer))
	j.answered(r, a, body, err, leaves)
	if platform.Promises(a.StatusCode) {
		return min(platform.Counterpart{}.RetryAfter(a.Header), time.Second)
	}
	return 0
}
