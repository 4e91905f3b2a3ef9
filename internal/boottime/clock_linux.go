package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// System returns the machine's clock. It is never behind the runtime's clock, so that a
// machine whose boot clock is missing or stands still only loses the time of suspensions.
func System() Clock { return notBehind(boot, time.Since) }

// boot returns the kernel's clock, 0 on kernels without it.
func boot() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return Instant(ts.Nano())
}
