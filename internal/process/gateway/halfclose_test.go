package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fulmardeal"
)

// A caller that closes its side of the connection has left. If it still reads, it must not
// get an answer that looks complete and that no endpoint gave, nor the end of a stream that
// goes on.
func TestWithdrawnRequestHasNoCompleteAnswer(t *testing.T) {
	w := startGateway(t, func(w *testGateway) {
		address := w.endpoint("i-1", "shop", "a", func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			if r.URL.Path == "/stream/" {
				events(rw, 1, 3, 3)
			}
			<-r.Context().Done()
		})
		w.register(fulmardeal.Registration{ID: "i-1", Service: "shop", Address: address, DataCentre: "a", Slots: 1, Sequence: 2})
	})
	for _, path := range []string{"/read/", "/order/", "/stream/", "/read/queued"} {
		for range 3 {
			if path == "/read/queued" {
				occupying := w.dial(t)
				occupying.send(0, occupying.headerOf("/order/", "")+"body")
				time.Sleep(50 * time.Millisecond)
			}
			c := w.dial(t)
			c.send(0, c.headerOf(path, "")+"body")
			time.Sleep(100 * time.Millisecond)
			if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				continue
			}
			if body, err := io.ReadAll(response.Body); err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("%s: status %d and a complete body: %q", path, response.StatusCode, body)
			}
		}
	}
}
