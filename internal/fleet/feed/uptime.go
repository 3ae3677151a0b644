package feed

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime is a clock that only goes forward and, unlike the one in package time,
// also counts the time during which the instance was suspended.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(started) // no such clock here: suspension isn't seen
	}
	return time.Duration(t.Nano())
}

var started = time.Now()
