package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

const (
	dialWait     = time.Second // in which callers want a new connection
	lossSlack    = 200 * time.Millisecond
	thinkLeast   = 20 * time.Millisecond // between a caller's requests
	thinkMost    = 180 * time.Millisecond
	leaveOdd     = 30  // one caller in so many leaves early
	mostAnswer   = 1e6 // bytes
	bodyMost     = 3000
	modelName    = "rhyme"
	promptTokens = 200
	outputTokens = 60
)

// caller sends one request after the other, over a connection that it keeps
// open until the entry closes it.
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

// once sends one request and returns how long the system asks to stay away.
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
		panic(err) // the address and path are this package's own
	}
	q.Host = route.Host
	facts := fulmardeal.Facts{Attempt: r.attempt, Deadline: r.deadline, Key: r.key}
	if route.Kind == fulmardeal.KindStream {
		facts.Model, facts.Prompt, facts.Output, facts.Hint = modelName, promptTokens, outputTokens, outputTokens
	}
	platform.Counterpart{}.WriteFacts(q.Header, facts)
	r.sent = time.Now()
	j := c.world.judge
	j.send(r)
	a, err := c.client.Do(q)
	if err != nil {
		c.entry = -1
		j.unanswered(r, err, leaves)
		return 0
	}
	defer a.Body.Close()
	if a.Close {
		c.entry = -1 // the connection ends with this answer
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, mostAnswer))
	j.answered(r, a, body, err, leaves)
	if platform.Promises(a.StatusCode) {
		return min(platform.Counterpart{}.RetryAfter(a.Header), time.Second)
	}
	return 0
}

// unanswered notes a request that got no answer.
func (j *Judge) unanswered(r *request, err error, leaves bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	took := time.Since(r.sent)
	var op *net.OpError
	switch {
	case leaves:
		j.counts.Left++
		return
	case errors.As(err, &op) && op.Op == "dial":
		j.counts.Failed++ // no entry was there
		return
	}
	j.counts.Failed++
	if took > r.route.Timeout+2*boundLate && j.calm(r.sent, entryScope(r.entry)) {
		j.late = append(j.late, Breach{PromiseAnswered, r.attempt, time.Since(j.begun), fmt.Sprintf("no answer after %v of %v: %v", took, r.route.Timeout, err)})
		return
	}
	if (took > lossSlack || len(r.runs) > 0) && j.quiet(r.sent) {
		j.note(PromiseGraceful, r.attempt, "cut after %v, with nothing disturbed: %v", took, err)
	}
}

// answered notes and checks an answer.
func (j *Judge) answered(r *request, a *http.Response, body []byte, err error, leaves bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case leaves && err != nil:
		j.counts.Left++
	case platform.Promises(a.StatusCode):
		j.counts.Refused++
		r.refused = true
		if len(r.runs) > 0 && !r.route.Repeatable() {
			j.note(PromiseRefusal, r.attempt, "status %d after it ran at %v", a.StatusCode, r.runs)
		}
	case a.StatusCode == http.StatusUnauthorized || a.StatusCode == http.StatusForbidden || a.StatusCode == http.StatusNotFound:
		j.counts.Refused++
		if !slices.ContainsFunc(j.taken, func(w wish) bool { return w.subject == r.key }) {
			j.note(PromiseAdmitted, r.attempt, "status %d for %s %s", a.StatusCode, r.method, r.path)
		}
	case a.StatusCode != http.StatusOK:
		j.counts.Failed++
	case err != nil:
		j.counts.Failed++
		if j.quiet(r.sent) && time.Since(r.sent) < r.route.Timeout-boundLate {
			j.note(PromiseGraceful, r.attempt, "cut after %d bytes, with nothing disturbed: %v", len(body), err)
		}
	default:
		j.checkAnswer(r, platform.Counterpart{}.Signature(a.Header), body)
	}
}

// checkAnswer checks a complete answer. The lock is held.
func (j *Judge) checkAnswer(r *request, signature string, body []byte) {
	j.counts.Served++
	signed := func(data []byte) bool {
		return slices.ContainsFunc(r.runs, func(id string) bool { return site.Signature(r.attempt, id, data) == signature })
	}
	if r.route.Kind == fulmardeal.KindStream {
		if !signed(nil) {
			j.note(PromiseWhole, r.attempt, "signature %q is of none of its runs %v", signature, r.runs)
		}
		if fault := checkEvents(r, body); fault != "" {
			j.note(PromiseOrder, r.attempt, "%s", fault)
		}
		return
	}
	if !signed(body) {
		j.note(PromiseWhole, r.attempt, "%d bytes with signature %q are of none of its runs %v", len(body), signature, r.runs)
	}
}

// checkEvents returns what is wrong with a whole stream.
func checkEvents(r *request, body []byte) string {
	scan := bufio.NewScanner(bytes.NewReader(body))
	n, ended, of := 0, false, ""
	for scan.Scan() {
		line := scan.Text()
		if id, is := strings.CutPrefix(line, "id: "); is {
			n++
			if id != strconv.Itoa(n) {
				return fmt.Sprintf("event %s where %d is due", id, n)
			}
			continue
		}
		data, is := strings.CutPrefix(line, "data: ")
		if !is {
			continue
		}
		words := strings.Fields(data)
		switch {
		case len(words) < 2 || words[0] != r.attempt:
			return fmt.Sprintf("event %d is of another request: %q", n, data)
		case of != "" && words[1] != of && !r.route.Resumable:
			return fmt.Sprintf("event %d is of %s, those before of %s", n, words[1], of)
		}
		of, ended = words[1], len(words) == 3
	}
	if !ended {
		return fmt.Sprintf("it ends as complete after event %d", n)
	}
	return ""
}
