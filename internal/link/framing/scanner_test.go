package framing

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"fulmardeal/internal/proof/script"
)

// verdict returns what a scanner makes of a response that comes in pieces of the given size.
func verdict(response string, size int) string {
	s := scanner{response: true}
	s.begin()
	for len(response) > 0 {
		n := min(size, len(response))
		if err := s.scan([]byte(response[:n])); err != nil {
			var m *MalformedError
			if !errors.As(err, &m) || m.Reason == "" || len(m.Reason) > 500 {
				return err.Error()
			}
			return "broken"
		}
		response = response[n:]
	}
	switch {
	case s.ended():
		return "whole"
	case s.state == untilClose:
		return "close"
	}
	return "more"
}

// Status 000, a blank or a control byte in the name of a field, and two framings of one body
// reached callers as sound answers.
func TestMalformedHeads(t *testing.T) {
	script.Run(t, "testdata/heads.txt", func(fields []string) error {
		if len(fields) != 2 {
			return fmt.Errorf("%d fields, want 2", len(fields))
		}
		response, err := strconv.Unquote(fields[1])
		if err != nil {
			return err
		}
		for size := 1; size <= len(response); size++ {
			if got := verdict(response, size); got != fields[0] {
				return fmt.Errorf("%s in pieces of %d bytes", got, size)
			}
		}
		return nil
	})
}

// FuzzScanner checks that a scanner's verdict doesn't depend on how a response is cut into
// pieces, and that net/http finds the same end of a response that the scanner takes for whole.
func FuzzScanner(f *testing.F) {
	script.Run(f, "testdata/heads.txt", func(fields []string) error {
		response, err := strconv.Unquote(fields[1])
		f.Add(response)
		return err
	})
	f.Fuzz(func(t *testing.T, response string) {
		whole := verdict(response, max(1, len(response)))
		if cut := verdict(response, 1); cut != whole {
			t.Fatalf("%s, in pieces of one byte %s", whole, cut)
		}
		if whole != "whole" {
			return
		}
		reader := bufio.NewReader(strings.NewReader(response))
		for {
			r, err := http.ReadResponse(reader, nil)
			if err != nil {
				return // the parser refuses more
			}
			if r.StatusCode >= 200 {
				_, err := io.Copy(io.Discard, r.Body)
				if errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("incomplete for net/http")
				}
				return
			}
		}
	})
}
