package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fulmardeal/internal/proof/script"
)

// An endpoint that repeats an earlier response on a connection can't be told from one that
// answers the same request again there.
func TestConnectionCarriesRequestOnce(t *testing.T) {
	script.Run(t, "testdata/trails.txt", func(f []string) error {
		if len(f) != 2 {
			return fmt.Errorf("%d fields, want 2", len(f))
		}
		address := startEndpoint(t, func(c net.Conn, _ *http.Request) bool {
			return play(c, "HTTP/1.1 200 OK\nContent-Length: 0\n\n")
		})
		p, cleanup := NewPool(1 << 20)
		defer cleanup()
		trails := make(map[string]*Trail)
		numbers := make(map[*conn]int)
		var got []string
		open := make(map[string]*Exchange)
		for step := range strings.SplitSeq(f[0], ",") {
			if x := open[step[1:]]; step[0] == ')' && x != nil {
				x.Release(0)
				continue
			}
			name := strings.TrimPrefix(step, "(")
			if trails[name] == nil && name != "-" {
				trails[name] = new(Trail)
			}
			r := newRequest("b")
			r.Trail = trails[name]
			x, err := p.Send(t.Context(), address, r, time.Hour, time.Now().Add(5*time.Second))
			if err != nil {
				return err
			}
			defer x.Close()
			if _, err := x.ReadAll(1, time.Now().Add(5*time.Second)); err != nil {
				return err
			}
			if numbers[x.conn] == 0 {
				numbers[x.conn] = len(numbers) + 1
			}
			got = append(got, fmt.Sprint(numbers[x.conn]))
			if open[name] = x; name == step {
				x.Release(0)
			}
		}
		if s := strings.Join(got, ","); s != f[1] {
			return fmt.Errorf("sent on connections %s", s)
		}
		return nil
	})
}
