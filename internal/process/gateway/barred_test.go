package gateway_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/process/gateway"
)

// barringCodec calls bar when a request for the endpoint "i-1" is about to get a connection.
type barringCodec struct {
	gateway.Codec
	bar func()
}

func (c *barringCodec) ForwardHeader(caller http.Header, f fulmardeal.ForwardMetadata) http.Header {
	if f.Instance == "i-1" {
		c.bar()
	}
	return c.Codec.ForwardHeader(caller, f)
}

// An endpoint whose leaving becomes known while a connection to it is opened must not get the
// request: on a slow link it would arrive after the time that an endpoint waits.
func TestLeavingKnownBeforeSend(t *testing.T) {
	for name, change := range map[string]func(s *memStore, r fulmardeal.Registration){
		"draining": func(s *memStore, r fulmardeal.Registration) {
			r.Draining = true
			s.put("registrations", fulmardeal.Change{Key: "i-1", Registration: &r})
		},
		"gone": func(s *memStore, _ fulmardeal.Registration) {
			s.put("registrations", fulmardeal.Change{Key: "i-1", Gone: true})
		},
		"out of service": func(s *memStore, _ fulmardeal.Registration) {
			s.put("operator", fulmardeal.Change{Key: "evacuate/a", Evacuation: "a"})
		},
	} {
		for _, path := range []string{"/read/1", "/order/1", "/stream/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var w *testGateway
				serve := func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "id: 1\ndata: x\n\n") }
				w = startGateway(t, func(w *testGateway) {
					address := w.endpoint("i-1", "shop", "a", serve)
					w.endpoint("i-2", "shop", "b", serve)
					codec := &barringCodec{Codec: w.codec}
					codec.bar = sync.OnceFunc(func() {
						change(w.store, fulmardeal.Registration{ID: "i-1", Service: "shop", Address: address, DataCentre: "a", Slots: 4, Sequence: 9})
						time.Sleep(20 * time.Millisecond)
						for !w.store.applied("registrations") || !w.store.applied("operator") {
							time.Sleep(time.Millisecond)
						}
					})
					w.codec = codec
				})
				r := w.call("POST", path, nil)
				if stamp := r.header.Get("X-Fulmardeal-Response-Stamp"); r.status != http.StatusOK || stamp != "by-i-2" || w.runs(r.id) != 1 {
					t.Errorf("status %d, stamp %q, %d runs; want the other endpoint's answer", r.status, stamp, w.runs(r.id))
				}
			})
		}
	}
}
