package cfvclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM's start, including the time for which it was
// suspended. It measures the ages of leases and of an entry's state, because the monotonic
// clock of package time stops during a suspension.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read the boot-time clock: " + err.Error()) // the kernel lacks CLOCK_BOOTTIME, so no lease can be kept
	}
	return time.Duration(ts.Nano())
}
