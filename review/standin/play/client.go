package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

const (
	callerDeadline = 6 * time.Second
	lastEvent      = 20 // number of the last event of each stream
)

// answer is what a client got.
type answer struct {
	attempt string
	sent    time.Time
	status  int  // 0 if there was none
	begun   bool // a success whose first event has arrived
	ended   bool // the answer came to an end that looks complete
	events  int
	last    bool // the last event of the stream has arrived
	err     error
}

// served reports whether the client got the whole stream.
func (a answer) served() bool { return a.status == http.StatusOK && a.ended && a.last }

// client sends one request at a time on a kept connection to one of the gateways.
type client struct {
	deployment *deployment
	name       string
	parts      func(attempt string) string
	http       http.Client
	entry      string
	sent       int
}

func newClient(d *deployment, name string, parts func(string) string) *client {
	dialer := net.Dialer{Timeout: time.Second}
	return &client{deployment: d, name: name, parts: parts, http: http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}}
}

// send sends a request and waits for the end of its answer.
func (c *client) send(ctx context.Context) answer {
	d := c.deployment
	if c.entry == "" {
		c.entry = d.entries[rand.IntN(len(d.entries))]
	}
	c.sent++
	a := answer{attempt: fmt.Sprintf("%s-%d", c.name, c.sent), sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, callerDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry+prefix+"2f", strings.NewReader("a verse for "+a.attempt))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	platform.PeerCodec{}.SetRequestMetadata(req.Header, fulmardeal.RequestMetadata{
		AttemptID: a.attempt, Deadline: callerDeadline, APIKey: "key-one", Model: model, PromptTokens: 600, MaxOutputTokens: 100, PromptPrefix: c.parts(a.attempt),
	})
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		c.entry = ""
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	a.err, a.ended = err, err == nil
	if err != nil || resp.Close {
		c.entry = ""
	}
	if a.status == http.StatusOK {
		a.events = strings.Count(string(body), "\n\n")
		a.begun = a.events > 0
		a.last = strings.Contains(string(body), fmt.Sprintf(" %d/%d\n", lastEvent, lastEvent))
	}
	if after := (platform.PeerCodec{}).RetryAfter(resp.Header); after > 0 && ctx.Err() == nil {
		sleep(ctx, min(after, 2*time.Second))
	}
	return a
}

// crowd is a number of clients, and their answers.
type crowd struct {
	mu      sync.Mutex
	answers []answer
}

// run lets clients send requests until the context ends, each with the given mean pause between
// two requests.
func (s *crowd) run(ctx context.Context, d *deployment, count int, name string, pause time.Duration, parts func(string) string) {
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			c := newClient(d, fmt.Sprintf("%s%d", name, i+1), parts)
			defer c.http.CloseIdleConnections()
			sleep(ctx, rand.N(pause))
			for ctx.Err() == nil {
				a := c.send(context.WithoutCancel(ctx))
				s.mu.Lock()
				s.answers = append(s.answers, a)
				s.mu.Unlock()
				cause := ""
				if a.err != nil {
					cause = " " + strings.ReplaceAll(a.err.Error(), "\n", " ")
				}
				d.note("client: %s sent at %.3f got status=%d events=%d ended=%t last=%t%s", a.attempt, a.sent.Sub(d.started).Seconds(), a.status, a.events, a.ended, a.last, cause)
				sleep(ctx, pause/2+rand.N(pause))
			}
		})
	}
	clients.Wait()
}

// share returns how many of the requests sent in an interval match, and how many there were.
func (s *crowd) share(from, until time.Time, match func(answer) bool) (matching, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.answers {
		if a.sent.Before(from) || !a.sent.Before(until) {
			continue
		}
		all++
		if match(a) {
			matching++
		}
	}
	return matching, all
}
