// Package bootclock reads the clock that counts while a VM is suspended.
//
// The monotonic clock of the Go runtime stands still during a suspension, so a
// lease measured on it would outlive what other processes have been promised.
// The time of day counts on but jumps. Everything that another process relies
// on is therefore measured with CLOCK_BOOTTIME.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux since 2.6.39, so this is no state to
		// go on in.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Time returns Now as a time without a monotonic reading, for interfaces that
// compare times. It is not the time of day.
func Time() time.Time { return time.Unix(0, int64(Now())) }
