package sharing

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmardeal/internal/traffic/ratelimit"
)

func testLimitNotice(now time.Time) ratelimit.Notice {
	return ratelimit.Notice{Key: 1 << 60, Limited: true, Rate: 1.6, At: now.Add(-1500 * time.Millisecond)}
}

func testLimitRequest(now time.Time) ratelimit.Request {
	n := testLimitNotice(now)
	return ratelimit.Request{Key: n.Key, Sequence: 300, Want: 2, Returned: 1, Demand: 12.5, Cold: 14, Notice: n}
}

func testGrant(now time.Time) ratelimit.Grant {
	n := testLimitNotice(now)
	return ratelimit.Grant{Key: n.Key, Sequence: 300, Count: 2, Wait: 625 * time.Millisecond, Requesters: 53, Notice: n}
}

func checkLimitNotice(t *testing.T, now time.Time, n ratelimit.Notice) {
	t.Helper()
	if !(n.Rate >= 0 && n.Rate <= ratelimit.MaxRate) || n.At.After(now) {
		t.Errorf("invalid limit accepted: %+v", n)
	}
}

func TestLimitMessagesRoundTrip(t *testing.T) {
	now := time.Unix(1005, 0)
	for _, n := range []ratelimit.Notice{testLimitNotice(now), {Key: 7, At: now.Add(-time.Second)}, {Key: 7}} {
		request, grant := testLimitRequest(now), testGrant(now)
		request.Key, request.Notice, grant.Key, grant.Notice = n.Key, n, n.Key, n
		gotRequest, err := decodeLimitRequest(now, encodeLimitRequest(now, request)[1:])
		if d := cmp.Diff(request, gotRequest); d != "" || err != nil {
			t.Errorf("request: %v, %s", err, d)
		}
		gotGrant, err := decodeGrant(now, encodeGrant(now, grant)[1:])
		if d := cmp.Diff(grant, gotGrant); d != "" || err != nil {
			t.Errorf("grant: %v, %s", err, d)
		}
	}
	var notices, got []ratelimit.Notice
	for i := range 2*maxNoticesPerDatagram + 1 {
		n := testLimitNotice(now)
		n.Key = ratelimit.Key(i)
		notices = append(notices, n)
	}
	for _, b := range encodeLimitNotices(now, notices) {
		if len(b) > maxDatagram {
			t.Errorf("datagram of %d bytes", len(b))
		}
		part, err := decodeLimitNotices(now, b[1:])
		if err != nil {
			t.Error(err)
		}
		got = append(got, part...)
	}
	if d := cmp.Diff(notices, got); d != "" {
		t.Error(d)
	}
}

// All entries agree on the one that issues an endpoint's grants. One that is no longer heard
// issues none, and those that remain don't issue the whole limit as long as it may be cut off
// with others.
func TestCutOffEntriesIssueGrants(t *testing.T) {
	const entries, keys = 12, 60
	now := time.Unix(1005, 0)
	mesh := func(own int, heard func(i int) time.Duration) *Mesh {
		m := &Mesh{options: Options{DataCentre: "a", Regions: map[string]string{"a": "r", "b": "s"}, Listen: entryAddress(own), Log: slog.New(slog.DiscardHandler)}, heard: make(map[string]heardEntry)}
		for i := range entries {
			if i != own {
				m.recordHeard(now.Add(-heard(i)), entryAddress(i), "a")
			}
		}
		return m
	}
	whole := mesh(0, func(int) time.Duration { return 0 })
	shares := make(map[string]int)
	for k := range keys {
		addresses, fraction := whole.issuers(now)
		want := issuer(addresses, ratelimit.Key(k))
		shares[want]++
		for own := 1; own < entries; own++ {
			other, _ := mesh(own, func(int) time.Duration { return 0 }).issuers(now)
			if got := issuer(other, ratelimit.Key(k)); got != want || fraction != 1 {
				t.Fatalf("key %d: entry %d asks %s, entry 0 %s; fraction %g", k, own, got, want, fraction)
			}
		}
	}
	if len(shares) < entries/2 {
		t.Errorf("%d entries issue the grants of %d endpoints", len(shares), keys)
	}
	// Entries 0 to 4 don't hear the others, and the other way round.
	sum := 0.0
	for own, in := range map[int]func(i int) bool{0: func(i int) bool { return i < 5 }, 11: func(i int) bool { return i >= 5 }} {
		half := mesh(own, func(i int) time.Duration {
			if in(i) {
				return 0
			}
			return 5 * time.Second
		})
		addresses, fraction := half.issuers(now)
		for k := range keys {
			var n int
			if _, err := fmt.Sscanf(issuer(addresses, ratelimit.Key(k)), "10.1.0.%d:7700", &n); err != nil || !in(n-1) {
				t.Errorf("entry %d asks entry %d, which it doesn't hear", own, n-1)
			}
		}
		sum += fraction
	}
	if sum > 1.5 || sum < 1 {
		t.Errorf("the halves issue %g of each limit", sum)
	}
	gone := mesh(0, func(i int) time.Duration {
		if i > 8 {
			return memberPeriod + time.Second
		}
		return 0
	})
	if _, fraction := gone.issuers(now); fraction != 1 {
		t.Errorf("fraction %g of each limit, a minute after three entries have gone", fraction)
	}
}
