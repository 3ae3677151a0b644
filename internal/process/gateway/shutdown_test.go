package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// packets is how a caller sends a request: the parts are separate packets, and pause
// is the time between them.
type packets struct {
	name    string
	chunked bool
	split   bool
	pause   time.Duration
}

// send sends one request.
func (p packets) send(conn net.Conn, id string) error {
	header, body := "POST /order/ HTTP/1.1\r\nHost: h\r\nX-Fulmardeal-Attempt-Id: "+id+"\r\n", "body"
	if p.chunked {
		header, body = header+"Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"
	} else {
		header += "Content-Length: 4\r\n\r\n"
	}
	if !p.split {
		_, err := io.WriteString(conn, header+body)
		return err
	}
	if _, err := io.WriteString(conn, header); err != nil {
		return err
	}
	if p.pause > 0 {
		time.Sleep(p.pause)
	}
	_, err := io.WriteString(conn, body)
	return err
}

// crossings counts the requests that cross the close of their connection.
type crossings struct {
	passed   sync.Map // ids of the requests that reached the handler with their body
	served   atomic.Int64
	closing  atomic.Int64 // answered with Connection: close
	dropped  atomic.Int64 // neither passed on nor answered
	lost     atomic.Int64 // passed on and not answered
	sequence atomic.Int64
}

func (x *crossings) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if body, err := io.ReadAll(r.Body); err != nil || string(body) != "body" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	x.passed.Store(r.Header.Get("X-Fulmardeal-Attempt-Id"), true)
	if rand.IntN(2) == 0 {
		time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond)
	}
	_, _ = io.WriteString(rw, "answer")
}

// call sends requests back to back on one connection until it is closed.
func (x *crossings) call(t *testing.T, conn net.Conn, p packets) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		id := fmt.Sprintf("%016x", x.sequence.Add(1))
		sent := p.send(conn, id)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(response.Body)
			if err == nil && (response.StatusCode != http.StatusOK || string(body) != "answer") {
				t.Errorf("status %d, body %q", response.StatusCode, body)
				return
			}
		}
		switch _, passed := x.passed.Load(id); {
		case err == nil && response.Close:
			x.closing.Add(1)
			return
		case err == nil:
			x.served.Add(1)
		case passed:
			x.lost.Add(1)
			t.Errorf("passed on and not answered: sent with %v, received %v", sent, err)
			return
		default:
			x.dropped.Add(1)
			return
		}
	}
}

// A request that crosses the close of its connection during a shutdown must not be passed
// on, because its answer could not reach the caller. Each connection of a round is closed
// while its caller sends requests back to back.
func TestRequestCrossingCloseIsNotPassedOn(t *testing.T) {
	const (
		rounds      = 8
		connections = 64
	)
	for _, p := range []packets{
		{name: "one packet"},
		{name: "two packets", split: true},
		{name: "chunks", chunked: true, split: true},
		{name: "late body", split: true, pause: time.Millisecond},
	} {
		for _, processors := range []int{1, runtime.GOMAXPROCS(0)} {
			t.Run(fmt.Sprintf("%s/%d", p.name, processors), func(t *testing.T) {
				defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
				var x crossings
				for range rounds {
					x.close(t, connections, p)
				}
				t.Logf("%d served, %d answered with Connection: close, %d neither passed on nor answered, %d lost",
					x.served.Load(), x.closing.Load(), x.dropped.Load(), x.lost.Load())
				if x.dropped.Load()+x.closing.Load() == 0 {
					t.Error("no request crossed the close of its connection")
				}
			})
		}
	}
}

// close opens connections to a server and shuts it down while they are in use.
func (x *crossings) close(t *testing.T, connections int, p packets) {
	g := &Gateway{log: slog.New(slog.DiscardHandler)}
	server := g.server()
	server.Handler = x
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		if err := serve(server, callerListener{listener, &callerConns{}}); err != nil {
			t.Error(err)
		}
	})
	before := x.served.Load()
	for range connections {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() { x.call(t, conn, p) })
	}
	for x.served.Load() < before+int64(2*connections) {
		time.Sleep(100 * time.Microsecond)
	}
	time.Sleep(time.Duration(rand.IntN(1000)) * time.Microsecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	running.Wait()
}
