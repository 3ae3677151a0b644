package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/script"
)

// lateRequest is one case of testdata/graces.txt.
type lateRequest struct {
	connection, route     string
	sent, deadline, takes time.Duration
}

func parseLateRequest(f []string) (lateRequest, error) {
	if len(f) != 5 {
		return lateRequest{}, fmt.Errorf("%d fields, want 5", len(f))
	}
	l := lateRequest{connection: f[0], route: f[1]}
	for i, to := range []*time.Duration{&l.sent, &l.deadline, &l.takes} {
		n, err := strconv.Atoi(f[2+i])
		if err != nil {
			return lateRequest{}, err
		}
		*to = time.Duration(n) * time.Millisecond
	}
	return l, nil
}

// mayBeCut reports whether the request may be cut off: one that came early, may be sent once
// more, and is still in progress near the end of the grace period.
func (l lateRequest) mayBeCut() bool {
	return l.route == "stream" && l.sent <= 3*time.Second && l.sent+l.takes > lateGrace*5/6
}

const lateGrace = 5 * time.Second

// lateSite is a gateway that is shut down.
type lateSite struct {
	*testGateway
	started time.Time // when the shutdown began
}

func startLateSite(t *testing.T) *lateSite {
	s := &lateSite{}
	s.testGateway = startGateway(t, func(w *testGateway) {
		w.bounds.Grace = lateGrace
		c := catalogue(2)
		for i := range c.Routes {
			c.Routes[i].Timeout, c.Routes[i].Pause = 20*time.Second, 20*time.Second
		}
		c.Limits = fulmardeal.Limits{Body: 1000, HeaderTimeout: 20 * time.Second, Idle: 20 * time.Second}
		w.configure(c)
		address := w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			takes, _ := strconv.Atoi(r.Header.Get("X-Takes"))
			select {
			case <-time.After(time.Duration(takes) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			fmt.Fprint(rw, endEvent(1))
		})
		w.register(fulmardeal.Registration{ID: "i-1", Service: "shop", Address: address, DataCentre: "a", Slots: 100})
	})
	return s
}

// header returns the header of the request of a case.
func (l lateRequest) header(id string) string {
	return fmt.Sprintf("POST /%s/ HTTP/1.1\r\nHost: h\r\nAuthorization: Token k1\r\nX-Fulmardeal-Attempt-Id: %s\r\nX-Fulmardeal-Deadline-Ms: %d\r\nX-Takes: %d\r\nContent-Length: 4\r\n\r\n",
		l.route, id, l.deadline.Milliseconds(), l.takes.Milliseconds())
}

// call makes the request of a case, and checks that it is answered if it is passed on.
func (s *lateSite) call(t *testing.T, l lateRequest, id string) {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request := l.header(id) + "body"
	switch l.connection {
	case "kept":
		_, _ = io.WriteString(conn, lateRequest{route: "order", deadline: time.Second}.header(id+"-before")+"body")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
	case "partial":
		_, _ = io.WriteString(conn, request[:40])
		request = request[40:]
	}
	time.Sleep(time.Until(s.started.Add(l.sent)))
	_, _ = io.WriteString(conn, request) // the connection may have been closed
	response, err := http.ReadResponse(reader, nil)
	status, body := 0, ""
	if err == nil {
		var b []byte
		b, err = io.ReadAll(response.Body)
		status, body = response.StatusCode, string(b)
	}
	runs := s.runs(id)
	switch {
	case runs > 0 && !l.mayBeCut() && (err != nil || status != http.StatusOK || !strings.Contains(body, "data")):
		t.Errorf("%+v: passed on, and cut off after %v: status %d, body %q, %v", l, time.Since(s.started), status, body, err)
	case runs == 0 && status != 0 && status != http.StatusServiceUnavailable:
		t.Errorf("%+v: not passed on: status %d, want a refusal", l, status)
	case runs == 0 && status == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "":
		t.Errorf("%+v: refused without Retry-After", l)
	}
	t.Logf("%+v: %d runs, status %d, %v", l, runs, status, err)
}

// A request that comes late in the grace period is refused as not run, or answered; it is not
// passed on and cut off.
func TestLateRequestIsPassedOnAndCutOff(t *testing.T) {
	t.Parallel()
	var requests []lateRequest
	script.Run(t, "testdata/graces.txt", func(f []string) error {
		l, err := parseLateRequest(f)
		requests = append(requests, l)
		return err
	})
	s := startLateSite(t)
	var calls sync.WaitGroup
	s.started = time.Now().Add(300 * time.Millisecond) // until all connections are there
	for i, l := range requests {
		calls.Go(func() { s.call(t, l, fmt.Sprintf("late-%d", i)) })
	}
	time.Sleep(time.Until(s.started))
	s.stop()
	calls.Wait()
}
