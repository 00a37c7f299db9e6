// Package clock provides the monotonic clock that leases are measured with.
//
// Unlike the clock of time.Since, it includes the time that the machine was
// suspended: a process that resumes after a suspension must see its leases at the
// same age as other processes do.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time suspended. If the
// kernel does not support that clock, it falls back to the monotonic clock of
// package time, counted from the start of the process.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
