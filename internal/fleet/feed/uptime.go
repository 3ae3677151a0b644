package feed

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns a monotonic clock reading that, unlike the monotonic clock of
// package time, advances while the instance is suspended.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // CLOCK_BOOTTIME is unavailable; time spent suspended isn't counted
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

// minSuspension is the shortest suspension of the instance that is told from the drift
// between two clocks.
const minSuspension = 20 * time.Millisecond

// Suspension measures for how long the instance was suspended. The zero value is ready to
// use.
type Suspension struct {
	now    time.Time
	uptime time.Duration
}

// Elapsed returns how long the instance was suspended since the last call that returned
// more than 0, or since the first call. It is given simultaneous readings of time.Now and
// Uptime.
func (s *Suspension) Elapsed(now time.Time, uptime time.Duration) time.Duration {
	if s.now.IsZero() {
		s.now, s.uptime = now, uptime
		return 0
	}
	d := uptime - s.uptime - now.Sub(s.now)
	if d < minSuspension {
		return 0
	}
	s.now, s.uptime = now, uptime
	return d
}
