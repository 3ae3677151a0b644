package site_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// misbehaving starts a plain endpoint, or an engine, with a fault, and connects to it.
func misbehaving(t *testing.T, spec *fulmardeal.EngineSpec, fault site.Fault) (*site.Endpoint, net.Conn) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	e := site.NewEndpoint(site.EndpointOptions{Service: "x", Address: address, ListenAddress: address, Slots: 4, ServiceTime: time.Millisecond, Engine: spec, Origin: site.NewOrigin(4, 16), Observer: &arrivals{}}, true)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Crash(true) })
	e.SetFault(fault)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return e, conn
}

// send writes a request on a connection.
func send(t *testing.T, e *site.Endpoint, conn net.Conn, attempt, after string) {
	t.Helper()
	r, _ := e.Registration()
	header := platform.Codec{}.ForwardHeader(http.Header{}, fulmardeal.ForwardMetadata{Instance: r.ID, Deadline: 2 * time.Second, Customer: "florist", Priority: -1, LastEventID: after})
	platform.PeerCodec{}.SetRequestMetadata(header, fulmardeal.RequestMetadata{AttemptID: attempt, Deadline: 2 * time.Second})
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: r.Address, Path: "/x"}, Host: r.Address, Header: header}
	if err := req.Write(conn); err != nil {
		t.Fatal(err)
	}
}

// TestRepeatedRefusal checks that a refusal comes once more before the answer to the next
// request on its connection, with its id or without one.
func TestRepeatedRefusal(t *testing.T) {
	e, conn := misbehaving(t, nil, site.FaultRepeat)
	reader := bufio.NewReader(conn)
	var ids []string
	for i := 0; len(ids) < 2 && i < 20; i++ {
		attempt := fmt.Sprint("a", i)
		send(t, e, conn, attempt, "")
		first, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, first.Body)
		if first.StatusCode != http.StatusServiceUnavailable {
			continue
		}
		send(t, e, conn, attempt+"-next", "")
		for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil || resp.StatusCode != want {
				t.Fatalf("request after a refusal: %v, %v, want status %d", resp, err, want)
			}
			if metadata := (platform.Codec{}).ReadResponseMetadata(resp.StatusCode, resp.Header); want == http.StatusServiceUnavailable {
				if !metadata.NotRun || metadata.AttemptID != attempt && metadata.AttemptID != "" {
					t.Errorf("repeated refusal %+v of attempt %s", metadata, attempt)
				}
				ids = append(ids, metadata.AttemptID)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}
	if len(ids) != 2 || ids[0] == "" || ids[1] != "" {
		t.Errorf("ids of repeated refusals %q, want one with an id and one without", ids)
	}
}

// TestErrorWithinResumedStream checks what resumed streams are answered with.
func TestErrorWithinResumedStream(t *testing.T) {
	spec := &fulmardeal.EngineSpec{Slots: 4, Models: []fulmardeal.EngineModel{{Name: "rhyme", Warm: time.Millisecond}}, Layers: 4, Chunks: 4, ChunkSize: 16}
	for fault, want := range map[site.Fault]string{site.FaultErrorText: "internal error\n\n", site.FaultSecondHead: "id: 6\n"} {
		e, conn := misbehaving(t, spec, fault)
		send(t, e, conn, "a1", "5")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), want) || !strings.HasSuffix(string(body), "try again later\n") {
			t.Errorf("%s: status %d, %q, %v", fault, resp.StatusCode, body, err)
		}
	}
}
