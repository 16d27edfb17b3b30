package storeclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started, including the time for which it was
// suspended, which Go's monotonic clock leaves out.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39, so no other one is needed.
		panic("storeclock: " + err.Error())
	}
	return time.Duration(now.Nano())
}
