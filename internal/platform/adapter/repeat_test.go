package adapter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/proof/script"
)

// repeatingServer writes an extra response once: behind its first one, or before its
// second one.
type repeatingServer struct {
	when, extra string
	mu          sync.Mutex
	requests    int
	runs        map[string]int // by attempt id
}

func (s *repeatingServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(HeaderAttempt)
		s.mu.Lock()
		s.requests++
		n := s.requests
		s.runs[id]++
		s.mu.Unlock()
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nwhole", HeaderAttempt, id)
		parts := []string{whole}
		switch {
		case n == 1 && s.when == "glued":
			parts = []string{whole + s.extra}
		case n == 1 && s.when == "idle":
			parts = []string{whole, s.extra}
		case n == 2 && s.when == "first":
			parts = []string{s.extra, whole}
		}
		for i, part := range parts {
			if i > 0 {
				time.Sleep(20 * time.Millisecond)
			}
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	}
}

// callOnce sends a call and returns its status and body, or the kind of its error.
func callOnce(t *testing.T, e *Endpoint, id string) string {
	a, err := e.Call(t.Context(), fulmardeal.Call{ID: id, Method: "POST", Path: "/", Body: []byte("x")})
	var unsent *fulmardeal.UnsentError
	switch {
	case errors.As(err, &unsent):
		return "unsent"
	case err != nil:
		return "lost"
	}
	data, err := io.ReadAll(a.Body)
	a.Body.Close()
	if err != nil {
		return "broken"
	}
	return fmt.Sprintf("%d:%s:%s", a.Status, a.ID, data)
}

// A response that an endpoint writes once more is not taken for the one to the next call.
func TestRepeatedResponse(t *testing.T) {
	script.Run(t, "testdata/repeats.txt", func(f []string) error {
		if len(f) != 4 {
			return fmt.Errorf("%d fields, want 4", len(f))
		}
		extra := "HTTP/1.1 " + f[1] + " Extra\r\nFulmardeal-Ran: no\r\nContent-Length: 5\r\n"
		if f[2] != "none" {
			extra += HeaderAttempt + ": " + f[2] + "\r\n"
		}
		s := &repeatingServer{when: f[0], extra: extra + "\r\nextra", runs: make(map[string]int)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		e, err := NewEndpoint("http://" + l.Addr().String())
		if err != nil {
			return err
		}
		if got := callOnce(t, e, "one"); got != "200:one:whole" {
			return fmt.Errorf("first call: %s", got)
		}
		time.Sleep(50 * time.Millisecond)
		got := callOnce(t, e, "two")
		s.mu.Lock()
		defer s.mu.Unlock()
		if got != strings.ReplaceAll(f[3], "_", " ") || s.runs["two"] != 1 {
			return fmt.Errorf("second call: %s, %d runs", got, s.runs["two"])
		}
		return nil
	})
}

// A call for the state of an endpoint is not answered by what the endpoint wrote before.
func TestRepeatedReport(t *testing.T) {
	load := func(running int) string {
		body := fmt.Sprintf(`{"running":%d}`, running)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for running := 1; ; running++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(c, load(running))
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(c, load(100)) // the client may have closed the connection
				}
			}()
		}
	}()
	e, err := NewEndpoint("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for want := 1; want <= 3; want++ {
		got, err := e.Load(context.Background())
		if err != nil || got.Running != want {
			t.Errorf("load %d, %v; want %d", got.Running, err, want)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
