package hibiscustransport

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns how long the VM has been suspended since it booted. It is zero if the host has no clock that counts
// suspensions.
func suspendedTime() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
