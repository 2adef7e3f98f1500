package hibiscustransport

import (
	"syscall"
	"time"
)

// ProcessorTime returns the processor time that this process has used, zero if the host doesn't tell.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
