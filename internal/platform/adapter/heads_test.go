package adapter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"

	"fulmardeal/internal/proof/script"
)

// cuttingServer sends a response up to a length on each connection, and ends the connection.
type cuttingServer struct {
	listener net.Listener
	response string
	reset    bool
	kept     bool // a whole response is sent first
}

const wholeResponse = "HTTP/1.1 200 OK\r\nFulmardeal-Attempt: one\r\nContent-Length: 5\r\n\r\nfirst"

func (s *cuttingServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.answer(c.(*net.TCPConn))
	}
}

func (s *cuttingServer) answer(c *net.TCPConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	responses := []string{s.response}
	if s.kept {
		responses = []string{wholeResponse, s.response}
	}
	for _, response := range responses {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, response)
	}
	if s.reset {
		_ = c.SetLinger(0)
	}
}

// A response that stops within its head, or its framing, is not taken for a whole one.
func TestResponseThatStopsLooksWhole(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/heads.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		whole := strings.ReplaceAll(strings.TrimSuffix(string(f.Data), "\n"), "\n", "\r\n")
		if !strings.HasSuffix(whole, "whole") {
			whole += "\r\n" // the last line is empty
		}
		for at := 1; at <= len(whole); at++ {
			for _, kept := range []bool{false, true} {
				for _, reset := range []bool{false, true} {
					checkCut(t, f.Name, whole, at, kept, reset)
				}
			}
		}
	}
}

func checkCut(t *testing.T, form, whole string, at int, kept, reset bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := &cuttingServer{listener: l, response: whole[:at], reset: reset, kept: kept}
	go s.serve()
	e, err := NewEndpoint("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if kept {
		if got := callOnce(t, e, "one"); got != "200:one:first" {
			t.Errorf("first call: %s", got)
		}
	}
	got := callOnce(t, e, "one")
	isWhole := strings.HasPrefix(got, "20")
	if isWhole && at < len(whole) {
		t.Errorf("%s, kept: %v, reset: %v: %q after %q", form, kept, reset, got, whole[:at])
	}
	if !isWhole && at == len(whole) && !reset && form != "until-close" {
		t.Errorf("%s, kept: %v: %q after the whole response", form, kept, got)
	}
}

// A malformed head of an endpoint is not taken for an answer.
func TestMalformedHead(t *testing.T) {
	script.Run(t, "../../link/framing/testdata/malformed.txt", func(fields []string) error {
		text, err := strconv.Unquote(fields[1])
		if err != nil {
			return err
		}
		const length, chunks = "Fulmardeal-Attempt: one\r\nContent-Length: 5\r\n", "Fulmardeal-Attempt: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
		for _, response := range map[string][]string{
			"status":  {"HTTP/1.1 " + text + " OK\r\n" + length + "\r\nwhole", "HTTP/1.1 " + text + " OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\nwhole"},
			"line":    {"HTTP/1.1 200 OK\r\n" + text + "\r\n" + length + "\r\nwhole", "HTTP/1.1 200 OK\r\n" + length + text + "\r\n\r\nwhole"},
			"trailer": {"HTTP/1.1 200 OK\r\n" + chunks + text + "\r\n\r\n"},
		}[fields[0]] {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			s := &cuttingServer{listener: l, response: response}
			go s.serve()
			e, err := NewEndpoint("http://" + l.Addr().String())
			if err != nil {
				return err
			}
			if got := callOnce(t, e, "one"); got != "lost" && got != "broken" {
				t.Errorf("%q after %q", got, response)
			}
			l.Close()
		}
		return nil
	})
}
