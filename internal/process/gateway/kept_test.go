package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
)

// Callers use a kept connection until it is closed or an answer says Connection: close.
// A request that was passed on must be answered, also when it is sent just when a
// shutdown closes the connections, and while the configuration changes.
func TestKeptConnectionsAtShutdown(t *testing.T) {
	t.Parallel()
	const callers = 200
	w := startGateway(t, func(w *testGateway) {
		address := w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "ok") })
		w.register(fulmardeal.Registration{ID: "i-1", Service: "shop", Address: address, DataCentre: "a", Slots: callers, Sequence: 2})
	})
	var passed, cut, answered atomic.Int32
	// call sends a request and reports whether the connection may be used again.
	call := func(conn net.Conn, id string) bool {
		// The answer or its absence tells whether the request was sent.
		_, _ = fmt.Fprintf(conn, "POST /order/ HTTP/1.1\r\nHost: h\r\nAuthorization: Token k1\r\nX-Fulmardeal-Attempt-Id: %s\r\nX-Fulmardeal-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody", id)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		runs := w.runs(id)
		if err != nil && runs > 0 {
			t.Errorf("passed on and not answered: %v", err)
		}
		if err != nil {
			cut.Add(1)
			return false
		}
		passed.Add(int32(runs))
		answered.Add(1)
		return !response.Close
	}
	var running sync.WaitGroup
	begun, stopped := make(chan struct{}, callers), make(chan struct{})
	var start time.Time
	for i := range callers {
		running.Go(func() {
			conn, err := net.Dial("tcp", w.address)
			if err != nil {
				t.Error(err)
				begun <- struct{}{}
				return
			}
			defer conn.Close()
			open := call(conn, fmt.Sprintf("a%07x", i))
			begun <- struct{}{}
			if i%2 == 0 { // sends requests all the time
				for n := 0; open; n++ {
					open = call(conn, fmt.Sprintf("%04x%04x", i, n))
				}
				return
			}
			<-stopped
			time.Sleep(time.Until(start.Add(connectionsClose + time.Duration(i-callers/2)*50*time.Microsecond)))
			call(conn, fmt.Sprintf("b%07x", i))
		})
	}
	for range callers {
		<-begun
	}
	ended := make(chan struct{})
	var changes sync.WaitGroup
	changes.Go(func() {
		for version := int64(2); ; version++ {
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
				w.configure(catalogue(version))
			}
		}
	})
	start = time.Now()
	w.stop()
	close(stopped)
	running.Wait()
	close(ended)
	changes.Wait()
	t.Logf("%d passed on, %d answered, %d cut", passed.Load(), answered.Load(), cut.Load())
}

// connectionsClose is the time from the start of a shutdown until the kept connections
// are closed.
const connectionsClose = 2600 * time.Millisecond
