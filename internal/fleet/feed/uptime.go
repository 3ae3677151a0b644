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
