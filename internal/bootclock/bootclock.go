// Package bootclock reads CLOCK_BOOTTIME, the monotonic clock that also advances
// while the VM is suspended.
//
// The monotonic clock of the Go runtime stops during a suspension, so a lease
// measured with it would last longer than other processes were promised. The
// wall clock advances during a suspension but jumps. Durations that another
// process relies on are therefore measured with CLOCK_BOOTTIME.
//
// Readings of different VMs, or from before and after a reboot, can't be compared.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted, suspensions included. It panics if
// the clock can't be read.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every Linux since 2.6.39, so a failure can't be
		// handled in a useful way.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Time returns Now as a time.Time without a monotonic reading, for interfaces
// that compare times. Only differences between such times are meaningful; it is
// not the wall-clock time.
func Time() time.Time { return time.Unix(0, int64(Now())) }
