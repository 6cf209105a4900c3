package cfvclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine's start, including the time for which it was
// suspended. Ages of leases and beliefs are measured on it; the clock of package time
// stands still meanwhile.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read the boot-time clock: " + err.Error()) // the kernel lacks it: no lease could be kept
	}
	return time.Duration(ts.Nano())
}
