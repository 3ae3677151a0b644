package feed

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"fulmardeal/internal/proof/script"
)

func seconds(t *testing.T, text string) time.Duration {
	t.Helper()
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(math.Round(f*1000)) * time.Millisecond
}

// observed returns a pulse that has beaten every 50 ms from 1 s before until the given
// time, except between the two times of each stall.
func observed(t *testing.T, now time.Duration, stalls string) *Pulse {
	t.Helper()
	p := &Pulse{}
	if stalls == "none" {
		return p
	}
	stalled := make(map[time.Duration]bool)
	for stall := range strings.SplitSeq(stalls, ",") {
		first, last, _ := strings.Cut(stall, "-")
		if first == "" {
			continue
		}
		to := now + 1
		if last != "" {
			to = seconds(t, last)
		}
		for at := seconds(t, first) + beatInterval; at < to; at += beatInterval {
			stalled[at] = true
		}
	}
	for at := 9 * time.Second; at <= now; at += beatInterval {
		if !stalled[at] {
			p.Beat(at)
		}
	}
	return p
}

// beatInterval is the time between two beats of the tests.
const beatInterval = 50 * time.Millisecond

// A process that stood still, or whose call went silent, reads a change late. Its age
// must not be counted from then.
func TestAgeOfChangeReadLate(t *testing.T) {
	script.Run(t, "testdata/ages.txt", func(fields []string) error {
		known, callStart, now := seconds(t, fields[0]), seconds(t, fields[1]), seconds(t, fields[2])
		relayAge := time.Duration(0)
		if text, relayed := strings.CutPrefix(fields[4], "relay="); relayed {
			relayAge = seconds(t, text)
		}
		got := changeAge(known, callStart, observed(t, now, fields[3]).RunningSince(now), now, fields[4] == "waits", relayAge)
		if want := seconds(t, fields[5]); got != want {
			return fmt.Errorf("got %v, want %v", got, want)
		}
		return nil
	})
}

// The monotonic clock of package time doesn't advance while the instance is suspended.
func TestSuspensionIsMeasured(t *testing.T) {
	var s Suspension
	now, uptime := time.Now(), time.Hour
	for _, c := range []struct{ ran, suspended, want time.Duration }{
		{0, 0, 0},
		{time.Second, 0, 0},
		{20 * time.Millisecond, 3 * time.Second, 3 * time.Second},
		{20 * time.Millisecond, 0, 0},
		{time.Hour, time.Millisecond, 0},
		{0, 40 * time.Millisecond, 41 * time.Millisecond},
	} {
		now, uptime = now.Add(c.ran), uptime+c.ran+c.suspended
		if got := s.Elapsed(now, uptime); got != c.want {
			t.Errorf("ran %v, suspended %v: got %v, want %v", c.ran, c.suspended, got, c.want)
		}
	}
}
