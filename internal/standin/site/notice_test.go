package site_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fulmardeal"
	"fulmardeal/internal/standin/site"
	"fulmardeal/platform"
)

// notices is a site.Observer that counts what responses say about the endpoint.
type notices struct {
	arrivals
	sent atomic.Int32
}

func (n *notices) NoticeSent(site.ReceivedRequest, bool, time.Duration) { n.sent.Add(1) }
func (n *notices) LimitSent(site.ReceivedRequest, float64)              { n.sent.Add(1) }

// An endpoint whose response is not written, because the connection has been closed before,
// has told nobody that it leaves or has a limit.
func TestNoticeCountsWithoutResponse(t *testing.T) {
	const work = 400 * time.Millisecond
	seen := &notices{}
	e, address := startObserved(t, false, seen)
	e.SetLimit(fulmardeal.RateLimit{Kind: fulmardeal.LimitNamed, Rate: 2})
	reg, _ := e.Registration()
	for _, c := range []struct {
		timeout time.Duration
		want    int32
	}{{work / 4, 0}, {4 * work, 1}} {
		ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/x?"+site.Work{Time: work}.Query(), strings.NewReader("hello"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header = platform.Codec{}.ForwardHeader(http.Header{"X-Fulmardeal-Attempt-Id": {"c1"}}, fulmardeal.ForwardMetadata{Instance: reg.ID, Deadline: testDeadline, Priority: -1})
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		cancel()
		time.Sleep(2 * work)
		if got := seen.sent.Load(); got != c.want {
			t.Errorf("caller stays for %v, the response takes %v: %d notices, want %d", c.timeout, work, got, c.want)
		}
	}
}
